#pragma once

#include "gateway/endpointregistry.h"
#include "gateway/memoryfit.h"
#include "gateway/promptdirectory.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace Lagoonbank::Gateway {

/// The properties of a request that determine which endpoint it is sent to.
struct PlacementRequest
{
    Base::ServiceId service;
    /// Hash of the shared prompt. Requests with the same value belong on the same endpoint. Unset
    /// if the endpoints of the service have no prompt cache.
    std::optional<std::uint64_t> affinity;
    Base::Tokens sharedTokens; ///< Length of the shared prompt.
    const PromptDirectory *prompts = nullptr; ///< If null, only the home endpoint is preferred.
    Base::Tokens memory; ///< Cache memory of each endpoint of the service; 0 if unknown.
    /// Unset if the KV cache memory of endpoints is not checked.
    std::optional<MemoryNeed> memoryNeed;
    std::uint64_t requestHash = 0;
    Base::Duration targetLatency{};
    Base::Duration maxEventGap{};
    /// Whether the request may be sent twice, so that it may serve as a trial of a suspected
    /// endpoint.
    bool mayRepeat = false;
    bool checkCapacity = true; ///< Excludes endpoints without a free slot.
    bool excludeSuspected = true; ///< Excludes endpoints that failed recently.
    std::vector<EndpointPtr> triedEndpoints; ///< Endpoints that are not tried again.
    /// The version that began the stream, if the request resumes one. Unset if any will do.
    std::optional<SoftwareHash> software;
    /// Maximum number of requests from this router in flight at one endpoint; unset for no limit.
    std::optional<std::size_t> connectionShare;
    /// Fraction of an endpoint's slots that may be in use for the request to be sent there.
    double usableShare = 1;
    /// Maximum number of requests per slot that may queue at an endpoint. Plain services complete a
    /// request in tens of milliseconds, so that a short queue is acceptable; engines take seconds.
    double waitingPerSlot = 0;
};

/// Why an endpoint was chosen.
enum class PlacementReason : std::uint8_t {
    Home, ///< Home endpoint: first in the rendezvous-hash order of the request's affinity.
    Holder, ///< Has the prompt in its cache, although others precede it in that order.
    HomeFilled, ///< Preceding endpoints have no cache memory left for the prompt.
    HomeBusy, ///< Preceding endpoints were overloaded.
    HomeSlow, ///< Preceding endpoints were too slow.
    LeastCost, ///< Shortest expected completion time by load and latency, network included.
    Trial, ///< Suspected; the request tests whether it has recovered.
    LastResort ///< All reachable endpoints are suspected; this one has been suspected the longest.
};
std::string_view toString(PlacementReason reason);

struct PlacementResult
{
    EndpointPtr endpoint; ///< Null if no endpoint can take the request.
    PlacementReason reason = PlacementReason::Home;
    /// Another endpoint that probably has the prompt in its cache, as all routers send it there;
    /// null if there is none.
    EndpointPtr cacheSource;
    double load = 0; ///< Load of the endpoint in requests.
    double meanLoad = 0; ///< Mean load of the candidates.
    /// Maximum load at which the endpoint may be chosen for the prompt of the request; unset if the
    /// request has no prompt.
    std::optional<double> maximumLoad;
    std::size_t candidateCount = 0;
    bool isFull = false; ///< No candidate has a free slot and the memory for the request.
    /// If full: the endpoint with a free slot that lacks the least memory; null if none has a slot.
    EndpointPtr memoryLacking;
    /// Time at which the first endpoint accepts requests again; set if all endpoints in service
    /// have asked routers to back off.
    std::optional<Base::MonoTime> backOffUntil;
};

/// Chooses the endpoint of a request. Does no I/O and reads no clock.
class Placement
{
public:
    /// Load threshold in requests: meanLoadFactor x mean load of the candidates + slack.
    struct LoadThreshold
    {
        double meanLoadFactor = 1;
        double slack = 0;
        double forMeanLoad(double mean) const { return meanLoadFactor * mean + slack; }
    };
    struct Options
    {
        /// Load bound: a request does not go to the home endpoint of its prompt if the load there
        /// exceeds boundFactor x mean load + boundSlack. The service level objective of the fleet
        /// allows 2 x mean load + 3; the difference allows for the delay of load reports.
        double boundFactor = 1.7;
        double boundSlack = 3;
        /// Endpoints of unknown load enter the mean with the average load. Otherwise a router that
        /// has reports of ten out of 200 endpoints computes a mean near zero, and requests leave
        /// homes that have only three requests.
        bool usesAverageLoad = true;
        /// Whether routers of a large fleet divert requests from a busy home gradually and to
        /// several endpoints, as described for the following options. Otherwise they leave the home
        /// only above the load bound.
        bool divertsLoadGradually = true;
        /// In a large fleet, requests start to overflow from their home at these loads. The
        /// fraction that overflows grows as the load approaches the bound. As all routers receive
        /// load reports about a second late, they would otherwise switch away from the home and
        /// back in step. Short prompts overflow first, as prefilling them again costs little.
        LoadThreshold shortPromptOverflow{.meanLoadFactor = 1.0, .slack = 0.5};
        LoadThreshold longPromptOverflow{.meanLoadFactor = 1.4, .slack = 1};
        /// In a large fleet, requests whose home is above the bound are spread over the endpoints
        /// that follow it in the rendezvous-hash order: this many endpoints for each request above
        /// the bound. If all routers chose the next endpoint, that would be overloaded before they
        /// receive its load.
        double overflowEndpointsPerRequest = 4;
        /// Maximum number of endpoints over which the overflow of one prompt is spread, as each has
        /// to prefill the prompt or copy its cache.
        double maximumOverflowEndpoints = 16;
        /// Load bound for a holder of the prompt that is not its home. It is lower than that of the
        /// home, so that new endpoints get their share as soon as the holders exceed theirs.
        double holderBoundFactor = 1.3;
        double holderBoundSlack = 2;
        /// An endpoint is slow if its latency exceeds both slowShare x target latency of the
        /// request and slowFactor x mean latency of the other candidates, or if its pauses exceed
        /// both slowShare x maximum pause of the route and slowFactor x mean pause of the others.
        double slowShare = 0.6;
        double slowFactor = 2.5;
        /// Half-life of measured latencies. They decay so that an endpoint that has recovered gets
        /// requests again.
        Base::Duration speedHalfLife = std::chrono::seconds(4);
        /// Time for which a new endpoint is assumed not to hold the prompts whose home it has
        /// become. Most chats that are continued send their next request within this time.
        Base::Duration newEndpointPeriod = std::chrono::seconds(12);
        /// Prompts with fewer shared tokens are short. Engines prefill 80 to 160 tokens per
        /// millisecond.
        Base::Tokens shortPrompt{1500};
        /// Minimum number of routers of a large fleet. An engine answers about five requests a
        /// second, and each answer reports its load to one router: each of 8 routers gets two
        /// reports in three seconds, each of 16 routers one, and each of 80 routers one in 16 s.
        /// With fewer routers than this the reports are recent enough.
        double largeFleetRouters = 10;
        /// Whether the expected completion time at an endpoint is multiplied by its slowdown.
        bool usesSlowdown = true;
    };

