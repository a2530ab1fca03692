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

/// What an X-Load header says; nothing if it is malformed.
struct LoadHeader
{
    Base::WorkUnits work;
    Base::Duration age{};
    Base::WorkUnits capacity; ///< Zero if it is not told.
    Base::Incarnation incarnation;
};
std::optional<LoadHeader> readLoadHeader(std::string_view text);

/// Joins the routing decision with the requests of this router: keeps what each attempt has in
/// flight, and lets requests wait while every endpoint is at its bound.
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

    /// Another policy for requests that come from now on.
    void setPolicy(const Routing::Router::Options &routing,
                   const Routing::WaitQueue::Options &queue);

    Routing::Router &routing() { return m_routing; }
    const Routing::Router &routing() const { return m_routing; }

    Exchange::Abandon place(const Exchange::RouteQuery &query,
                            std::function<void(Exchange::Placement)> placed);
    void attemptStarted(const Exchange::Target &target);
    /// Tokens of an answer have come, so that less of its work is left.
    void attemptProgressed(const Exchange::Target &target, Base::Tokens tokens, bool isFirst);
    void attemptEnded(const Exchange::AttemptResult &result);
    /// \a report is an X-Load header: work=<n>;age=<ms>;running=<n>;queued=<n>;capacity=<n>.
    void loadReported(const Base::EndpointId &endpoint, std::string_view report);
    /// The endpoint has served the chat and holds so many tokens of it.
    void chatServed(std::uint64_t chatHash, const Base::EndpointId &endpoint, Base::Tokens cached);

    std::size_t waiting() const { return m_waiting.size(); }

    /// An endpoint's own report of its load came with an answer.
    std::function<void(const Base::EndpointId &endpoint, const LoadHeader &header)> reported;
    /// Time that one decision took and why it fell so; for metrics.
    std::function<void(Base::Duration took, const Routing::Decision &decision)> decided;

private:
    struct WaitingRequest
    {
        Exchange::RouteQuery query;
        std::function<void(Exchange::Placement)> placed;
        Base::MonoTime since;
        /// Null for one that waits a moment for the engine that holds its chat.
        Routing::WaitQueue *queue = nullptr;
    };
    struct RunningAttempt
    {
        Routing::SentRequest sent;
        Base::WorkUnits prefill; ///< Part of the work that is done with the first token.
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
    /// By pool, so that a full pool holds up no other. A map, since a new pool may come while
    /// queues are served. Never removed: a queue is small.
    std::map<std::string, std::unique_ptr<Routing::WaitQueue>> m_queues;
    std::uint64_t m_lastTicket = 0;
    absl::flat_hash_map<std::uint64_t, WaitingRequest> m_waiting;
    absl::flat_hash_map<std::uint64_t, RunningAttempt> m_running;
    Runtime::TimerId m_refreshTimer;
    std::optional<Runtime::TimerId> m_serveTimer;
};

} // namespace Lagoonbank::Router
