#include "gateway/peerrouters.h"

#include "routing/rendezvous.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace Lagoonbank::Gateway {

namespace {

/// Maximum number of peers that a refusal names.
constexpr std::size_t maxNamedPeers = 3;

const Base::ServiceId &peerService()
{
    static const Base::ServiceId service("routers");
    return service;
}

} // namespace

PeerRouters::PeerRouters(Options options)
    : m_options(std::move(options))
    , m_selfHash(Routing::stableHash(m_options.self.value()))
    , m_health({.registry = &m_registry, .clock = &m_options.timers->clock(), .log = m_options.log})
    , m_reachability(
          {.registry = &m_registry, .timers = m_options.timers, .check = m_options.check})
{ }

void PeerRouters::set(const std::vector<PeerRouter> &peers)
{
    absl::flat_hash_set<Base::EndpointId> ids;
    for (const PeerRouter &peer : peers) {
        const Base::EndpointId id(peer.id.value());
        ids.insert(id);
        m_registry.put({.id = id,
                        .service = peerService(),
                        .address = peer.address,
                        .dataCentre = peer.dataCentre},
                       now());
    }
    const std::vector<EndpointPtr> known = m_registry.endpoints(peerService()); // A copy.
    for (const EndpointPtr &peer : known) {
        if (!ids.contains(peer->info.id))
            m_registry.remove(peer->info.id, now());
    }
}

PeerChoice PeerRouters::choose(const Base::ServiceId &service,
                               const std::vector<EndpointPtr> &tried, bool mayRepeat)
{
    PeerReach &reach = reachOf(service);
    PeerChoice choice;
    std::vector<EndpointPtr> others;
    double lowestCost = 0;
    for (const EndpointPtr &peer : m_registry.endpoints(peerService())) {
        const bool isReaching = reach.state(peer->info.id) == PeerReach::State::Reaches;
        if (isReaching && peer->isInService())
            ++choice.reachingPeers;
        if (!isAvailable(peer, tried, mayRepeat))
            continue;
        if (!isReaching) {
            others.push_back(peer);
            continue;
        }
        const double ownCost = cost(*peer);
        if (choice.peer && ownCost >= lowestCost)
            continue;
        lowestCost = ownCost;
        choice.peer = peer;
    }
    reach.beginChoice(choice.reachingPeers > 0, now());
    const bool wantsMore = !choice.peer || choice.reachingPeers < reach.options().wantedPeers;
    const EndpointPtr trial = wantsMore && reach.mayTry() ? chooseTrial(reach, others) : nullptr;
    if (trial)
        choice.peer = trial;
    if (!choice.peer)
        return choice;
    reach.relayed(trial != nullptr);
    choice.reach = reach.state(choice.peer->info.id);
    choice.load = choice.peer->inFlight;
    if (m_registry.suspicion().state(choice.peer->index) != Routing::Suspicion::State::Healthy)
        m_registry.suspicion().noteTrialSent(choice.peer->index, now());
    return choice;
}

bool PeerRouters::isAvailable(const EndpointPtr &peer, const std::vector<EndpointPtr> &tried,
                              bool mayRepeat) const
{
    const bool isOpen = peer->takesRequests(now()) && now() >= peer->fullUntil
        && std::find(tried.begin(), tried.end(), peer) == tried.end();
    if (!isOpen)
        return false;
    const Routing::Suspicion &suspicion = m_registry.suspicion();
    return suspicion.state(peer->index) == Routing::Suspicion::State::Healthy
        || (mayRepeat && suspicion.admitsTrial(peer->index, now()));
}

double PeerRouters::cost(const EndpointRecord &peer) const
{
    // A peer whose latency is not known yet is expected to be as fast as the network allows.
    constexpr double minSeconds = 0.001;
    const double latency = peer.latency.value(0, now(), m_options.latencyHalfLife);
    return (1 + peer.inFlight) * std::max(minSeconds, latency);
}

/// Peers of unknown state come before those that were cut off, and the latter in the order of their
/// refusals. Among the former, a data centre with fewer refusals comes first, as a partition may
/// concern a whole one.
EndpointPtr PeerRouters::chooseTrial(const PeerReach &reach,
                                     const std::vector<EndpointPtr> &candidates) const
{
    std::map<Base::DataCentreId, int> refusals;
    for (const EndpointPtr &peer : m_registry.endpoints(peerService())) {
        if (reach.state(peer->info.id) == PeerReach::State::CutOff)
            ++refusals[peer->info.dataCentre];
    }
    const auto order = [&](const EndpointPtr &peer) {
        const auto learntAt = reach.learntAt(peer->info.id);
        const bool isRemote = peer->info.dataCentre != m_options.dataCentre;
        const auto refused = refusals.find(peer->info.dataCentre);
        return std::tuple(learntAt.value_or(Base::MonoTime::min()),
                          refused == refusals.end() ? 0 : refused->second, isRemote,
                          Routing::mixHashes(m_selfHash, peer->hash));
    };
    const auto first = std::min_element(
        candidates.begin(), candidates.end(),
        [&](const EndpointPtr &a, const EndpointPtr &b) { return order(a) < order(b); });
    return first == candidates.end() ? nullptr : *first;
}

double PeerRouters::latencyMs(const EndpointRecord &peer) const
{
    constexpr double msPerSecond = 1000;
    return msPerSecond * peer.latency.value(0, now(), m_options.latencyHalfLife);
}

PeerReach &PeerRouters::reachOf(const Base::ServiceId &service)
{
    return m_reach.try_emplace(service, m_options.reach).first->second;
}

void PeerRouters::answered(const Base::ServiceId &service, const EndpointRecord &peer)
{
    reachOf(service).answered(peer.info.id, now());
}

void PeerRouters::refused(const Base::ServiceId &service, const EndpointRecord &peer,
                          const RelayRefusal &refusal)
{
    PeerReach &reach = reachOf(service);
    const bool isBusy =
        !refusal.hasNoEndpoint && reach.state(peer.info.id) == PeerReach::State::Reaches;
    if (isBusy)
        return;
    reach.refused(peer.info.id, now());
    // Whoever knows a peer finds others itself, so that not all routers use the same few.
    if (!reachingPeers(service).empty())
        return;
    for (const std::string &name : refusal.reachingPeers) {
        const EndpointPtr named = m_registry.find(Base::EndpointId(name));
        if (named)
            reach.told(named->info.id, now());
    }
}

std::vector<std::string> PeerRouters::reachingPeers(const Base::ServiceId &service) const
{
    std::vector<std::string> ids;
    const auto reach = m_reach.find(service);
    if (reach == m_reach.end())
        return ids;
    // In an order that differs between routers, so that they don't name the same ones.
    std::map<std::uint64_t, const EndpointRecord *> reaching;
    for (const EndpointPtr &peer : m_registry.endpoints(peerService())) {
        const bool isReaching =
            peer->isInService() && reach->second.state(peer->info.id) == PeerReach::State::Reaches;
        if (isReaching)
            reaching.emplace(Routing::mixHashes(m_selfHash, peer->hash), peer.get());
    }
    for (const auto &[order, peer] : reaching) {
        if (ids.size() < maxNamedPeers)
            ids.push_back(peer->info.id.value());
    }
    return ids;
}

} // namespace Lagoonbank::Gateway
