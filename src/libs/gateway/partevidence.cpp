#include "gateway/partevidence.h"

#include <algorithm>
#include <tuple>

namespace Lagoonbank::Gateway {

void PartEvidence::crashed(const PartCrash &crash)
{
    Crash &known = crashOf(crash.endpoint, crash.at);
    if (known.isExplained)
        return;
    const bool isFull = known.parts.size() >= m_options.maxPartsPerCrash;
    if (isFull && !known.parts.contains(crash.part))
        return;
    Presence &presence = known.parts[crash.part];
    presence.depth = std::max(presence.depth, crash.depth);
    const auto &requests = presence.requests;
    if (std::find(requests.begin(), requests.end(), crash.request) == requests.end())
        presence.requests.push_back(crash.request);
}

PartEvidence::Crash &PartEvidence::crashOf(std::uint64_t endpoint, Base::MonoTime at)
{
    const auto known = std::find_if(m_crashes.begin(), m_crashes.end(),
                                    [&](const Crash &one) { return one.endpoint == endpoint; });
    if (known != m_crashes.end())
        return *known;
    dropOldest();
    const auto together = std::find_if(m_crashes.begin(), m_crashes.end(), [&](const Crash &one) {
        const Base::Duration apart = std::max(at, one.groupStart) - std::min(at, one.groupStart);
        return apart < m_options.simultaneity;
    });
    const Base::MonoTime groupStart = together != m_crashes.end() ? together->groupStart : at;
    m_crashes.push_back({.endpoint = endpoint, .at = at, .groupStart = groupStart});
    return m_crashes.back();
}

void PartEvidence::dropOldest()
{
    if (m_crashes.size() >= maxCrashes)
        m_crashes.pop_front();
}

void PartEvidence::begun(PartHash part, Base::MonoTime at)
{
    for (Crash &crash : m_crashes) {
        if (crash.at <= at)
            crash.parts.erase(part);
    }
}

void PartEvidence::explain(PartHash part)
{
    for (Crash &crash : m_crashes) {
        if (!crash.parts.contains(part))
            continue;
        crash.isExplained = true;
        crash.parts.clear();
    }
}

void PartEvidence::explainCrash(std::uint64_t endpoint, Base::MonoTime at)
{
    Crash &crash = crashOf(endpoint, at);
    crash.isExplained = true;
    crash.parts.clear();
}

std::vector<PartCrash> PartEvidence::crashes(Base::MonoTime now) const
{
    std::vector<PartCrash> all;
    for (const Crash &crash : m_crashes) {
        if (now - crash.at >= m_options.lifetime)
            continue;
        for (const auto &[part, presence] : crash.parts) {
            for (const RequestFingerprint request : presence.requests) {
                all.push_back({.part = part,
                               .depth = presence.depth,
                               .request = request,
                               .endpoint = crash.endpoint,
                               .at = crash.at});
            }
        }
    }
    return all;
}

/// Collects for each part the crashes of which it is not acquitted.
absl::flat_hash_map<PartHash, PartEvidence::Tally> PartEvidence::tallies(Base::MonoTime now) const
{
    absl::flat_hash_map<PartHash, Tally> tallies;
    for (std::size_t index = 0; index < m_crashes.size(); ++index) {
        const Crash &crash = m_crashes[index];
        if (now - crash.at >= m_options.lifetime)
            continue;
        for (const auto &[part, presence] : crash.parts) {
            const auto [entry, isNew] = tallies.try_emplace(part);
            Tally &tally = entry->second;
            tally.since = isNew ? crash.at : std::min(tally.since, crash.at);
            tally.depth = std::max(tally.depth, presence.depth);
            tally.crashes.set(index);
            tally.times.insert(crash.groupStart.time_since_epoch().count());
            for (const RequestFingerprint request : presence.requests)
                ++tally.requests[request];
        }
    }
    return tallies;
}

std::vector<PartEvidence::Suspect> PartEvidence::suspects(Base::MonoTime now) const
{
    const auto tallies = this->tallies(now);
    const auto hasNarrowerCause = [&](const Tally &tally) {
        const bool isOneRequest =
            std::any_of(tally.requests.begin(), tally.requests.end(),
                        [&](const auto &entry) { return entry.second == tally.crashes.count(); });
        return isOneRequest || std::any_of(tallies.begin(), tallies.end(), [&](const auto &entry) {
                   const Tally &other = entry.second;
                   return other.depth > tally.depth && (tally.crashes & ~other.crashes).none();
               });
    };
    std::vector<Suspect> found;
    for (const auto &[part, tally] : tallies) {
        const std::size_t crashes = tally.times.size();
        if (crashes < m_options.crashesToSuspect || hasNarrowerCause(tally))
            continue;
        found.push_back({.part = part,
                         .crashes = crashes,
                         .endpoints = tally.crashes.count(),
                         .since = tally.since});
    }
    std::sort(found.begin(), found.end(), [](const Suspect &a, const Suspect &b) {
        return std::tuple(b.endpoints, b.part) < std::tuple(a.endpoints, a.part);
    });
    return found;
}

} // namespace Lagoonbank::Gateway
