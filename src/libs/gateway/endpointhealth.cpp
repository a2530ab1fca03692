#include "gateway/endpointhealth.h"

#include <algorithm>
#include <utility>

namespace Lagoonbank::Gateway {

namespace {

constexpr std::string_view part = "gateway";

} // namespace

void EndpointHealth::answered(EndpointRecord &endpoint, bool isGood,
                              const Base::RequestId &request) const
{
    if (endpoint.isGone)
        return;
    using State = Routing::Suspicion::State;
    const Base::MonoTime now = m_options.clock->now();
    Routing::Suspicion &suspicion = m_options.registry->suspicion();
    const State before = suspicion.state(endpoint.index);
    m_options.registry->requestAccepted(endpoint, now);
    if (!isGood && before == State::Healthy && isInFailureBurst(endpoint, now))
        return;
    if (!isGood)
        endpoint.failedAt = now;
    endpoint.failures.add(isGood ? 0 : 1, now, m_options.failureWeight);
    const double share = endpoint.failures.value(0, now, m_options.failureHalfLife);
    const bool isHealthy = isGood || share < m_options.failureShareToSuspect;
    suspicion.noteResult(
        endpoint.index,
        isHealthy ? Routing::ExchangeResult::Answered : Routing::ExchangeResult::Broke, now);
    const State after = suspicion.state(endpoint.index);
    if (after == before || after == State::OnTrial)
        return;
    m_options.log->event(
        part, after == State::Healthy ? "An endpoint is healthy again." : "An endpoint is suspect.",
        {{"endpoint", endpoint.info.id.value()},
         {"request", request.value()},
         {"failure_share", share},
         {"in_flight", endpoint.inFlight}});
}

bool EndpointHealth::isInFailureBurst(const EndpointRecord &endpoint, Base::MonoTime now) const
{
    return endpoint.failedAt && now - *endpoint.failedAt < m_options.failureBurst;
}

void EndpointHealth::requestRefused(EndpointRecord &endpoint, bool isOtherEndpoint,
                                    const Base::RequestId &request) const
{
    if (!isOtherEndpoint) {
        const Base::MonoTime now = m_options.clock->now();
        endpoint.fullUntil = now + m_options.fullBackOff;
        m_options.registry->requestRefused(endpoint, now);
        return;
    }
    if (std::exchange(endpoint.notice.isReplaced, true))
        return;
    m_options.log->event(part, "Another endpoint answered at the address of an endpoint.",
                         {{"endpoint", endpoint.info.id.value()},
                          {"address", Runtime::toString(endpoint.info.address)},
                          {"request", request.value()}});
}

void EndpointHealth::headReceived(EndpointRecord &endpoint, const HeadFacts &facts,
                                  const Base::RequestId &request) const
{
    EndpointNotice &notice = endpoint.notice;
    if (facts.isLeaving && !std::exchange(notice.isLeaving, true)) {
        m_options.log->event(
            part, "An endpoint announced that it takes no new requests.",
            {{"endpoint", endpoint.info.id.value()}, {"request", request.value()}});
    }
    const Base::MonoTime now = m_options.clock->now();
    if (facts.isWarmingUp && !m_options.registry->isWarmingUp(endpoint, now))
        m_options.registry->becameCold(endpoint, now);
    if (!facts.backOffTime)
        return;
    notice.backOffUntil = std::max(notice.backOffUntil, now + *facts.backOffTime);
    m_options.log->request(part, "An endpoint asked this router to back off.",
                           {{"endpoint", endpoint.info.id.value()},
                            {"request", request.value()},
                            {"for_ms", *facts.backOffTime}});
}

} // namespace Lagoonbank::Gateway
