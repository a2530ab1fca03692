#include "router/inflightsharing.h"

#include "membership/peercodec.h"

#include <algorithm>

namespace Lagoonbank::Router {

namespace {

/// Share of the control traffic budget for beacons.
constexpr double beaconBytesPerSecond = 2800;
constexpr Base::Duration minBeaconInterval = std::chrono::milliseconds(50);
constexpr Base::Duration maxBeaconInterval = std::chrono::seconds(1);
/// Interval of beacons while no work changes; they only show that this router is alive.
constexpr Base::Duration idleBeaconInterval = std::chrono::milliseconds(600);
/// Time without a beacon after which a peer is assumed to be stopped or disconnected.
constexpr Base::Duration peerTimeout = std::chrono::milliseconds(1500);
/// Interval of beacons that report all endpoints, not only changed ones, as datagrams may be lost.
constexpr Base::Duration fullReportInterval = std::chrono::milliseconds(1200);

} // namespace

InFlightSharing::InFlightSharing(Runtime::Loop &loop, Placer &placer, Node::PeerLink &peers)
    : m_loop(loop)
    , m_placer(placer)
    , m_peers(peers)
{ }

InFlightSharing::~InFlightSharing()
{
    m_loop.timers().cancel(m_timer);
}

void InFlightSharing::start()
{
    m_peers.transport()->directReceived = [this](const Membership::Sender &sender,
                                                 std::string_view body) {
        received(sender.id, body);
    };
    sendBeacons();
}

void InFlightSharing::endpointsChanged()
{
    m_lastSent.work.clear();
    m_keys.update(m_placer.routing().endpoints());
}

std::vector<Membership::MemberUpdate> InFlightSharing::regionPeers(Base::MonoTime now) const
{
    const Membership::MemberUpdate &self = m_peers.membership().self();
    std::vector<Membership::MemberUpdate> peers;
    for (Membership::MemberUpdate &member : m_peers.membership().usableMembers(now, true)) {
        if (member.role == self.role && member.region == self.region && member.id != self.id)
            peers.push_back(std::move(member));
    }
    return peers;
}

void InFlightSharing::sendBeacons()
{
    const Base::MonoTime now = m_loop.clock().now();
    const std::vector<Membership::MemberUpdate> peers = regionPeers(now);
    Base::Duration wait = maxBeaconInterval;
    if (!peers.empty() && peers.size() <= maxPeers)
        wait = sendToPeers(peers);
    updatePeerStates(peers, now);
    m_timer = m_loop.timers().start(wait, [this] { sendBeacons(); });
}

/// Returns the time after which the next beacons may follow within their share of the budget.
Base::Duration InFlightSharing::sendToPeers(const std::vector<Membership::MemberUpdate> &peers)
{
    const Base::MonoTime now = m_loop.clock().now();
    const std::vector<InFlight> changed = changedWork();
    if (changed.empty() && now - m_lastSent.sentAt < idleBeaconInterval)
        return minBeaconInterval;
    m_lastSent.sentAt = now;
    const std::string body = encodeBeacon(Membership::PeerTransport::directMark, changed);
    for (const Membership::MemberUpdate &peer : peers)
        m_peers.transport()->sendDirect(Membership::toSocketAddress(peer), body);
    const std::size_t datagramBytes = body.size() + Membership::datagramOverheadBytes
        + Membership::sealSize(m_peers.membership().self().id);
    const double seconds = static_cast<double>(datagramBytes * peers.size()) / beaconBytesPerSecond;
    return std::clamp(Base::fromSeconds(seconds), minBeaconInterval, maxBeaconInterval);
}

std::vector<InFlight> InFlightSharing::changedWork()
{
    const Routing::Router &routing = m_placer.routing();
    const Routing::EndpointTable &endpoints = routing.endpoints();
    const bool isFull = m_loop.clock().now() - m_lastSent.fullSentAt >= fullReportInterval;
    if (isFull)
        m_lastSent.fullSentAt = m_loop.clock().now();
    m_lastSent.work.resize(endpoints.size());
    std::vector<InFlight> changed;
    for (Routing::EndpointIndex i = 0; i < endpoints.size(); ++i) {
        if (!endpoints.contains(i))
            continue;
        const InFlight current{Membership::nameKey(endpoints.info(i).id.value()),
                               routing.loads().ownInFlight(i)};
        if (!isFull && current == m_lastSent.work[i])
            continue;
        m_lastSent.work[i] = current;
        changed.push_back(current);
    }
    return changed;
}

void InFlightSharing::received(const std::string &sender, std::string_view body)
{
    const auto entries = decodeBeacon(Membership::PeerTransport::directMark, body);
    if (!entries)
        return;
    const Base::MonoTime now = m_loop.clock().now();
    const auto nextIndex = static_cast<Routing::PeerIndex>(m_peersById.size());
    Peer &peer = m_peersById.try_emplace(sender, Peer{nextIndex, now}).first->second;
    peer.lastReceived = now;
    peer.isExpired = false;
    Routing::Router &routing = m_placer.routing();
    for (const InFlight &entry : *entries) {
        const Routing::EndpointIndex index = m_keys.find(entry.endpoint, routing.endpoints());
        if (index != Routing::noEndpoint)
            routing.notePeerInFlight(peer.index, index, entry.work, now);
    }
}

/// Discards the work of peers whose beacons timed out. The sum over all routers is complete only if
/// there is a recent beacon from every peer.
void InFlightSharing::updatePeerStates(const std::vector<Membership::MemberUpdate> &peers,
                                       Base::MonoTime now)
{
    for (auto &[id, peer] : m_peersById) {
        if (now - peer.lastReceived <= peerTimeout || peer.isExpired)
            continue;
        peer.isExpired = true;
        m_placer.routing().removePeer(peer.index, now);
    }
    const bool isComplete =
        peers.size() <= maxPeers
        && std::all_of(peers.begin(), peers.end(), [&](const Membership::MemberUpdate &member) {
               const auto found = m_peersById.find(member.id);
               return found != m_peersById.end() && now - found->second.lastReceived <= peerTimeout;
           });
    m_placer.routing().setPeersComplete(isComplete);
}

} // namespace Lagoonbank::Router
