#pragma once

#include "fleet/configuration.h"
#include "gateway/admissionqueue.h"
#include "gateway/answerbuffer.h"
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
#include "gateway/partquarantine.h"
#include "gateway/peerrouters.h"
#include "gateway/placement.h"
#include "gateway/processcheck.h"
#include "gateway/promptdirectory.h"
#include "gateway/reachability.h"
#include "gateway/requestquarantine.h"
#include "gateway/streamdirectory.h"
#include "gateway/streamversionlookup.h"
#include "gateway/undecodablevalues.h"
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

/// Timeouts of a gateway, and the limits that are derived from a route's target latency.
struct GatewayTimeouts
{
    /// Timeout of connecting to an endpoint. A live endpoint accepts within 5 ms; one that is cut
    /// off does not answer at all, and the request must then be retried at another endpoint within
    /// its target latency of 150 to 600 ms.
    Base::Duration connect = std::chrono::milliseconds(120);
    /// Time that a new connection must stay open before a request is sent on it. An endpoint that
    /// has reached its connection limit resets a new connection within a round trip of 1 ms, and a
    /// request sent on it would count as one that may have run.
    Base::Duration settle = std::chrono::milliseconds(2);
    /// See ProcessCheck::Options::closeTime.
    Base::Duration closeTime = std::chrono::milliseconds(4);
    /// Fraction of the target latency after which a repeatable request is moved to another endpoint
    /// if its own has sent nothing on any connection. The remainder is the other endpoint's time.
    double firstEventShare = 0.75;
    /// Like firstEventShare, for a pause within a stream: a fraction of the maximum pause that the
    /// route allows.
    double pauseShare = 0.6;
    /// Silence limit of an endpoint that answers other requests, as a multiple of the target
    /// latency or, within a stream, of the route's maximum pause. The limit is higher for such an
    /// endpoint, as it is only busy and moving the request costs another prefill of its prompt.
    double busySilenceFactor = 2.0;
    /// A caller is assumed to abandon a stream after a pause of
    ///     max(callerTimeout, callerTimeoutTargets x targetLatency,
    ///         callerTimeoutPauses x maxEventGap)
    /// with targetLatency and maxEventGap of the route. Until then, a started stream without an
    /// endpoint waits for one; afterwards it is aborted.
    Base::Duration callerTimeout = std::chrono::seconds(2);
    int callerTimeoutTargets = 4;
    int callerTimeoutPauses = 8;
    /// Interval between two attempts to find a reachable endpoint. Reachability is checked every
    /// 300 ms.
    Base::Duration reachabilityRetryInterval = std::chrono::milliseconds(50);
    /// Time per prompt token that is added to the silence limit of the first event, for the
    /// prefill. Engines process 80 to 160 prompt tokens per millisecond.
    Base::Duration perPromptToken = std::chrono::microseconds(10);
    /// Extra time after a request's deadline in which the endpoint can report the timeout itself.
    Base::Duration timeoutGrace = std::chrono::milliseconds(60);
    /// Retry-after time of a refusal for which no better estimate exists, in particular if no
    /// endpoint could be reached.
    Base::Duration retryAfter = std::chrono::milliseconds(150);
    /// Fraction of the target latency for which a request waits for a free slot before it is
    /// refused. The remainder is left for its answer, or for a retry by the caller.
    double queueWaitShare = 0.12;
    /// Upper limit of the wait for a free slot, so that requests with a long target latency do not
    /// get more attempts than those with a short one.
    Base::Duration maxQueueWait = std::chrono::milliseconds(40);
    /// Minimum number of shared prompt tokens for which a request waits while its endpoint
    /// processes the same prompt for another request. That takes 20 ms or more.
    Base::Tokens minAwaitedTokens{1500};
    /// Fraction of the target latency for which a request waits for KV cache memory, with no other
    /// upper limit. An engine with 416,734 tokens frees about 360 of them per millisecond, so that
    /// a large request waits for 100 ms.
    double memoryWaitShare = 0.25;
    /// Maximum wait for the same prompt of another request, as a fraction of the target latency. An
    /// engine processes 20,000 tokens in a third of the target latency.
    double prefillWaitShare = 0.33;
};

