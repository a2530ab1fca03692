#pragma once

#include "configuration/record.h"
#include "configuration/state.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Lagoonbank::Configuration {

/// A complete snapshot, joined from all its parts.
struct Snapshot
{
    std::string id;
    std::string writer;
    Base::LogOffset through; ///< Offset of the first record that is not included.
    std::uint64_t hash = 0;
    std::vector<Schema::ObjectState> objects;
};

/// Splits the state after all records before `through` into parts that each fit into a record.
std::vector<SnapshotPart> makeSnapshot(const State &state, Base::LogOffset through,
                                       const std::string &id, const std::string &writer);

/// Assembles snapshots from their parts, which may arrive in any order. The number of incomplete
/// snapshots is bounded.
class SnapshotCollector
{
public:
    /// Returns the snapshot if \a part completes it.
    std::optional<Snapshot> add(const SnapshotPart &part);
    void clear() { m_unfinished.clear(); }

private:
    struct Unfinished
    {
        std::string id;
        std::uint32_t partCount = 0;
        std::map<std::uint32_t, SnapshotPart> receivedParts; ///< By part number.
    };

    Unfinished *find(const SnapshotPart &part);
    static Snapshot join(Unfinished &unfinished);

    std::deque<Unfinished> m_unfinished;
};

} // namespace Lagoonbank::Configuration
