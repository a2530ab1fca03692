#pragma once

#include "gateway/endpointhealth.h"
#include "gateway/endpointregistry.h"
#include "gateway/peerreach.h"
#include "gateway/reachability.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace Lagoonbank::Gateway {

/// A router of the fleet that accepts relayed requests.
struct PeerRouter
{
    Base::VmId id;
    Base::DataCentreId dataCentre;
    Runtime::SocketAddress address; ///< For relayed requests.
};

/// The peer to which a request is relayed, and why.
struct PeerChoice
{
    EndpointPtr peer; ///< Null if no peer is likely to serve the request.
    PeerReach::State reach = PeerReach::State::Unknown;
    std::size_t reachingPeers = 0; ///< Peers that are known to reach the endpoints.
    double load = 0; ///< Relays of this router in flight at the peer.
};

/// The peers to which this router relays requests while it cannot reach the endpoints itself. Each
/// is tracked like an endpoint: its load, its latency and whether it is reachable and healthy. They
/// have a registry of their own, so that they count in no service.
///
/// A peer may be cut off from the endpoints too. It refuses relays at once, and so has neither load
/// nor latency; these are compared only among peers that are known to reach the endpoints.
class PeerRouters
{
public:
    struct Options
    {
        Runtime::TimerQueue *timers = nullptr;
        Logging::DecisionLog *log = nullptr;
        /// See Reachability::Options.
        std::function<void(const Runtime::SocketAddress &server, Base::Duration timeout,
                           std::function<void(bool isReachable)> checked)>
            check;
        /// The router itself. Its id determines the order in which it tries peers, which differs
        /// between routers.
        Base::VmId self;
        Base::DataCentreId dataCentre;
        PeerReach::Options reach;
        /// Half-life of measured latencies.
        Base::Duration latencyHalfLife = std::chrono::seconds(4);
    };

    explicit PeerRouters(Options options);

    /// Replaces the known peers. Requests that were relayed to others go on.
    void set(const std::vector<PeerRouter> &peers);
    /// Chooses a peer for a request of the service that is not in \a tried.
    PeerChoice choose(const Base::ServiceId &service, const std::vector<EndpointPtr> &tried,
                      bool mayRepeat);
    /// Average time in milliseconds that a peer took for an answer; 0 if it has not answered
    /// lately.
    double latencyMs(const EndpointRecord &peer) const;

    /// An endpoint of the service has answered a relay to the peer.
    void answered(const Base::ServiceId &service, const EndpointRecord &peer);
    /// The peer has refused a relay. If it does not say that it reaches no endpoint of the service,
    /// it may be busy, or too old to say so.
    void refused(const Base::ServiceId &service, const EndpointRecord &peer,
                 const RelayRefusal &refusal);
    /// Ids of some peers that are known to reach endpoints of the service.
    std::vector<std::string> reachingPeers(const Base::ServiceId &service) const;

    EndpointRegistry &registry() { return m_registry; }
    EndpointHealth &health() { return m_health; }
    Reachability &reachability() { return m_reachability; }

private:
    Base::MonoTime now() const { return m_options.timers->clock().now(); }
    PeerReach &reachOf(const Base::ServiceId &service);
    bool isAvailable(const EndpointPtr &peer, const std::vector<EndpointPtr> &tried,
                     bool mayRepeat) const;
    double cost(const EndpointRecord &peer) const;
    /// Chooses the peer for a trial among \a candidates; null if there is none.
    EndpointPtr chooseTrial(const PeerReach &reach,
                            const std::vector<EndpointPtr> &candidates) const;

    Options m_options;
    std::uint64_t m_selfHash = 0;
    EndpointRegistry m_registry{{}};
    EndpointHealth m_health;
    Reachability m_reachability;
    std::map<Base::ServiceId, PeerReach> m_reach;
};

} // namespace Lagoonbank::Gateway
