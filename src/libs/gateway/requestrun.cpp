#include "gateway/requestrun.h"

#include "routing/rendezvous.h"

#include <algorithm>
#include <utility>

namespace Lagoonbank::Gateway {

namespace {

using Errors::ErrorKind;
using Errors::Ran;

constexpr std::string_view part = "gateway";
/// Timeout of requests for which neither the caller nor the route sets one. Callers usually time
/// out far earlier.
constexpr Base::Duration defaultTimeout = std::chrono::minutes(10);
/// Minimum age of a request, or delay of the event loop, at which the router checks for an unread
/// close of the caller's connection. The close may be queued behind the request itself, or behind
/// other work of a delayed event loop. The check takes 0.2 to 0.6 us, compared to 25 us for a
/// proxied request (bench/socketlook, bench/http). Younger requests are not checked, as callers
/// wait 150 ms or more.
constexpr Base::Duration closeCheckAge = std::chrono::milliseconds(50);
/// Maximum number of idle connections to one endpoint. More requests are seldom sent to it at once.
constexpr std::size_t maxIdleConnections = 32;
/// Size of the receive buffer of connections to endpoints. It allows for 1.3 MB/s over a round trip
/// of 50 ms.
constexpr int receiveBufferBytes = 64 * 1024;

} // namespace

RequestRun::RequestRun(Gateway &gateway, CallerRequest request,
                       std::shared_ptr<Http::Responder> responder)
    : m_gateway(gateway)
    , m_timers(gateway.m_options.loop->timers())
    , m_request(std::move(request))
    , m_responder(std::move(responder))
    , m_configuration(gateway.m_configuration)
    , m_requestHash(Routing::stableHash(m_request.id.value()))
    , m_arrivedAt(m_request.arrivedAt.value_or(m_timers.clock().now()))
    , m_deadline(m_arrivedAt + defaultTimeout)
    , m_answerBody(gateway.m_answerMemory)
    , m_eventMemory(gateway.m_answerMemory)
{ }

RequestRun::~RequestRun()
{
    if (m_deadlineTimer)
        m_timers.cancel(*m_deadlineTimer);
    if (m_silenceTimer)
        m_timers.cancel(*m_silenceTimer);
    if (m_placementTimer)
        m_timers.cancel(*m_placementTimer);
    leaveQueue();
}

void RequestRun::start()
{
    m_responder->setDisconnectHandler([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->callerLeft();
    });
    m_responder->setDrainHandler([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->callerHasRead();
    });
    if (m_request.relay)
        m_software = m_request.relay->software;
    if (m_isEnded || !isAdmitted() || isQuarantined() || !passesBacklogControl())
        return;
    m_deadlineTimer = m_timers.start(m_deadline - m_timers.clock().now(), [this] {
        m_deadlineTimer.reset();
        deadlinePassed();
    });
    const Base::MonoTime now = m_timers.clock().now();
    m_gateway.m_loadShedder.requestArrived(admissionRequest(), now);
    if (now - m_arrivedAt >= minAttemptTime && timeLeft() < minAttemptTime) {
        // The request was unread for so long that the caller's timeout is used up.
        fail({.kind = ErrorKind::Overloaded, .mayHaveReached = false, .mayHaveRun = false});
        return;
    }
    m_prefixes = sharedPrefixes();
    m_size = memorySize();
    if (exceedsMemory())
        return;
    if (m_software || !isCallerResuming())
        place();
    else
        findSoftware();
}

bool RequestRun::endIfCallerLeft()
{
    const Base::Duration age = m_timers.clock().now() - m_arrivedAt;
    if (age < closeCheckAge && m_gateway.m_options.loop->lag().current() < closeCheckAge)
        return false;
    const std::shared_ptr<RequestRun> self = shared_from_this();
    m_responder->checkForDisconnect();
    if (m_isEnded)
        m_gateway.m_options.metrics->disconnectedUnread.increment();
    return m_isEnded;
}

void RequestRun::drop()
{
    m_isEnded = true;
    cancelAttempt();
    m_responder->setDisconnectHandler(nullptr);
    m_responder->abort();
}

bool RequestRun::isAdmitted()
{
    if (!m_configuration || !m_gateway.m_areQuarantinesKnown) {
        refuse(ErrorKind::NotReady, Ran::No, m_gateway.m_options.timeouts.retryAfter);
        return false;
    }
    m_route = m_configuration->findRoute(m_request.host, m_request.path);
    if (!m_route) {
        refuse(ErrorKind::NotFound, Ran::No);
        return false;
    }
    if (m_configuration->hasWorkspaces() && m_request.key)
        m_workspace = m_configuration->findWorkspace(*m_request.key);
    const bool needsKey = m_configuration->hasWorkspaces() && !m_route->isAnonymous;
    if (needsKey && !m_workspace) {
        refuse(m_request.key ? ErrorKind::UnknownKey : ErrorKind::MissingKey, Ran::No);
        return false;
    }
    m_priority = m_workspace && m_workspace->priority ? *m_workspace->priority : m_route->priority;
    m_service = Fleet::serviceFor(*m_route, stream().value());
    if (m_request.remainingTimeout)
        m_deadline = std::min(m_deadline, m_arrivedAt + *m_request.remainingTimeout);
    if (m_route->timeout > Base::Duration::zero())
        m_deadline = std::min(m_deadline, m_arrivedAt + m_route->timeout);
    return true;
}

/// Called as soon as the urgency of the request is known, before more time is spent on it: before
/// the prompt is hashed, an endpoint is chosen or a timer is started.
bool RequestRun::passesBacklogControl()
{
    const Base::MonoTime now = m_timers.clock().now();
    if (!m_request.relay) // The peer has counted it.
        m_gateway.m_retryBudget.requestArrived(m_service, now);
    const Base::Duration delay = m_gateway.ownDelay();
    if (m_gateway.m_backlog.admits(admissionRequest(), delay, now))
        return true;
    refuse(ErrorKind::Overloaded, Ran::No, m_gateway.m_backlog.retryAfter(delay));
    return false;
}

Base::Duration RequestRun::timeLeft() const
{
    return m_deadline - m_timers.clock().now();
}

std::optional<std::uint64_t> RequestRun::resumeAfter() const
{
    return m_lastEventId ? m_lastEventId : m_request.resumeAfter;
}

EndpointRegistry &RequestRun::registry() const
{
    return m_attempt->isRelayed ? m_gateway.m_peers.registry() : m_gateway.m_endpoints;
}

EndpointHealth &RequestRun::health() const
{
    return m_attempt->isRelayed ? m_gateway.m_peers.health() : m_gateway.m_health;
}

Reachability &RequestRun::reachability() const
{
    return m_attempt->isRelayed ? m_gateway.m_peers.reachability() : m_gateway.m_reachability;
}

void RequestRun::beginAttempt(const EndpointPtr &endpoint, bool isRelayed)
{
    m_queuedAt.reset();
    m_awaitsMemory = false;
    m_gateway.m_tokenReservations.release(m_requestHash);
    m_triedEndpoints.push_back(endpoint);
    Attempt attempt;
    attempt.endpoint = endpoint;
    attempt.software = endpoint->certainSoftware();
    attempt.isRelayed = isRelayed;
    attempt.startedAt = m_timers.clock().now();
    m_attempt = std::move(attempt);
    registry().requestSent(*endpoint, m_attempt->startedAt);
    discardAnswer();
    m_incompleteEventBytes = 0;
}

void RequestRun::send(const EndpointPtr &endpoint, const CacheSource &cacheSource)
{
    beginAttempt(endpoint, false);
    noteMemoryUse();
    m_attempt->isPromptNew = m_gateway.notePrompt(m_prefixes, *endpoint, cacheSource.isConfirmed);
    Http::Call call = m_gateway.m_options.protocol.makeCall(
        {.request = &m_request,
         .endpoint = &endpoint->info,
         .workspace = m_workspace ? m_workspace->name : Base::WorkspaceId(),
         .timeLeft = std::max(timeLeft(), Base::Duration::zero()),
         .priority = m_priority,
         .resumeAfter = resumeAfter(),
         .cacheSource = cacheSource.endpoint ? &cacheSource.endpoint->info : nullptr});
    // Up to half of the connections may be idle; the other half is left for requests in flight.
    if (const auto share = m_gateway.connectionShare(m_service))
        call.maxIdle = std::min(maxIdleConnections, std::max<std::size_t>(1, *share / 2));
    startCall(std::move(call));
}

void RequestRun::startCall(Http::Call call)
{
    call.freshConnection = !m_route->mayRepeat();
    call.connectTimeout = m_gateway.m_options.timeouts.connect;
    call.settleTime = m_gateway.m_options.timeouts.settle;
    call.receiveBufferBytes = receiveBufferBytes;
    // The run's own timers limit the answer.
    call.headTimeout = defaultTimeout;
    call.progressTimeout = defaultTimeout;
    call.totalTimeout = defaultTimeout;
    m_lastActivityAt = m_attempt->startedAt;
    if (monitorsSilence() && m_route->targetLatency > Base::Duration::zero())
        armSilenceTimer(silenceLimit(false));
    m_attempt->call = m_gateway.m_options.client->start(std::move(call), hooks());
}

void RequestRun::fail(const Failure &failure)
{
    if (m_hasStreamBegun) {
        m_responder->abort();
        end("cut", 0);
        return;
    }
    const bool mayHaveRun = failure.mayHaveRun || !m_mayHaveRunAt.empty();
    if (mayHaveRun) {
        refuse(failure.kind, Ran::Unknown);
        return;
    }
    const bool lacksCapacity =
        failure.kind == ErrorKind::Overloaded || failure.kind == ErrorKind::EndpointRefused;
    if (lacksCapacity)
        refuse(failure.kind, Ran::No, m_gateway.m_loadShedder.retryAfter(m_route->targetLatency));
    else
        refuse(failure.kind, Ran::No,
               failure.retryAfter.value_or(m_gateway.m_options.timeouts.retryAfter));
}

void RequestRun::refuse(ErrorKind kind, Ran ran, std::optional<Base::Duration> retryAfter)
{
    m_gateway.countRefusal(kind);
    if (m_gateway.m_options.log->shouldLogRequest()) {
        m_gateway.m_options.log->request(
            part, "Refused.",
            {{"request", m_request.id.value()},
             {"asks", toString(fingerprint())},
             {"kind", Errors::toString(kind)},
             {"ran", Errors::toString(ran)},
             {"host", m_request.host},
             {"path", m_request.path},
             {"revision", m_configuration ? m_configuration->revision().value() : 0},
             {"knowledge_age_ms", m_gateway.knowledgeAgeMs()},
             // If this exceeds the target of BacklogControl, the router itself was overloaded.
             {"own_delay_ms", m_gateway.ownDelay()},
             {"prompt_part", m_quarantinedPart ? toString(*m_quarantinedPart) : std::string()},
             {"retry_after_ms", retryAfter.value_or(Base::Duration::zero())}});
    }
    m_gateway.m_options.refuse(
        *m_responder,
        {.kind = kind, .ran = ran, .retryAfter = retryAfter, .forPeer = relayRefusal(kind)});
    end("refused", 0);
}

std::optional<RelayRefusal> RequestRun::relayRefusal(ErrorKind kind) const
{
    if (!m_request.relay)
        return std::nullopt;
    const bool isFull = kind == ErrorKind::Overloaded || kind == ErrorKind::EndpointRefused;
    const bool hasNoEndpoint =
        kind == ErrorKind::NoEndpoint || (isFull && m_gateway.isMostlyCutOffFrom(m_service));
    RelayRefusal refusal{.sends = m_sendCount, .hasNoEndpoint = hasNoEndpoint};
    if (refusal.hasNoEndpoint)
        refusal.reachingPeers = m_gateway.m_peers.reachingPeers(m_service);
    return refusal;
}

void RequestRun::callerLeft()
{
    if (m_isEnded)
        return;
    end("caller_left", 0);
}

void RequestRun::deadlinePassed()
{
    if (m_isEnded)
        return;
    const bool isInFlight = m_attempt && m_attempt->mayHaveBeenSent;
    const bool isLate =
        m_timers.clock().now() >= m_deadline + m_gateway.m_options.timeouts.timeoutGrace;
    if (isInFlight && !isLate) {
        // The endpoint has the same deadline and is about to report the timeout itself.
        m_deadlineTimer = m_timers.start(m_gateway.m_options.timeouts.timeoutGrace, [this] {
            m_deadlineTimer.reset();
            deadlinePassed();
        });
        return;
    }
    if (m_attempt && !m_attempt->isPaused)
        health().answered(*m_attempt->endpoint, false, m_request.id);
    cancelAttempt();
    const bool mayHaveRun = !m_mayHaveRunAt.empty();
    fail({.kind = mayHaveRun ? ErrorKind::EndpointTimeout : ErrorKind::EndpointUnreachable,
          .mayHaveRun = mayHaveRun});
}

void RequestRun::cancelAttempt()
{
    if (!m_attempt)
        return;
    // An endpoint cancels the prefill of a request that is cancelled.
    if (m_attempt->isPromptNew && !m_attempt->lastEventAt)
        m_gateway.m_prompts.drop(m_prefixes.back().hash, m_attempt->endpoint->startHash);
    m_gateway.m_options.client->cancel(m_attempt->call);
    m_incompleteEventBytes = m_eventSplitter.remainder().size();
    discardAnswer();
    releaseEndpoint();
}

void RequestRun::discardAnswer()
{
    m_answerBody.take();
    m_eventSplitter.clear();
    m_eventMemory.set(0);
}

void RequestRun::releaseEndpoint()
{
    if (!m_attempt)
        return;
    registry().requestEnded(*m_attempt->endpoint);
    if (m_attempt->size)
        m_attempt->endpoint->kvCache.requestEnded(*m_attempt->size);
    m_gateway.m_admissionQueue.slotMayBeFree(m_attempt->endpoint->info.service);
    m_attempt.reset();
}

void RequestRun::end(std::string_view outcome, int status)
{
    if (m_isEnded)
        return;
    const std::shared_ptr<RequestRun> self = shared_from_this();
    m_isEnded = true;
    const Base::MonoTime now = m_timers.clock().now();
    m_gateway.m_options.metrics->requestTime.observe(Base::toSeconds(now - m_arrivedAt));
    if (m_gateway.m_options.log->shouldLogRequest())
        logEnd(outcome, status, now);
    cancelAttempt();
    leaveQueue();
    m_gateway.m_runs.erase(self);
    m_gateway.m_options.metrics->inFlight.set(static_cast<double>(m_gateway.m_runs.size()));
}

void RequestRun::logEnd(std::string_view outcome, int status, Base::MonoTime now) const
{
    const bool isIncomplete = m_attempt && outcome != "answered";
    const bool isUnmonitored = isIncomplete && m_route && !monitorsSilence();
    const std::optional<Http::Framing> framing = m_attempt ? m_attempt->framing : std::nullopt;
    m_gateway.m_options.log->request(
        part, "Ended.",
        {{"request", m_request.id.value()},
         {"outcome", outcome},
         {"status", status},
         {"route", m_route ? m_route->name : std::string_view()},
         {"workspace", m_workspace ? m_workspace->name.value() : std::string_view()},
         {"endpoint",
          m_triedEndpoints.empty() ? std::string_view() : m_triedEndpoints.back()->info.id.value()},
         {"sends", m_sendCount},
         {"events", m_eventCount},
         {"framing", framing ? Http::toString(*framing) : std::string_view()},
         {"request_written", m_attempt && m_attempt->isRequestWritten},
         {"incomplete_event_bytes",
          std::max(m_eventSplitter.remainder().size(), m_incompleteEventBytes)},
         {"found_load", m_reportedLoad},
         // For an incomplete answer: how long the endpoint had been silent, and why the request was
         // not moved to another endpoint.
         {"quiet_ms", isIncomplete ? now - m_lastActivityAt : Base::Duration::zero()},
         {"stayed", isUnmonitored ? std::string_view("not_repeatable") : m_stayReason},
         {"took_ms", now - m_arrivedAt}});
}

} // namespace Lagoonbank::Gateway
