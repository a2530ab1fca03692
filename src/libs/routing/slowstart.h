#pragma once

#include "base/units.h"

#include <algorithm>
#include <cmath>

namespace Lagoonbank::Routing {

/// The share of its capacity that an endpoint is given while its cache is cold. It rises in
/// steps, so that few chats change their home at each.
class SlowStart
{
public:
    struct Options
    {
        Base::Duration rampTime = std::chrono::seconds(30); ///< Zero: whole share at once.
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
