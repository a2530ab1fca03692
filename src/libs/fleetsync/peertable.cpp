#include "fleetsync/peertable.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace Lagoonbank::FleetSync {

PeerTable::PeerTable(Options options)
    : m_options(std::move(options))
    , m_random(m_options.randomSeed)
{ }

const Peer *PeerTable::add(const std::string &id, const std::string &dataCentre,
                           const Runtime::SocketAddress &address, std::uint32_t strength)
{
    if (id == m_options.id)
        return nullptr;
    Peer &peer = m_peers[id];
    if (peer.lastBeaconAt)
        return nullptr; // Its own beacons are newer than the registry.
    const bool isNew = peer.id.empty();
    peer.id = id;
    peer.dataCentre = dataCentre;
    peer.address = address;
    peer.strength = strength;
    if (isNew)
        countRouter(dataCentre);
    return &peer;
}

const Peer &PeerTable::receive(const std::string &fromIp, const Schema::FleetBeacon &beacon,
                               Base::MonoTime earliestArrival, bool &isNew)
{
    Peer &peer = m_peers[beacon.router];
    const bool isFirstSeen = peer.id.empty();
    isNew = !peer.lastBeaconAt;
    peer.id = beacon.router;
    peer.dataCentre = beacon.dataCentre;
    peer.address = {fromIp, static_cast<std::uint16_t>(beacon.port)};
    peer.lastBeaconAt = earliestArrival;
    peer.strength = beacon.strength;
    peer.isLeading = beacon.isLeading;
    peer.isReading = beacon.isReading;
    peer.isLeaving = beacon.isLeaving;
    peer.isWaiting = beacon.isWaiting;
    peer.hasState = beacon.knowledgeAgeMs != std::numeric_limits<std::uint32_t>::max();
    peer.stateAsOf = earliestArrival
        - (isLocal(peer) ? m_options.localTransit : m_options.remoteTransit)
        - std::chrono::milliseconds(peer.hasState ? beacon.knowledgeAgeMs : 0);
    peer.configuration = beacon.configuration;
    peer.endpoints = beacon.endpoints;
    peer.standbys = beacon.standbys;
    if (isFirstSeen)
        countRouter(peer.dataCentre);
    return peer;
}

bool PeerTable::isAlive(const Peer &peer) const
{
    return peer.lastBeaconAt && m_options.clock->now() - *peer.lastBeaconAt < beaconTimeout(peer);
}

Base::Duration PeerTable::beaconTimeout(const Peer &peer) const
{
    Base::Duration interval = m_options.beaconInterval;
    if (!isLocal(peer)) {
        const auto others = static_cast<double>(otherDataCentreCount());
        interval = std::chrono::duration_cast<Base::Duration>(
            interval * std::max(1.0, others / static_cast<double>(m_options.contactCount)));
    } else if (!isStandbyOf(peer)) {
        interval = localInterval();
    }
    return std::chrono::duration_cast<Base::Duration>(interval * m_options.missedIntervals);
}

bool PeerTable::isStronger(const Peer &peer) const
{
    if (peer.strength != m_options.strength)
        return peer.strength > m_options.strength;
    return peer.id < m_options.id;
}

std::vector<std::string> PeerTable::standbys() const
{
    std::vector<const Peer *> living;
    for (const Peer *peer : localPeers()) {
        if (isAlive(*peer) && !peer->isLeaving)
            living.push_back(peer);
    }
    const std::size_t count = std::min(living.size(), m_options.standbyCount);
    std::partial_sort(living.begin(), living.begin() + static_cast<std::ptrdiff_t>(count),
                      living.end(), isStrongerThan);
    std::vector<std::string> ids;
    for (std::size_t i = 0; i < count; ++i)
        ids.push_back(living[i]->id);
    return ids;
}

bool PeerTable::isStandbyOf(const Peer &leader) const
{
    const auto &standbys = leader.standbys;
    return std::find(standbys.begin(), standbys.end(), m_options.id) != standbys.end();
}

bool PeerTable::isStandby() const
{
    return std::any_of(m_peers.begin(), m_peers.end(), [this](const auto &item) {
        const Peer &peer = item.second;
        return peer.isLeading && isLocal(peer) && isStandbyOf(peer) && isAlive(peer);
    });
}

Base::Duration PeerTable::localInterval() const
{
    const double seconds = static_cast<double>(localRouterCount()) * m_options.beaconBytes
        / m_options.localBytesPerSecond;
    const auto needed =
        std::chrono::duration_cast<Base::Duration>(std::chrono::duration<double>(seconds));
    return std::max(m_options.beaconInterval, needed);
}

std::vector<const Peer *> PeerTable::localPeers() const
{
    std::vector<const Peer *> found;
    for (const auto &[id, peer] : m_peers) {
        if (isLocal(peer))
            found.push_back(&peer);
    }
    return found;
}

std::vector<const Peer *> PeerTable::contacts(bool isReading)
{
    std::vector<std::string> dataCentres;
    dataCentres.reserve(m_routerCounts.size());
    for (const auto &[dataCentre, size] : m_routerCounts) {
        if (dataCentre != m_options.dataCentre)
            dataCentres.push_back(dataCentre);
    }
    std::shuffle(dataCentres.begin(), dataCentres.end(), m_random);
    dataCentres.resize(std::min(dataCentres.size(),
                                isReading ? m_options.readerContactCount : m_options.contactCount));
    std::vector<const Peer *> found;
    found.reserve(dataCentres.size());
    for (const std::string &dataCentre : dataCentres)
        found.push_back(chooseContact(dataCentre));
    return found;
}

const Peer *PeerTable::randomPeer(const std::vector<const Peer *> &peers)
{
    return peers.empty() ? nullptr : peers[m_random() % peers.size()];
}

std::size_t PeerTable::localRouterCount() const
{
    const auto found = m_routerCounts.find(m_options.dataCentre);
    return found == m_routerCounts.end() ? 0 : found->second;
}

/// Returns the leader of another data centre. While none is known, returns either its strongest
/// router, which leads if it is alive, or a random one, each half of the time. With random choice
/// alone it would take 25 s to reach the leader of 50 routers.
const Peer *PeerTable::chooseContact(const std::string &dataCentre)
{
    std::vector<const Peer *> leaders;
    std::vector<const Peer *> others;
    for (const auto &[id, peer] : m_peers) {
        if (peer.dataCentre != dataCentre)
            continue;
        const bool isLeader = peer.isLeading && isAlive(peer);
        (isLeader ? leaders : others).push_back(&peer);
    }
    if (!leaders.empty())
        return randomPeer(leaders);
    constexpr std::uint64_t selectionMethods = 2;
    return m_random() % selectionMethods == 0 ? randomPeer(others) : strongestOf(others);
}

const Peer *PeerTable::strongestOf(const std::vector<const Peer *> &peers)
{
    const auto strongest = std::min_element(peers.begin(), peers.end(), isStrongerThan);
    return strongest == peers.end() ? nullptr : *strongest;
}

bool PeerTable::isStrongerThan(const Peer *a, const Peer *b)
{
    return a->strength != b->strength ? a->strength > b->strength : a->id < b->id;
}

} // namespace Lagoonbank::FleetSync
