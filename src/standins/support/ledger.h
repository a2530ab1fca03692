#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace Lagoonbank::Standins {

enum class RunState : std::uint8_t { Running, Whole, Cancelled, Crashed };

/// One run of one request at a stand-in.
struct LedgerEntry
{
    Base::RequestId requestId;
    Base::IdempotencyKey key;
    Base::ChatId chat;
    Base::WallTime started;
    std::optional<Base::WallTime> ended;
    RunState state = RunState::Running;
    std::optional<Base::Tokens> promptTokens;
    std::optional<Base::Tokens> cachedTokens;
    std::optional<Base::Tokens> tokens;
    bool afterDrain = false; ///< Whether the stand-in was draining when the request arrived.
};

/// Bounded record of the runs of a stand-in since its start or the last clear(), oldest first.
class Ledger
{
public:
    using Number = std::uint64_t;

    explicit Ledger(std::size_t maxEntries)
        : m_maxEntries(maxEntries)
    { }

    Number begin(LedgerEntry entry);
    /// The entry, which may be modified; null if it has been dropped.
    LedgerEntry *find(Number number);
    void end(Number number, RunState state, Base::WallTime now);
    /// Counts a request that was refused and did not run.
    void countRefusal(Base::WallTime now, bool afterDrain);
    /// Removes the entries before the first that is still running and resets the counters.
    void clear();
    nlohmann::json toJson() const;
    std::size_t size() const { return m_entries.size(); }

private:
    std::size_t m_maxEntries;
    Number m_firstNumber = 0;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_refusedAfterDrain = 0;
    std::optional<Base::WallTime> m_lastRefusedAfterDrain;
    std::deque<LedgerEntry> m_entries;
};

/// Milliseconds since the Unix epoch.
std::int64_t wallMilliseconds(Base::WallTime time);

} // namespace Lagoonbank::Standins