/// Processes callers' requests: admits them, chooses an endpoint, sends them, forwards the answer,
/// and retries where that is allowed. It is independent of header names and wire formats.
class Gateway
{
public:
    struct Options
    {
        Runtime::Loop *loop = nullptr;
        Http::Client *client = nullptr;
        EndpointProtocol protocol;
        RelayProtocol relay; ///< Unused without peer routers.
        Base::VmId vm; ///< Of this router.
        Base::DataCentreId dataCentre; ///< Of this router.
        /// Sends a refusal to a caller, in place of an endpoint's answer.
        std::function<void(Http::Responder &responder, const Refusal &refusal)> refuse;
        /// Returns the age of this router's state of endpoints and configuration, for the log;
        /// unset if unknown.
        std::function<std::optional<Base::Duration>()> stateAge;
        /// See EndpointRegistry::Options::outdatedSince.
        std::function<std::optional<Base::MonoTime>(Base::MonoTime now)> outdatedSince;
        /// Returns the delay of this router's event loop. Null if it is not measured, which counts
        /// as no delay.
        std::function<Base::Duration()> ownDelay;
        /// Announces to peers that a prompt was sent to an endpoint or is still in use there. Null
        /// without peers.
        std::function<void(const PromptHolding &holding)> promptPlaced;
        /// Announces to peers that an endpoint crashed while it was processing these requests of
        /// this router. Null without peers.
        std::function<void(const std::vector<RequestCrash> &crashes)> crashesDetected;
        /// Announces a quarantined request to peers and to routers that start later. Null without
        /// peers.
        std::function<void(const QuarantinedRequest &quarantined)> requestQuarantined;
        /// Announces to peers that an endpoint crashed at which requests of this router with these
        /// prompt parts waited. Null without peers.
        std::function<void(const std::vector<PartCrash> &crashes)> partCrashesDetected;
        /// Asks peers whether answers to requests with these parts have begun. Returns false if it
        /// cannot ask now. Null without peers.
        std::function<bool(const std::vector<PartQuestion> &questions)> askAboutParts;
        /// Announces a quarantined part to peers and to routers that start later. Null without
        /// peers.
        std::function<void(const QuarantinedPart &quarantined)> partQuarantined;
        /// Announces that a quarantine was wrong. Null without peers.
        std::function<void(PartHash part)> partReleased;
        /// Announces streams to peers, of which callers may resume them. Null without peers.
        std::function<void(const std::vector<StreamOrigin> &streams)> streamsBegan;
        /// Tells peers that an endpoint may have ended, which was first noticed \a age ago. Null
        /// without peers.
        std::function<void(std::uint64_t startHash, Base::Duration age)> endpointEnded;
        /// Asks peers which version began a stream, and calls \a answered later. Null without
        /// peers.
        std::function<void(StreamHash stream,
                           std::function<void(std::optional<SoftwareHash>)> answered)>
            askForStream;
        /// Reads versions from the store before a stream goes on. Streams that it reads are passed
        /// to streamReceived().
        StreamVersionStore streamVersionStore;
        /// Whether requests are refused until setQuarantinesKnown() is called.
        bool awaitsQuarantines = false;
        /// Whether the software versions that have served are unknown until
        /// setSoftwareHistoryKnown() is called.
        bool awaitsSoftwareHistory = false;
        Schema::PolicySettings policy;
        Placement::Options placement;
        PromptDirectory::Options prompts;
        EndpointRegistry::Options endpoints;
        /// When the process started; the construction of the gateway if unset.
        std::optional<Base::MonoTime> startedAt;
        FleetRetryBudget::Options retryBudget;
        LoadShedder::Options loadShedding;
        BacklogControl::Options backlog;
        ConcurrencyLimit::Options concurrencyLimit;
        RequestQuarantine::Options quarantine;
        PartQuarantine::Options partQuarantine; ///< The gateway sets its timers.
        StreamDirectory::Options streams;
        /// Maximum memory of incomplete events of streams and of the answers that are not streams,
        /// which are buffered and forwarded when they are complete. It is also the maximum size of
        /// one of these.
        std::size_t maxAnswerMemory = 6 * 1024 * 1024;
        GatewayTimeouts timeouts;
        Logging::DecisionLog *log = nullptr;
        GatewayMetrics *metrics = nullptr;
    };

