#include "standins/support/loadhistory.h"

#include <algorithm>
#include <iterator>

namespace Lagoonbank::Standins {

LoadHistory::LoadHistory(Base::Duration lag, Base::MonoTime now)
    : m_lag(lag)
    , m_samples{{now, {}}}
{ }

void LoadHistory::record(Base::MonoTime now, const Load &load)
{
    if (m_samples.back().time == now)
        m_samples.back().load = load;
    else
        m_samples.push_back({now, load});
    while (m_samples.size() > 1 && m_samples[1].time <= now - m_lag)
        m_samples.pop_front();
}

LoadReport LoadHistory::report(Base::MonoTime now) const
{
    const Base::MonoTime reportedTime = std::max(now - m_lag, m_samples.front().time);
    const auto after = std::ranges::upper_bound(m_samples, reportedTime, {}, &Sample::time);
    return {std::prev(after)->load, now - reportedTime};
}

} // namespace Lagoonbank::Standins
