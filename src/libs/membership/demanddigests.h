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

/// Digests that routers send about workspaces near their limit, by router and workspace. The
/// contents of a digest are opaque to this class.
class DemandDigests
{
public:
    struct Options
    {
        Base::Duration maxAge = std::chrono::seconds(10); ///< Older digests are dropped.
        std::uint32_t sends = 6; ///< How many times each version of a digest is sent.
        std::size_t maxEntries = 4096; ///< Limits the memory that peers' digests can use here.
    };

    DemandDigests();
    explicit DemandDigests(const Options &options);

    /// Sets the current digest of \a workspace from this router, with at most maxDemandBytes.
    void set(std::uint32_t origin, const Base::WorkspaceId &workspace, std::string bytes,
             Base::MonoTime now);
    /// Merges a digest from a peer; true if it is newer than the stored one.
    bool receive(const DemandDigest &digest, Base::MonoTime now);
    /// Returns the due digests that fit into \a bytes, least often sent first, and counts them as
    /// sent once more.
    std::vector<DemandDigest> take(std::size_t bytes, Base::MonoTime now);
    bool hasDue() const;
    /// Drops digests older than Options::maxAge.
    void expire(Base::MonoTime now);
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
