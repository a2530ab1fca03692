#include "gateway/requestrun.h"

#include <algorithm>
#include <utility>

// Failed attempts of a request, and whether it is tried again.

namespace Lagoonbank::Gateway {

namespace {

using Errors::ErrorKind;

constexpr std::string_view part = "gateway";
/// Maximum number of attempts of a request whose caller can still be refused.
constexpr std::size_t maxAttempts = 4;
/// Maximum number of endpoints that refuse a connection at once, beside these attempts. Entries of
/// endpoints that have gone, or of another writer, may outnumber the others.
constexpr std::size_t maxRefusedConnections = 32;
/// Maximum number of peers without endpoints that refuse a request. If five of six routers are cut
/// off, one of eight others is not with a probability of 0.8.
constexpr std::size_t maxCutOffPeers = 8;

} // namespace

/// Handles the failure of the current attempt: retries at another endpoint, or fails the request.
void RequestRun::attemptFailed(const Failure &failure)
{
    if (m_attempt)
        noteFailure(failure);
    if (isConnectionRefused(failure) && m_refusedConnectionCount < maxRefusedConnections)
        ++m_refusedConnectionCount;
    if (!failure.mayHaveReached && std::exchange(m_isBudgetedRetry, false))
        m_gateway.m_retryBudget.refund(m_service, m_timers.clock().now());
    const int eventsHere = m_attempt ? m_attempt->eventCount : 0;
    cancelAttempt();
    const bool isRetried = mayRetry();
    const FleetRetryBudget::Usage budget =
        m_gateway.m_retryBudget.usage(m_service, m_timers.clock().now());
    m_gateway.m_options.log->request(
        part, "Attempt failed.",
        {{"request", m_request.id.value()},
         {"asks", toString(fingerprint())},
         {"endpoint", m_triedEndpoints.back()->info.id.value()},
         {"software", m_triedEndpoints.back()->info.softwareVersion},
         {"kind", Errors::toString(failure.kind)},
         {"reached", failure.mayHaveReached},
         {"may_have_run", failure.mayHaveRun},
         {"own_lack", failure.isLocalResourceShortage},
         {"events", m_eventCount},
         {"events_here", eventsHere},
         {"parts", toString(parts())},
         {"goes_on", isRetried},
         {"quiet_ms", m_timers.clock().now() - m_lastActivityAt},
         {"all_quiet_ms", m_timers.clock().now() - m_gateway.m_endpoints.lastContactAt()},
         {"repeats_left", m_gateway.m_retryBudget.remaining(m_service, m_timers.clock().now())},
         {"service", m_service.value()},
         {"budget_requests", budget.requests},
         {"budget_repeats", budget.retries},
         {"budget_slack", budget.slack},
         {"left_ms", timeLeft()}});
    if (isRetried)
        retry(failure);
    else
        fail(failure);
}

bool RequestRun::mayRetry()
{
    if (areAttemptsUsed() || m_mayCauseQuarantine || timeLeft() < minAttemptTime)
        return false;
    if (m_isLastEventWithoutId)
        return false;
    if (!m_mayHaveRunAt.empty() && (!m_route->mayRepeat() || isEndpointLimitReached()))
        return false;
    const bool isRepeat = m_sendCount > 0;
    return !isRepeat || m_gateway.m_retryBudget.remaining(m_service, m_timers.clock().now()) >= 1;
}

/// Whether an endpoint refused a connection without delay, which costs the caller no time. One that
/// does not answer counts as an attempt, as does a lack of sockets of this router.
bool RequestRun::isConnectionRefused(const Failure &failure) const
{
    return m_attempt && !m_attempt->isRelayed && failure.kind == ErrorKind::EndpointUnreachable
        && !failure.isLocalResourceShortage
        && m_timers.clock().now() - m_attempt->startedAt < minAttemptTime;
}

/// Peers without endpoints refuse at once, and count in a limit of their own, as do endpoints that
/// refuse connections.
bool RequestRun::areAttemptsUsed() const
{
    // A started stream tries the same endpoints again and again, until its caller has timed out.
    const std::size_t uncounted =
        m_cutOffPeerCount + (m_hasStreamBegun ? 0 : m_refusedConnectionCount);
    const bool isLimitReached =
        m_triedEndpoints.size() - uncounted >= maxAttempts || m_cutOffPeerCount >= maxCutOffPeers;
    return isLimitReached && (!m_hasStreamBegun || hasCallerTimedOut());
}

bool RequestRun::isEndpointLimitReached() const
{
    const int earlier = m_request.relay ? m_request.relay->endpoints : 0;
    return m_mayHaveRunAtPeer
        || earlier + static_cast<int>(m_mayHaveRunAt.size()) >= m_route->maxEndpoints;
}

bool RequestRun::hasCallerTimedOut() const
{
    return m_timers.clock().now() >= callerTimeoutAt();
}

Base::MonoTime RequestRun::callerTimeoutAt() const
{
    const GatewayTimeouts &timeouts = m_gateway.m_options.timeouts;
    return m_lastForwardedAt
        + std::max({timeouts.callerTimeout, timeouts.callerTimeoutTargets * m_route->targetLatency,
                    timeouts.callerTimeoutPauses * m_route->maxEventGap});
}

void RequestRun::retry(const Failure &failure)
{
    m_isBudgetedRetry =
        m_sendCount > 0 && m_gateway.m_retryBudget.spend(m_service, m_timers.clock().now());
    m_gateway.m_options.metrics->repeats(failure.kind).increment();
    const std::optional<PlacementResult> next = std::exchange(m_nextPlacement, std::nullopt);
    if (!next)
        place();
    else if (!endIfCallerLeft())
        sendTo(*next);
}

void RequestRun::noteFailure(const Failure &failure)
{
    if (failure.isLocalResourceShortage)
        return;
    if (failure.isConnectionBroken)
        noteBrokenConnection();
    if (isConnectionRefused(failure))
        m_gateway.endpointHasEnded(*m_attempt->endpoint, "refused", {});
    if (!failure.mayHaveReached && m_gateway.m_options.policy.reachability)
        reachability().reportUnreachable(m_attempt->endpoint);
    else if (failure.mayHaveRun)
        health().answered(*m_attempt->endpoint, false, m_request.id);
}

} // namespace Lagoonbank::Gateway
