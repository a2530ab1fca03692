#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "errors/errorkind.h"
#include "routing/fairshare.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace Lagoonbank::Routing {

/// Bounded queue of requests that wait for an endpoint below its load bound. Ordered by priority,
/// then fairly between workspaces, then by deadline. Evicted and expired requests are reported
/// through `requestRejected` and have not run.
class WaitQueue
{
public:
    struct Options
    {
        std::size_t limit = 64; ///< Maximum number of waiting requests.
        Base::Duration maximumWait = std::chrono::seconds(2);
        /// Lower and upper limit of retryAfter().
        Base::Duration minimumRetryAfter = std::chrono::seconds(1);
        Base::Duration maximumRetryAfter = std::chrono::seconds(30);
    };

    /// Identifies a waiting request; chosen by the caller.
    using Ticket = std::uint64_t;

    struct Entry
    {
        Ticket ticket = 0;
        std::uint8_t priority = 1; ///< Zero is the most urgent.
        /// Time by which the request must have run, not only left the queue.
        Base::MonoTime deadline;
        Base::WorkspaceId workspace;
        Base::WorkUnits work{1}; ///< Expected work; counts towards the workspace's share.
    };

    explicit WaitQueue(Options options);

    /// Applies to requests that are pushed from now on.
    void setOptions(const Options &options);

    /// Called when a waiting request, which has not run, is evicted or has expired.
    std::function<void(Ticket, Errors::ErrorKind)> requestRejected;

    /// Queues the request; returns an error if it was rejected. A full queue rejects the least
    /// urgent request of the workspace with the most waiting requests, which may be the new one.
    std::optional<Errors::ErrorKind> push(const Entry &entry, Base::MonoTime now);
    /// The next request to place, which stays in the queue until pop(); no value if the queue is
    /// empty.
    std::optional<Ticket> front() const;
    /// Removes the front, which has been placed.
    void pop(Base::MonoTime now);
    /// Removes a cancelled request; returns false if it is not queued.
    bool remove(Ticket ticket);
    /// Rejects all requests whose maximum wait or deadline has passed.
    void expire(Base::MonoTime now);

    std::size_t size() const { return m_items.size(); }
    /// Time at which the next request expires; no value if the queue is empty.
    std::optional<Base::MonoTime> nextExpiry() const;
    /// Delay after which the caller of a rejected request should retry, estimated from the recent
    /// rate of pops; in whole seconds.
    Base::Duration retryAfter(Base::MonoTime now) const;

private:
    struct Item
    {
        Ticket ticket = 0;
        Base::MonoTime deadline;
        Base::MonoTime expiresAt;
    };

    void removeItem(Ticket ticket);

    Options m_options;
    FairShare m_order;
    std::vector<Item> m_items; ///< In order of arrival.
    double m_popRate = 0.0; ///< Exponentially weighted moving average of pops per second.
    std::optional<Base::MonoTime> m_lastPop;
};

} // namespace Lagoonbank::Routing
