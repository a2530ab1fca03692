#include "gateway/peerrouters.h"

#include <absl/container/flat_hash_set.h>

#include <utility>

namespace Lagoonbank::Gateway {

namespace {

const Base::ServiceId &peerService()
{
    static const Base::ServiceId service("routers");
    return service;
}

} // namespace

PeerRouters::PeerRouters(Options options)
    : m_options(std::move(options))
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

PlacementResult PeerRouters::choose(const std::vector<EndpointPtr> &tried, bool mayRepeat)
{
    PlacementResult result = m_placement.choose(
        {.service = peerService(), .mayRepeat = mayRepeat, .triedEndpoints = tried}, m_registry,
        now());
    // Peers that have just refused a request reach no endpoint either.
    if (result.reason == PlacementReason::LastResort)
        result.endpoint = nullptr;
    return result;
}

double PeerRouters::latencyMs(const EndpointRecord &peer) const
{
    constexpr double msPerSecond = 1000;
    return msPerSecond * peer.latency.value(0, now(), Placement::Options().speedHalfLife);
}

} // namespace Lagoonbank::Gateway
