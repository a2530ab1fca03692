#include "gateway/reachability.h"

#include <utility>

namespace Lagoonbank::Gateway {

Reachability::Reachability(Options options)
    : m_options(std::move(options))
    , m_random(static_cast<std::uint32_t>(m_options.randomSeed))
{ }

Reachability::~Reachability()
{
    for (const auto &[id, timer] : m_timers)
        m_options.timers->cancel(timer);
}

void Reachability::foundUnreachable(const EndpointPtr &endpoint)
{
    if (endpoint->isGone || endpoint->isUnreachable)
        return;
    setUnreachable(*endpoint, true);
    for (const EndpointPtr &other : m_options.book->inDataCentre(endpoint->info.dataCentre)) {
        if (!other->isUnreachable || other == endpoint)
            check(other);
    }
}

void Reachability::check(const EndpointPtr &endpoint)
{
    m_options.check(endpoint->info.address, m_options.checkTimeout,
                    [this, endpoint, isAlive = std::weak_ptr<bool>(m_isAlive)](bool isReachable) {
                        if (!isAlive.expired())
                            checked(endpoint, isReachable);
                    });
}

void Reachability::checked(const EndpointPtr &endpoint, bool isReachable)
{
    if (const auto timer = m_timers.find(endpoint->info.id); timer != m_timers.end()) {
        m_options.timers->cancel(timer->second);
        m_timers.erase(timer);
    }
    if (endpoint->isGone)
        return;
    setUnreachable(*endpoint, !isReachable);
    if (isReachable)
        return;
    // Up to a quarter later, so that routers do not check in step.
    std::uniform_int_distribution<Base::Duration::rep> extra(0, m_options.interval.count() / 4);
    m_timers[endpoint->info.id] = m_options.timers->start(
        m_options.interval + Base::Duration(extra(m_random)), [this, endpoint] {
            m_timers.erase(endpoint->info.id);
            check(endpoint);
        });
}

void Reachability::setUnreachable(EndpointRecord &endpoint, bool isUnreachable)
{
    if (endpoint.isUnreachable == isUnreachable)
        return;
    endpoint.isUnreachable = isUnreachable;
    if (changed)
        changed(endpoint);
}

} // namespace Lagoonbank::Gateway
