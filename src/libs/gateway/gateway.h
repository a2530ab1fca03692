#pragma once

#include "fleet/configuration.h"
#include "gateway/admissionqueue.h"
#include "gateway/backlogcontrol.h"
#include "gateway/callerrequest.h"
#include "gateway/concurrencylimit.h"
#include "gateway/crashwatch.h"
#include "gateway/endpointhealth.h"
#include "gateway/endpointprotocol.h"
#include "gateway/endpointregistry.h"
#include "gateway/fleetretrybudget.h"
#include "gateway/gatewaymetrics.h"
#include "gateway/loadsharing.h"
#include "gateway/loadshedder.h"
#include "gateway/placement.h"
#include "gateway/promptdirectory.h"
#include "gateway/reachability.h"
#include "gateway/requestquarantine.h"
#include "http/client.h"
#include "http/server.h"
#include "logging/decisionlog.h"
#include "runtime/loop.h"
#include "schema/generated/settings.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace Lagoonbank::Gateway {

class RequestRun;

/// How long a gateway waits for what.
struct GatewayTimeouts
{
    /// For a connection to an endpoint. A live one accepts within 5 ms; one that is cut off does
    /// not answer at all, and the request has to be tried elsewhere within its 150 to 600 ms.
    Base::Duration connect = std::chrono::milliseconds(120);
    /// For which a new connection has to stay open before a request leaves on it: an endpoint that
    /// has all the connections it takes resets one within a round trip of 1 ms, and a request on it
    /// would count as one that may have run.
    Base::Duration settle = std::chrono::milliseconds(2);
    /// Part of the target latency after which a request that may be repeated is sent elsewhere
    /// when nothing has come from its endpoint, on any connection, so that the other one still has
    /// time.
    double firstEventShare = 0.75;
    /// The same for a pause within a stream.
    double pauseShare = 0.6;
    /// Target latencies, or longest pauses, after which a request is sent elsewhere although its
    /// endpoint answers others: it is busy then, and moving costs another reading of the prompt.
    double busyFactor = 2.0;
    /// Callers leave a stream that pauses for longer than this, than so many target latencies and
    /// than so many of its longest pauses; until then a stream that has begun waits for an
    /// endpoint.
    Base::Duration callerTimeout = std::chrono::seconds(2);
    int callerTimeoutTargets = 4;
    int callerTimeoutPauses = 8;
    /// Between two looks for an endpoint that can be reached: connections are checked each 300 ms.
    Base::Duration reachabilityRetryInterval = std::chrono::milliseconds(50);
    /// For reading a prompt, on top: engines read 80 to 160 tokens in a millisecond.
    Base::Duration perPromptToken = std::chrono::microseconds(10);
    /// Beyond a route's timeout, for the endpoint's own answer that it gave up.
    Base::Duration timeoutGrace = std::chrono::milliseconds(60);
    /// What a caller is told when no endpoint could take its request.
    Base::Duration retryAfter = std::chrono::milliseconds(150);
    /// Part of the target latency for which a request waits for room before it is refused; the rest
    /// is left for its answer, or for another try of the caller.
    double queueWaitShare = 0.12;
    /// And no longer than this, so that those with time to spare do not get more looks than those
    /// who are in a hurry.
    Base::Duration maxQueueWait = std::chrono::milliseconds(40);
    /// Prompts of so many shared tokens are awaited while their endpoint reads them for another
    /// request: that takes 20 ms and more.
    Base::Tokens minAwaitedTokens{1500};
    /// For so much of the target latency at most; a third of it reads 20,000 tokens.
    double prefillWaitShare = 0.33;
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
        std::function<std::optional<Base::Duration>()> stateAge;
        /// How far behind its own work this router is. Null where that is not known: never behind.
        std::function<Base::Duration()> ownDelay;
        /// A prompt has come to an endpoint, or is still in use there: peers ought to know. Null
        /// where there are none.
        std::function<void(const PromptHolding &holding)> promptPlaced;
        /// An endpoint has ended while it had these requests of this router: peers ought to know.
        /// Null where there are none.
        std::function<void(const std::vector<RequestCrash> &ends)> requestsEnded;
        /// A request is quarantined: peers ought to know, and routers that start. Null where there
        /// are none.
        std::function<void(const QuarantinedRequest &quarantined)> requestQuarantined;
        Schema::PolicySettings policy;
        Placement::Options placement;
        PromptDirectory::Options prompts;
        EndpointRegistry::Options endpoints;
        FleetRetryBudget::Options retryBudget;
        LoadShedder::Options loadShedding;
        BacklogControl::Options backlog;
        ConcurrencyLimit::Options concurrencyLimit;
        RequestQuarantine::Options quarantine;
        GatewayTimeouts patience;
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
    EndpointRegistry &endpoints() { return m_endpoints; }
    /// Endpoints of these data centres get no new requests; what runs there ends in its own time.
    void setDrainedDataCentres(std::set<Base::DataCentreId> dataCentres);
    void setRetryBudget(const FleetRetryBudget::Options &options)
    {
        m_retryBudget.setOptions(options);
    }
    /// Routers of the fleet, which share its budget of repeats.
    void setRouterCount(std::size_t routers);

