#include "gateway/loadshedder.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace Lagoonbank::Gateway {

namespace {

/// Cost, in seconds, that is assumed for a route of which no request has ended yet. Streams of
/// engines last for seconds, plain calls for less.
constexpr double unknownCost = 1;
/// Weight of the newest request in the average cost of its route.
constexpr double costWeight = 0.05;
/// If a service has at least this many kinds, idle kinds are removed. The value is far above the
/// number of kinds that are in use at the same time.
constexpr std::size_t maxKinds = 256;
/// Served share from which all requests count as served, so that no slots need to be divided.
constexpr double allServedShare = 0.995;

} // namespace

double DecayingSum::value(Base::MonoTime now, Base::Duration halfLife) const
{
    if (m_sum <= 0)
        return 0;
    return m_sum * std::exp2(-Base::toSeconds(now - m_updatedAt) / Base::toSeconds(halfLife));
}

void DecayingSum::add(double value, Base::MonoTime now, Base::Duration halfLife)
{
    m_sum = this->value(now, halfLife) + value;
    m_updatedAt = now;
}

void LoadShedder::requestArrived(const AdmissionRequest &request, Base::MonoTime now)
{
    Service &service = m_services[request.service];
    removeIdleKinds(service, now);
    ++service.changes;
    service.all.arrivals.add(1, now, m_options.halfLife);
    service.kinds[{request.route, request.urgency}].arrivals.add(1, now, m_options.halfLife);
    service.workspaces[request.workspace].arrivals.add(1, now, m_options.workspaceHalfLife);
    service.workspaceArrivals.add(1, now, m_options.workspaceHalfLife);
    Route &route = service.routes[request.route];
    const auto decayed =
        std::chrono::duration_cast<Base::Duration>(route.remainingTimeout * m_options.timeoutDecay);
    route.remainingTimeout =
        std::max(request.remainingTimeout.value_or(Base::Duration::zero()), decayed);
}

void LoadShedder::requestAdmitted(const AdmissionRequest &request, Base::MonoTime now)
{
    Service &service = m_services[request.service];
    ++service.changes;
    service.all.admissions.add(1, now, m_options.halfLife);
    service.kinds[{request.route, request.urgency}].admissions.add(1, now, m_options.halfLife);
    service.workspaces[request.workspace].admissions.add(1, now, m_options.workspaceHalfLife);
}

void LoadShedder::requestEnded(const AdmissionRequest &request, Base::Duration held)
{
    Route &route = m_services[request.service].routes[request.route];
    const double seconds = Base::toSeconds(held);
    route.cost = route.cost ? *route.cost + costWeight * (seconds - *route.cost) : seconds;
}

double LoadShedder::usableShare(const AdmissionRequest &request, Base::MonoTime now)
{
    const auto found = m_services.find(request.service);
    if (found == m_services.end())
        return 1;
    Service &service = found->second;
    const double served = servedShare(service.all, now, m_options.halfLife);
    if (served >= allServedShare)
        return 1;
    double share = isWithinShare(service, request, now) ? 1 : 1 - m_options.reservedShare;
    if (!request.isPromptCached && served < m_options.scarceShare)
        share -= m_options.cachedReserve;
    if (isLateRetry(service, request))
        share -= m_options.fairnessReserve;
    const auto workspace = service.workspaces.find(request.workspace);
    if (workspace == service.workspaces.end())
        return share;
    if (isStarved(service, workspace->second, now))
        return std::min(1.0, share + m_options.fairnessReserve);
    return isGreedy(service, workspace->second, now) ? share - m_options.fairnessReserve : share;
}

bool LoadShedder::isWithinShare(Service &service, const AdmissionRequest &request,
                                Base::MonoTime now) const
{
    const auto own = service.kinds.find({request.route, request.urgency});
    if (own == service.kinds.end() || own->second.arrivals.value(now, m_options.halfLife) < 1)
        return true;
    if (areSharesStale(service, now))
        computeShares(service, now);
    return servedShare(own->second, now, m_options.halfLife) < own->second.share;
}

