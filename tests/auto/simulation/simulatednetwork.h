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

/// Index of a VM; a router that replaces another one keeps its index.
using VmIndex = std::size_t;

/// The links between routers: datagrams, which may be lost, and pulls over TCP with the timeouts of
/// FleetSync::FleetLink.
class SimulatedNetwork
{
public:
    struct Options
    {
        Lagoonbank::Runtime::TimerQueue *worldTimers = nullptr;
        std::uint64_t seed = 1;
        /// Whether two VMs are in one data centre, where delays are short.
        std::function<bool(VmIndex a, VmIndex b)> isSameDataCentre;
        /// Runs a function in the router of a VM, now or when it resumes after a freeze; not at all
        /// if it is down or restarts before. Returns whether the VM has a running router.
        std::function<bool(VmIndex vm, std::function<void()> function)> post;
    };
    using Answer = std::function<Lagoonbank::Schema::FleetStateAnswer()>;
    using PullCallback = std::function<void(const Lagoonbank::Schema::FleetStateAnswer *answer)>;

    explicit SimulatedNetwork(Options options)
        : m_options(std::move(options))
    { }

    void sendDatagram(VmIndex from, VmIndex to, std::function<void()> arrive);
    /// \a answer runs in the peer. \a callback runs in the requesting router, with null if the pull
    /// failed.
    void pull(VmIndex from, VmIndex to, const Answer &answer, PullCallback callback);

    // Faults are counted or summed up, as they may overlap.
    void cut(VmIndex from, VmIndex to, int change) { m_cuts[{from, to}] += change; }
    void addLoss(VmIndex vm, int percent) { m_lossPercent[vm] += percent; }
    void slowDown(VmIndex vm, int change) { m_slow[vm] += change; }

private:
    bool isCut(VmIndex from, VmIndex to) const;
    RandomSource &random(VmIndex from, VmIndex to);
    Lagoonbank::Base::Duration delay(VmIndex from, VmIndex to);
    Lagoonbank::Base::Duration transferTime(VmIndex from, VmIndex to,
                                            const Lagoonbank::Schema::FleetStateAnswer &state);
    void transfer(VmIndex from, VmIndex to, Lagoonbank::Schema::FleetStateAnswer state,
                  PullCallback callback, Lagoonbank::Base::Duration stalled);
    void failPull(VmIndex from, Lagoonbank::Base::Duration after, PullCallback callback);

    Options m_options;
    std::map<std::pair<VmIndex, VmIndex>, int> m_cuts;
    std::map<VmIndex, int> m_lossPercent;
    std::map<VmIndex, int> m_slow;
    std::map<std::pair<VmIndex, VmIndex>, RandomSource> m_randoms;
};

} // namespace Simulation
