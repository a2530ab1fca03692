#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "timeline/outcome.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <utility>

namespace Lagoonbank::Timeline {

/// The latest outcomes of one router, found by request id or by workspace and idempotency key. The
/// oldest ones go when it is full; requests that still run stay unless nothing else is kept.
class OutcomeRing
{
public:
    explicit OutcomeRing(std::size_t capacity = 16384);

    /// A request came in; its kind is Running until ended().
    void started(Outcome outcome, Base::MonoTime now);
    void attemptStarted(const Base::RequestId &request, const Base::EndpointId &endpoint,
                        Base::MonoTime now);
    /// Ends the last attempt.
    void attemptEnded(const Base::RequestId &request, std::string result, Base::MonoTime now);
    void ended(const Base::RequestId &request, OutcomeEnd end, Base::MonoTime now);

    /// Null if it is not known here or no longer.
    const Outcome *find(const Base::RequestId &request) const;
    /// The latest request with this key.
    const Outcome *find(const Base::WorkspaceId &workspace, const Base::IdempotencyKey &key) const;

    /// Visits all outcomes, oldest first.
    template<typename Visitor>
    void forEach(Visitor visitor) const
    {
        for (const Entry &entry : m_entries)
            visitor(entry.outcome);
    }

    std::size_t size() const { return m_entries.size(); }
    std::size_t running() const { return m_running; }
    /// Outcomes that are no longer kept.
    std::uint64_t dropped() const { return m_dropped; }

private:
    struct Entry
    {
        Outcome outcome;
        Base::MonoTime started{};
    };
    using Entries = std::list<Entry>;
    using Key = std::pair<std::string, std::string>;

    Entry *entry(const Base::RequestId &request);
    void evictIfFull();
    void evict(Entries::iterator entry);
    static bool isRunning(const Entry &entry);
    static std::int64_t msSinceStart(const Entry &entry, Base::MonoTime now);

    std::size_t m_capacity;
    Entries m_entries; // oldest first
    absl::flat_hash_map<Base::RequestId, Entries::iterator> m_byRequest;
    absl::flat_hash_map<Key, Base::RequestId> m_byKey;
    std::size_t m_running = 0;
    std::uint64_t m_dropped = 0;
};

} // namespace Lagoonbank::Timeline
