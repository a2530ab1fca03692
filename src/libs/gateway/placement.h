#pragma once

#include "gateway/endpointregistry.h"
#include "gateway/promptdirectory.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace Lagoonbank::Gateway {

/// One request, as far as its place depends on it.
struct PlacementRequest
{
    Base::ServiceId service;
    /// Requests with the same value share a prompt and belong on the same endpoint; nothing where
    /// endpoints cache nothing.
    std::optional<std::uint64_t> affinity;
    Base::Tokens sharedTokens; ///< Of the prompt that is shared.
    const PromptDirectory *prompts = nullptr; ///< Null: homes alone decide.
    Base::Tokens memory; ///< Of an endpoint of the service; 0 if it is not known.
    std::uint64_t requestHash = 0;
    Base::Duration targetLatency{};
    Base::Duration maxEventGap{};
    bool mayRepeat = false; ///< Only such a request finds out whether a suspected endpoint is back.
    bool checkCapacity = true; ///< Endpoints that have no place for the request are left out.
    bool excludeSuspected = true; ///< And so are those that failed lately.
    std::vector<EndpointPtr> tried; ///< Not to be taken again.
    /// Requests that this router may have at one endpoint; nothing for no limit.
    std::optional<std::size_t> connectionShare;
    /// Part of an endpoint's places that may be taken when the request is sent there; see
    /// LoadShedder.
    double usableShare = 1;
    /// Requests for each place that may wait for one at an endpoint: plain services are done with
    /// one in tens of ms, engines in seconds.
    double waitingPerSlot = 0;
};

/// Why an endpoint was taken.
enum class PlacementReason : std::uint8_t {
    Home, ///< First in the order of the request's affinity.
    Holder, ///< It holds the prompt, although others come before it in that order.
    HomeFilled, ///< Endpoints before it in that order have no memory for the prompt.
    HomeBusy, ///< Endpoints before it in that order had too much work.
    HomeSlow, ///< Endpoints before it in that order were too slow.
    LeastCost, ///< Soonest done, by its load and its speed, in which the way there shows.
    Trial, ///< Suspected before; finds out whether it is back.
    LastResort ///< All that can be reached are suspected; the one suspected longest ago.
};
std::string_view toString(PlacementReason reason);

struct PlacementResult
{
    EndpointPtr endpoint; ///< Null if there is none.
    PlacementReason reason = PlacementReason::Home;
    /// Another endpoint that probably holds the prompt, as all routers send it there; null for
    /// none.
    EndpointPtr cacheSource;
    double load = 0; ///< Of the endpoint, in requests.
    double meanLoad = 0; ///< Of the candidates.
    /// With which it still takes requests of this prompt; nothing for a request without one.
    std::optional<double> maximumLoad;
    std::size_t candidates = 0;
    bool isFull = false; ///< None of the candidates has room for the request.
    /// When the first one that rests takes requests again, if there is no endpoint but such.
    std::optional<Base::MonoTime> backOffUntil;
};

/// Chooses the endpoint of a request. Pure: state and time in, a place out.
class Placement
{
public:
    /// So many requests: a part of the mean load of the candidates, and some more.
    struct LoadThreshold
    {
        double factor = 1;
        double slack = 0;
        double at(double mean) const { return factor * mean + slack; }
    };
    struct Options
    {
        /// A cached prompt is left when its endpoint has this many times the mean load, plus
        /// `boundSlack`. The fleet's rule allows 2 and 3; late reports take up the rest.
        double boundFactor = 1.7;
        double boundSlack = 3;
        /// Endpoints whose load is not known count as having the usual one in the mean. Else a
        /// router that knows ten of 200 takes the mean for next to nothing, and prompts leave homes
        /// with three requests.
        bool usesAverageLoad = true;
        bool overflowsGradually = true;
        /// In a fleet of many routers a part of the requests leave their home from these loads on,
        /// the more the nearer it is to the bound: all routers hear a second late what it has, and
        /// would else leave and come back together. Short prompts leave first, as reading them
        /// again costs little.
        LoadThreshold shortPromptOverflow{.factor = 1.0, .slack = 0.5};
        LoadThreshold longPromptOverflow{.factor = 1.4, .slack = 1};
        /// In such a fleet, requests that find their home full go to any of the endpoints behind
        /// it: of so many for each request that it has too much. If all took the next one, it would
        /// be as full before the first of them hear of it.
        double overflowEndpointsPerRequest = 4;
        /// Each of them has to read the prompt or get a copy.
        double maximumOverflowEndpoints = 16;
        /// A prompt stays where it is held, though its home is another endpoint, up to these: new
        /// endpoints get their part of the work as soon as others have more than theirs.
        double holderBoundFactor = 1.3;
        double holderBoundSlack = 2;
        /// An endpoint is slow when it takes this part of the time that a request has...
        double slowShare = 0.6;
        /// ...and so many times what the others of its service take.
        double slowFactor = 2.5;
        /// In which half of what was learnt of an endpoint's speed is forgotten, so that one that
        /// has become fast again is found out.
        Base::Duration speedHalfLife = std::chrono::seconds(4);
        /// For which an endpoint that is new to its service counts as one without the prompts whose
        /// home it has become: chats return within this time or seldom.
        Base::Duration newEndpointPeriod = std::chrono::seconds(12);
        /// Prompts of fewer shared tokens are short: engines read 80 to 160 tokens in a
        /// millisecond.
        Base::Tokens shortPrompt{1500};
        /// With fewer routers each hears of an endpoint's load soon enough by itself: an engine
        /// answers some five requests a second, so that one of eight routers hears of it twice in
        /// three seconds, one of sixteen once, and one of eighty each 16 s (worked out).
        double largeFleetRouters = 10;
    };