    /// What a peer ought to know of endpoints' loads.
    Schema::LoadNews loadsForPeers();
    /// A peer has told this; it came \a delay ago.
    void peerLoadsReceived(const Schema::LoadNews &announcement, Base::Duration delay);
    /// A peer's request with this prompt went to this endpoint.
    void promptReceived(const PromptHolding &holding);
    /// An endpoint has ended while it had a request of this router or of a peer.
    void noteRequestEnd(const RequestCrash &end);
    /// A peer or the store tells of a request that is quarantined; for how long, if that is news.
    std::optional<Base::Duration> quarantineReceived(const QuarantinedRequest &quarantined);
    std::vector<QuarantinedRequest> quarantined() const;

    void run(CallerRequest request, std::shared_ptr<Http::Responder> responder);
    std::size_t inFlight() const { return m_runs.size(); }

private:
    friend class RequestRun;

    /// Fewer tokens are read as fast as a copy of them is set up.
    static constexpr Base::Tokens minCopiedTokens{256};
    /// Shorter prompts are read in 12 ms or less, so that peers need not know where they are.
    static constexpr Base::Tokens minAnnouncedTokens{1000};
    /// Routers that can tell each other of all prompts within the bytes that they may spend: 24 of
    /// them, each 1,500 bytes a second, tell of 25 new places in a second.
    static constexpr std::size_t maxAnnouncingRouters = 24;

    /// Connections that this router may have to one endpoint of a service; nothing where there is
    /// no limit.
    std::optional<std::size_t> connectionShare(const Base::ServiceId &service) const;
    Base::Duration ownDelay() const
    {
        return m_options.ownDelay ? m_options.ownDelay() : Base::Duration::zero();
    }
    void countRefusal(Errors::ErrorKind kind);
    void countAnswer(int status);
    /// In milliseconds; -1 where nothing is known.
    std::int64_t knowledgeAgeMs() const;
    /// An endpoint other than \a target that holds the first parts of a prompt, as far as this
    /// router knows; null if there is none, or reading them again is as quick as copying.
    EndpointPtr cacheSource(const PromptPrefix &prefix, const EndpointRecord &target) const;
    /// Whether routers tell each other where this prompt is, so that one that is not known to be
    /// held is held nowhere.
    bool isAnnouncedToPeers(const PromptPrefix &prefix) const;
    /// A request with the prompt is sent to the endpoint; true if that was not known to hold it.
    bool notePrompt(const std::vector<PromptPrefix> &prefixes, const EndpointRecord &endpoint,
                    bool isCopied);
    /// Where prompts are held, if routers know it together; else null. One of many routers sees few
    /// requests of a prompt, and cannot tell all others of them; going by its own knowledge alone
    /// has prompts read in more places.
    const PromptDirectory *sharedPrompts() const;
    /// Of this router's requests at the model engines of a service.
    ConcurrencyLimit &concurrencyLimit(const Base::ServiceId &service);
    /// An endpoint has told its load; wakes who waits for room if there is more now.
    void loadReported(EndpointRecord &endpoint, const LoadReport &report);
    void endpointEnded(const EndpointRecord &endpoint,
                       const std::vector<RequestFingerprint> &requests);
    void noteQuarantined(RequestFingerprint request, std::string_view from);
    /// Memory of one endpoint of a service; 0 if it is not known.
    Base::Tokens memoryOf(const Base::ServiceId &service) const;

    Options m_options;
    std::shared_ptr<const Fleet::Configuration> m_configuration;
    EndpointRegistry m_endpoints;
    LoadSharing m_loadSharing;
    EndpointHealth m_health;
    Reachability m_reachability;
    Placement m_placement;
    FleetRetryBudget m_retryBudget;
    LoadShedder m_loadShedder;
    AdmissionQueue m_admissionQueue;
    absl::flat_hash_map<Base::ServiceId, ConcurrencyLimit> m_concurrencyLimits;
    BacklogControl m_backlog;
    PromptDirectory m_prompts;
    RequestQuarantine m_quarantine;
    CrashWatch m_crashWatch;
    std::size_t m_routerCount = 1;
    absl::flat_hash_set<std::shared_ptr<RequestRun>> m_runs;
    /// Looked up once: finding a metric by its labels builds several strings.
    absl::flat_hash_map<Errors::ErrorKind, Metrics::Counter> m_refusals;
    absl::flat_hash_map<int, Metrics::Counter> m_answers; ///< By status.
};

} // namespace Lagoonbank::Gateway
