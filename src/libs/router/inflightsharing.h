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

/// In a region of few routers, tells each of them directly what this one has in flight, many times
/// a second, so that the load of every engine is known as the sum of all routers' work. Reports of
/// engines are older than short answers are long. In larger regions it does nothing.
class InFlightSharing
{
public:
    /// Above this many peers one beacon to each would be too seldom to help.
    static constexpr std::size_t maxPeers = 12;

    InFlightSharing(Runtime::Loop &loop, Placer &placer, Node::PeerLink &peers);
    ~InFlightSharing();
    InFlightSharing(const InFlightSharing &) = delete;
    InFlightSharing &operator=(const InFlightSharing &) = delete;

    /// To be called when the peers' transport has started.
    void start();
    /// To be called when endpoints have changed.
    void endpointsChanged();

private:
    struct Peer
    {
        Routing::PeerIndex index = 0;
        Base::MonoTime lastReceived;
        bool isExpired = false; ///< What it told no longer counts.
    };

    /// What the beacons have said.
    struct SentState
    {
        std::vector<InFlight> work; ///< By endpoint index.
        Base::MonoTime at; ///< Of the last beacon.
        Base::MonoTime fullAt; ///< Of the last one that told all endpoints.
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