    explicit Placement(Options options)
        : m_options(options)
    { }

    PlacementResult choose(const PlacementRequest &request, EndpointRegistry &registry,
                           Base::MonoTime now) const;
    /// Whether a healthy endpoint, or one that is due for a trial, has a free slot for the request.
    bool canPlace(const PlacementRequest &request, const EndpointRegistry &registry,
                  Base::MonoTime now) const;
    /// Whether some endpoint could take the request now or later, once it is reachable, has a free
    /// slot or its software version is certain.
    static bool isServed(const PlacementRequest &request, const EndpointRegistry &registry);

private:
    struct Candidate
    {
        EndpointPtr endpoint;
        double load = 0;
        double cost = 0; ///< Rendezvous-hash cost for the request's affinity; lowest first.
        bool isTrial = false;
    };
    using Candidates = std::vector<Candidate>;
    enum class Eligibility : std::uint8_t {
        Excluded, ///< Must not get the request.
        Full, ///< Would be a candidate if it had a free slot.
        Trial, ///< Suspected, and due for a trial request.
        Candidate
    };
    struct CandidateSets
    {
        Candidates candidates;
        std::vector<EndpointPtr> full; ///< Would be candidates if they had a free slot.
    };

    static Eligibility eligibilityOf(const PlacementRequest &request, const EndpointPtr &endpoint,
                                     const EndpointRegistry &registry, Base::MonoTime now);
    CandidateSets candidateSets(const PlacementRequest &request, const EndpointRegistry &registry,
                                Base::MonoTime now) const;
    static PlacementResult fullResult(const PlacementRequest &request, const CandidateSets &sets,
                                      const EndpointRegistry &registry, Base::MonoTime now);
    PlacementResult chooseByAffinity(const PlacementRequest &request, CandidateSets sets,
                                     const EndpointRegistry &registry, Base::MonoTime now) const;
    double meanLoad(const PlacementRequest &request, const Candidates &candidates,
                    const EndpointRegistry &registry, Base::MonoTime now) const;
    static bool hasMemory(const PlacementRequest &request, const EndpointRecord &endpoint);
    EndpointPtr cacheSource(const PlacementRequest &request, const EndpointRegistry &registry,
                            const PlacementResult &result, Base::MonoTime now) const;
    /// Maximum load, including this request, at which an endpoint is chosen by affinity.
    double maximumLoad(const PlacementRequest &request, double mean,
                       const EndpointRegistry &registry) const;
    /// Number of eligible endpoints that the request skips to spread the overflow of its home.
    std::size_t skippedEndpoints(const PlacementRequest &request, double homeLoad, double mean,
                                 const EndpointRegistry &registry) const;
    /// Whether loads change faster than reports of them reach all routers.
    bool isLoadStale(const EndpointRegistry &registry) const
    {
        return m_options.divertsLoadGradually
            && registry.routerCount() >= m_options.largeFleetRouters;
    }
    LoadThreshold bound() const
    {
        return {.meanLoadFactor = m_options.boundFactor, .slack = m_options.boundSlack};
    }
    double knownMeanLatency(const Candidates &candidates, Base::MonoTime now) const;
    PlacementResult chooseByCost(const Candidates &candidates, const EndpointRegistry &registry,
                                 Base::MonoTime now) const;
    static PlacementResult chooseLastResort(const PlacementRequest &request,
                                            const EndpointRegistry &registry, Base::MonoTime now);
    /// Sums of the mean latencies and pauses of all candidates, in seconds.
    struct LatencySums
    {
        double latency = 0;
        double pause = 0;
        std::size_t count = 0;
    };
    LatencySums latencySums(const Candidates &candidates, Base::MonoTime now) const;
    /// Chooses an endpoint that holds the prompt; unset if there is none below its load bound that
    /// is not slow.
    std::optional<PlacementResult> chooseHolder(const PlacementRequest &request,
                                                const Candidates &candidates, double meanLoad,
                                                double homeLimit, const LatencySums &speeds,
                                                Base::MonoTime now) const;
    bool isSlow(const PlacementRequest &request, const EndpointRecord &endpoint,
                const LatencySums &sum, Base::MonoTime now) const;

    Options m_options;
};

} // namespace Lagoonbank::Gateway
