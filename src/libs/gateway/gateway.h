#pragma once

#include "fleet/configuration.h"
#include "gateway/callerrequest.h"
#include "gateway/endpointbook.h"
#include "gateway/endpointhealth.h"
#include "gateway/endpointprotocol.h"
#include "gateway/fleetretrybudget.h"
#include "gateway/gatewaymetrics.h"
#include "gateway/loadshedder.h"
#include "gateway/placement.h"
#include "gateway/reachability.h"
#include "http/client.h"
#include "http/server.h"
#include "logging/decisionlog.h"
#include "routing/placementtable.h"
#include "runtime/loop.h"

#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace Lagoonbank::Gateway {

class RequestRun;

/// How long a gateway waits for what.
struct GatewayPatience
{
    /// For a connection to an endpoint. A live one accepts within 5 ms; one that is cut off does
    /// not answer at all, and the request has to be tried elsewhere within its 150 to 600 ms.
    Base::Duration connect = std::chrono::milliseconds(120);
    /// For which a new connection has to stay open before a request leaves on it: an endpoint that
    /// has all the connections it takes resets one within a round trip of 1 ms.
    Base::Duration settle = std::chrono::milliseconds(2);
    /// Part of the target latency after which a request that may be repeated is sent elsewhere
    /// when nothing has come from its endpoint, on any connection, so that the other one still has
    /// time.
    double firstShare = 0.75;
    /// The same for a pause within a stream.
    double pauseShare = 0.6;
    /// Target latencies, or longest pauses, after which a request is sent elsewhere although its
    /// endpoint answers others: it is busy then, and moving costs another reading of the prompt.
    double busyFactor = 2.0;
    /// For reading a prompt, on top: engines read 80 to 160 tokens in a millisecond.
    Base::Duration perPromptToken = std::chrono::microseconds(10);
    /// Beyond a route's timeout, for the endpoint's own answer that it gave up.
    Base::Duration afterTimeout = std::chrono::milliseconds(60);
    /// What a caller is told when no endpoint could take its request.
    Base::Duration comeBack = std::chrono::milliseconds(150);
    /// Part of the target latency for which a request waits for room before it is refused; the rest
    /// is left for its answer, or for another try of the caller.
    double roomShare = 0.12;
    /// And no longer than this, so that those with time to spare do not get more looks than those
    /// who are in a hurry.
    Base::Duration longestRoomWait = std::chrono::milliseconds(40);
    /// Between two looks for room; an engine ends a request each 20 to 50 ms.
    Base::Duration roomInterval = std::chrono::milliseconds(10);
};

/// Runs callers' requests: checks them, chooses an endpoint, sends them, passes the answer on, and
/// repeats what may be repeated. It knows no header and no wire name.
class Gateway
{
public:
    struct Options
    {
        Runtime::Loop *loop = nullptr;
        Http::Client *client = nullptr;
        EndpointProtocol protocol;
        /// Tells a caller that its request is not answered by an endpoint.
        std::function<void(Http::Responder &responder, const Refusal &refusal)> refuse;
        /// How old what this router knows of endpoints and configuration is; for the log.
        std::function<std::optional<Base::Duration>()> knowledgeAge;
        Placement::Options placement;
        EndpointBook::Options endpoints;
        FleetRetryBudget::Options retryBudget;
        LoadShedder::Options loadShedding;
        GatewayPatience patience;
        Logging::DecisionLog *log = nullptr;
        GatewayMetrics *metrics = nullptr;
    };

    explicit Gateway(Options options);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /// Puts a configuration in force; an older one than that in force is left out.
    void setConfiguration(std::shared_ptr<const Fleet::Configuration> configuration);
    const std::shared_ptr<const Fleet::Configuration> &configuration() const
    {
        return m_configuration;
    }
    EndpointBook &endpoints() { return m_endpoints; }
    void setRetryBudget(const FleetRetryBudget::Options &options)
    {
        m_retryBudget.setOptions(options);
    }
    /// Routers of the fleet, which share its budget of repeats.
    void setRouterCount(std::size_t routers);

    void run(CallerRequest request, std::shared_ptr<Http::Responder> responder);
    std::size_t inFlight() const { return m_runs.size(); }

private:
    friend class RequestRun;

    /// Fewer tokens are read as fast as a copy of them is set up.
    static constexpr Base::Tokens leastCopied{256};

    /// Connections that this router may have to one endpoint of a service; nothing where there is
    /// no limit.
    std::optional<std::size_t> connectionShare(const Base::ServiceId &service) const;
    /// In milliseconds; -1 where nothing is known.
    std::int64_t knowledgeAgeMs() const;
    /// Where the parts of a prompt were read last, if copying them from there to \a target beats
    /// reading them again; else null.
    EndpointPtr cacheSource(std::uint64_t affinity, const EndpointRecord &target);

    Options m_options;
    std::shared_ptr<const Fleet::Configuration> m_configuration;
    EndpointBook m_endpoints;
    EndpointHealth m_health;
    Reachability m_reachability;
    Placement m_placement;
    FleetRetryBudget m_retryBudget;
    LoadShedder m_loadShedder;
    Routing::PlacementTable m_promptPlaces;
    std::size_t m_routerCount = 1;
    absl::flat_hash_set<std::shared_ptr<RequestRun>> m_runs;
};

} // namespace Lagoonbank::Gateway