    explicit Gateway(Options options);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /// Applies a configuration, unless its revision is not newer than the current one.
    void setConfiguration(std::shared_ptr<const Fleet::Configuration> configuration);
    const std::shared_ptr<const Fleet::Configuration> &configuration() const
    {
        return m_configuration;
    }
    EndpointRegistry &endpoints() { return m_endpoints; }
    UndecodableValues &undecodableValues() { return m_undecodableValues; }
    /// Sets the data centres whose endpoints get no new requests. Requests that run there are
    /// completed.
    void setDrainedDataCentres(std::set<Base::DataCentreId> dataCentres);
    void setRetryBudget(const FleetRetryBudget::Options &options)
    {
        m_retryBudget.setOptions(options);
    }
    /// Sets the number of known routers of the fleet, this one included. They share its retry
    /// budget once the number is complete, that is includes all registered routers.
    void setRouterCount(std::size_t routers, bool isComplete);

    /// Sets the peers to which requests are relayed while their endpoints cannot be reached.
    void setPeerRouters(const std::vector<PeerRouter> &peers) { m_peers.set(peers); }

    /// Endpoint loads to be sent to peers.
    Schema::LoadUpdate loadsForPeers();
    /// Merges endpoint loads from a peer, which were received \a delay ago.
    void peerLoadsReceived(const Schema::LoadUpdate &announcement, Base::Duration delay);
    /// Records that a peer sent a request with this prompt to this endpoint.
    void promptReceived(const PromptHolding &holding);
    /// Records that an endpoint crashed while it was processing a request of this router or of a
    /// peer.
    void recordCrash(const RequestCrash &crash);
    /// Merges a quarantined request from a peer or the store. Returns the remaining time of its
    /// quarantine if this router did not have it yet.
    std::optional<Base::Duration> quarantineReceived(const QuarantinedRequest &quarantined);
    std::vector<QuarantinedRequest> quarantined() const;
    /// Crashes under requests that are not quarantined, for a router that starts.
    std::vector<RequestCrash> requestCrashes() const;
    /// Crashes of which prompt parts are not acquitted, for a router that starts.
    std::vector<PartCrash> partCrashes() const { return m_partQuarantine.crashes(); }
    /// The quarantines of the fleet have been merged, so that requests may be sent.
    void setQuarantinesKnown() { m_areQuarantinesKnown = true; }
    void setSoftwareHistoryKnown() { m_isSoftwareHistoryKnown = true; }
    bool isSoftwareHistoryKnown() const { return m_isSoftwareHistoryKnown; }

    /// Records crashes that a peer has noticed, at which requests with these prompt parts waited.
    void partCrashesReceived(const std::vector<PartCrash> &crashes)
    {
        m_partQuarantine.crashed(crashes);
    }
    /// Answers a peer's question; empty if no answer has begun here.
    std::optional<PartBegin> findPartBegin(const PartQuestion &question) const
    {
        return m_partQuarantine.answer(question);
    }
    /// Records what a peer has answered, or that it has released a quarantined part.
    void partBeginReceived(const PartBegin &begin) { m_partQuarantine.beginReceived(begin); }
    /// Merges a quarantined part from a peer or the store. Returns the remaining time of its
    /// quarantine if this router did not have it yet.
    std::optional<Base::Duration> partQuarantineReceived(const QuarantinedPart &quarantined);
    std::vector<QuarantinedPart> quarantinedParts() const { return m_partQuarantine.quarantined(); }

    /// A peer has noticed, \a age ago, that an endpoint may have ended.
    void endpointEndReceived(std::uint64_t startHash, Base::Duration age);

