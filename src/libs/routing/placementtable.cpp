#include "routing/placementtable.h"

#include <algorithm>
#include <bit>
#include <limits>

namespace Lagoonbank::Routing {

PlacementTable::PlacementTable(std::size_t chats)
    : m_entries(std::bit_ceil(std::max(chats, entriesPerSet)))
{ }

std::optional<Placement> PlacementTable::find(std::uint64_t chatHash)
{
    Entry *entry = entryOf(chatHash);
    if (!entry)
        return std::nullopt;
    entry->lastUse = ++m_useCount;
    return Placement{.endpointHash = entry->endpoint, .cached = Base::Tokens(entry->cached)};
}

void PlacementTable::put(std::uint64_t chatHash, const Placement &placement)
{
    Entry *entry = entryOf(chatHash);
    if (!entry) {
        // Compares how long ago the entries were used, as differences of m_useCount, so that the
        // counter may wrap.
        Entry *set = setOf(chatHash);
        const auto older = [this](const Entry &a, const Entry &b) {
            if ((a.chat == 0) != (b.chat == 0))
                return a.chat == 0;
            return m_useCount - a.lastUse > m_useCount - b.lastUse;
        };
        entry = std::min_element(set, set + entriesPerSet, older);
    }
    const auto maximum = static_cast<std::int64_t>(std::numeric_limits<std::uint32_t>::max());
    const std::int64_t cached = std::clamp<std::int64_t>(placement.cached.value(), 0, maximum);
    *entry = {.chat = chatHash,
              .endpoint = placement.endpointHash,
              .cached = static_cast<std::uint32_t>(cached),
              .lastUse = ++m_useCount};
}

void PlacementTable::drop(std::uint64_t chatHash, std::uint64_t endpointHash)
{
    Entry *entry = entryOf(chatHash);
    if (entry && entry->endpoint == endpointHash)
        *entry = {};
}

void PlacementTable::dropEndpoint(std::uint64_t endpointHash)
{
    for (Entry &entry : m_entries) {
        if (entry.endpoint == endpointHash)
            entry = {};
    }
}

PlacementTable::Entry *PlacementTable::setOf(std::uint64_t chatHash)
{
    const std::size_t sets = m_entries.size() / entriesPerSet;
    return &m_entries[(chatHash & (sets - 1)) * entriesPerSet];
}

PlacementTable::Entry *PlacementTable::entryOf(std::uint64_t chatHash)
{
    Entry *set = setOf(chatHash);
    Entry *end = set + entriesPerSet;
    Entry *found =
        std::find_if(set, end, [&](const Entry &entry) { return entry.chat == chatHash; });
    return found == end || chatHash == 0 ? nullptr : found;
}

} // namespace Lagoonbank::Routing
