#include "gateway/loadshedder.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace Lagoonbank::Gateway {

namespace {

/// For a kind of which no request has ended yet; engines' streams last seconds, plain calls less.
constexpr double unknownCost = 1;
/// Weight of the last request in what one of its kind costs.
constexpr double costStep = 0.05;
/// Of kinds that are counted; far more than are asked for at once.
constexpr std::size_t mostKinds = 256;
/// All are served: nothing has to be divided.
constexpr double allServed = 0.995;

} // namespace

double DecayingSum::value(Base::MonoTime now, Base::Duration halfLife) const
{
    if (m_sum <= 0)
        return 0;
    return m_sum * std::exp2(-Base::toSeconds(now - m_at) / Base::toSeconds(halfLife));
}

void DecayingSum::add(double value, Base::MonoTime now, Base::Duration halfLife)
{
    m_sum = this->value(now, halfLife) + value;
    m_at = now;
}

void LoadShedder::requestArrived(const AdmissionRequest &admissionRequest, Base::MonoTime now)
{
    Service &service = m_services[admissionRequest.service];
    removeIdleKinds(service, now);
    ++service.changes;
    service.all.requestArrived.add(1, now, m_options.halfLife);
    service.kinds[{admissionRequest.route, admissionRequest.urgency}].requestArrived.add(
        1, now, m_options.halfLife);
    service.workspaces[admissionRequest.workspace].requestArrived.add(1, now,
                                                                      m_options.workspaceHalfLife);
    service.workspaceArrivals.add(1, now, m_options.workspaceHalfLife);
    Route &route = service.routes[admissionRequest.route];
    const auto kept =
        std::chrono::duration_cast<Base::Duration>(route.patience * m_options.patienceDecay);
    route.patience = std::max(admissionRequest.patience.value_or(Base::Duration::zero()), kept);
}

void LoadShedder::requestAdmitted(const AdmissionRequest &admissionRequest, Base::MonoTime now)
{
    Service &service = m_services[admissionRequest.service];
    ++service.changes;
    service.all.requestAdmitted.add(1, now, m_options.halfLife);
    service.kinds[{admissionRequest.route, admissionRequest.urgency}].requestAdmitted.add(
        1, now, m_options.halfLife);
    service.workspaces[admissionRequest.workspace].requestAdmitted.add(1, now,
                                                                       m_options.workspaceHalfLife);
}

void LoadShedder::requestEnded(const AdmissionRequest &admissionRequest, Base::Duration held)
{
    Route &route = m_services[admissionRequest.service].routes[admissionRequest.route];
    const double seconds = Base::toSeconds(held);
    route.cost = route.cost ? *route.cost + costStep * (seconds - *route.cost) : seconds;
}

double LoadShedder::usableShare(const AdmissionRequest &admissionRequest, Base::MonoTime now)
{
    const auto found = m_services.find(admissionRequest.service);
    if (found == m_services.end())
        return 1;
    Service &service = found->second;
    if (servedShare(service.all, now, m_options.halfLife) >= allServed)
        return 1;
    double share = isWithinShare(service, admissionRequest, now) ? 1 : 1 - m_options.reservedShare;
    if (isLateRetry(service, admissionRequest))
        share -= m_options.fairnessReserve;
    const auto workspace = service.workspaces.find(admissionRequest.workspace);
    if (workspace == service.workspaces.end())
        return share;
    if (isStarved(service, workspace->second, now))
        return std::min(1.0, share + m_options.fairnessReserve);
    return isGreedy(service, workspace->second, now) ? share - m_options.fairnessReserve : share;
}

bool LoadShedder::isWithinShare(Service &service, const AdmissionRequest &admissionRequest,
                                Base::MonoTime now) const
{
    const auto own = service.kinds.find({admissionRequest.route, admissionRequest.urgency});
    if (own == service.kinds.end() || own->second.requestArrived.value(now, m_options.halfLife) < 1)
        return true;
    if (areSharesStale(service, now))
        computeShares(service, now);
    return servedShare(own->second, now, m_options.halfLife) < own->second.share;
}

bool LoadShedder::areSharesStale(const Service &service, Base::MonoTime now) const
{
    return !service.sharesComputedAt || now - *service.sharesComputedAt >= m_options.maxShareAge
        || service.changes
        > m_options.maxShareChange * service.all.requestArrived.value(now, m_options.halfLife);
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
        const bool isKnown = route != service.routes.end() && route->second.cost;
        const double cost = isKnown ? *route->second.cost : unknownCost;
        demands.push_back({.urgency = kind.second,
                           .requests = tally.requestArrived.value(now, m_options.halfLife),
                           .cost = cost});
        supply += cost * tally.requestAdmitted.value(now, m_options.halfLife);
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
    // From half to one and a half of it.
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    const double seconds = Base::toSeconds(targetLatency) * m_options.retryAfterShare;
    return std::chrono::duration_cast<Base::Duration>(
        std::chrono::duration<double>(seconds * spread(m_random)));
}

bool LoadShedder::isLateRetry(const Service &service, const AdmissionRequest &admissionRequest)
{
    const auto route = service.routes.find(admissionRequest.route);
    return admissionRequest.patience && route != service.routes.end()
        && *admissionRequest.patience + admissionRequest.targetLatency < route->second.patience;
}

/// Of the requests that came lately; 1 where none did.
double LoadShedder::servedShare(const Tally &tally, Base::MonoTime now, Base::Duration halfLife)
{
    const double requestArrived = tally.requestArrived.value(now, halfLife);
    return requestArrived <= 0 ? 1 : tally.requestAdmitted.value(now, halfLife) / requestArrived;
}

bool LoadShedder::isStarved(const Service &service, const Tally &workspace,
                            Base::MonoTime now) const
{
    return workspace.requestArrived.value(now, m_options.workspaceHalfLife) >= m_options.minRequests
        && servedShare(workspace, now, m_options.workspaceHalfLife)
        < m_options.starvedShare * servedShare(service.all, now, m_options.halfLife);
}

/// Equal parts are of those that ask at all; one that is alone is never greedy.
bool LoadShedder::isGreedy(const Service &service, const Tally &workspace, Base::MonoTime now) const
{
    const double requestArrived = workspace.requestArrived.value(now, m_options.workspaceHalfLife);
    if (requestArrived < m_options.minRequests)
        return false;
    const double all = service.workspaceArrivals.value(now, m_options.workspaceHalfLife);
    const double equal = all / static_cast<double>(service.workspaces.size());
    return requestArrived > m_options.greedyFactor * equal;
}

void LoadShedder::removeIdleKinds(Service &service, Base::MonoTime now) const
{
    if (service.kinds.size() < mostKinds)
        return;
    constexpr double nobody = 0.01;
    std::erase_if(service.kinds, [&](const auto &entry) {
        return entry.second.requestArrived.value(now, m_options.halfLife) < nobody;
    });
}

} // namespace Lagoonbank::Gateway
