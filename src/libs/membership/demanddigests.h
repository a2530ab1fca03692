#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "membership/peermessages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Lagoonbank::Membership {

/// What routers say of workspaces near their limit, kept by router and workspace; opaque here.
class DemandDigests
{
public:
    struct Options
    {
        Base::Duration maxAge = std::chrono::seconds(10); ///< Older digests are dropped.
        std::uint32_t sends = 6; ///< How often a version is passed on.
        std::size_t maxEntries = 4096; ///< Bound on what peers can make this process keep.
    };

    DemandDigests();
    explicit DemandDigests(const Options &options);

    /// What this router says from now on; the digest has at most maxDemandBytes.
    void set(std::uint32_t origin, const Base::WorkspaceId &workspace, std::string bytes,
             Base::MonoTime now);
    /// True if it was newer than what is known.
    bool receive(const DemandDigest &digest, Base::MonoTime now);
    /// Digests due that fit into \a bytes; marks them as sent.
    std::vector<DemandDigest> take(std::size_t bytes, Base::MonoTime now);
    bool hasDue() const;
    void age(Base::MonoTime now);
    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry
    {
        DemandDigest digest;
        Base::MonoTime writtenAt;
        std::uint32_t sends = 0;
    };
    using Key = std::pair<std::uint32_t, std::string>;

    Options m_options;
    std::uint32_t m_version = 0;
    std::map<Key, Entry> m_entries;
};

} // namespace Lagoonbank::Membership
