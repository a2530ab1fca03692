#pragma once

#include "base/units.h"
#include "gateway/loadshedder.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>
#include <random>

namespace Lagoonbank::Gateway {

/// Decides who is refused when the router itself is short of processor time: it knows how old the
/// oldest work is that it has not looked at. A delay that stays above a target for an interval
/// (CoDel) lowers the part of the requests that are taken, step by step; the least urgent are
/// refused first, by the rate at which each urgency asks (DAGOR), and a workspace that asks for far
/// more than the others before them. While the delay is under the target only such a workspace is
/// refused, and nobody while the router has not been behind.
///
/// Of all services together, as one loop serves them. Pure: time is an argument.
class BacklogControl
{
public:
    struct Options
    {
        /// A tenth of the shortest target latencies (150 to 300 ms), and some turns of a loop that
        /// has a quarter of a core. DAGOR's target is 20 ms.
        Base::Duration target = std::chrono::milliseconds(25);
        /// A single long turn, as for reading a configuration (0.1 s), refuses nobody. CoDel's.
        Base::Duration interval = std::chrono::milliseconds(100);
        /// What is taken after an interval that was above the target throughout, as a part of what
        /// was taken before.
        double decreaseFactor = 0.5;
        /// Added to the part that is taken after an interval in which the delay was under it.
        double raise = 0.1;
        /// Taken at least, to learn whether there is time again.
        double minAdmittedShare = 0.05;
        /// Part of what all get that each urgency gets at least; see LoadShedder.
        double minShare = 0.35;
        /// A workspace that asks for more than so many times what the others do on average gets no
        /// more than that, behind or not: who repeats at once displaces nobody else.
        double greedyFactor = 2.5;
        /// For what is counted: bursts last some seconds.
        Base::Duration halfLife = std::chrono::seconds(3);
        /// Fewer requests of a workspace than this say nothing.
        double minRequests = 6;
        /// The latest time to come back; callers wait some seconds at most.
        Base::Duration maxRetryAfter = std::chrono::seconds(1);
        std::uint64_t randomSeed = 1;
    };

    explicit BacklogControl(const Options &options)
        : m_options(options)
        , m_random(static_cast<std::uint32_t>(options.randomSeed))
    { }

    /// A request has come while the router's oldest work was \a delay old; whether it is taken.
    bool admits(const AdmissionRequest &admissionRequest, Base::Duration delay, Base::MonoTime now);
    /// For one that is not: when the work that waits is done, later the fewer are taken, so that as
    /// many come as there is time for; spread, so that callers do not return together.
    Base::Duration retryAfter(Base::Duration delay);
    /// Part of the requests that is taken while the delay is above the target.
    double admittedShare() const { return m_admittedShare; }

private:
    struct UrgencyLevel
    {
        DecayingSum arrivals;
        double share = 1; ///< Of its requests, that are taken.
    };

    void count(const AdmissionRequest &admissionRequest, Base::MonoTime now);
    void adapt(Base::Duration delay, Base::MonoTime now);
    void computeShares(Base::MonoTime now);
    double workspaceShare(const Base::WorkspaceId &workspace, Base::MonoTime now) const;

    Options m_options;
    std::minstd_rand m_random;
    std::map<Urgency, UrgencyLevel> m_urgencyLevels;
    absl::flat_hash_map<Base::WorkspaceId, DecayingSum> m_workspaces;
    DecayingSum m_arrivals;
    double m_admittedShare = 1;
    Base::MonoTime m_intervalStart;
    Base::Duration m_minDelay = Base::Duration::max(); ///< In this interval.
};

} // namespace Lagoonbank::Gateway
