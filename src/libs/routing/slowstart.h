#pragma once

#include "base/units.h"

#include <algorithm>
#include <cmath>

namespace Lagoonbank::Routing {

/// Share of its capacity that an endpoint may use during warm-up, while its cache is cold. The
/// share rises in steps, each of which changes the home endpoint of only a few chats.
class SlowStart
{
public:
    struct Options
    {
        Base::Duration rampTime = std::chrono::seconds(30); ///< Warm-up time; zero: none.
        double initialShare = 0.1;
        int steps = 16;
    };

    explicit SlowStart(Options options)
        : m_options(options)
    { }

    /// Between initialShare and 1.
    double share(Base::MonoTime coldSince, Base::MonoTime now) const
    {
        if (m_options.rampTime <= Base::Duration::zero() || now - coldSince >= m_options.rampTime)
            return 1.0;
        const double passed =
            std::max(0.0, Base::toSeconds(now - coldSince) / Base::toSeconds(m_options.rampTime));
        const double step = std::floor(passed * m_options.steps) / m_options.steps;
        return m_options.initialShare + (1.0 - m_options.initialShare) * step;
    }

private:
    Options m_options;
};

} // namespace Lagoonbank::Routing