bool LoadShedder::areSharesStale(const Service &service, Base::MonoTime now) const
{
    return !service.sharesComputedAt || now - *service.sharesComputedAt >= m_options.maxShareAge
        || service.changes
        > m_options.maxShareChange * service.all.arrivals.value(now, m_options.halfLife);
}

void LoadShedder::computeShares(Service &service, Base::MonoTime now) const
{
    service.sharesComputedAt = now;
    service.changes = 0;
    std::vector<Demand> demands;
    demands.reserve(service.kinds.size());
    double supply = 0;
    for (const auto &[kind, tally] : service.kinds) {
        const auto route = service.routes.find(kind.first);
        const bool isCostKnown = route != service.routes.end() && route->second.cost;
        const double cost = isCostKnown ? *route->second.cost : unknownCost;
        demands.push_back({.urgency = kind.second,
                           .requests = tally.arrivals.value(now, m_options.halfLife),
                           .cost = cost});
        supply += cost * tally.admissions.value(now, m_options.halfLife);
    }
    const double served = servedShare(service.all, now, m_options.halfLife);
    const std::vector<double> shares = servedShares(demands, supply * m_options.headroom,
                                                    m_options.minShare * std::min(1.0, served));
    auto share = shares.begin();
    for (auto &[kind, tally] : service.kinds)
        tally.share = *share++;
}

Base::Duration LoadShedder::retryAfter(Base::Duration targetLatency)
{
    // Spread over 50% to 150% of the base value.
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    const double seconds = Base::toSeconds(targetLatency) * m_options.retryAfterShare;
    return std::chrono::duration_cast<Base::Duration>(
        std::chrono::duration<double>(seconds * spread(m_random)));
}

bool LoadShedder::isLateRetry(const Service &service, const AdmissionRequest &request)
{
    const auto route = service.routes.find(request.route);
    return request.remainingTimeout && route != service.routes.end()
        && *request.remainingTimeout + request.targetLatency < route->second.remainingTimeout;
}

/// Share of the recent requests that were admitted; 1 if there were none.
double LoadShedder::servedShare(const Tally &tally, Base::MonoTime now, Base::Duration halfLife)
{
    const double arrivals = tally.arrivals.value(now, halfLife);
    return arrivals <= 0 ? 1 : tally.admissions.value(now, halfLife) / arrivals;
}

bool LoadShedder::isStarved(const Service &service, const Tally &workspace,
                            Base::MonoTime now) const
{
    return workspace.arrivals.value(now, m_options.workspaceHalfLife) >= m_options.minRequests
        && servedShare(workspace, now, m_options.workspaceHalfLife)
        < m_options.starvedShare * servedShare(service.all, now, m_options.halfLife);
}

/// Whether the workspace sends far more than its fair share, which is the same for every workspace
/// that has sent requests. A single workspace is never greedy.
bool LoadShedder::isGreedy(const Service &service, const Tally &workspace, Base::MonoTime now) const
{
    const double arrivals = workspace.arrivals.value(now, m_options.workspaceHalfLife);
    if (arrivals < m_options.minRequests)
        return false;
    const double total = service.workspaceArrivals.value(now, m_options.workspaceHalfLife);
    const double fairShare = total / static_cast<double>(service.workspaces.size());
    return arrivals > m_options.greedyFactor * fairShare;
}

void LoadShedder::removeIdleKinds(Service &service, Base::MonoTime now) const
{
    if (service.kinds.size() < maxKinds)
        return;
    constexpr double idleArrivals = 0.01;
    std::erase_if(service.kinds, [&](const auto &entry) {
        return entry.second.arrivals.value(now, m_options.halfLife) < idleArrivals;
    });
}

} // namespace Lagoonbank::Gateway
