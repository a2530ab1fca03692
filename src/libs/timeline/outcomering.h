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

/// The latest outcomes of one router, by request id or by workspace and idempotency key. If the
/// ring is full, the oldest outcome is evicted. Running requests are evicted only if there are no
/// others.
class OutcomeRing
{
public:
    explicit OutcomeRing(std::size_t capacity = 16384);

    /// Adds a new request. Its kind is Running until ended() is called.
    void started(Outcome outcome, Base::MonoTime now);
    void attemptStarted(const Base::RequestId &request, const Base::EndpointId &endpoint,
                        Base::MonoTime now);
    /// Records the end of the latest attempt.
    void attemptEnded(const Base::RequestId &request, std::string result, Base::MonoTime now);
    void ended(const Base::RequestId &request, OutcomeEnd end, Base::MonoTime now);

    /// Returns null if the request is unknown or has been evicted.
    const Outcome *find(const Base::RequestId &request) const;
    /// Returns the latest request with this key, or null.
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
    /// Number of outcomes evicted since the start.
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
    Entries m_entries; // Oldest first.
    absl::flat_hash_map<Base::RequestId, Entries::iterator> m_byRequest;
    absl::flat_hash_map<Key, Base::RequestId> m_byKey;
    std::size_t m_running = 0;
    std::uint64_t m_dropped = 0;
};

} // namespace Lagoonbank::Timeline
