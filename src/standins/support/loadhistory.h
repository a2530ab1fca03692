#pragma once

#include "base/units.h"

#include <cstddef>
#include <deque>

namespace Lagoonbank::Standins {

/// Load of an engine at one time.
struct Load
{
    std::size_t running = 0;
    std::size_t queued = 0;
    Base::WorkUnits work;
    Base::WorkUnits largest; ///< Of one request that is running.
};

struct LoadReport
{
    Load load;
    Base::Duration age{}; ///< The load is as it was so long ago.
};

/// Keeps the load of the last while so that reports can lag.
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
