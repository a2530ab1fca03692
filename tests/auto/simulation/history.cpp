#include "auto/simulation/history.h"

#include "auto/simulation/randomsource.h"

#include <algorithm>
#include <array>
#include <sstream>

namespace Simulation {

namespace {

constexpr std::array<const char *, stepKindCount> kindNames{"StoreRefuses",
                                                            "StoreSilent",
                                                            "StoreLosesAnswers",
                                                            "StoreSlow",
                                                            "StoreForgets",
                                                            "StoreRefusesOne",
                                                            "StoreSilentForOne",
                                                            "CutOneWay",
                                                            "CutBothWays",
                                                            "CutDataCentre",
                                                            "Lossy",
                                                            "SlowLink",
                                                            "Freeze",
                                                            "Kill",
                                                            "KillAll",
                                                            "Replace",
                                                            "Drain",
                                                            "Leave",
                                                            "Crash",
                                                            "StartAgain",
                                                            "Unreadable",
                                                            "LateWrite",
                                                            "Configure",
                                                            "StoreRestored"};

constexpr std::uint64_t maxDataCentres = 3;
constexpr std::uint64_t maxRouters = 3; ///< Per data centre.
constexpr std::uint64_t maxEndpoints = 5;
constexpr std::uint64_t maxSteps = 8;
/// The fleet starts within 0.3 s, so that some histories have faults during the start.
constexpr std::uint64_t maxStepStartMs = 14000;
/// Long enough for entries to expire, after 3.6 s, and for every timeout.
constexpr std::uint64_t maxFaultDurationMs = 7000;
constexpr std::uint64_t maxExtraLossPercent = 60;
/// Size of a compressed configuration with 1,400 routes.
constexpr std::uint64_t maxExtraConfigurationBytes = 90000;
constexpr std::uint64_t restartTimeCount = 3;
constexpr std::uint64_t maxRestorations = 2;
/// A store is restored within a moment, from a copy that is some seconds old.
constexpr std::uint64_t maxRestorationMs = 4000;
constexpr std::uint64_t maxCopyAgeMs = 6000;

std::size_t randomValue(StepKind kind, RandomSource &random)
{
    switch (kind) {
    case StepKind::CutDataCentre:
        return random.below(2);
    case StepKind::Lossy:
        return 10 + random.below(maxExtraLossPercent);
    case StepKind::StartAgain:
        return random.below(restartTimeCount);
    case StepKind::Configure:
        return 1000 + random.below(maxExtraConfigurationBytes);
    default:
        return 0;
    }
}

Step randomStep(const History &history, std::size_t routers, RandomSource &random)
{
    Step step{
        .kind = static_cast<StepKind>(random.below(static_cast<std::uint64_t>(firstKindNotDrawn))),
        .atMs = static_cast<std::int64_t>(random.below(maxStepStartMs)),
        .durationMs = 100 + static_cast<std::int64_t>(random.below(maxFaultDurationMs))};
    const bool isEndpointStep = step.kind >= StepKind::Drain && step.kind <= StepKind::LateWrite;
    step.target = random.below(isEndpointStep ? history.endpoints : routers);
    step.other = isEndpointStep ? random.below(2) : random.below(routers);
    step.value = randomValue(step.kind, random);
    if (isEndpointStep || step.kind == StepKind::Configure || step.kind == StepKind::StoreForgets)
        step.durationMs = 0;
    return step;
}

void sortSteps(History &history)
{
    std::stable_sort(history.steps.begin(), history.steps.end(),
                     [](const Step &a, const Step &b) { return a.atMs < b.atMs; });
}

} // namespace

History historyFromSeed(std::uint64_t seed)
{
    RandomSource random(seed);
    History history{.seed = seed, .dataCentres = {}};
    const std::size_t dataCentres = 1 + random.below(maxDataCentres);
    std::size_t routers = 0;
    for (std::size_t i = 0; i < dataCentres; ++i) {
        history.dataCentres.push_back(1 + random.below(maxRouters));
        routers += history.dataCentres.back();
    }
    history.endpoints = 1 + random.below(maxEndpoints);
    const std::size_t steps = 1 + random.below(maxSteps);
    for (std::size_t i = 0; i < steps; ++i)
        history.steps.push_back(randomStep(history, routers, random));
    sortSteps(history);
    return history;
}

History historyWithRestorations(std::uint64_t seed)
{
    History history = historyFromSeed(seed);
    RandomSource random(~seed);
    const std::size_t restorations = 1 + random.below(maxRestorations);
    for (std::size_t i = 0; i < restorations; ++i) {
        history.steps.push_back(
            {.kind = StepKind::StoreRestored,
             .atMs = static_cast<std::int64_t>(random.below(maxStepStartMs)),
             .durationMs = 100 + static_cast<std::int64_t>(random.below(maxRestorationMs)),
             .value = random.below(maxCopyAgeMs)});
    }
    sortSteps(history);
    return history;
}

std::int64_t endOfStepsMs(const History &history)
{
    std::int64_t end = 0;
    for (const Step &step : history.steps)
        end = std::max(end, step.atMs + step.durationMs);
    return end;
}

std::string toText(const History &history)
{
    std::ostringstream text;
    text << "{.seed = " << history.seed << ",\n .dataCentres = {";
    for (std::size_t i = 0; i < history.dataCentres.size(); ++i)
        text << (i > 0 ? ", " : "") << history.dataCentres[i];
    text << "},\n .endpoints = " << history.endpoints << ",\n .steps = {";
    for (const Step &step : history.steps) {
        text << "\n    {.kind = StepKind::" << kindNames.at(static_cast<std::size_t>(step.kind))
             << ", .atMs = " << step.atMs;
        if (step.durationMs != 0)
            text << ", .durationMs = " << step.durationMs;
        if (step.target != 0)
            text << ", .target = " << step.target;
        if (step.other != 0)
            text << ", .other = " << step.other;
        if (step.value != 0)
            text << ", .value = " << step.value;
        text << "},";
    }
    text << "}}";
    return text.str();
}

} // namespace Simulation
