#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "membership/peermessages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Lagoonbank::Membership {

/// Endpoints that are leaving and accept no new work. Leaving can't be revoked; an endpoint that is
/// added again has a higher incarnation, which the entry does not cover.
class LeavingEndpoints
{
public:
    struct Options
    {
        /// Time after which an entry is dropped.
        Base::Duration keepTime = std::chrono::minutes(30);
        std::size_t maxEntries = 512;
    };

    LeavingEndpoints();
    explicit LeavingEndpoints(const Options &options);

    /// Merges an entry from a peer or of this process; true if it is new or has a higher
    /// incarnation than the stored one.
    bool merge(const LeavingEndpoint &leaving, Base::MonoTime now);
    bool covers(const Base::EndpointId &endpoint, Base::Incarnation incarnation) const;
    LeavingEndpoint entry(const std::string &endpoint, Base::MonoTime now) const;
    std::vector<LeavingEndpoint> entries(Base::MonoTime now) const;
    bool contains(const std::string &endpoint) const { return m_entries.contains(endpoint); }
    /// Drops entries older than Options::keepTime.
    void expire(Base::MonoTime now);
    /// Hash of all entries; equal on members that have the same entries.
    std::uint32_t hash() const;

private:
    struct Entry
    {
        std::uint64_t incarnation = 0;
        Base::MonoTime leavingSince;
    };
    LeavingEndpoint toMessage(const std::string &endpoint, const Entry &entry,
                              Base::MonoTime now) const;

    Options m_options;
    std::map<std::string, Entry> m_entries;
};

} // namespace Lagoonbank::Membership
