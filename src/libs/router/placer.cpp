#include "router/placer.h"

#include "routing/rendezvous.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace Lagoonbank::Router {

using Errors::ErrorKind;

namespace {

/// Upper limit of the numbers in a load report. It exceeds all valid values, whether work units or
/// milliseconds since 1970.
constexpr double maxReportedNumber = 1e15;
constexpr std::int64_t maxReportAgeMs = 60'000;
/// Interval at which placement is retried for a request that waits for the engine that caches its
/// chat.
constexpr Base::Duration placementRetryInterval = std::chrono::milliseconds(10);

Routing::ExchangeResult toExchangeResult(const Exchange::AttemptResult &result)
{
    if (result.succeeded || result.error.kind == ErrorKind::EndpointRefused)
        return Routing::ExchangeResult::Answered;
    if (result.error.kind == ErrorKind::EndpointUnreachable)
        return Routing::ExchangeResult::Unreachable;
    return Routing::ExchangeResult::Broke;
}

std::optional<double> readReportedNumber(std::string_view text)
{
    double value = 0;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc() || stop != end || !(value >= 0 && value <= maxReportedNumber))
        return std::nullopt;
    return value;
}

/// Whether the result counts towards the endpoint's health. Attempts that ended because the caller
/// disconnected or the deadline expired do not.
bool affectsHealth(const Exchange::AttemptResult &result)
{
    return result.succeeded
        || (result.error.kind != ErrorKind::CallerLeft
            && result.error.kind != ErrorKind::DeadlinePassed);
}

} // namespace

std::optional<LoadHeader> readLoadHeader(std::string_view text)
{
    LoadHeader header;
    bool hasWork = false;
    while (!text.empty()) {
        const std::string_view part = text.substr(0, text.find(';'));
        text.remove_prefix(std::min(part.size() + 1, text.size()));
        const std::size_t equals = part.find('=');
        if (equals == std::string_view::npos)
            return std::nullopt;
        const std::string_view name = part.substr(0, equals);
        const std::optional<double> value = readReportedNumber(part.substr(equals + 1));
        if (!value)
            return std::nullopt;
        if (name == "work") {
            header.work = Base::WorkUnits(*value);
            hasWork = true;
        } else if (name == "age") {
            const auto age = static_cast<std::int64_t>(*value);
            header.sampleAge = std::chrono::milliseconds(std::min(age, maxReportAgeMs));
        } else if (name == "capacity") {
            header.capacity = Base::WorkUnits(*value);
        } else if (name == "incarnation") {
            header.incarnation = Base::Incarnation(static_cast<std::uint64_t>(*value));
        }
    }
    if (!hasWork)
        return std::nullopt;
    return header;
}

Placer::Placer(const Options &options)
    : m_loop(*options.loop)
    , m_routing(options.routing)
    , m_queueOptions(options.queue)
{
    refresh();
}

Placer::~Placer()
{
    m_loop.timers().cancel(m_refreshTimer);
    if (m_serveTimer)
        m_loop.timers().cancel(*m_serveTimer);
}

void Placer::setPolicy(const Routing::Router::Options &routing,
                       const Routing::WaitQueue::Options &queue)
{
    m_routing.setPolicy(routing);
    m_queueOptions = queue;
    for (const auto &[pool, waiting] : m_queues)
        waiting->setOptions(queue);
}

void Placer::refresh()
{
    const Base::MonoTime now = m_loop.clock().now();
    m_routing.refresh(now);
    for (const auto &[pool, queue] : m_queues)
        queue->expire(now);
    serveWaiting();
    m_refreshTimer = m_loop.timers().start(Routing::Router::refreshInterval, [this] { refresh(); });
}

std::string Placer::poolOf(const Exchange::RouteQuery &query)
{
    return query.model.empty() ? Routing::servicePool(query.service)
                               : Routing::modelPool(query.model);
}

Routing::WaitQueue &Placer::queueFor(const Exchange::RouteQuery &query)
{
    std::unique_ptr<Routing::WaitQueue> &queue = m_queues[poolOf(query)];
    if (!queue) {
        queue = std::make_unique<Routing::WaitQueue>(m_queueOptions);
        queue->requestRejected = [this](std::uint64_t ticket, ErrorKind kind) {
            refuseWaiting(ticket, kind);
        };
    }
    return *queue;
}

