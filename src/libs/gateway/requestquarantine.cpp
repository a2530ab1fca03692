#include "gateway/requestquarantine.h"

#include <algorithm>

namespace Lagoonbank::Gateway {

Schema::SharedCrash toShared(const RequestCrash &crash)
{
    return {.request = crash.request.value(), .endpoint = crash.endpoint};
}

RequestCrash fromShared(const Schema::SharedCrash &shared)
{
    return {.request = RequestFingerprint(shared.request), .endpoint = shared.endpoint};
}

Schema::SharedQuarantine toShared(const QuarantinedRequest &quarantined)
{
    return {.request = quarantined.request.value(),
            .leftMs = static_cast<std::uint32_t>(Base::toMilliseconds(quarantined.remaining))};
}

QuarantinedRequest fromShared(const Schema::SharedQuarantine &shared)
{
    return {.request = RequestFingerprint(shared.request),
            .remaining = std::chrono::milliseconds(shared.leftMs)};
}

bool RequestQuarantine::crashed(const RequestCrash &crash, Base::MonoTime now)
{
    if (timeLeft(crash.request, now))
        return false;
    if (!m_crashes.contains(crash.request))
        evictIfFull(now);
    Crashes &crashes = m_crashes[crash.request];
    if (!isFresh(crashes, now))
        crashes.endpoints.clear();
    crashes.lastAt = now;
    if (!crashes.has(crash.endpoint))
        crashes.endpoints.push_back(crash.endpoint);
    if (crashes.endpoints.size() < m_options.crashesToQuarantine)
        return false;
    return quarantine({.request = crash.request, .remaining = m_options.quarantineTime}, now);
}

bool RequestQuarantine::wouldQuarantine(const RequestCrash &crash, Base::MonoTime now) const
{
    const auto found = m_crashes.find(crash.request);
    if (found == m_crashes.end() || !isFresh(found->second, now))
        return false;
    const Crashes &crashes = found->second;
    return crashes.endpoints.size() + (crashes.has(crash.endpoint) ? 0 : 1)
        >= m_options.crashesToQuarantine;
}

bool RequestQuarantine::quarantine(const QuarantinedRequest &quarantined, Base::MonoTime now)
{
    m_crashes.erase(quarantined.request);
    return m_table.add(quarantined.request, quarantined.remaining, now);
}

std::vector<QuarantinedRequest> RequestQuarantine::quarantined(Base::MonoTime now) const
{
    std::vector<QuarantinedRequest> all;
    for (const auto &[request, remaining] : m_table.items(now))
        all.push_back({.request = request, .remaining = remaining});
    return all;
}

std::vector<RequestCrash> RequestQuarantine::crashes(Base::MonoTime now) const
{
    std::vector<RequestCrash> all;
    for (const auto &[request, crashes] : m_crashes) {
        if (!isFresh(crashes, now))
            continue;
        for (const std::uint64_t endpoint : crashes.endpoints)
            all.push_back({.request = request, .endpoint = endpoint});
    }
    return all;
}

void RequestQuarantine::evictIfFull(Base::MonoTime now)
{
    if (m_crashes.size() < m_options.maxRequests)
        return;
    absl::erase_if(m_crashes, [&](const auto &entry) { return !isFresh(entry.second, now); });
    if (m_crashes.size() < m_options.maxRequests)
        return;
    // Requests with several crashes are kept in preference to those with a single one.
    const auto leastRelevant =
        std::min_element(m_crashes.begin(), m_crashes.end(), [](const auto &a, const auto &b) {
            const std::size_t countA = a.second.endpoints.size();
            const std::size_t countB = b.second.endpoints.size();
            return countA != countB ? countA < countB : a.second.lastAt < b.second.lastAt;
        });
    m_crashes.erase(leastRelevant);
}

} // namespace Lagoonbank::Gateway
