/// Plays all orders of a few events, at several time distances, for three routers and two
/// endpoints. To run it with four events in place of two: LAGOONBANK_SIMULATION_EVENTS=4
/// tst_simulatedorders
#define BOOST_TEST_MODULE tst_simulatedorders
#include <boost/test/unit_test.hpp>

#include "auto/simulation/play.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace Simulation;

namespace {

constexpr std::size_t eventsInCi = 2;
/// Time of the first event, when the fleet has settled.
constexpr std::int64_t firstEventMs = 4000;
/// Time from one event to the next: nearly simultaneous, within a read of the store, and within the
/// time that recovery from a fault takes.
constexpr std::array<std::int64_t, 3> distancesMs{50, 600, 1700};
/// Durations of a fault: long enough for entries to expire, and too short for that.
constexpr std::int64_t longFaultMs = 4500;
constexpr std::int64_t shortFaultMs = 1300;

/// Writes, store faults, expiry, restarts and cuts. Of routers with equal strength, router 0 reads
/// the store.
const std::vector<Step> &events()
{
    static const std::vector<Step> all{
        {.kind = StepKind::Configure, .value = 5000},
        {.kind = StepKind::Drain, .target = 0},
        {.kind = StepKind::Leave, .target = 1},
        {.kind = StepKind::Crash, .target = 0},
        {.kind = StepKind::StartAgain, .target = 1},
        {.kind = StepKind::StoreRefuses, .durationMs = longFaultMs},
        {.kind = StepKind::StoreLosesAnswers, .durationMs = shortFaultMs},
        {.kind = StepKind::StoreForgets},
        {.kind = StepKind::StoreSilentForOne, .durationMs = shortFaultMs, .target = 0},
        {.kind = StepKind::CutBothWays, .durationMs = shortFaultMs, .target = 0, .other = 1},
        {.kind = StepKind::CutOneWay, .durationMs = longFaultMs, .target = 1, .other = 0},
        {.kind = StepKind::Kill, .durationMs = 300, .target = 0},
        {.kind = StepKind::Freeze, .durationMs = longFaultMs, .target = 0},
    };
    return all;
}

struct Summary
{
    std::size_t histories = 0;
    std::set<std::uint64_t> states;
    std::map<std::string, int> failing;
};

void playOne(const std::vector<std::size_t> &order, std::int64_t distanceMs, Summary &summary)
{
    History history{.seed = 1, .dataCentres = {2, 1}, .endpoints = 2};
    for (const std::size_t event : order) {
        Step step = events()[event];
        step.atMs = firstEventMs + distanceMs * static_cast<std::int64_t>(history.steps.size());
        history.steps.push_back(step);
    }
    const Outcome outcome = play(history);
    ++summary.histories;
    summary.states.insert(outcome.states.begin(), outcome.states.end());
    if (outcome.violation && ++summary.failing[outcome.violation->rule] == 1) {
        std::cout << outcome.violation->rule << ": " << outcome.violation->detail << " after "
                  << outcome.violation->atMs << " ms\n"
                  << toText(history) << std::endl;
    }
}

void playOrders(std::vector<std::size_t> &order, std::size_t count, Summary &summary)
{
    if (order.size() == count) {
        for (const std::int64_t distance : distancesMs)
            playOne(order, distance, summary);
        return;
    }
    for (std::size_t event = 0; event < events().size(); ++event) {
        if (std::find(order.begin(), order.end(), event) != order.end())
            continue;
        order.push_back(event);
        playOrders(order, count, summary);
        order.pop_back();
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(allEventOrdersSatisfyTheRules)
{
    const char *text = std::getenv("LAGOONBANK_SIMULATION_EVENTS");
    Summary summary;
    std::vector<std::size_t> order;
    playOrders(order, text ? std::stoul(text) : eventsInCi, summary);
    std::cout << summary.histories << " histories, " << summary.states.size() << " states"
              << std::endl;
    for (const auto &[rule, times] : summary.failing)
        BOOST_TEST(times == 0, rule << ": " << times << " histories");
}
