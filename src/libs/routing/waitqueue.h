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

/// Requests that wait for an endpoint under its bound: few, by priority, then fairly between
/// workspaces, by deadline within one. All that is given up on is told at once through
/// `requestRejected`, as not run.
class WaitQueue
{
public:
    struct Options
    {
        std::size_t limit = 64;
        Base::Duration maximumWait = std::chrono::seconds(2);
        Base::Duration minimumRetryAfter = std::chrono::seconds(1);
        Base::Duration maximumRetryAfter = std::chrono::seconds(30);
    };

    /// The caller's name for a request that waits.
    using Ticket = std::uint64_t;

    struct Entry
    {
        Ticket ticket = 0;
        std::uint8_t priority = 1; ///< Zero is most urgent.
        Base::MonoTime deadline; ///< Of the whole request.
        Base::WorkspaceId workspace;
        Base::WorkUnits work{1}; ///< Expected work, which counts towards the workspace's share.
    };

    explicit WaitQueue(Options options);

    /// For requests that come from now on.
    void setOptions(const Options &options);

    /// A request is given up on; it did not run.
    std::function<void(Ticket, Errors::ErrorKind)> requestRejected;

    /// Queues the request, or returns why not. A full queue gives up on the least urgent request of
    /// the workspace that waits with most, be it the new one or one that waits.
    std::optional<Errors::ErrorKind> push(const Entry &entry, Base::MonoTime now);
    /// The request to try next; nothing if none waits. It stays until pop().
    std::optional<Ticket> front() const;
    /// The front has found an endpoint.
    void pop(Base::MonoTime now);
    /// The caller left.
    bool remove(Ticket ticket);
    /// Gives up on all whose time is over.
    void expire(Base::MonoTime now);

    std::size_t size() const { return m_items.size(); }
    /// When the next one's time is over.
    std::optional<Base::MonoTime> nextExpiry() const;
    /// When a refused request had better come back, from the pace at which the queue has moved
    /// lately; whole seconds.
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
    std::vector<Item> m_items; ///< By arrival.
    double m_popRate = 0.0; ///< Pops a second, smoothed.
    std::optional<Base::MonoTime> m_lastPop;
};

} // namespace Lagoonbank::Routing