Routing::RouteRequest Placer::makeRouteRequest(const Exchange::RouteQuery &query) const
{
    Routing::RouteRequest request{.pool = m_routing.endpoints().findPool(poolOf(query)),
                                  .chatHash = query.chatHash,
                                  .promptTokens = query.promptTokens,
                                  .expectedOutput = query.maxTokens,
                                  .priority =
                                      static_cast<std::uint8_t>(std::clamp(query.priority, 0, 255)),
                                  .repeatable = query.idempotent,
                                  .usesCache = !query.model.empty()};
    for (const Base::EndpointId &endpoint : query.avoid) {
        const Routing::EndpointIndex index = m_routing.endpoints().find(endpoint);
        if (index != Routing::noEndpoint)
            request.tried.add(index);
    }
    return request;
}

Routing::Decision Placer::choose(const Exchange::RouteQuery &query, Base::Duration waited)
{
    const Base::MonoTime started = m_loop.clock().now();
    std::optional<Routing::Placement> token;
    if (!query.placementToken.empty())
        token =
            m_routing.tokens().read(query.placementToken, query.chatHash, m_loop.clock().wallNow());
    Routing::RouteRequest request = makeRouteRequest(query);
    request.waited = waited;
    const Routing::Decision decision = m_routing.choose(request, token);
    if (decided)
        decided(m_loop.clock().now() - started, decision);
    return decision;
}

Exchange::Target Placer::send(const Exchange::RouteQuery &query, const Routing::Decision &decision)
{
    const std::uint64_t ticket = ++m_lastTicket;
    const auto prefill = static_cast<double>(
        std::max<std::int64_t>(0, query.promptTokens.value() - decision.expectedCached.value()));
    m_running.emplace(ticket,
                      RunningAttempt{m_routing.noteSent(decision, m_loop.clock().now()),
                                     Base::WorkUnits(prefill)});
    const Routing::EndpointInfo &info = m_routing.endpoints().info(decision.endpoint);
    Exchange::Target target{.endpoint = info.id,
                            .work = decision.work,
                            .expectedCached = decision.expectedCached,
                            .ticket = ticket};
    if (const auto address = Runtime::parseSocketAddress(info.address))
        target.address = address.value();
    if (query.hasChat && m_routing.tokens().enabled()) {
        const Routing::Placement placement{m_routing.endpoints().hash(decision.endpoint),
                                           query.promptTokens};
        target.placementToken = std::string(Routing::toView(
            m_routing.tokens().write(query.chatHash, placement, m_loop.clock().wallNow())));
    }
    return target;
}

Exchange::Refusal Placer::makeRefusal(ErrorKind kind, const Routing::WaitQueue &queue) const
{
    return {.error = {kind, {}, Errors::Ran::No},
            .retryAfter = queue.retryAfter(m_loop.clock().now())};
}

Exchange::CancelPlacement Placer::place(const Exchange::RouteQuery &query,
                                        std::function<void(Exchange::Placement)> placed)
{
    const Routing::Decision decision = choose(query, {});
    if (decision.outcome == Routing::Outcome::Send) {
        placed(send(query, decision));
        return {};
    }
    const std::uint64_t ticket = ++m_lastTicket;
    m_waiting.emplace(ticket,
                      WaitingRequest{query, std::move(placed), m_loop.clock().now(), nullptr});
    applyDecision(ticket, decision);
    return [this, ticket] {
        const auto found = m_waiting.find(ticket);
        if (found == m_waiting.end())
            return;
        if (found->second.queue)
            found->second.queue->remove(ticket);
        m_waiting.erase(found);
    };
}

/// Applies a decision for a waiting request that is in no queue.
void Placer::applyDecision(std::uint64_t ticket, const Routing::Decision &decision)
{
    if (decision.outcome == Routing::Outcome::Wait) {
        if (decision.reason == Routing::DecisionReason::WarmFull)
            scheduleWarmRetry(ticket);
        else
            enqueue(ticket);
        return;
    }
    const auto found = m_waiting.find(ticket);
    const WaitingRequest waiting = std::move(found->second);
    m_waiting.erase(found);
    if (decision.outcome == Routing::Outcome::Send)
        waiting.placed(send(waiting.query, decision));
    else
        waiting.placed(makeRefusal(decision.refusal, queueFor(waiting.query)));
}

void Placer::scheduleWarmRetry(std::uint64_t ticket)
{
    m_loop.timers().start(placementRetryInterval, [this, ticket] { retryPlacement(ticket); });
}

void Placer::retryPlacement(std::uint64_t ticket)
{
    const auto found = m_waiting.find(ticket);
    if (found == m_waiting.end())
        return;
    const Base::Duration waited = m_loop.clock().now() - found->second.waitingSince;
    applyDecision(ticket, choose(found->second.query, waited));
}

/// Estimates the work of a request. Assumes that none of its prompt is cached, as its endpoint is
/// not chosen yet.
Base::WorkUnits Placer::expectedWork(const Exchange::RouteQuery &query) const
{
    const auto prompt = static_cast<double>(query.promptTokens.value());
    const auto output = static_cast<double>(query.maxTokens.value());
    // The estimate of a service call may be zero, as it has no tokens.
    return Base::WorkUnits(std::max(1.0, prompt + m_routing.outputWeight() * output));
}

