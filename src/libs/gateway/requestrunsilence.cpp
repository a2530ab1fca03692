#include "gateway/requestrun.h"

#include <memory>

// What a request does whose endpoint says nothing.

namespace Lagoonbank::Gateway {

namespace {

using Errors::ErrorKind;

/// Why a request stays: it has been at as many endpoints as its route allows, and that is for good.
constexpr std::string_view endpointsUsed = "endpoints_used";
constexpr std::string_view otherUnreachable = "other_unreachable";
constexpr std::string_view noRepeatLeft = "no_repeat_left";

} // namespace

bool RequestRun::monitorsSilence() const
{
    return m_route->mayRepeat() && m_gateway.m_options.policy.silence;
}

/// How long the endpoint may say nothing; \a isBusy if others have heard from it.
Base::Duration RequestRun::silenceLimit(bool isBusy) const
{
    const GatewayTimeouts &patience = m_gateway.m_options.patience;
    const bool isFirst = !m_attempt->lastEventAt;
    const Base::Duration whole = isFirst ? m_route->targetLatency : m_route->maxEventGap;
    const double share =
        isBusy ? patience.busyFactor : (isFirst ? patience.firstEventShare : patience.pauseShare);
    auto limit = std::chrono::duration_cast<Base::Duration>(whole * share);
    if (isFirst && m_request.prompt)
        limit += patience.perPromptToken * m_request.prompt->promptTokens.value();
    return limit;
}

void RequestRun::armSilenceTimer(Base::Duration limit)
{
    const Base::MonoTime silentAt = m_timers.clock().now() + limit;
    // A timer that is due too early arms itself again.
    const bool isArmed = m_silenceTimer && m_silenceTimerDue <= silentAt;
    m_silenceDeadline = silentAt;
    if (isArmed)
        return;
    if (m_silenceTimer)
        m_timers.cancel(*m_silenceTimer);
    m_silenceTimerDue = silentAt;
    m_silenceTimer = m_timers.start(limit, [this] {
        m_silenceTimer.reset();
        silenceTimerExpired();
    });
}

/// The endpoint of a request that may be repeated says nothing for too long.
void RequestRun::silenceTimerExpired()
{
    if (m_isEnded || !m_attempt)
        return;
    if (silenceLimit(false) <= Base::Duration::zero())
        return; // A stream that has begun, on a route that sets no limit to its pauses.
    const Base::Duration left = m_silenceDeadline - m_timers.clock().now();
    if (left > Base::Duration::zero()) {
        armSilenceTimer(left);
        return;
    }
    const Base::MonoTime busyUntil = m_lastActivityAt + silenceLimit(true);
    if (m_attempt->endpoint->lastContactAt > m_lastActivityAt
        && m_timers.clock().now() < busyUntil) {
        armSilenceTimer(busyUntil - m_timers.clock().now());
        return;
    }
    moveIfPossible();
}

void RequestRun::moveIfPossible()
{
    const std::string_view reason = reasonToStay();
    if (reason.empty())
        probeOtherEndpoint();
    else
        keepWaiting(reason);
}

void RequestRun::keepWaiting(std::string_view reason)
{
    m_stayReason = reason;
    if (m_stayReason != endpointsUsed)
        armSilenceTimer(silenceLimit(false));
}

/// Where the router's own link is full or cut, all endpoints look silent and none can be reached;
/// what comes from the one that has the request is then the best there is. With a connection to
/// another one first, such a router keeps the answers that it has: of 39,000 requests beside three
/// configurations that each filled the links, 10 answers were cut without it and none with it. It
/// costs a round trip, 1 ms.
void RequestRun::probeOtherEndpoint()
{
    const Base::MonoTime now = m_timers.clock().now();
    const PlacementResult other =
        m_gateway.m_placement.choose(placementRequest(), m_gateway.m_endpoints, now);
    if (!other.endpoint) {
        keepWaiting("no_other_endpoint");
        return;
    }
    // Streams of one endpoint fall silent together, and each counts for where the next one goes.
    auto held = std::make_shared<SlotReservation>(other.endpoint);
    m_gateway.m_options.client->check(
        other.endpoint->info.address, m_gateway.m_options.patience.connect,
        [weak = weak_from_this(), other, held = std::move(held),
         quietSince = m_lastActivityAt](bool isReachable) mutable {
            held.reset();
            const auto self = weak.lock();
            const bool isStillSilent = self && self->m_lastActivityAt == quietSince;
            if (isStillSilent && !self->m_isEnded && self->m_attempt)
                self->otherEndpointProbed(other, isReachable);
        });
}

void RequestRun::otherEndpointProbed(const PlacementResult &other, bool isReachable)
{
    if (!isReachable && m_gateway.m_options.policy.reachability) {
        m_gateway.m_reachability.reportUnreachable(other.endpoint);
        m_stayReason = otherUnreachable;
        moveIfPossible();
        return;
    }
    if (!isReachable) {
        keepWaiting(otherUnreachable);
        return;
    }
    const Base::MonoTime now = m_timers.clock().now();
    const bool isTaken = other.endpoint->takesRequests(now)
        && m_gateway.m_endpoints.admitsRequest(*other.endpoint, now);
    if (!isTaken) {
        moveIfPossible();
        return;
    }
    if (!mayRetry()) {
        keepWaiting(noRepeatLeft);
        return;
    }
    m_nextPlace = other;
    attemptFailed({.kind = ErrorKind::EndpointTimeout});
}

std::string_view RequestRun::reasonToStay()
{
    if (m_attempt->mayHaveBeenSent && isEndpointLimitReached())
        return endpointsUsed;
    const bool hasAlternative = m_gateway.m_placement.canPlace(
        placementRequest(), m_gateway.m_endpoints, m_timers.clock().now());
    if (!hasAlternative)
        return "no_other_endpoint";
    return mayRetry() ? std::string_view() : noRepeatLeft;
}

} // namespace Lagoonbank::Gateway
