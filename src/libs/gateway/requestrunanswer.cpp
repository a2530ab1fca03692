#include "gateway/requestrun.h"

#include <utility>

namespace Lagoonbank::Gateway {

namespace {

using Errors::ErrorKind;

constexpr std::string_view part = "gateway";

bool isServerError(int status)
{
    return status >= 500;
}

} // namespace

Http::Hooks RequestRun::hooks()
{
    const std::weak_ptr<RequestRun> weak = weak_from_this();
    return {.sending =
                [weak] {
                    const auto self = weak.lock();
                    if (!self || !self->m_attempt)
                        return;
                    // The caller may have left while the connection was established. With an
                    // existing connection no time has passed since the last check.
                    const bool hasWaited = self->m_attempt->call != Http::CallId();
                    if (hasWaited && self->endIfCallerLeft())
                        return;
                    self->requestSent();
                },
            .headReceived =
                [weak](int status, const Http::Headers &headers) {
                    if (const auto self = weak.lock())
                        self->headReceived(status, headers);
                },
            .bodyReceived =
                [weak](std::string_view piece) {
                    if (const auto self = weak.lock())
                        self->bodyReceived(piece);
                },
            .finished =
                [weak](const Http::CallResult &result) {
                    if (const auto self = weak.lock())
                        self->callFinished(result);
                }};
}

void RequestRun::requestSent()
{
    m_attempt->mayHaveBeenSent = true;
    m_mayHaveRunAt.push_back(m_attempt->endpoint);
    m_mayHaveRunAtPeer = m_attempt->isRelayed;
    ++m_sendCount;
}

void RequestRun::attemptNotRun()
{
    m_mayHaveRunAt.pop_back();
    m_mayHaveRunAtPeer = false;
    if (!m_attempt->isRelayed || m_attempt->facts.peerRefusal.sends > 0)
        return;
    // No endpoint has received it, so that it counts neither as a send nor as a retry.
    --m_sendCount;
    if (std::exchange(m_isBudgetedRetry, false))
        m_gateway.m_retryBudget.refund(m_service, m_timers.clock().now());
}

/// Evaluates what the head of an answer says about the endpoint that produced it, and adapts the
/// head for whoever sent the request: a caller, or the peer that relayed it.
void RequestRun::readAnswerHead()
{
    Attempt &attempt = *m_attempt;
    const RelayProtocol &relay = m_gateway.m_options.relay;
    if (attempt.isRelayed) {
        attempt.headers = relay.headersForCaller(attempt.headers);
        readPeerReach();
        const EndpointPtr endpoint = m_gateway.m_endpoints.find(attempt.facts.endpoint);
        attempt.software = endpoint ? endpoint->certainSoftware() : onlySoftware();
        if (attempt.facts.software)
            attempt.software = *attempt.facts.software;
        if (endpoint)
            m_gateway.m_health.headReceived(*endpoint, attempt.facts, m_request.id);
        return;
    }
    if (m_request.relay)
        relay.addEndpoint(attempt.headers, attempt.endpoint->info.id, answeringSoftware());
    m_gateway.m_health.headReceived(*attempt.endpoint, attempt.facts, m_request.id);
    m_gateway.noteUndecodable(*attempt.endpoint, attempt.facts, m_request.id);
    if (attempt.facts.load) {
        m_reportedLoad = attempt.facts.load->running + attempt.facts.load->waiting;
        m_gateway.loadReported(*attempt.endpoint, *attempt.facts.load);
    }
}

void RequestRun::readPeerReach()
{
    const HeadFacts &facts = m_attempt->facts;
    if (facts.peerRefusal.hasNoEndpoint)
        ++m_cutOffPeerCount;
    if (!facts.endpoint.value().empty())
        m_gateway.m_peers.answered(m_service, *m_attempt->endpoint);
    else if (facts.isNotRun)
        m_gateway.m_peers.refused(m_service, *m_attempt->endpoint, facts.peerRefusal);
}

void RequestRun::headReceived(int status, const Http::Headers &headers)
{
    Attempt &attempt = *m_attempt;
    registry().recordContact(*attempt.endpoint, m_timers.clock().now());
    attempt.status = status;
    attempt.headers = headers;
    const EndpointProtocol &protocol =
        attempt.isRelayed ? m_gateway.m_options.relay.peer : m_gateway.m_options.protocol;
    attempt.facts = protocol.readHead(m_request, status, headers);
    readAnswerHead();
    const bool isGood = status >= 200 && status < 300 && attempt.facts.isOwn;
    attempt.isStreaming = isGood && m_route->kind == Fleet::RouteKind::Stream;
    // A peer of an older version resumes a stream at an endpoint of any version.
    const bool isOtherSoftware =
        attempt.isStreaming && m_software && answeringSoftware() != *m_software;
    const bool isAnswer =
        attempt.facts.isOwn || attempt.facts.isNotRun || attempt.facts.isOtherEndpoint;
    if (isAnswer && !isOtherSoftware)
        return;
    attemptFailed({.kind = ErrorKind::AnswerMismatch});
}

void RequestRun::bodyReceived(std::string_view piece)
{
    if (!m_attempt)
        return;
    if (!m_attempt->isStreaming) {
        m_answerBody.append(piece);
        m_gateway.limitAnswerMemory();
        return;
    }
    bool isInOrder = true;
    const bool isRead = m_eventSplitter.read(piece, [&](const EventSplitter::Event &event) {
        isInOrder = isInOrder && forwardEvent(event);
    });
    if (!isRead || !isInOrder) {
        attemptFailed({.kind = ErrorKind::EndpointBroke});
        return;
    }
    m_eventMemory.set(m_eventSplitter.memory());
    m_gateway.limitAnswerMemory();
}

void RequestRun::failLargeAnswer()
{
    const std::shared_ptr<RequestRun> self = shared_from_this(); // The gateway may drop the run.
    m_gateway.m_options.metrics->largeAnswers.increment();
    attemptFailed({.kind = ErrorKind::EndpointBroke});
}

/// Forwards a complete event. False if preceding events are missing: a stream that was moved has to
/// go on with the next event. Ids of one endpoint's events may have gaps; where they do, a missing
/// event cannot be told from a gap.
bool RequestRun::forwardEvent(const EventSplitter::Event &event)
{
    Attempt &attempt = *m_attempt;
    const Base::MonoTime now = m_timers.clock().now();
    if (event.id && m_lastEventId) {
        attempt.isRepeating = *event.id < *m_lastEventId;
        if (*event.id <= *m_lastEventId)
            return true; // The caller has already received this event.
        const bool hasGap = *event.id > *m_lastEventId + 1;
        if (hasGap && !attempt.hasEventId && !m_hasIdGaps)
            return false;
        m_hasIdGaps = m_hasIdGaps || hasGap;
    }
    if (!event.id && attempt.isRepeating)
        return true;
    if (event.id) {
        m_lastEventId = event.id;
        attempt.hasEventId = true;
    }
    if (!event.isComment)
        m_isLastEventWithoutId = !event.id;
    if (!m_hasStreamBegun) {
        m_hasStreamBegun = true;
        m_gateway.m_options.metrics->firstEvent.observe(Base::toSeconds(now - m_arrivedAt));
        m_responder->begin(attempt.status, attempt.headers);
        if (!m_software)
            m_software = answeringSoftware();
        streamBegan();
    }
    registry().recordContact(*attempt.endpoint, now);
    if (!attempt.lastEventAt && !attempt.isRelayed) {
        for (const PromptPrefix &prefix : m_prefixes)
            m_gateway.m_prompts.recordPrefillEnd(prefix.hash, attempt.endpoint->startHash, now);
    }
    if (attempt.lastEventAt)
        attempt.endpoint->pause.add(Base::toSeconds(now - *attempt.lastEventAt), now);
    else
        registry().answerTimed(*attempt.endpoint, now - attempt.startedAt, m_route->targetLatency,
                               now);
    attempt.lastEventAt = now;
    if (++attempt.eventCount == eventsOfBegunAnswer)
        answerBegan();
    m_lastActivityAt = now;
    m_lastForwardedAt = now;
    ++m_eventCount;
    m_responder->write(event.bytes);
    if (m_responder->queuedBytes() > Http::Responder::maxQueuedBytes)
        pauseAnswer();
    else if (monitorsSilence() && m_route->maxEventGap > Base::Duration::zero())
        armSilenceTimer(silenceLimit(false));
    return true;
}

void RequestRun::pauseAnswer()
{
    if (std::exchange(m_attempt->isPaused, true))
        return;
    m_gateway.m_options.client->setReading(m_attempt->call, false);
    if (m_silenceTimer) // Its endpoint may have sent more.
        m_timers.cancel(*std::exchange(m_silenceTimer, std::nullopt));
}

void RequestRun::callerHasRead()
{
    if (m_isEnded || !m_attempt || !std::exchange(m_attempt->isPaused, false))
        return;
    m_lastActivityAt = m_timers.clock().now();
    m_lastForwardedAt = m_lastActivityAt;
    if (monitorsSilence() && m_route->maxEventGap > Base::Duration::zero())
        armSilenceTimer(silenceLimit(false));
    m_gateway.m_options.client->setReading(m_attempt->call, true);
}

void RequestRun::callFinished(const Http::CallResult &result)
{
    if (!m_attempt || m_isEnded)
        return;
    m_attempt->framing = result.framing;
    m_attempt->isRequestWritten = result.isRequestWritten;
    m_attempt->isConnectionReused = result.isConnectionReused;
    const bool isReceived = result.end == Http::CallEnd::Whole;
    const AnswerEnd end = isReceived ? receivedEnd() : AnswerEnd::Broken;
    if (end == AnswerEnd::Complete) {
        answerCompleted();
        return;
    }
    if (end == AnswerEnd::Unmarked) {
        verifyEnd();
        return;
    }
    if (result.end == Http::CallEnd::TurnedAway) {
        health().requestRefused(*m_attempt->endpoint, false, m_request.id);
        attemptFailed({.kind = ErrorKind::EndpointRefused, .mayHaveRun = false});
        return;
    }
    const bool isNotConnected = result.end == Http::CallEnd::NotConnected;
    attemptFailed(
        {.kind = isNotConnected ? ErrorKind::EndpointUnreachable : ErrorKind::EndpointBroke,
         .mayHaveReached = !isNotConnected,
         .mayHaveRun = !isNotConnected,
         .isLocalResourceShortage = result.isLocalResourceShortage,
         .isConnectionBroken = !isNotConnected && !m_attempt->isRelayed});
}

AnswerEnd RequestRun::receivedEnd() const
{
    const Attempt &attempt = *m_attempt;
    // Nothing but the head counts of an answer that says that the request did not run.
    if (attempt.facts.isNotRun || attempt.facts.isOtherEndpoint)
        return AnswerEnd::Complete;
    return answerEnd({.isBodyComplete = true,
                      .framing = *attempt.framing,
                      .isStreaming = attempt.isStreaming,
                      .hasEvents = attempt.lastEventAt.has_value(),
                      .goesOn = m_hasStreamBegun,
                      .incompleteEventBytes = m_eventSplitter.remainder().size()});
}

void RequestRun::verifyEnd()
{
    if (m_silenceTimer)
        m_timers.cancel(*std::exchange(m_silenceTimer, std::nullopt));
    m_lastActivityAt = m_timers.clock().now(); // A probe of another endpoint may be in progress.
    m_gateway.m_processCheck.check(
        m_attempt->endpoint->info.address, m_attempt->startedAt,
        [weak = weak_from_this(), call = m_attempt->call](const ProcessState &state) {
            const auto self = weak.lock();
            const bool isCurrent = self && !self->m_isEnded && self->m_attempt;
            if (isCurrent && self->m_attempt->call == call)
                self->endVerified(state);
        });
}

void RequestRun::endVerified(const ProcessState &state)
{
    m_gateway.m_options.metrics->unmarkedEnds(state.evidence).increment();
    m_gateway.m_options.log->request(part, "Only the close of the connection marked the end.",
                                     {{"request", m_request.id.value()},
                                      {"endpoint", m_attempt->endpoint->info.id.value()},
                                      {"whole", state.isRunning()},
                                      {"evidence", toString(state.evidence)},
                                      {"evidence_age_ms", state.age},
                                      {"status", m_attempt->status},
                                      {"streaming", m_attempt->isStreaming},
                                      {"events_here", m_attempt->eventCount}});
    if (state.isRunning()) {
        answerCompleted();
        return;
    }
    if (!m_attempt->isRelayed)
        m_gateway.endpointHasEnded(*m_attempt->endpoint, toString(state.evidence), state.age);
    attemptFailed({.kind = ErrorKind::EndpointBroke, .isConnectionBroken = !m_attempt->isRelayed});
}

void RequestRun::answerCompleted()
{
    const Attempt &attempt = *m_attempt;
    const HeadFacts &facts = attempt.facts;
    if (facts.isNotRun || facts.isOtherEndpoint) {
        attemptNotRun();
        health().requestRefused(*m_attempt->endpoint, facts.isOtherEndpoint, m_request.id);
        if (!facts.isOtherEndpoint && !attempt.isRelayed)
            m_gateway.concurrencyLimit(m_service).rejected(m_timers.clock().now());
        attemptFailed({.kind = ErrorKind::EndpointRefused, .mayHaveRun = false});
        return;
    }
    const bool isFailure = isServerError(attempt.status);
    // An error status cannot be forwarded once the head of a stream was forwarded.
    const bool isUnusable = m_hasStreamBegun && !attempt.isStreaming;
    if (isUnusable || (isFailure && mayRetry())) {
        attemptFailed({.kind = ErrorKind::EndpointBroke});
        return;
    }
    // A peer that passes an endpoint's failure on has not failed itself.
    health().answered(*m_attempt->endpoint, !isFailure || attempt.isRelayed, m_request.id);
    if (!isFailure && !m_gateway.m_quarantine.isEmpty())
        m_gateway.m_quarantine.answered(fingerprint());
    const bool isGood = attempt.status >= 200 && attempt.status < 300;
    if (isGood && attempt.eventCount < eventsOfBegunAnswer)
        answerBegan();
    forwardAnswer();
}

void RequestRun::forwardAnswer()
{
    Attempt &attempt = *m_attempt;
    const Base::MonoTime now = m_timers.clock().now();
    const int status = attempt.status;
    m_gateway.m_loadShedder.requestEnded(admissionRequest(), now - attempt.startedAt);
    if (attempt.isStreaming) {
        if (!m_hasStreamBegun)
            m_responder->begin(status, attempt.headers);
        m_responder->end();
    } else {
        if (!isServerError(status)) {
            registry().answerTimed(*attempt.endpoint, now - attempt.startedAt,
                                   m_route->targetLatency, now);
        }
        m_responder->send(status, attempt.headers, m_answerBody.take());
    }
    m_gateway.countAnswer(status);
    end("answered", status);
}

} // namespace Lagoonbank::Gateway
