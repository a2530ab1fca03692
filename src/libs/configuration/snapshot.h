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

/// A snapshot whose parts have all been read.
struct Snapshot
{
    std::string id;
    std::string writer;
    Base::LogOffset through; ///< First record that is not taken in.
    std::uint64_t hash = 0;
    std::vector<Schema::ObjectState> objects;
};

/// Cuts the state after all records before `through` into parts that fit a record each.
std::vector<SnapshotPart> makeSnapshot(const State &state, Base::LogOffset through,
                                       const std::string &id, const std::string &writer);

/// Puts snapshots together from their parts, whatever the order they come in. Holds a bounded
/// number of unfinished ones.
class SnapshotCollector
{
public:
    std::optional<Snapshot> add(const SnapshotPart &part);
    void clear() { m_unfinished.clear(); }

private:
    struct Unfinished
    {
        std::string id;
        std::uint32_t parts = 0;
        std::map<std::uint32_t, SnapshotPart> read;
    };

    Unfinished *find(const SnapshotPart &part);
    static Snapshot join(Unfinished &unfinished);

    std::deque<Unfinished> m_unfinished;
};

} // namespace Lagoonbank::Configuration
