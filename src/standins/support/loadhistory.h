#pragma once

#include "base/units.h"

#include <cstddef>
#include <deque>

namespace Lagoonbank::Standins {

/// Load of a stand-in at one point in time.
struct Load
{
    std::size_t running = 0;
    std::size_t queued = 0;
    Base::WorkUnits work;
    Base::WorkUnits largest; ///< Work of the largest running request.
};

struct LoadReport
{
    Load load;
    Base::Duration age{}; ///< Time since `load` was current.
};

/// Keeps recent load samples so that reports lag behind by a fixed time.
class LoadHistory
{
public:
    LoadHistory(Base::Duration lag, Base::MonoTime now);

    void record(Base::MonoTime now, const Load &load);
    LoadReport report(Base::MonoTime now) const;
    std::size_t sampleCount() const { return m_samples.size(); }

private:
    struct Sample
    {
        Base::MonoTime time;
        Load load;
    };

    Base::Duration m_lag;
    std::deque<Sample> m_samples;
};

} // namespace Lagoonbank::Standins
