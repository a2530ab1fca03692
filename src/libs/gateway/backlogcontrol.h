#pragma once

#include "base/units.h"
#include "gateway/loadshedder.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>
#include <random>

namespace Lagoonbank::Gateway {

/// Sheds load when the router itself lacks processor time. Its input is the queueing delay: the age
/// of the oldest work that the router has not processed yet.
///
/// A delay that stays above a target for an interval (as in CoDel) reduces the admitted share of
/// requests step by step. Requests of the lowest urgency are refused first, based on the arrival
/// rate of each urgency (as in DAGOR), and before them those of a workspace that sends far more
/// than the others. While the delay is below the target only such a workspace is limited, and
/// nothing is refused unless the router has been behind.
///
/// Covers all services together, because one event loop serves them. The class reads no clock; time
/// is an argument.
class BacklogControl
{
public:
    struct Options
    {
        /// Maximum acceptable queueing delay: a tenth of the shortest target latencies (150 to
        /// 300 ms), and some turns of an event loop that has a quarter of a core. DAGOR uses 20 ms.
        Base::Duration target = std::chrono::milliseconds(25);
        /// Time for which the delay has to exceed the target before load is shed, as in CoDel. A
        /// single long turn of the loop, such as reading a configuration (0.1 s), refuses nothing.
        Base::Duration interval = std::chrono::milliseconds(100);
        /// Factor applied to the admitted share after an interval in which the delay was above the
        /// target throughout.
        double decreaseFactor = 0.5;
        /// Added to the admitted share after an interval in which the delay was at or below the
        /// target at least once.
        double raise = 0.1;
        /// Minimum of the admitted share. Some requests are always admitted, so that the router
        /// notices when it has processor time again.
        double minAdmittedShare = 0.05;
        /// Minimum admitted share of the requests of each urgency, relative to the admitted share
        /// of all requests.
        double minShare = 0.35;
        /// A workspace that sends more than this multiple of the other workspaces' average is
        /// limited to that multiple, whether or not the delay is above the target. Callers that
        /// retry immediately therefore displace nobody else.
        double greedyFactor = 2.5;
        /// Half-life of the arrival counts. Bursts of requests last some seconds.
        Base::Duration halfLife = std::chrono::seconds(3);
        /// Minimum number of requests of a workspace before it can be limited.
        double minRequests = 6;
        /// Maximum value of retryAfter(). The timeouts of callers are a few seconds.
        Base::Duration maxRetryAfter = std::chrono::seconds(1);
        std::uint64_t randomSeed = 1;
    };

    explicit BacklogControl(const Options &options)
        : m_options(options)
        , m_random(static_cast<std::uint32_t>(options.randomSeed))
    { }

    /// Records an arriving request and returns whether to admit it. \a delay is the current age of
    /// the router's oldest unprocessed work.
    bool admits(const AdmissionRequest &request, Base::Duration delay, Base::MonoTime now);
    /// Time after which a refused caller should retry: once the waiting work is done, and later the
    /// smaller the admitted share is, so that the retries match the available processor time.
    /// Randomized, so that callers do not return together.
    Base::Duration retryAfter(Base::Duration delay);
    /// Share of the requests that is admitted while the delay is above the target.
    double admittedShare() const { return m_admittedShare; }

private:
    struct UrgencyLevel
    {
        DecayingSum arrivals;
        double share = 1; ///< Admitted share of this level's requests.
    };

    void count(const AdmissionRequest &request, Base::MonoTime now);
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
    /// Minimum delay in the current interval.
    Base::Duration m_minDelay = Base::Duration::max();
};

} // namespace Lagoonbank::Gateway
