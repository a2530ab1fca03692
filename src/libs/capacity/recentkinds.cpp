#include "capacity/recentkinds.h"

#include "capacity/conversions.h"

#include <algorithm>
#include <cmath>

namespace Lagoonbank::Capacity {

void RecentKinds::requestArrived(const Urgency &urgency, Base::Duration target,
                                 Base::Tokens uncached, Base::MonoTime now)
{
    const double tokens = Internal::tokenCount(uncached);
    const Kind kind(urgency, target);
    auto arrivals = m_kinds.find(kind);
    if (arrivals == m_kinds.end()) {
        removeOld(now);
        if (m_kinds.size() >= m_options.maxKinds)
            return;
        arrivals = m_kinds.emplace(kind, Arrivals{.meanTokens = tokens, .lastAt = now}).first;
    }
    arrivals->second.meanTokens += m_options.weight * (tokens - arrivals->second.meanTokens);
    arrivals->second.lastAt = now;
}

std::optional<Base::Duration> RecentKinds::longestWait(const Urgency &urgency,
                                                       const PrefillRate &rate, double slowdown,
                                                       Base::MonoTime now) const
{
    std::optional<Base::Duration> longest;
    for (const auto &[kind, arrivals] : m_kinds) {
        if (kind.first >= urgency)
            break; // Ordered by urgency.
        if (now - arrivals.lastAt > m_options.lifetime)
            continue;
        const Base::Tokens tokens(std::llround(arrivals.meanTokens));
        const Base::Duration wait =
            usableTime(kind.second) - rate.constantTime() - rate.prefillTime(tokens, slowdown);
        if (wait > Base::Duration(0))
            longest = std::min(longest.value_or(wait), wait);
    }
    return longest;
}

Base::Duration RecentKinds::usableTime(Base::Duration target) const
{
    return Base::fromSeconds(Base::toSeconds(target) * (1 - m_options.margin));
}

void RecentKinds::removeOld(Base::MonoTime now)
{
    std::erase_if(m_kinds,
                  [&](const auto &kind) { return now - kind.second.lastAt > m_options.lifetime; });
}

} // namespace Lagoonbank::Capacity
