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

/// Says whose request goes next while endpoints are the bottleneck: the most urgent priority first
/// and, within it, the workspace that has had the least work for its weight (start-time fair
/// queueing), with its earliest deadline. A workspace that was away gets no credit for it. When it
/// is full, the workspace that waits with most gives way, so that one that surges fills only what
/// others leave.
class FairShare
{
public:
    using Ticket = std::uint64_t;

    struct Entry
    {
        Ticket ticket = 0; ///< The caller's name for the request; unique among those that wait.
        Base::WorkspaceId workspace;
        int priority = 0; ///< 0 is the most urgent.
        Base::WorkUnits work{1}; ///< Expected work; at least a small positive number.
        double weight = 1; ///< Of the workspace.
        Base::MonoTime deadline{}; ///< Earlier ones go first within their workspace and priority.
    };

    explicit FairShare(std::size_t limit)
        : m_limit(limit)
    { }

    /// For requests that come from now on.
    void setLimit(std::size_t limit) { m_limit = limit; }

    /// Queues a request. Returns the one that has to give way if the queue was full: it may be this
    /// one, and it did not run.
    std::optional<Ticket> push(const Entry &entry);
    /// The next request; nothing if none waits. It stays until pop().
    std::optional<Ticket> front() const;
    /// Takes the front out and charges its work to its workspace.
    std::optional<Ticket> pop();
    /// The caller left or its time is over. False if it does not wait.
    bool remove(Ticket ticket);

    std::size_t size() const { return m_locations.size(); }
    std::size_t waiting(const Base::WorkspaceId &workspace) const;

private:
    struct WorkspaceQueue
    {
        std::deque<Entry> entries;
        double startTime = 0; // virtual time at which the front may go
    };
    struct Level
    {
        std::map<std::string, WorkspaceQueue>
            queues; // by workspace; ordered, so that ties fall the same way
        double currentTime = 0; // virtual time
        std::map<std::string, double> finishTimes; // of workspaces with no lane, if later than now
    };

    Ticket evict();
    void eraseQueue(Level &level, std::map<std::string, WorkspaceQueue>::iterator queue);

    std::size_t m_limit;
    std::map<int, Level> m_levels; // by priority; only those with entries or a history
    absl::flat_hash_map<Ticket, std::pair<int, std::string>> m_locations;
    absl::flat_hash_map<std::string, std::size_t> m_waiting;
};

} // namespace Lagoonbank::Routing
