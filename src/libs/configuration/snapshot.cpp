#include "configuration/snapshot.h"

#include <algorithm>

namespace Lagoonbank::Configuration {

namespace {

constexpr std::size_t maxUnfinishedSnapshots = 4;
constexpr std::uint32_t maxSnapshotParts = 4096;
/// Maximum total size of the objects of one part. It is well below maxRecordBytes, as escaping
/// makes the bodies longer.
constexpr std::size_t maxPartBytes = 64 * 1024;
/// Estimated size of an object's fields other than body and file name.
constexpr std::size_t objectOverheadBytes = 512;

} // namespace

std::vector<SnapshotPart> makeSnapshot(const State &state, Base::LogOffset through,
                                       const std::string &id, const std::string &writer)
{
    std::vector<SnapshotPart> parts;
    const SnapshotPart empty{
        .snapshot = id, .writer = writer, .through = through, .hash = state.hash()};
    parts.push_back(empty);
    std::size_t bytes = 0;
    for (const auto &[key, entry] : state.entries()) {
        const std::size_t size = entry.body.size() + entry.file.size() + objectOverheadBytes;
        if (bytes > 0 && bytes + size > maxPartBytes) {
            parts.push_back(empty);
            bytes = 0;
        }
        parts.back().objects.push_back(entry);
        bytes += size;
    }
    for (std::size_t i = 0; i < parts.size(); ++i) {
        parts[i].part = static_cast<std::uint32_t>(i);
        parts[i].parts = static_cast<std::uint32_t>(parts.size());
    }
    return parts;
}

std::optional<Snapshot> SnapshotCollector::add(const SnapshotPart &part)
{
    if (part.parts > maxSnapshotParts)
        return std::nullopt;
    Unfinished *unfinished = find(part);
    unfinished->receivedParts.insert_or_assign(part.part, part);
    if (unfinished->receivedParts.size() < unfinished->partCount)
        return std::nullopt;
    Snapshot snapshot = join(*unfinished);
    std::erase_if(m_unfinished, [&](const Unfinished &other) { return other.id == part.snapshot; });
    return snapshot;
}

SnapshotCollector::Unfinished *SnapshotCollector::find(const SnapshotPart &part)
{
    const auto it = std::ranges::find(m_unfinished, part.snapshot, &Unfinished::id);
    if (it != m_unfinished.end() && it->partCount == part.parts)
        return &*it;
    if (it != m_unfinished.end())
        m_unfinished.erase(it);
    if (m_unfinished.size() >= maxUnfinishedSnapshots)
        m_unfinished.pop_front();
    return &m_unfinished.emplace_back(Unfinished{part.snapshot, part.parts, {}});
}

Snapshot SnapshotCollector::join(Unfinished &unfinished)
{
    const SnapshotPart &first = unfinished.receivedParts.begin()->second;
    Snapshot snapshot{first.snapshot, first.writer, first.through, first.hash, {}};
    for (auto &[number, part] : unfinished.receivedParts)
        std::ranges::move(part.objects, std::back_inserter(snapshot.objects));
    return snapshot;
}

} // namespace Lagoonbank::Configuration
