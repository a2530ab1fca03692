#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "gateway/urgencyshares.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>

namespace Lagoonbank::Gateway {

/// A sum whose terms decay exponentially: by half in each half-life.
class DecayingSum
{
public:
    void add(double value, Base::MonoTime now, Base::Duration halfLife);
    double value(Base::MonoTime now, Base::Duration halfLife) const;

private:
    double m_sum = 0;
    Base::MonoTime m_updatedAt{};
};

/// The attributes of a request by which admission is decided when the capacity does not suffice for
/// all requests.
struct AdmissionRequest
{
    Base::ServiceId service;
    std::string route; ///< Name of the route, which stands for the kind of request.
    Base::WorkspaceId workspace; ///< Empty for an anonymous request.
    Urgency urgency;
    Base::Duration targetLatency{};
    /// Time until the timeout of the caller; empty if it is not known.
    std::optional<Base::Duration> remainingTimeout;
    /// Whether some endpoint holds the shared prompt in its cache. If not, one has to prefill it,
    /// which may take as much of its time as several requests with a cached prompt.
    bool isPromptCached = true;
};

/// Decides which requests are refused when the endpoints of a service cannot take all of them. The
/// slots go to the most urgent kinds of request as far as these need them, while each kind keeps a
/// minimum share. A kind is a route together with an urgency. Workspaces that send far more than
/// their fair share are served after others, and no workspace is starved. Also determines when a
/// refused caller should retry.
///
/// Each router decides by the requests that it receives itself. The class reads no clock; time is
/// an argument.
class LoadShedder
{
public:
    struct Options
    {
        /// Share of the slots that is reserved for requests within the share of their kind
        /// (selective circuit reservation, ITU-T E.412). It also covers the error in the routers'
        /// counts of free slots, which is a few requests.
        double reservedShare = 0.15;
        /// Share of the slots that a greedy workspace leaves free for others, and so does a retry
        /// of a caller that has already waited for longer than its target latency.
        double fairnessReserve = 0.05;
        /// Share of the slots that requests with uncached prompts leave free for others while less
        /// than scarceShare of all requests are served. Prefilling fewer prompts at a time leaves
        /// endpoints more time for requests that they can answer soon.
        double cachedReserve = 0.25;
        double scarceShare = 0.9;
        /// A workspace is greedy if it sends more than this multiple of its fair share.
        double greedyFactor = 2.5;
        /// Minimum served share of each kind of request, relative to the served share of all
        /// requests. The users regard less than a quarter as starvation.
        double minShare = 0.35;
        /// A workspace is starved, and takes precedence over its equals, if its served share is
        /// below this part of the served share of all requests.
        double starvedShare = 0.3;
        /// Factor applied to the capacity that requests used recently, so that the shares of kinds
        /// grow when slots become free.
        double headroom = 1.1;
        /// Factor that each request applies to the longest recent timeout of its route's callers.
        double timeoutDecay = 0.995;
        /// Half-life of the request counts of kinds. Bursts of requests last some seconds.
        Base::Duration halfLife = std::chrono::seconds(3);
        /// Half-life of the request counts of workspaces. It is longer because a router receives
        /// few requests of each workspace.
        Base::Duration workspaceHalfLife = std::chrono::seconds(12);
        /// Minimum number of requests of a workspace before it can be greedy or starved.
        double minRequests = 6;
        /// Time after which a refused caller should retry, relative to the target latency, so that
        /// the answer can still be in time. A longer delay would not improve the chances of the
        /// retry: slots become free every few milliseconds, and at any time about the same number
        /// of requests compete for them.
        double retryAfterShare = 0.3;
        /// Maximum age of the computed shares of kinds. Sums with a half-life of 3 s change by 0.5%
        /// in this time.
        Base::Duration maxShareAge = std::chrono::milliseconds(20);
        /// The shares are also computed anew once the arrivals and admissions since the last
        /// computation exceed this part of the recent requests. Computing them for each decision
        /// would walk over all kinds each time.
        double maxShareChange = 0.02;
        std::uint64_t randomSeed = 1;
    };

    explicit LoadShedder(const Options &options)
        : m_options(options)
        , m_random(static_cast<std::uint32_t>(options.randomSeed))
    { }

    void requestArrived(const AdmissionRequest &request, Base::MonoTime now);
    /// Records that a request was sent to an endpoint for the first time.
    void requestAdmitted(const AdmissionRequest &request, Base::MonoTime now);
    /// Records that an admitted request has released its slot after \a held.
    void requestEnded(const AdmissionRequest &request, Base::Duration held);
    /// Share of an endpoint's slots that may be in use for this request to be sent there.
    double usableShare(const AdmissionRequest &request, Base::MonoTime now);
    /// Time after which a caller refused for lack of capacity should retry. Randomized, so that
    /// callers do not return together.
    Base::Duration retryAfter(Base::Duration targetLatency);

private:
    struct Tally
    {
        DecayingSum arrivals;
        DecayingSum admissions;
    };
    struct KindTally : Tally
    {
        double share = 1; ///< Share of its requests that may be served.
    };
    struct Route
    {
        /// Longest recent remaining timeout of its callers, decayed by each request.
        Base::Duration remainingTimeout{};
        std::optional<double> cost; ///< Average time, in seconds, that a request occupies a slot.
    };
    using Kind = std::pair<std::string, Urgency>; ///< Route and urgency.
    struct Service
    {
        Tally all;
        absl::flat_hash_map<std::string, Route> routes;
        std::map<Kind, KindTally> kinds;
        std::optional<Base::MonoTime> sharesComputedAt;
        int changes = 0; ///< Arrivals and admissions since the shares were computed.
        absl::flat_hash_map<Base::WorkspaceId, Tally> workspaces;
        DecayingSum workspaceArrivals; ///< Sum over all workspaces, with their half-life.
    };

    /// Whether the request's kind has been served less than its share.
    bool isWithinShare(Service &service, const AdmissionRequest &request, Base::MonoTime now) const;
    bool areSharesStale(const Service &service, Base::MonoTime now) const;
    /// Computes the shares of all kinds.
    void computeShares(Service &service, Base::MonoTime now) const;
    /// Whether this is a retry of a caller that has waited for longer than the target latency. This
    /// is inferred from its remaining timeout, which is that much shorter than the longest timeout
    /// of the route's callers.
    static bool isLateRetry(const Service &service, const AdmissionRequest &request);
    static double servedShare(const Tally &tally, Base::MonoTime now, Base::Duration halfLife);
    bool isStarved(const Service &service, const Tally &workspace, Base::MonoTime now) const;
    bool isGreedy(const Service &service, const Tally &workspace, Base::MonoTime now) const;
    /// Removes kinds without recent requests if the service has many kinds. Kinds of removed routes
    /// remain after a configuration change.
    void removeIdleKinds(Service &service, Base::MonoTime now) const;

    Options m_options;
    std::minstd_rand m_random;
    absl::flat_hash_map<Base::ServiceId, Service> m_services;
};

} // namespace Lagoonbank::Gateway