    explicit Placement(Options options)
        : m_options(options)
    { }

    PlacementResult choose(const PlacementRequest &request, EndpointRegistry &registry,
                           Base::MonoTime now) const;
    /// Whether an endpoint that is trusted has room for the request.
    bool canPlace(const PlacementRequest &request, const EndpointRegistry &registry,
                  Base::MonoTime now) const;

private:
    struct Candidate
    {
        EndpointPtr endpoint;
        double load = 0;
        double cost = 0; ///< Its place in the order of the request's affinity; least first.
        bool isTrial = false;
    };
    using Candidates = std::vector<Candidate>;
    enum class Eligibility : std::uint8_t {
        Excluded, ///< Gets no such request.
        Full, ///< Would be a candidate if it could take more.
        Trial, ///< A candidate that has to prove itself.
        Candidate
    };
    struct CandidateSets
    {
        Candidates candidates;
        std::vector<EndpointPtr> full; ///< Would be candidates if they had room.
    };

    static Eligibility eligibilityOf(const PlacementRequest &request, const EndpointPtr &endpoint,
                                     const EndpointRegistry &registry, Base::MonoTime now);
    CandidateSets candidateSets(const PlacementRequest &request, const EndpointRegistry &registry,
                                Base::MonoTime now) const;
    static PlacementResult fullResult(const CandidateSets &choice, const EndpointRegistry &registry,
                                      Base::MonoTime now);
    PlacementResult chooseByAffinity(const PlacementRequest &request, CandidateSets choice,
                                     const EndpointRegistry &registry, Base::MonoTime now) const;
    double meanLoad(const PlacementRequest &request, const Candidates &candidates,
                    const EndpointRegistry &registry, Base::MonoTime now) const;
    static bool hasMemory(const PlacementRequest &request, const EndpointRecord &endpoint);
    EndpointPtr cacheSource(const PlacementRequest &request, const EndpointRegistry &registry,
                            const PlacementResult &place, Base::MonoTime now) const;
    /// Requests that an endpoint may have, this one included, for it to be sent there by affinity.
    double maximumLoad(const PlacementRequest &request, double mean,
                       const EndpointRegistry &registry) const;
    /// Endpoints behind its home that a request passes over although they would take it.
    std::size_t skippedEndpoints(const PlacementRequest &request, double homeLoad, double mean,
                                 const EndpointRegistry &registry) const;
    /// Whether routers hear of a load later than it changes.
    bool isLoadStale(const EndpointRegistry &registry) const
    {
        return m_options.overflowsGradually
            && registry.routerCount() >= m_options.largeFleetRouters;
    }
    LoadThreshold bound() const
    {
        return {.factor = m_options.boundFactor, .slack = m_options.boundSlack};
    }
    PlacementResult chooseByCost(const Candidates &candidates, Base::MonoTime now) const;
    static PlacementResult chooseLastResort(const PlacementRequest &request,
                                            const EndpointRegistry &registry, Base::MonoTime now);
    /// Sums over the candidates, in seconds.
    struct LatencySums
    {
        double latency = 0;
        double pause = 0;
        std::size_t count = 0;
    };
    LatencySums latencySums(const Candidates &candidates, Base::MonoTime now) const;
    /// Where the prompt is held; nothing if that is nowhere, or has too much work.
    std::optional<PlacementResult> chooseHolder(const PlacementRequest &request,
                                                const Candidates &candidates, double meanLoad,
                                                double mostAtHome, const LatencySums &speeds,
                                                Base::MonoTime now) const;
    bool isSlow(const PlacementRequest &request, const EndpointRecord &endpoint,
                const LatencySums &sum, Base::MonoTime now) const;

    Options m_options;
};

} // namespace Lagoonbank::Gateway