    /// Records a stream that began at a peer.
    void streamReceived(const StreamOrigin &origin);
    /// The version that began a stream, if this router knows it.
    std::optional<SoftwareHash> findStream(StreamHash stream) const;
    /// Software versions that endpoints run or have run, for a router that starts.
    std::vector<SoftwareUse> softwareUses() const;
    /// Whether this router knows that endpoints run or have run the version.
    bool hasSoftware(SoftwareHash software) const;
    /// Whether streams of the service may have begun at several versions.
    bool isMixed(const Base::ServiceId &service) const;
    /// Merges the software versions that a peer knows.
    void softwareUsesReceived(const std::vector<SoftwareUse> &uses);
    /// The known streams of services that run several versions, the latest ones first.
    std::vector<StreamOrigin> latestStreams() const;
    /// The streams in progress of services that run several versions.
    std::vector<StreamOrigin> streamsInProgress() const;
    /// Announces the streams in progress of services of which a second version serves since the
    /// last call. Call it regularly.
    void announceStreams();

    void run(CallerRequest request, std::shared_ptr<Http::Responder> responder);
    std::size_t inFlight() const { return m_runs.size(); }

private:
    friend class RequestRun;

    /// Minimum number of tokens that are copied from another endpoint's cache. Processing fewer
    /// takes no longer than setting up the copy.
    static constexpr Base::Tokens minCopiedTokens{256};
    /// Minimum number of tokens of a prompt whose endpoint is announced to peers. Shorter prompts
    /// are processed in 12 ms or less.
    static constexpr Base::Tokens minAnnouncedTokens{1000};
    /// Maximum number of routers that announce prompts to each other within their bandwidth limit:
    /// 24 routers at 1,500 bytes a second each can announce 25 new prompt locations a second.
    static constexpr std::size_t maxAnnouncingRouters = 24;

    /// Maximum number of connections of this router to one endpoint of a service; unset for no
    /// limit.
    std::optional<std::size_t> connectionShare(const Base::ServiceId &service) const;
    Base::Duration ownDelay() const
    {
        return m_options.ownDelay ? m_options.ownDelay() : Base::Duration::zero();
    }
    std::vector<StreamOrigin> streamsInProgress(const std::set<Base::ServiceId> &services) const;
    StreamVersionLookup::Options streamVersionOptions();
    ProcessCheck::Options processCheckOptions() const;
    /// How long ago the event that is handled now occurred, at most.
    Base::Duration maxEventAge() const;
    /// Records a stream that began at this router, or that has gone on here.
    void streamBegan(const Base::ServiceId &service, const StreamOrigin &origin);
    /// Fails the attempt with the largest buffered answer or event while all of them take too much
    /// memory.
    void limitAnswerMemory();
    void countRefusal(Errors::ErrorKind kind);
    void countAnswer(int status);
    /// Age of this router's state in milliseconds; -1 if unknown.
    std::int64_t knowledgeAgeMs() const;
    /// An endpoint other than \a target that holds the prompt prefix in its cache, according to
    /// this router's prompt directory. Null if there is none, or if the prefix is too short for
    /// copying.
    EndpointPtr cacheSource(const PromptPrefix &prefix, const EndpointRecord &target) const;
    /// Whether routers announce the endpoints of this prompt to each other. If so, a prompt without
    /// a known holder is held by no endpoint.
    bool isAnnouncedToPeers(const PromptPrefix &prefix) const;
    /// Records that a request with the prompt is sent to the endpoint. Returns true if the endpoint
    /// was not known to hold the prompt.
    bool notePrompt(const std::vector<PromptPrefix> &prefixes, const EndpointRecord &endpoint,
                    bool isCopied);
    /// The prompt directory if routers share it, else null. In a large fleet a router gets few
    /// requests of each prompt, and routers cannot announce all prompts to each other. If each
    /// router used only its own observations, more endpoints would process the same prompt.
    const PromptDirectory *sharedPrompts() const;
    /// Limit of this router's concurrent requests to the model engines of a service.
    ConcurrencyLimit &concurrencyLimit(const Base::ServiceId &service);
    /// Processes an endpoint's load report. Wakes waiting requests if more slots are free now.
    void loadReported(EndpointRecord &endpoint, const LoadReport &report);
    /// Counts headers of the endpoint that could not be decoded, and logs the first of each name.
    void noteUndecodable(const EndpointRecord &endpoint, const HeadFacts &facts,
                         const Base::RequestId &request);
    /// Whether this router can reach no endpoint of the service, but some are open for requests of
    /// routers that reach them.
    bool isCutOffFrom(const Base::ServiceId &service) const;
    /// Whether this router can reach at most half of the endpoints of the service that are open.
    bool isMostlyCutOffFrom(const Base::ServiceId &service) const;
    /// Logs when the router loses its connections to all endpoints, and when one is back.
    void logIsolation();
    /// Something shows that the endpoint's process may have ended and started again, at another
    /// software version.
    void doubtSoftware(EndpointRecord &endpoint, std::string_view evidence);
    /// The same for what shows within \a age of the end that there is no process. Tells peers.
    void endpointHasEnded(EndpointRecord &endpoint, std::string_view evidence, Base::Duration age);
    void wireSoftwareDoubts();
    void checkProcess(const EndpointPtr &endpoint, Base::MonoTime aliveAt, Base::Duration age,
                      bool isPeerReport);
    /// A connection to the endpoint broke. \a isStale tells that it may have broken long before.
    void connectionBroke(const EndpointPtr &endpoint, Base::MonoTime aliveAt, bool isStale);
    void idleConnectionEnded(const Runtime::SocketAddress &server);
    void softwareConfirmed(const EndpointRecord &endpoint, const std::vector<StreamHash> &streams);
    /// Reads the entries of endpoints twice, which confirms the versions of those that live.
    void confirmSoftware();
    /// The same if endpoints are in doubt that run this version according to their entries.
    void confirmSoftwareFor(const Base::ServiceId &service, SoftwareHash software);
    void uncertainStreamBegan(EndpointRecord &endpoint, StreamHash stream);
    void endpointCrashed(const CrashWatch::Report &report);
    void recordRequestCrashes(const CrashWatch::Report &report);
    void noteQuarantined(RequestFingerprint request, std::string_view from);
    void wirePartQuarantine();
    void notePartQuarantined(PartHash part, std::string_view from, std::size_t crashes);
    /// Cache memory of one endpoint of a service; 0 if unknown.
    Base::Tokens memoryOf(const Base::ServiceId &service) const;
    /// The same if requests are limited by it; 0 if they are not.
    Base::Tokens limitingMemoryOf(const Base::ServiceId &service) const;

