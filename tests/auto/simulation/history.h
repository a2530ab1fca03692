#pragma once

#include "base/units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Simulation {

/// The faults and events of a history. The comments say what `target`, `other` and `value` of a
/// step mean.
enum class StepKind : std::uint8_t {
    StoreRefuses, ///< For all routers: calls fail without effect.
    StoreSilent, ///< For all routers: calls have no effect and get no answer.
    StoreLosesAnswers, ///< For all routers: calls take effect, but answers may be lost.
    StoreSlow, ///< For all routers: answers take longer.
    StoreForgets, ///< Drops all records but the newest of each key.
    StoreRefusesOne, ///< target: a router.
    StoreSilentForOne, ///< target: a router.
    CutOneWay, ///< target: a router; other: a router that its packets do not reach.
    CutBothWays, ///< target, other: two routers.
    CutDataCentre, ///< target: a router whose data centre is cut off; value 1: also from the
                   ///< store.
    Lossy, ///< target: a router; value: percentage of its datagrams that are lost.
    SlowLink, ///< target: a router.
    Freeze, ///< target: a router, whose process is stopped until the end.
    Kill, ///< target: a router, which restarts at the end.
    KillAll, ///< All routers, which restart at the end.
    Replace, ///< target: a router; a new one starts at its address at the end.
    Drain, ///< target: an endpoint.
    Leave, ///< target: an endpoint.
    Crash, ///< target: an endpoint.
    StartAgain, ///< target: an endpoint, which restarts; other 1: at the same address; value:
                ///< a RestartTime.
    Unreadable, ///< target: an endpoint, whose entry is overwritten by an unreadable one.
    LateWrite, ///< target: an endpoint; see SimulatedEndpoints::writeLate().
    Configure, ///< value: size of the new configuration in bytes.
    StoreRestored ///< For all routers: calls fail; at the end the store comes back as it was value
                  ///< ms before the step.
};
constexpr std::size_t stepKindCount = 24;
/// historyFromSeed() draws from the kinds before this one, so that a seed keeps its history.
constexpr auto firstKindNotDrawn = StepKind::StoreRestored;

/// A fault, which ends after its duration, or an event without a duration.
struct Step
{
    StepKind kind = StepKind::Configure;
    std::int64_t atMs = 0; ///< Time since the start of the history.
    std::int64_t durationMs = 0;
    std::size_t target = 0;
    std::size_t other = 0;
    std::size_t value = 0;

    bool operator==(const Step &) const = default;
};

/// Complete input of a simulation run; the same history always runs identically.
struct History
{
    std::uint64_t seed = 1; ///< Seed of random draws such as delays and losses.
    std::vector<std::size_t> dataCentres{2, 2}; ///< Number of routers in each data centre.
    std::size_t endpoints = 3;
    std::vector<Step> steps;
};

History historyFromSeed(std::uint64_t seed);
/// The same history with one or two restorations of the store from an older copy.
History historyWithRestorations(std::uint64_t seed);
std::int64_t endOfStepsMs(const History &history);
/// The history as a C++ initialiser, which can be pasted into a test.
std::string toText(const History &history);

} // namespace Simulation