void Placer::enqueue(std::uint64_t ticket)
{
    WaitingRequest &waiting = m_waiting.find(ticket)->second;
    Routing::WaitQueue &queue = queueFor(waiting.query);
    waiting.queue = &queue;
    const auto refused = queue.push(
        {.ticket = ticket,
         .priority = static_cast<std::uint8_t>(std::clamp(waiting.query.priority, 0, 255)),
         .deadline = waiting.query.deadline,
         .workspace = waiting.query.workspace,
         .work = expectedWork(waiting.query)},
        m_loop.clock().now());
    if (refused)
        refuseWaiting(ticket, *refused);
}

void Placer::refuseWaiting(std::uint64_t ticket, ErrorKind kind)
{
    const auto found = m_waiting.find(ticket);
    if (found == m_waiting.end())
        return;
    const WaitingRequest waiting = std::move(found->second);
    m_waiting.erase(found);
    waiting.placed(makeRefusal(kind, *waiting.queue));
}

void Placer::serveWaiting()
{
    for (const auto &[pool, queue] : m_queues)
        serveQueue(*queue);
}

void Placer::scheduleServing()
{
    if (m_serveTimer)
        return;
    m_serveTimer = m_loop.timers().start({}, [this] {
        m_serveTimer.reset();
        serveWaiting();
    });
}

void Placer::serveQueue(Routing::WaitQueue &queue)
{
    while (const auto ticket = queue.front()) {
        const auto found = m_waiting.find(*ticket);
        const Base::Duration waited = m_loop.clock().now() - found->second.waitingSince;
        const Routing::Decision decision = choose(found->second.query, waited);
        if (decision.outcome == Routing::Outcome::Wait)
            return;
        queue.pop(m_loop.clock().now());
        const WaitingRequest waiting = std::move(found->second);
        m_waiting.erase(found);
        if (decision.outcome == Routing::Outcome::Send)
            waiting.placed(send(waiting.query, decision));
        else
            waiting.placed(makeRefusal(decision.refusal, queue));
    }
}

void Placer::attemptStarted(const Exchange::Target &target)
{
    if (m_running.contains(target.ticket))
        return;
    // A resumed stream continues on the same endpoint without a new decision.
    const Routing::EndpointIndex endpoint = m_routing.endpoints().find(target.endpoint);
    if (endpoint == Routing::noEndpoint)
        return;
    const Routing::Decision decision{
        .outcome = Routing::Outcome::Send, .endpoint = endpoint, .work = target.work};
    m_running.emplace(target.ticket,
                      RunningAttempt{m_routing.noteSent(decision, m_loop.clock().now()), {}});
}

void Placer::attemptProgressed(const Exchange::Target &target, Base::Tokens tokens, bool isFirst)
{
    const auto found = m_running.find(target.ticket);
    if (found == m_running.end())
        return;
    Base::WorkUnits done(m_routing.outputWeight() * static_cast<double>(tokens.value()));
    if (isFirst)
        done += found->second.prefill;
    m_routing.noteProgress(&found->second.sent, done, m_loop.clock().now());
}

void Placer::attemptEnded(const Exchange::AttemptResult &result)
{
    const auto found = m_running.find(result.ticket);
    if (found == m_running.end())
        return;
    const Base::MonoTime now = m_loop.clock().now();
    if (affectsHealth(result))
        m_routing.noteEnded(&found->second.sent, toExchangeResult(result), now);
    else
        m_routing.noteCancelled(&found->second.sent, now);
    m_running.erase(found);
    if (!m_waiting.empty())
        scheduleServing();
}

void Placer::loadReported(const Base::EndpointId &endpoint, std::string_view report)
{
    const Routing::EndpointIndex index = m_routing.endpoints().find(endpoint);
    const std::optional<LoadHeader> header = readLoadHeader(report);
    if (index == Routing::noEndpoint || !header)
        return;
    const Base::MonoTime now = m_loop.clock().now();
    m_routing.noteReport(index,
                         {.work = header->work,
                          .sampledAt = now - header->sampleAge,
                          .incarnation = header->incarnation},
                         header->capacity, now);
}

void Placer::chatServed(std::uint64_t chatHash, const Base::EndpointId &endpoint,
                        Base::Tokens cached)
{
    const Routing::EndpointIndex index = m_routing.endpoints().find(endpoint);
    if (index != Routing::noEndpoint)
        m_routing.noteServed(chatHash, index, cached);
}

} // namespace Lagoonbank::Router
