#pragma once

#include "base/units.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Lagoonbank::Routing {

/// Endpoint where a chat's prefix was last known to be cached.
struct Placement
{
    std::uint64_t endpointHash = 0;
    Base::Tokens cached; ///< Number of cached tokens; zero after a known eviction.
};

/// Set-associative LRU cache of the placements of recent chats, with sets of eight entries and a
/// fixed size. Holds at most one placement per chat.
class PlacementTable
{
public:
    /// Has capacity for at least `chats` placements, rounded up to a power of two.
    explicit PlacementTable(std::size_t chats);

    std::optional<Placement> find(std::uint64_t chatHash);
    void put(std::uint64_t chatHash, const Placement &placement);
    /// Drops the chat's placement if it is at this endpoint.
    void drop(std::uint64_t chatHash, std::uint64_t endpointHash);
    /// Drops all placements at an endpoint that is gone or has lost its cache. O(capacity).
    void dropEndpoint(std::uint64_t endpointHash);

    std::size_t capacity() const { return m_entries.size(); }
    Base::Bytes memory() const { return Base::Bytes(m_entries.size() * sizeof(Entry)); }

private:
    static constexpr std::size_t entriesPerSet = 8;

    struct Entry
    {
        std::uint64_t chat = 0; ///< Zero: the entry is free.
        std::uint64_t endpoint = 0;
        std::uint32_t cached = 0;
        std::uint32_t lastUse = 0; ///< Value of m_useCount at the entry's last use.
    };

    Entry *setOf(std::uint64_t chatHash);
    Entry *entryOf(std::uint64_t chatHash);

    std::vector<Entry> m_entries;
    std::uint32_t m_useCount = 0; ///< Counts the uses of all entries; may wrap.
};

} // namespace Lagoonbank::Routing