    Options m_options;
    std::shared_ptr<const Fleet::Configuration> m_configuration;
    EndpointRegistry m_endpoints;
    LoadSharing m_loadSharing;
    EndpointHealth m_health;
    Reachability m_reachability;
    bool m_isIsolated = false; ///< No endpoint is reachable.
    PeerRouters m_peers;
    Placement m_placement;
    FleetRetryBudget m_retryBudget;
    LoadShedder m_loadShedder;
    AdmissionQueue m_admissionQueue;
    absl::flat_hash_map<Base::ServiceId, ConcurrencyLimit> m_concurrencyLimits;
    BacklogControl m_backlog;
    PromptDirectory m_prompts;
    absl::flat_hash_map<Base::ServiceId, Capacity::RequestSizeMeans> m_requestSizes;
    Capacity::TokenReservations m_tokenReservations;
    RequestQuarantine m_quarantine;
    PartQuarantine m_partQuarantine;
    bool m_areQuarantinesKnown = false;
    /// Whether all versions are known that have served lately. If not, a service with a single
    /// version counts as mixed.
    bool m_isSoftwareHistoryKnown = false;
    CrashWatch m_crashWatch;
    ProcessCheck m_processCheck;
    StreamDirectory m_streams;
    StreamVersionLookup m_streamVersions;
    AnswerMemory m_answerMemory;
    UndecodableValues m_undecodableValues;
    /// Endpoints, by the hash of their start, whose processes are being checked.
    absl::flat_hash_set<std::uint64_t> m_processChecks;
    std::optional<Runtime::TimerId> m_confirmationTimer; ///< Until the second read of entries.
    std::set<Base::ServiceId> m_mixedServices; ///< Services of several versions, at last notice.
    std::size_t m_routerCount = 1;
    absl::flat_hash_set<std::shared_ptr<RequestRun>> m_runs;
    /// Cached counters, as finding a metric by its labels builds several strings.
    absl::flat_hash_map<Errors::ErrorKind, Metrics::Counter> m_refusals;
    absl::flat_hash_map<int, Metrics::Counter> m_answers; ///< By status.
};

} // namespace Lagoonbank::Gateway
