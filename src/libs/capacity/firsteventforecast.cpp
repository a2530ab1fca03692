#include "capacity/firsteventforecast.h"

#include <algorithm>

namespace Lagoonbank::Capacity {

void FirstEventForecast::requestSent(std::uint64_t request, Base::Tokens uncached,
                                     const Conditions &conditions, const ServicePrefill &service,
                                     Base::MonoTime now)
{
    // The correction must not count here: it contains the constant time until that has been learnt
    // from requests that found no prompt waiting.
    const Base::Duration queued = m_queue.waitTime(now, conditions.slowdown);
    m_sent[request] = {.uncached = uncached,
                       .conditions = conditions,
                       .foundIdle = queued <= m_options.idleWait,
                       .predicted = queued + ownTime(uncached, conditions, service),
                       .at = now};
    m_queue.setPace({.tokensPerMs = service.rate.tokensPerMs(), .slowdown = conditions.slowdown},
                    now);
    m_queue.requestSent(request, uncached, now);
}

void FirstEventForecast::firstEventReceived(std::uint64_t request, ServicePrefill &service,
                                            Base::MonoTime now)
{
    const auto found = m_sent.find(request);
    if (found == m_sent.end())
        return;
    const Sent sent = found->second;
    m_sent.erase(found);
    m_queue.firstEventReceived(request, now);
    const Base::Duration observed = now - sent.at;
    m_correction.observed(observed - sent.predicted, now);
    service.correction.observed(observed - sent.predicted, now);
    if (sent.foundIdle)
        service.rate.firstEventObserved(sent.uncached, observed - sent.conditions.network,
                                        sent.conditions.slowdown);
}

void FirstEventForecast::requestEnded(std::uint64_t request)
{
    m_sent.erase(request);
    m_queue.requestEnded(request);
}

void FirstEventForecast::peerPromptAnnounced(Base::Tokens uncached, Base::MonoTime now)
{
    m_queue.peerPromptAnnounced(uncached, now);
}

Base::Duration FirstEventForecast::waitTime(const Conditions &conditions,
                                            const ServicePrefill &service, Base::MonoTime now) const
{
    const Base::Duration correction = m_correction.value(now, service.correction.value(now));
    const Base::Duration known = m_queue.waitTime(now, conditions.slowdown);
    // First events also advance the queue, so an early one must not count twice in full.
    return std::max(known / 2, known + correction);
}

Base::Duration FirstEventForecast::timeToFirstEvent(Base::Tokens uncached,
                                                    const Conditions &conditions,
                                                    const ServicePrefill &service,
                                                    Base::MonoTime now) const
{
    return waitTime(conditions, service, now) + ownTime(uncached, conditions, service);
}

bool FirstEventForecast::mayTake(const Request &request, const Conditions &conditions,
                                 const ServicePrefill &service, Base::MonoTime now) const
{
    const Base::Duration wait = waitTime(conditions, service, now);
    if (wait <= m_options.idleWait)
        return true;
    if (request.waited + wait + ownTime(request.uncached, conditions, service)
        > service.kinds.usableTime(request.target))
        return false;
    const auto longest =
        service.kinds.longestWait(request.urgency, service.rate, conditions.slowdown, now);
    return !longest
        || wait + service.rate.prefillTime(request.uncached, conditions.slowdown) <= *longest;
}

bool FirstEventForecast::canServeWithin(Base::Duration remaining, Base::Tokens uncached,
                                        const Conditions &conditions, const ServicePrefill &service,
                                        Base::MonoTime now) const
{
    const Conditions best{.slowdown = 1, .network = conditions.network};
    return m_queue.queuedTime(now, 1) + ownTime(uncached, best, service) <= remaining;
}

Base::Duration FirstEventForecast::ownTime(Base::Tokens uncached, const Conditions &conditions,
                                           const ServicePrefill &service)
{
    const double constant = Base::toSeconds(service.rate.constantTime()) * conditions.slowdown;
    return conditions.network + Base::fromSeconds(constant)
        + service.rate.prefillTime(uncached, conditions.slowdown);
}

} // namespace Lagoonbank::Capacity
