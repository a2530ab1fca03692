#include "gateway/reachability.h"

#include <algorithm>
#include <utility>
#include <vector>

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

void Reachability::reportUnreachable(const EndpointPtr &endpoint)
{
    if (endpoint->isGone || endpoint->isUnreachable)
        return;
    setUnreachable(*endpoint, true);
    check(endpoint);
    checkOthers(*endpoint);
}

/// Checks a few random endpoints of the data centre that are neither marked as unreachable nor
/// being checked.
void Reachability::checkOthers(const EndpointRecord &failed)
{
    std::vector<EndpointPtr> others = m_options.registry->inDataCentre(failed.info.dataCentre);
    std::erase_if(others, [this](const EndpointPtr &other) {
        return other->isUnreachable || m_checking.contains(other->info.id);
    });
    std::shuffle(others.begin(), others.end(), m_random);
    others.resize(std::min(others.size(), m_options.checksPerFailure));
    for (const EndpointPtr &other : others)
        check(other);
}

void Reachability::check(const EndpointPtr &endpoint)
{
    m_checking.insert(endpoint->info.id);
    m_options.check(endpoint->info.address, m_options.checkTimeout,
                    [this, endpoint, isAlive = std::weak_ptr<bool>(m_isAlive)](bool isReachable) {
                        if (!isAlive.expired())
                            checkFinished(endpoint, isReachable);
                    });
}

void Reachability::checkFinished(const EndpointPtr &endpoint, bool isReachable)
{
    m_checking.erase(endpoint->info.id);
    if (const auto timer = m_timers.find(endpoint->info.id); timer != m_timers.end()) {
        m_options.timers->cancel(timer->second);
        m_timers.erase(timer);
    }
    if (endpoint->isGone)
        return;
    const bool isNewlyUnreachable = !isReachable && !endpoint->isUnreachable;
    setUnreachable(*endpoint, !isReachable);
    if (isReachable)
        return;
    if (isNewlyUnreachable)
        checkOthers(*endpoint);
    // Jitter of up to a quarter of the interval, so that routers do not check in step.
    std::uniform_int_distribution<Base::Duration::rep> jitter(0, m_options.interval.count() / 4);
    m_timers[endpoint->info.id] = m_options.timers->start(
        m_options.interval + Base::Duration(jitter(m_random)), [this, endpoint] {
            m_timers.erase(endpoint->info.id);
            check(endpoint);
        });
}

void Reachability::setUnreachable(EndpointRecord &endpoint, bool isUnreachable)
{
    if (endpoint.isUnreachable == isUnreachable)
        return;
    endpoint.isUnreachable = isUnreachable;
    if (reachabilityChanged)
        reachabilityChanged(endpoint);
}

} // namespace Lagoonbank::Gateway
