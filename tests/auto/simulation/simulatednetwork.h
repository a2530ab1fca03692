#pragma once

#include "auto/simulation/randomsource.h"

#include "runtime/timerqueue.h"
#include "schema/generated/fleetsync.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace Simulation {

/// Number of a VM; a router that replaces another one keeps it.
using VmIndex = std::size_t;

/// The links between routers: datagrams that may be lost, and pulls over TCP with their limits of
/// time (see FleetSync::FleetLink).
class SimulatedNetwork
{
public:
    struct Options
    {
        Lagoonbank::Runtime::TimerQueue *worldTimers = nullptr;
        std::uint64_t seed = 1;
        /// Whether two places are in one data centre, where links are short.
        std::function<bool(VmIndex a, VmIndex b)> isSameDataCentre;
        /// Runs something in the router at a place, now or when it is thawed; not at all if it is
        /// down or restarts before. Gives back whether the VM's router is there.
        std::function<bool(VmIndex at, std::function<void()> step)> post;
    };
    using Answer = std::function<Lagoonbank::Schema::FleetStateAnswer()>;
    using PullCallback = std::function<void(const Lagoonbank::Schema::FleetStateAnswer *answer)>;

    explicit SimulatedNetwork(Options options)
        : m_options(std::move(options))
    { }

    void sendDatagram(VmIndex from, VmIndex to, std::function<void()> arrive);
    /// \a answer runs at the peer; \a ended in the asker, without an answer if there was none.
    void pull(VmIndex from, VmIndex to, const Answer &answer, PullCallback ended);

    // Faults; counts and sums, since they may overlap.
    void cut(VmIndex from, VmIndex to, int change) { m_cuts[{from, to}] += change; }
    void addLoss(VmIndex at, int percent) { m_lossPercent[at] += percent; }
    void slowDown(VmIndex at, int change) { m_slow[at] += change; }

private:
    bool isCut(VmIndex from, VmIndex to) const;
    RandomSource &random(VmIndex from, VmIndex to);
    Lagoonbank::Base::Duration delay(VmIndex from, VmIndex to);
    Lagoonbank::Base::Duration transferTime(VmIndex from, VmIndex to,
                                            const Lagoonbank::Schema::FleetStateAnswer &state);
    void transfer(VmIndex from, VmIndex to, Lagoonbank::Schema::FleetStateAnswer state,
                  PullCallback ended, Lagoonbank::Base::Duration silence);
    void failPull(VmIndex from, Lagoonbank::Base::Duration after, PullCallback ended);

    Options m_options;
    std::map<std::pair<VmIndex, VmIndex>, int> m_cuts;
    std::map<VmIndex, int> m_lossPercent;
    std::map<VmIndex, int> m_slow;
    std::map<std::pair<VmIndex, VmIndex>, RandomSource> m_randoms;
};

} // namespace Simulation
