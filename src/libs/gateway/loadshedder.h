#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <random>
#include <string>

namespace Lagoonbank::Gateway {

/// A count that forgets what is old: half of it in each half-life.
class DecayingCount
{
public:
    void add(Base::MonoTime now, Base::Duration halfLife);
    double value(Base::MonoTime now, Base::Duration halfLife) const;

private:
    double m_count = 0;
    Base::MonoTime m_at{};
};

/// What of a request decides whether it goes before others when there is not room for all.
struct Claimant
{
    Base::ServiceId service;
    std::string route; ///< Its kind of request.
    Base::WorkspaceId workspace; ///< Empty for an anonymous request.
    int priority = 0; ///< 0 is most urgent.
    Base::Duration targetLatency{};
    std::optional<Base::Duration> patience; ///< How long its caller will still wait.
};

/// Decides who is refused when a service's endpoints cannot take all requests: less urgent requests
/// find the endpoints full sooner, workspaces that ask for far more than their part as well, and
/// nobody is refused for ever. Says when a refused caller had better come back.
///
/// Each router decides by the requests that it sees itself. Pure: time is an argument.
class LoadShedder
{
public:
    struct Options
    {
        /// Part of an endpoint's places that is kept for each step of urgency (selective circuit
        /// reservation, E.412). In tst_loadshedder's model 0.03 to 0.06 keep the order of urgency
        /// at 1.3 to 3 times the load; 0.1 and more leave places empty that less urgent ones could
        /// have.
        double reservedPerStep = 0.05;
        /// Steps of urgency that are told apart; below them all are alike.
        int steps = 3;
        /// A workspace that asks for so many times its equal part counts as a step less urgent.
        double greedyFactor = 2.5;
        /// A kind of request, or a workspace, that is served under this part of what all are served
        /// goes first until it is not. The users count less than a quarter as starved.
        double starvedShare = 0.45;
        /// In which the longest patience of a route's callers is forgotten, by each request.
        double patienceKept = 0.995;
        /// For what is counted: bursts last some seconds.
        Base::Duration halfLife = std::chrono::seconds(3);
        /// Fewer requests than this say nothing of a kind or a workspace.
        double leastAsked = 6;
        /// When to come back, as a part of the target latency: while the answer can still be in
        /// time. Places become free each few ms, to whoever asks then; a later return finds as many
        /// others.
        double returnShare = 0.3;
        std::uint64_t randomSeed = 1;
    };

    explicit LoadShedder(const Options &options)
        : m_options(options)
        , m_random(static_cast<std::uint32_t>(options.randomSeed))
    { }

    /// A request has come.
    void asked(const Claimant &claimant, Base::MonoTime now);
    /// A request has been sent to an endpoint for the first time.
    void admitted(const Claimant &claimant, Base::MonoTime now);
    /// Part of an endpoint's places that may be taken when this request is sent there.
    double usableShare(const Claimant &claimant, Base::MonoTime now) const;
    /// For a request that is refused as there is no room; spread, so that callers do not return
    /// together.
    Base::Duration retryAfter(Base::Duration targetLatency);

private:
    struct Tally
    {
        DecayingCount asked;
        DecayingCount admitted;
        // Of a route.
        int priority = 0; ///< That of its last request.
        Base::Duration patience{}; ///< The longest that its callers have lately.
    };
    struct ServiceTally
    {
        Tally all;
        absl::flat_hash_map<std::string, Tally> routes;
        absl::flat_hash_map<Base::WorkspaceId, Tally> workspaces;
    };

    /// Steps by which the request is less urgent than the most urgent ones that come.
    int stepOf(const ServiceTally &service, const Claimant &claimant, Base::MonoTime now) const;
    /// Whether the caller has waited past the target latency already, in a try before: it has less
    /// patience left than others have at first.
    static bool isLate(const Tally &route, const Claimant &claimant);
    double servedShare(const Tally &tally, Base::MonoTime now) const;
    bool isStarved(const ServiceTally &service, const Tally &tally, Base::MonoTime now) const;
    bool isGreedy(const ServiceTally &service, const Tally &workspace, Base::MonoTime now) const;

    Options m_options;
    std::minstd_rand m_random;
    absl::flat_hash_map<Base::ServiceId, ServiceTally> m_services;
};

} // namespace Lagoonbank::Gateway
