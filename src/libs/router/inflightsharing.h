#pragma once

#include "node/peerlink.h"
#include "router/endpointkeys.h"
#include "router/inflightbeacon.h"
#include "router/placer.h"
#include "runtime/loop.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Lagoonbank::Router {

/// Sends beacons with this router's in-flight work directly to the other routers of the region,
/// many times a second, so that each router knows the load of every engine as the sum of all
/// routers' work. The engines' own load reports do not suffice, as they are older than short
/// answers take. Does nothing in regions with more than maxPeers other routers.
class InFlightSharing
{
public:
    /// With more peers, the control budget allows so few beacons that their data would be outdated.
    static constexpr std::size_t maxPeers = 12;

    InFlightSharing(Runtime::Loop &loop, Placer &placer, Node::PeerLink &peers);
    ~InFlightSharing();
    InFlightSharing(const InFlightSharing &) = delete;
    InFlightSharing &operator=(const InFlightSharing &) = delete;

    /// Must be called after the peers' transport has started.
    void start();
    /// Must be called whenever the endpoints have changed.
    void endpointsChanged();

private:
    struct Peer
    {
        Routing::PeerIndex index = 0;
        Base::MonoTime lastReceived; ///< Time of the peer's last beacon.
        bool isExpired = false; ///< The peer timed out and its reported work is ignored.
    };

    /// What this router's beacons last reported, and when.
    struct SentState
    {
        std::vector<InFlight> work; ///< By endpoint index.
        Base::MonoTime sentAt; ///< Time of the last beacon.
        Base::MonoTime fullSentAt; ///< Time of the last beacon that reported all endpoints.
    };

    void sendBeacons();
    Base::Duration sendToPeers(const std::vector<Membership::MemberUpdate> &peers);
    std::vector<InFlight> changedWork();
    void received(const std::string &sender, std::string_view body);
    void updatePeerStates(const std::vector<Membership::MemberUpdate> &peers, Base::MonoTime now);
    std::vector<Membership::MemberUpdate> regionPeers(Base::MonoTime now) const;

    Runtime::Loop &m_loop;
    Placer &m_placer;
    Node::PeerLink &m_peers;
    EndpointKeys m_keys;
    absl::flat_hash_map<std::string, Peer> m_peersById;
    SentState m_lastSent;
    Runtime::TimerId m_timer;
};

} // namespace Lagoonbank::Router
