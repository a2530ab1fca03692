#include "gateway/requestrun.h"

#include <algorithm>

// Requests that may have crashed their endpoints.

namespace Lagoonbank::Gateway {

namespace {

using Errors::ErrorKind;

} // namespace

RequestFingerprint RequestRun::fingerprint()
{
    if (!m_fingerprint) {
        m_fingerprint =
            fingerprintOf(m_request, m_workspace ? m_workspace->name : Base::WorkspaceId());
    }
    return *m_fingerprint;
}

std::vector<PartHash> RequestRun::parts() const
{
    return m_request.prompt ? sharedParts(*m_request.prompt) : std::vector<PartHash>();
}

std::optional<Base::Duration> RequestRun::quarantineTimeLeft()
{
    m_quarantinedPart.reset();
    const RequestQuarantine &requests = m_gateway.m_quarantine;
    if (!requests.isEmpty()) {
        if (const auto left = requests.timeLeft(fingerprint(), m_timers.clock().now()))
            return left;
    }
    const PartQuarantine &partQuarantine = m_gateway.m_partQuarantine;
    if (partQuarantine.isEmpty())
        return std::nullopt;
    for (const PartHash part : parts()) {
        if (const auto left = partQuarantine.timeLeft(part)) {
            m_quarantinedPart = part;
            return left;
        }
    }
    return std::nullopt;
}

bool RequestRun::isQuarantined()
{
    const auto remaining = quarantineTimeLeft();
    if (!remaining)
        return false;
    fail({.kind = ErrorKind::RequestCrashes,
          .mayHaveReached = false,
          .mayHaveRun = false,
          .retryAfter = remaining});
    return true;
}

bool RequestRun::isWaitingForAnswer() const
{
    return !m_isEnded && m_attempt && !m_attempt->lastEventAt;
}

void RequestRun::quarantined(RequestFingerprint request)
{
    if (isWaitingForAnswer() && fingerprint() == request)
        failAsQuarantined();
}

void RequestRun::partQuarantined(PartHash part)
{
    if (!isWaitingForAnswer())
        return;
    const std::vector<PartHash> own = parts();
    if (std::find(own.begin(), own.end(), part) == own.end())
        return;
    m_quarantinedPart = part;
    failAsQuarantined();
}

void RequestRun::failAsQuarantined()
{
    cancelAttempt();
    fail({.kind = ErrorKind::RequestCrashes, .mayHaveRun = !m_mayHaveRunAt.empty()});
}

void RequestRun::noteBrokenConnection()
{
    const bool hasBegun = m_attempt->eventCount >= eventsOfBegunAnswer;
    m_gateway.m_crashWatch.answerBroke(
        m_attempt->endpoint, {.request = fingerprint(), .parts = parts(), .hasBegun = hasBegun});
    const bool isStale = m_attempt->isConnectionReused && m_attempt->status == 0;
    m_gateway.connectionBroke(m_attempt->endpoint, m_attempt->startedAt, isStale);
    m_mayCauseQuarantine = !hasBegun
        && m_gateway.m_quarantine.wouldQuarantine(
            {.request = fingerprint(), .endpoint = m_attempt->endpoint->startHash},
            m_timers.clock().now());
}

void RequestRun::answerBegan()
{
    if (!m_attempt->isRelayed && m_request.prompt)
        m_gateway.m_partQuarantine.begun(parts());
}

} // namespace Lagoonbank::Gateway
