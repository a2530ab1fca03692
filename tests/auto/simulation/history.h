#pragma once

#include "base/units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Simulation {

/// What may happen. Each kind tells what `who`, `other` and `value` of its step are.
enum class StepKind : std::uint8_t {
    StoreRefuses, ///< Everybody.
    StoreSilent, ///< Everybody.
    StoreLosesAnswers, ///< Everybody's.
    StoreSlow, ///< For everybody.
    StoreForgets, ///< All records but the newest of each key.
    StoreRefusesOne, ///< who: a router.
    StoreSilentForOne, ///< who: a router.
    CutOneWay, ///< who: a router; other: one that hears it no more.
    CutBothWays, ///< who, other: two routers.
    CutDataCentre, ///< who: a router whose data centre is cut off; value 1: from the store too.
    Lossy, ///< who: a router; value: percent of its datagrams.
    SlowLink, ///< who: a router.
    Freeze, ///< who: a router.
    Kill, ///< who: a router; it starts again at the end.
    KillAll, ///< They start again at the end.
    Replace, ///< who: a router; another one starts at its address at the end.
    Drain, ///< who: an endpoint.
    Leave, ///< who: an endpoint.
    Crash, ///< who: an endpoint.
    StartAgain, ///< who: an endpoint; other 1: at the same address; value: a RestartTime.
    Unreadable, ///< who: an endpoint.
    LateWrite, ///< who: an endpoint; see SimulatedEndpoints::writeLate().
    Configure ///< value: bytes of the new configuration.
};
constexpr std::size_t stepKindCount = 23;

/// One thing that happens; a fault ends by itself.
struct Step
{
    StepKind kind = StepKind::Configure;
    std::int64_t atMs = 0; ///< From the start of the history.
    std::int64_t durationMs = 0;
    std::size_t target = 0;
    std::size_t other = 0;
    std::size_t value = 0;

    bool operator==(const Step &) const = default;
};

/// All that is needed to play the same again.
struct History
{
    std::uint64_t seed = 1; ///< Of delays, losses and the like.
    std::vector<std::size_t> dataCentres{2, 2}; ///< Routers of each.
    std::size_t endpoints = 3;
    std::vector<Step> steps;
};

History historyFromSeed(std::uint64_t seed);
std::int64_t endOfStepsMs(const History &history);
/// As an initialiser that can be pasted into a test.
std::string toText(const History &history);

} // namespace Simulation
