#pragma once

#include "base/ids.h"
#include "exchange/exchange.h"
#include "routing/router.h"
#include "routing/waitqueue.h"
#include "runtime/loop.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>

namespace Lagoonbank::Router {

/// Load report of an endpoint from an X-Load header.
struct LoadHeader
{
    Base::WorkUnits work;
    Base::Duration sampleAge{}; ///< Time since the load was sampled.
    Base::WorkUnits capacity; ///< Zero if the header does not state it.
    Base::Incarnation incarnation;
};
/// Returns no value if \a text is malformed.
std::optional<LoadHeader> readLoadHeader(std::string_view text);

/// Places the requests of this router: chooses an endpoint for each attempt, tracks the work that
/// the attempts have in flight, and queues requests while every endpoint is at its load bound.
class Placer
{
public:
    struct Options
    {
        Runtime::Loop *loop = nullptr;
        Routing::Router::Options routing;
        Routing::WaitQueue::Options queue;
    };

    explicit Placer(const Options &options);
    ~Placer();

    /// Sets the policy for requests that arrive from now on.
    void setPolicy(const Routing::Router::Options &routing,
                   const Routing::WaitQueue::Options &queue);

    Routing::Router &routing() { return m_routing; }
    const Routing::Router &routing() const { return m_routing; }

    /// Calls \a placed once with a target or a refusal, possibly before this function returns. The
    /// returned function removes the request if it is still waiting; it is empty if the request was
    /// placed at once.
    Exchange::CancelPlacement place(const Exchange::RouteQuery &query,
                                    std::function<void(Exchange::Placement)> placed);
    void attemptStarted(const Exchange::Target &target);
    /// Deducts the work of \a tokens received tokens of an answer from the work in flight. The
    /// first token also ends the prefill.
    void attemptProgressed(const Exchange::Target &target, Base::Tokens tokens, bool isFirst);
    void attemptEnded(const Exchange::AttemptResult &result);
    /// Passes an endpoint's load report to the routing decision. \a report is the value of an
    /// X-Load header: work=<n>;age=<ms>;running=<n>;queued=<n>;capacity=<n>.
    void loadReported(const Base::EndpointId &endpoint, std::string_view report);
    /// Notes that \a endpoint has served the chat and now caches \a cached tokens of it.
    void chatServed(std::uint64_t chatHash, const Base::EndpointId &endpoint, Base::Tokens cached);

    /// Number of requests that wait for an endpoint.
    std::size_t waiting() const { return m_waiting.size(); }

    /// Receives the load reports that endpoints send with their answers. Not called at present.
    std::function<void(const Base::EndpointId &endpoint, const LoadHeader &header)> reported;
    /// Called after each routing decision with its duration and result; for metrics.
    std::function<void(Base::Duration took, const Routing::Decision &decision)> decided;

private:
    struct WaitingRequest
    {
        Exchange::RouteQuery query;
        std::function<void(Exchange::Placement)> placed;
        Base::MonoTime waitingSince;
        /// Queue that the request is in. Null if it is in none: the engine that caches its chat is
        /// at its load bound, and placement is retried at short intervals.
        Routing::WaitQueue *queue = nullptr;
    };
    struct RunningAttempt
    {
        Routing::SentRequest sent;
        /// Work of the uncached prompt tokens; deducted when the first token arrives.
        Base::WorkUnits prefill;
    };

    static std::string poolOf(const Exchange::RouteQuery &query);
    Routing::RouteRequest makeRouteRequest(const Exchange::RouteQuery &query) const;
    Routing::Decision choose(const Exchange::RouteQuery &query, Base::Duration waited);
    void scheduleWarmRetry(std::uint64_t ticket);
    void retryPlacement(std::uint64_t ticket);
    void applyDecision(std::uint64_t ticket, const Routing::Decision &decision);
    void enqueue(std::uint64_t ticket);
    Base::WorkUnits expectedWork(const Exchange::RouteQuery &query) const;
    Exchange::Target send(const Exchange::RouteQuery &query, const Routing::Decision &decision);
    Exchange::Refusal makeRefusal(Errors::ErrorKind kind, const Routing::WaitQueue &queue) const;
    Routing::WaitQueue &queueFor(const Exchange::RouteQuery &query);
    void serveWaiting();
    void scheduleServing();
    void serveQueue(Routing::WaitQueue &queue);
    void refuseWaiting(std::uint64_t ticket, Errors::ErrorKind kind);
    void refresh();

    Runtime::Loop &m_loop;
    Routing::Router m_routing;
    Routing::WaitQueue::Options m_queueOptions;
    /// One queue per pool, so that a full pool does not block requests of other pools. An ordered
    /// map, as its iterators stay valid if a new pool is added while queues are served. Queues are
    /// never removed, as they are small.
    std::map<std::string, std::unique_ptr<Routing::WaitQueue>> m_queues;
    std::uint64_t m_lastTicket = 0;
    absl::flat_hash_map<std::uint64_t, WaitingRequest> m_waiting;
    absl::flat_hash_map<std::uint64_t, RunningAttempt> m_running;
    Runtime::TimerId m_refreshTimer;
    std::optional<Runtime::TimerId> m_serveTimer;
};

} // namespace Lagoonbank::Router
