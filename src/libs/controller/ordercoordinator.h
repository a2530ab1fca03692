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

/// An engine and the state that the configuration specifies for it.
struct OrderTarget
{
    Base::EndpointId endpoint;
    Runtime::SocketAddress address;
    bool checksFencing = false; ///< Whether it refuses orders with an outdated fencing number.
    double capacity = 1;
    Base::ModelId model;
    Orders::EndpointSettings desired;
    /// Increases with each change of the desired state, so that a later order with the same content
    /// gets a different id.
    Base::Revision revision;

    bool operator==(const OrderTarget &) const = default;
};

/// Brings the engines of a data centre to the desired state while the lease is held: reads the
/// state of an engine, orders it to set the values that differ, and reads the state again. The
/// outcome of an order is never assumed; if the answer is lost, reading the state determines the
/// outcome.
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
        /// Fetches the weights of a version of a model from the weight store.
        std::function<void(const Base::ModelId &model, const std::string &version,
                           WeightsFetched fetched)>
            fetchWeights;
        /// Takes bytes from the control budget; returns false if the budget is exhausted.
        std::function<bool(std::size_t bytes)> takeFromBudget;
        /// Maximum time from sending an order to its effect. An order without effect by then never
        /// takes effect.
        Base::Duration longestOrder = std::chrono::seconds(5);
        Base::Duration retryPeriod = std::chrono::seconds(1);
        /// Check interval for engines in the desired state.
        Base::Duration checkPeriod = std::chrono::seconds(30);
        std::size_t maxConcurrentEngines = 8; ///< Maximum number of engines processed at a time.
        Orders::WeightLoadLimiter::Options weightLoads;
        /// Time after which a move of caches ends, even if some chats were not moved.
        Base::Duration maxMoveDuration = std::chrono::seconds(2);
        std::size_t maxMovedChats = 64; ///< Maximum number of chats moved from one engine.
    };

    explicit OrderCoordinator(Options options);
    ~OrderCoordinator();
    OrderCoordinator(const OrderCoordinator &) = delete;
    OrderCoordinator &operator=(const OrderCoordinator &) = delete;

    void start();
    void setTargets(const std::vector<OrderTarget> &targets);
    /// Must be called when the lease was gained. Marks the state of all engines as unknown.
    void leaseGained();
    /// Stops sending new orders.
    void stop() { m_isStopped = true; }
    /// Number of orders whose calls have not ended.
    std::size_t ordersInFlight() const { return m_ordersInFlight; }
    /// Number of engines that are not known to be in the desired state.
    std::size_t pending() const;

    std::function<void(const OrderTarget &target, const Orders::Order &order,
                       Base::FencingNumber fencing)>
        orderSent;
    /// Called when an engine has reached the desired state after an order.
    std::function<void(const OrderTarget &target)> orderDone;
    std::function<void(const OrderTarget &target, int status)> orderRefused;
    std::function<void(const OrderTarget &target, const std::string &reason)> failed;
    std::function<void(const OrderTarget &target, const CacheMover::MoveResult &moved)> cacheMoved;
    /// Called when a draining engine has no requests in flight; the engine may then be stopped.
    std::function<void(const OrderTarget &target)> drained;

private:
    struct Entry
    {
        OrderTarget target;
        std::uint64_t generation = 0; ///< Incremented when the target changes.
        Base::MonoTime nextCheckAt{};
        bool isBusy = false;
        bool isConverged = false;
        bool wasOrdered = false;
        bool isCacheMoved = false; ///< Whether the move before the drain order has ended.
        bool isRemainingCacheMoved = false; ///< Whether the move after the last request has ended.
        bool isDrained = false;
        std::uint64_t nextCacheEventOffset = 0;
        std::string weightsOrderId; ///< Id of the order for which the weights were fetched.
    };
    /// Identifies the entry that a call belongs to, and the generation of the entry's target when
    /// the call started.
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
    void reportFailure(const Entry &entry, const std::string &reason) const;
    bool isModelLoading(const Entry &entry) const;
    std::vector<CacheEngine> migrationCandidates(const Entry &entry) const;
    Http::Call makeCall(const Entry &entry) const;
    Base::MonoTime now() const { return m_options.timers->clock().now(); }

    Options m_options;
    Orders::WeightLoadLimiter m_weightLoads;
    std::map<Base::EndpointId, Entry> m_entries;
    std::set<Base::EndpointId> m_loading; ///< Engines that load weights or will soon start.
    std::size_t m_ordersInFlight = 0;
    bool m_isStopped = false;
    Runtime::TimerId m_timer;
    /// Set to false on destruction; checked by calls that outlive this object.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Lagoonbank::Controller
