#include "router/inflightsharing.h"

#include "membership/peercodec.h"

#include <algorithm>

namespace Lagoonbank::Router {

namespace {

/// What beacons may take of the control traffic.
constexpr double bytesPerSecond = 2800;
constexpr Base::Duration shortestInterval = std::chrono::milliseconds(50);
constexpr Base::Duration longestInterval = std::chrono::seconds(1);
/// With nothing to tell, a beacon only shows that this router is there.
constexpr Base::Duration idleInterval = std::chrono::milliseconds(600);
/// A peer that was not heard of for so long may be gone or cut off.
constexpr Base::Duration silence = std::chrono::milliseconds(1500);
/// How often all endpoints are told, since datagrams get lost.
constexpr Base::Duration fullInterval = std::chrono::milliseconds(1200);

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
    tell();
}

void InFlightSharing::endpointsChanged()
{
    m_told.work.clear();
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

void InFlightSharing::tell()
{
    const Base::MonoTime now = m_loop.clock().now();
    const std::vector<Membership::MemberUpdate> peers = regionPeers(now);
    Base::Duration wait = longestInterval;
    if (!peers.empty() && peers.size() <= mostPeers)
        wait = tellAll(peers);
    judgePeers(peers, now);
    m_timer = m_loop.timers().start(wait, [this] { tell(); });
}

/// Returns when the next beacons may follow within their part of the budget.
Base::Duration InFlightSharing::tellAll(const std::vector<Membership::MemberUpdate> &peers)
{
    const Base::MonoTime now = m_loop.clock().now();
    const std::vector<InFlight> changed = changedWork();
    if (changed.empty() && now - m_told.at < idleInterval)
        return shortestInterval;
    m_told.at = now;
    const std::string body = encodeBeacon(Membership::PeerTransport::directMark, changed);
    for (const Membership::MemberUpdate &peer : peers)
        m_peers.transport()->sendDirect(Membership::toSocketAddress(peer), body);
    const std::size_t datagram = body.size() + Membership::datagramOverheadBytes
        + Membership::sealSize(m_peers.membership().self().id);
    const double seconds = static_cast<double>(datagram * peers.size()) / bytesPerSecond;
    return std::clamp(Base::fromSeconds(seconds), shortestInterval, longestInterval);
}

std::vector<InFlight> InFlightSharing::changedWork()
{
    const Routing::Router &routing = m_placer.routing();
    const Routing::EndpointTable &endpoints = routing.endpoints();
    const bool tellsAll = m_loop.clock().now() - m_told.allAt >= fullInterval;
    if (tellsAll)
        m_told.allAt = m_loop.clock().now();
    m_told.work.resize(endpoints.size());
    std::vector<InFlight> changed;
    for (Routing::EndpointIndex i = 0; i < endpoints.size(); ++i) {
        if (!endpoints.contains(i))
            continue;
        const InFlight now{Membership::nameKey(endpoints.info(i).id.value()),
                           routing.loads().ownInFlight(i)};
        if (!tellsAll && now == m_told.work[i])
            continue;
        m_told.work[i] = now;
        changed.push_back(now);
    }
    return changed;
}

void InFlightSharing::received(const std::string &sender, std::string_view body)
{
    const auto entries = decodeBeacon(Membership::PeerTransport::directMark, body);
    if (!entries)
        return;
    const Base::MonoTime now = m_loop.clock().now();
    const auto nextIndex = static_cast<Routing::PeerIndex>(m_heard.size());
    Peer &peer = m_heard.try_emplace(sender, Peer{nextIndex, now}).first->second;
    peer.heard = now;
    peer.isForgotten = false;
    Routing::Router &routing = m_placer.routing();
    for (const InFlight &entry : *entries) {
        const Routing::EndpointIndex index = m_keys.find(entry.endpoint, routing.endpoints());
        if (index != Routing::noEndpoint)
            routing.notePeerInFlight(peer.index, index, entry.work, now);
    }
}

/// Peers that went silent no longer count; the sum is whole while all have been heard of.
void InFlightSharing::judgePeers(const std::vector<Membership::MemberUpdate> &peers,
                                 Base::MonoTime now)
{
    for (auto &[id, peer] : m_heard) {
        if (now - peer.heard <= silence || peer.isForgotten)
            continue;
        peer.isForgotten = true;
        m_placer.routing().removePeer(peer.index, now);
    }
    const bool isComplete =
        peers.size() <= mostPeers
        && std::all_of(peers.begin(), peers.end(), [&](const Membership::MemberUpdate &member) {
               const auto found = m_heard.find(member.id);
               return found != m_heard.end() && now - found->second.heard <= silence;
           });
    m_placer.routing().setPeersComplete(isComplete);
}

} // namespace Lagoonbank::Router
