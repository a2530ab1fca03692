#include "gateway/loadshedder.h"

#include <algorithm>
#include <cmath>

namespace Lagoonbank::Gateway {

double DecayingCount::value(Base::MonoTime now, Base::Duration halfLife) const
{
    if (m_count <= 0)
        return 0;
    return m_count * std::exp2(-Base::toSeconds(now - m_at) / Base::toSeconds(halfLife));
}

void DecayingCount::add(Base::MonoTime now, Base::Duration halfLife)
{
    m_count = value(now, halfLife) + 1;
    m_at = now;
}

void LoadShedder::asked(const Claimant &claimant, Base::MonoTime now)
{
    ServiceTally &service = m_services[claimant.service];
    for (Tally *tally :
         {&service.all, &service.routes[claimant.route], &service.workspaces[claimant.workspace]})
        tally->asked.add(now, m_options.halfLife);
    Tally &route = service.routes[claimant.route];
    route.priority = claimant.priority;
    const auto kept =
        std::chrono::duration_cast<Base::Duration>(route.patience * m_options.patienceKept);
    route.patience = std::max(claimant.patience.value_or(Base::Duration::zero()), kept);
}

void LoadShedder::admitted(const Claimant &claimant, Base::MonoTime now)
{
    ServiceTally &service = m_services[claimant.service];
    for (Tally *tally :
         {&service.all, &service.routes[claimant.route], &service.workspaces[claimant.workspace]})
        tally->admitted.add(now, m_options.halfLife);
}

double LoadShedder::usableShare(const Claimant &claimant, Base::MonoTime now) const
{
    const auto service = m_services.find(claimant.service);
    if (service == m_services.end())
        return 1;
    int step = stepOf(service->second, claimant, now);
    const auto workspace = service->second.workspaces.find(claimant.workspace);
    if (workspace != service->second.workspaces.end()) {
        if (isStarved(service->second, workspace->second, now))
            return 1;
        step += isGreedy(service->second, workspace->second, now) ? 1 : 0;
    }
    const auto route = service->second.routes.find(claimant.route);
    if (route != service->second.routes.end()) {
        if (isStarved(service->second, route->second, now))
            return 1;
        step += isLate(route->second, claimant) ? 1 : 0;
    }
    return 1 - m_options.reservedPerStep * step;
}

Base::Duration LoadShedder::retryAfter(Base::Duration targetLatency)
{
    // From half to one and a half of it.
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    const double seconds = Base::toSeconds(targetLatency) * m_options.returnShare;
    return std::chrono::duration_cast<Base::Duration>(
        std::chrono::duration<double>(seconds * spread(m_random)));
}

int LoadShedder::stepOf(const ServiceTally &service, const Claimant &claimant,
                        Base::MonoTime now) const
{
    int mostUrgent = claimant.priority;
    for (const auto &[route, tally] : service.routes) {
        if (tally.asked.value(now, m_options.halfLife) >= 1)
            mostUrgent = std::min(mostUrgent, tally.priority);
    }
    return std::min(claimant.priority - mostUrgent, m_options.steps - 1);
}

bool LoadShedder::isLate(const Tally &route, const Claimant &claimant)
{
    return claimant.patience && *claimant.patience + claimant.targetLatency < route.patience;
}

/// Of the requests that came lately; 1 where none did.
double LoadShedder::servedShare(const Tally &tally, Base::MonoTime now) const
{
    const double asked = tally.asked.value(now, m_options.halfLife);
    return asked <= 0 ? 1 : tally.admitted.value(now, m_options.halfLife) / asked;
}

bool LoadShedder::isStarved(const ServiceTally &service, const Tally &tally,
                            Base::MonoTime now) const
{
    return tally.asked.value(now, m_options.halfLife) >= m_options.leastAsked
        && servedShare(tally, now) < m_options.starvedShare * servedShare(service.all, now);
}

/// Equal parts are of those that ask at all; one that is alone is never greedy.
bool LoadShedder::isGreedy(const ServiceTally &service, const Tally &workspace,
                           Base::MonoTime now) const
{
    const double asked = workspace.asked.value(now, m_options.halfLife);
    if (asked < m_options.leastAsked)
        return false;
    const auto others = static_cast<double>(service.workspaces.size());
    const double equal = service.all.asked.value(now, m_options.halfLife) / others;
    return asked > m_options.greedyFactor * equal;
}

} // namespace Lagoonbank::Gateway
