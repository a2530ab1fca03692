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
                                                            "Configure"};

constexpr std::uint64_t mostDataCentres = 3;
constexpr std::uint64_t mostRouters = 3; ///< Of a data centre.
constexpr std::uint64_t mostEndpoints = 5;
constexpr std::uint64_t mostSteps = 8;
/// The fleet starts within 0.3 s; some histories trouble it while it does.
constexpr std::uint64_t lastStepMs = 14000;
/// Long enough for entries to lapse, after 3.6 s, and for whatever waits.
constexpr std::uint64_t longestFaultMs = 7000;
constexpr std::uint64_t mostPercent = 60;
constexpr std::uint64_t mostBytes = 90000; ///< Of a compressed configuration of 1,400 routes.
constexpr std::uint64_t newStarts = 3;

std::size_t valueOf(StepKind kind, RandomSource &random)
{
    switch (kind) {
    case StepKind::CutDataCentre:
        return random.below(2);
    case StepKind::Lossy:
        return 10 + random.below(mostPercent);
    case StepKind::StartAgain:
        return random.below(newStarts);
    case StepKind::Configure:
        return 1000 + random.below(mostBytes);
    default:
        return 0;
    }
}

Step stepOf(const History &history, std::size_t routers, RandomSource &random)
{
    Step step{.kind = static_cast<StepKind>(random.below(stepKindCount)),
              .atMs = static_cast<std::int64_t>(random.below(lastStepMs)),
              .durationMs = 100 + static_cast<std::int64_t>(random.below(longestFaultMs))};
    const bool isEndpoints = step.kind >= StepKind::Drain && step.kind <= StepKind::LateWrite;
    step.target = random.below(isEndpoints ? history.endpoints : routers);
    step.other = isEndpoints ? random.below(2) : random.below(routers);
    step.value = valueOf(step.kind, random);
    if (isEndpoints || step.kind == StepKind::Configure || step.kind == StepKind::StoreForgets)
        step.durationMs = 0;
    return step;
}

} // namespace

History historyFromSeed(std::uint64_t seed)
{
    RandomSource random(seed);
    History history{.seed = seed, .dataCentres = {}};
    const std::size_t dataCentres = 1 + random.below(mostDataCentres);
    std::size_t routers = 0;
    for (std::size_t i = 0; i < dataCentres; ++i) {
        history.dataCentres.push_back(1 + random.below(mostRouters));
        routers += history.dataCentres.back();
    }
    history.endpoints = 1 + random.below(mostEndpoints);
    const std::size_t steps = 1 + random.below(mostSteps);
    for (std::size_t i = 0; i < steps; ++i)
        history.steps.push_back(stepOf(history, routers, random));
    std::sort(history.steps.begin(), history.steps.end(),
              [](const Step &a, const Step &b) { return a.atMs < b.atMs; });
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
            text << ", .lastsMs = " << step.durationMs;
        if (step.target != 0)
            text << ", .who = " << step.target;
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
