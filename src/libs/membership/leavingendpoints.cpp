#include "membership/leavingendpoints.h"

#include "membership/peercodec.h"

namespace Lagoonbank::Membership {

LeavingEndpoints::LeavingEndpoints()
    : LeavingEndpoints(Options())
{ }

LeavingEndpoints::LeavingEndpoints(const Options &options)
    : m_options(options)
{ }

bool LeavingEndpoints::merge(const LeavingEndpoint &leaving, Base::MonoTime now)
{
    const Base::MonoTime leavingSince = now - std::chrono::seconds(leaving.ageSeconds);
    if (now - leavingSince > m_options.keepTime)
        return false;
    const auto found = m_entries.find(leaving.endpoint);
    if (found == m_entries.end()) {
        if (m_entries.size() >= m_options.maxEntries)
            return false;
        m_entries.emplace(leaving.endpoint, Entry{leaving.incarnation, leavingSince});
        return true;
    }
    if (leaving.incarnation <= found->second.incarnation)
        return false;
    found->second = {leaving.incarnation, leavingSince};
    return true;
}

bool LeavingEndpoints::covers(const Base::EndpointId &endpoint, Base::Incarnation incarnation) const
{
    const auto found = m_entries.find(endpoint.value());
    return found != m_entries.end() && incarnation.value() <= found->second.incarnation;
}

LeavingEndpoint LeavingEndpoints::entry(const std::string &endpoint, Base::MonoTime now) const
{
    return toMessage(endpoint, m_entries.at(endpoint), now);
}

std::vector<LeavingEndpoint> LeavingEndpoints::entries(Base::MonoTime now) const
{
    std::vector<LeavingEndpoint> result;
    result.reserve(m_entries.size());
    for (const auto &[endpoint, entry] : m_entries)
        result.push_back(toMessage(endpoint, entry, now));
    return result;
}

void LeavingEndpoints::expire(Base::MonoTime now)
{
    std::erase_if(m_entries, [&](const auto &item) {
        return now - item.second.leavingSince > m_options.keepTime;
    });
}

std::uint32_t LeavingEndpoints::hash() const
{
    std::uint32_t hash = 0;
    for (const auto &[endpoint, entry] : m_entries)
        hash ^= nameKey(endpoint + '#' + std::to_string(entry.incarnation));
    return hash;
}

LeavingEndpoint LeavingEndpoints::toMessage(const std::string &endpoint, const Entry &entry,
                                            Base::MonoTime now) const
{
    const auto age =
        std::chrono::duration_cast<std::chrono::seconds>(now - entry.leavingSince).count();
    return {.endpoint = endpoint,
            .incarnation = entry.incarnation,
            .ageSeconds = static_cast<std::uint32_t>(age)};
}

} // namespace Lagoonbank::Membership
