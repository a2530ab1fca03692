#pragma once

#include "gateway/endpointhealth.h"
#include "gateway/endpointregistry.h"
#include "gateway/placement.h"
#include "gateway/reachability.h"

#include <vector>

namespace Lagoonbank::Gateway {

/// A router of the fleet that accepts relayed requests.
struct PeerRouter
{
    Base::VmId id;
    Base::DataCentreId dataCentre;
    Runtime::SocketAddress address; ///< For relayed requests.
};

/// The peers to which this router relays requests while it cannot reach the endpoints itself. Each
/// is tracked like an endpoint: its load, its latency and whether it is reachable and healthy. They
/// have a registry of their own, so that they count in no service.
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
    };

    explicit PeerRouters(Options options);

    /// Replaces the known peers. Requests that were relayed to others go on.
    void set(const std::vector<PeerRouter> &peers);
    /// Chooses a peer that is not in \a tried. Its endpoint is null if there is none.
    PlacementResult choose(const std::vector<EndpointPtr> &tried, bool mayRepeat);

    /// Average time in milliseconds that a peer took for an answer; 0 if it has not answered
    /// lately.
    double latencyMs(const EndpointRecord &peer) const;

    EndpointRegistry &registry() { return m_registry; }
    EndpointHealth &health() { return m_health; }
    Reachability &reachability() { return m_reachability; }

private:
    Base::MonoTime now() const { return m_options.timers->clock().now(); }

    Options m_options;
    EndpointRegistry m_registry{{}};
    EndpointHealth m_health;
    Reachability m_reachability;
    Placement m_placement{{}};
};

} // namespace Lagoonbank::Gateway
