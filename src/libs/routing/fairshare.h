#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace Lagoonbank::Routing {

/// Bounded queue that orders waiting requests: by priority, then between workspaces by start-time
/// fair queueing (the workspace with the least work served for its weight is next), then by
/// deadline within a workspace. A workspace gets no credit for the time it had no waiting requests.
/// A full queue evicts a request of the workspace with the most waiting requests, so that a
/// workspace with a surge of requests only uses the slots that the others leave free.
class FairShare
{
public:
    using Ticket = std::uint64_t;

    struct Entry
    {
        Ticket ticket = 0; ///< Chosen by the caller; unique among the waiting requests.
        Base::WorkspaceId workspace;
        int priority = 0; ///< 0 is the most urgent.
        Base::WorkUnits work{1}; ///< Expected work; values below 1e-6 count as 1e-6.
        double weight = 1; ///< Share of the workspace relative to the others.
        Base::MonoTime deadline{}; ///< Orders requests of the same workspace and priority.
    };

    explicit FairShare(std::size_t limit)
        : m_limit(limit)
    { }

    /// Applies to requests that are pushed from now on; evicts none of the waiting ones.
    void setLimit(std::size_t limit) { m_limit = limit; }

    /// Queues a request. If the queue was full, returns the evicted request, which has not run; it
    /// may be the new one.
    std::optional<Ticket> push(const Entry &entry);
    /// The next request, which stays in the queue until pop(); no value if the queue is empty.
    std::optional<Ticket> front() const;
    /// Removes the front and charges its work to its workspace.
    std::optional<Ticket> pop();
    /// Removes a request that was cancelled or has expired. Returns false if it is not queued.
    bool remove(Ticket ticket);

    std::size_t size() const { return m_locations.size(); }
    std::size_t waiting(const Base::WorkspaceId &workspace) const;

private:
    struct WorkspaceQueue
    {
        std::deque<Entry> entries;
        double startTime = 0; // virtual start time of the first entry
    };
    struct Level
    {
        // By workspace; ordered, so that ties are broken deterministically.
        std::map<std::string, WorkspaceQueue> queues;
        double currentTime = 0; // current virtual time
        // Virtual finish times of workspaces without a queue that lie after currentTime.
        std::map<std::string, double> finishTimes;
    };

    Ticket evict();
    void eraseQueue(Level &level, std::map<std::string, WorkspaceQueue>::iterator queue);

    std::size_t m_limit;
    std::map<int, Level> m_levels; // by priority; a level is created by its first request
    absl::flat_hash_map<Ticket, std::pair<int, std::string>> m_locations;
    absl::flat_hash_map<std::string, std::size_t> m_waiting;
};

} // namespace Lagoonbank::Routing
