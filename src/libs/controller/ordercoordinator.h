#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "controller/cachemover.h"
#include "controller/endpointanswers.h"
#include "controller/endpointcalls.h"
#include "errors/result.h"
#include "orders/orderplan.h"
#include "runtime/timerqueue.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Lagoonbank::Controller {

/// An engine and what the configuration wants of it.
struct OrderTarget
{
    Base::EndpointId endpoint;
    Runtime::SocketAddress address;
    bool checksFencing = false;
    double capacity = 1;
    Base::ModelId model;
    Orders::EndpointSettings desired;
    /// Goes up with each change of what is desired, so that an order's id is never used again for
    /// a later wish of the same content.
    Base::Revision revision;

    bool operator==(const OrderTarget &) const = default;
};

/// Brings the engines of a data centre to what the configuration wants, as long as the lease is
/// held: reads an engine's state, sends what differs as values to set, and reads again. What
/// became of an order is never guessed; a lost answer is settled by reading the state.
class OrderCoordinator
{
public:
    using WeightsFetched = std::function<void(Errors::Result<Base::Bytes>)>;
    struct Options
    {
        Runtime::TimerQueue *timers = nullptr;
        EndpointCalls calls;
        /// See LeaseCoordinator::mayOrder().
        std::function<std::optional<Base::FencingNumber>(bool checksFencing)> mayOrder;
        /// Asks the weight store to give weights out.
        std::function<void(const Base::ModelId &model, const std::string &version,
                           WeightsFetched fetched)>
            fetchWeights;
        /// Takes bytes from the control budget; false if it has none left.
        std::function<bool(std::size_t bytes)> takeFromBudget;
        /// By when an order has taken effect or never will.
        Base::Duration longestOrder = std::chrono::seconds(5);
        Base::Duration retryPeriod = std::chrono::seconds(1);
        Base::Duration checkPeriod = std::chrono::seconds(30); ///< Of engines that are as wanted.
        std::size_t maxConcurrentEngines = 8; ///< Engines that are dealt with at a time.
        Orders::WeightLoadLimiter::Options weightLoads;
        Base::Duration maxMoveDuration = std::chrono::seconds(2); ///< See CacheMover.
        std::size_t maxMovedChats = 64;
    };

    explicit OrderCoordinator(Options options);
    ~OrderCoordinator();
    OrderCoordinator(const OrderCoordinator &) = delete;
    OrderCoordinator &operator=(const OrderCoordinator &) = delete;

    void start();
    void setTargets(const std::vector<OrderTarget> &targets);
    /// The lease was gained: nothing is known of the engines any more.
    void leaseGained();
    /// No new orders from now on.
    void stop() { m_isStopped = true; }
    /// Orders whose fate is not known.
    std::size_t ordersInFlight() const { return m_ordersInFlight; }
    /// Engines that are not known to be as wanted.
    std::size_t pending() const;

    std::function<void(const OrderTarget &target, const Orders::Order &order,
                       Base::FencingNumber fencing)>
        orderSent;
    /// The engine's state is as wanted after an order.
    std::function<void(const OrderTarget &target)> orderDone;
    std::function<void(const OrderTarget &target, int status)> orderRefused;
    std::function<void(const OrderTarget &target, const std::string &why)> failed;
    std::function<void(const OrderTarget &target, const CacheMover::MoveResult &moved)> cacheMoved;
    /// Nothing is in flight any more on an engine that was ordered to drain; it may be stopped.
    std::function<void(const OrderTarget &target)> drained;

private:
    struct Entry
    {
        OrderTarget target;
        std::uint64_t generation = 0; ///< Raised when the target changes.
        Base::MonoTime nextCheckAt{};
        bool isBusy = false;
        bool isConverged = false;
        bool wasOrdered = false;
        bool isCacheMoved = false; ///< Before the order to drain.
        bool isRemainingCacheMoved = false; ///< Of what was in flight then.
        bool isDrained = false;
        std::uint64_t nextCacheEventOffset = 0;
        std::string weightsOrderId; ///< Id of the order that the weight store gave weights out for.
    };
    /// Which entry a call belongs to, and to which wish for it.
    struct Ticket
    {
        Base::EndpointId endpoint;
        std::uint64_t generation = 0;
    };

    void tick();
    void readState(Entry &entry);
    void stateRead(const Ticket &ticket, const Http::CallResult &result);
    void converged(Entry &entry, bool isLoading);
    void reconcile(Entry &entry, const Orders::Order &order, const StateAnswer &seen);
    void moveCache(Entry &entry);
    void handleCacheMoved(Entry &entry, const CacheMover::MoveResult &moved);
    void readLoad(Entry &entry);
    void loadRead(const Ticket &ticket, const Http::CallResult &result);
    void fetchWeights(Entry &entry, const Orders::Order &order, const StateAnswer &seen);
    void sendOrder(Entry &entry, const Orders::Order &order);
    void orderEnded(const Ticket &ticket, const Http::CallResult &result);
    Entry *finishCall(const Ticket &ticket);
    void checkAgain(Entry &entry, Base::Duration delay);
    void reportFailure(const Entry &entry, const std::string &why) const;
    bool isModelLoading(const Entry &entry) const;
    std::vector<CacheEngine> migrationCandidates(const Entry &entry) const;
    Http::Call makeCall(const Entry &entry) const;
    Base::MonoTime now() const { return m_options.timers->clock().now(); }

    Options m_options;
    Orders::WeightLoadLimiter m_weightLoads;
    std::map<Base::EndpointId, Entry> m_entries;
    std::set<Base::EndpointId> m_loading; ///< Engines that load weights, or are about to.
    std::size_t m_ordersInFlight = 0;
    bool m_isStopped = false;
    Runtime::TimerId m_timer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< For calls that outlive it.
};

} // namespace Lagoonbank::Controller
