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

/// A sum that forgets what is old: half of it in each half-life.
class DecayingSum
{
public:
    void add(double value, Base::MonoTime now, Base::Duration halfLife);
    double value(Base::MonoTime now, Base::Duration halfLife) const;

private:
    double m_sum = 0;
    Base::MonoTime m_at{};
};

/// What of a request decides whether it goes before others when there is not room for all.
struct AdmissionRequest
{
    Base::ServiceId service;
    std::string route; ///< Its kind of request.
    Base::WorkspaceId workspace; ///< Empty for an anonymous request.
    Urgency urgency;
    Base::Duration targetLatency{};
    std::optional<Base::Duration> patience; ///< How long its caller will still wait.
};

/// Decides who is refused when a service's endpoints cannot take all requests: the places go to the
/// most urgent kinds as far as they ask for them and each kind keeps a least part; workspaces that
/// ask for far more than their part come after others, and nobody is refused for ever. Says when a
/// refused caller had better come back.
///
/// Each router decides by the requests that it sees itself. Pure: time is an argument.
class LoadShedder
{
public:
    struct Options
    {
        /// Part of the places that is kept for requests within the share of their kind (selective
        /// circuit reservation, E.412): what routers know of places is some requests off.
        double reservedShare = 0.15;
        /// Part of the places that a workspace that asks for so many times its equal part leaves
        /// free, and a caller that is past its target latency from an earlier try.
        double fairnessReserve = 0.05;
        double greedyFactor = 2.5;
        /// Part of what all are served that each kind of request gets at least. The users count
        /// less than a quarter as starved.
        double minShare = 0.35;
        /// A workspace that is served under this part of what all are goes before its equals.
        double starvedShare = 0.3;
        /// Of what has been served lately, so that a kind's share grows when places are free.
        double headroom = 1.1;
        /// In which the longest patience of a route's callers is forgotten, by each request.
        double patienceDecay = 0.995;
        /// For what is counted of kinds: bursts last some seconds.
        Base::Duration halfLife = std::chrono::seconds(3);
        /// For what is counted of workspaces, of whom a router sees few requests.
        Base::Duration workspaceHalfLife = std::chrono::seconds(12);
        /// Fewer requests than this say nothing of a kind or a workspace.
        double minRequests = 6;
        /// When to come back, as a part of the target latency: while the answer can still be in
        /// time. Places become free each few ms, to whoever asks then; a later return finds as many
        /// others.
        double retryAfterShare = 0.3;
        /// Shares of kinds are worked out again after this time, in which sums with a half-life of
        /// 3 s change by 0.5%...
        Base::Duration maxShareAge = std::chrono::milliseconds(20);
        /// ...or when so large a part of the requests is new: per look it was a walk over all
        /// kinds.
        double maxShareChange = 0.02;
        std::uint64_t randomSeed = 1;
    };

    explicit LoadShedder(const Options &options)
        : m_options(options)
        , m_random(static_cast<std::uint32_t>(options.randomSeed))
    { }

    /// A request has come.
    void requestArrived(const AdmissionRequest &admissionRequest, Base::MonoTime now);
    /// A request has been sent to an endpoint for the first time.
    void requestAdmitted(const AdmissionRequest &admissionRequest, Base::MonoTime now);
    /// A request that was sent has given its place back after \a held.
    void requestEnded(const AdmissionRequest &admissionRequest, Base::Duration held);
    /// Part of an endpoint's places that may be taken when this request is sent there.
    double usableShare(const AdmissionRequest &admissionRequest, Base::MonoTime now);
    /// For a request that is refused as there is no room; spread, so that callers do not return
    /// together.
    Base::Duration retryAfter(Base::Duration targetLatency);

private:
    struct Tally
    {
        DecayingSum requestArrived;
        DecayingSum requestAdmitted;
    };
    struct KindTally : Tally
    {
        double share = 1; ///< Of its requests, that it may have served.
    };
    struct Route
    {
        Base::Duration patience{}; ///< The longest that its callers have lately.
        std::optional<double> cost; ///< Seconds for which a request takes a place.
    };
    using Kind = std::pair<std::string, Urgency>; ///< Route and urgency.
    struct Service
    {
        Tally all;
        absl::flat_hash_map<std::string, Route> routes;
        std::map<Kind, KindTally> kinds;
        std::optional<Base::MonoTime> sharesComputedAt; ///< When their shares were worked out.
        int changes = 0; ///< Requests counted since.
        absl::flat_hash_map<Base::WorkspaceId, Tally> workspaces;
        DecayingSum workspaceArrivals; ///< Of all of them, with their half-life.
    };

    /// Whether its kind has been served less than the share that it may have.
    bool isWithinShare(Service &service, const AdmissionRequest &admissionRequest,
                       Base::MonoTime now) const;
    bool areSharesStale(const Service &service, Base::MonoTime now) const;
    /// Works out the shares of all kinds.
    void computeShares(Service &service, Base::MonoTime now) const;
    /// Whether the caller has waited past the target latency already, in a try before: it has less
    /// patience left than others have at first.
    static bool isLateRetry(const Service &service, const AdmissionRequest &admissionRequest);
    static double servedShare(const Tally &tally, Base::MonoTime now, Base::Duration halfLife);
    bool isStarved(const Service &service, const Tally &workspace, Base::MonoTime now) const;
    bool isGreedy(const Service &service, const Tally &workspace, Base::MonoTime now) const;
    /// Forgets kinds that nobody asks for any more, as the configuration changes.
    void removeIdleKinds(Service &service, Base::MonoTime now) const;

    Options m_options;
    std::minstd_rand m_random;
    absl::flat_hash_map<Base::ServiceId, Service> m_services;
};

} // namespace Lagoonbank::Gateway
