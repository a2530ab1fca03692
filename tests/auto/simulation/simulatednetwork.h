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
using Place = std::size_t;

/// The links between routers: datagrams that may be lost, and pulls over TCP with their limits of
/// time (see FleetSync::FleetLink).
class SimulatedNetwork
{
public:
    struct Options
    {
        Lagoonbank::Runtime::TimerQueue *world = nullptr;
        std::uint64_t seed = 1;
        /// Whether two places are in one data centre, where links are short.
        std::function<bool(Place a, Place b)> isNear;
        /// Runs something in the router at a place, now or when it is thawed; not at all if it is
        /// down or restarts before. Gives back whether the VM's router is there.
        std::function<bool(Place at, std::function<void()> step)> post;
    };
    using Answer = std::function<Lagoonbank::Schema::FleetStateAnswer()>;
    using Ended = std::function<void(const Lagoonbank::Schema::FleetStateAnswer *answer)>;

    explicit SimulatedNetwork(Options options)
        : m_options(std::move(options))
    { }

    void datagram(Place from, Place to, std::function<void()> arrive);
    /// \a answer runs at the peer; \a ended in the asker, without an answer if there was none.
    void pull(Place from, Place to, const Answer &answer, Ended ended);

    // Faults; counts and sums, since they may overlap.
    void cut(Place from, Place to, int change) { m_cuts[{from, to}] += change; }
    void lose(Place at, int percent) { m_lossPercent[at] += percent; }
    void slowDown(Place at, int change) { m_slow[at] += change; }

private:
    bool isCut(Place from, Place to) const;
    RandomSource &random(Place from, Place to);
    Lagoonbank::Base::Duration delay(Place from, Place to);
    Lagoonbank::Base::Duration transferTime(Place from, Place to,
                                            const Lagoonbank::Schema::FleetStateAnswer &state);
    void transfer(Place from, Place to, Lagoonbank::Schema::FleetStateAnswer state, Ended ended,
                  Lagoonbank::Base::Duration silence);
    void giveUp(Place from, Lagoonbank::Base::Duration after, Ended ended);

    Options m_options;
    std::map<std::pair<Place, Place>, int> m_cuts;
    std::map<Place, int> m_lossPercent;
    std::map<Place, int> m_slow;
    std::map<std::pair<Place, Place>, RandomSource> m_randoms;
};

} // namespace Simulation
