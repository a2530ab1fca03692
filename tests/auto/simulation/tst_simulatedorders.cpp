/// Plays all orders of a few events, at some distances in time, for three routers and two
/// endpoints. By hand, with four events in place of three: LAGOONBANK_SIMULATION_EVENTS=4
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
/// The fleet has settled.
constexpr std::int64_t firstMs = 4000;
/// From one event to the next: all at once, within a read, and within what a fault takes.
constexpr std::array<std::int64_t, 3> distancesMs{50, 600, 1700};
/// Long enough for entries to lapse, and too short for that.
constexpr std::int64_t longMs = 4500;
constexpr std::int64_t shortMs = 1300;

/// Appends, reads, losses, lapses, restarts and cuts. Of equal strength the router 0 reads.
const std::vector<Step> &events()
{
    static const std::vector<Step> all{
        {.kind = StepKind::Configure, .value = 5000},
        {.kind = StepKind::Drain, .target = 0},
        {.kind = StepKind::Leave, .target = 1},
        {.kind = StepKind::Crash, .target = 0},
        {.kind = StepKind::StartAgain, .target = 1},
        {.kind = StepKind::StoreRefuses, .durationMs = longMs},
        {.kind = StepKind::StoreLosesAnswers, .durationMs = shortMs},
        {.kind = StepKind::StoreForgets},
        {.kind = StepKind::StoreSilentForOne, .durationMs = shortMs, .target = 0},
        {.kind = StepKind::CutBothWays, .durationMs = shortMs, .target = 0, .other = 1},
        {.kind = StepKind::CutOneWay, .durationMs = longMs, .target = 1, .other = 0},
        {.kind = StepKind::Kill, .durationMs = 300, .target = 0},
        {.kind = StepKind::Freeze, .durationMs = longMs, .target = 0},
    };
    return all;
}

struct Tally
{
    std::size_t histories = 0;
    std::set<std::uint64_t> states;
    std::map<std::string, int> failing;
};

void playOne(const std::vector<std::size_t> &order, std::int64_t distanceMs, Tally &tally)
{
    History history{.seed = 1, .dataCentres = {2, 1}, .endpoints = 2};
    for (const std::size_t event : order) {
        Step step = events()[event];
        step.atMs = firstMs + distanceMs * static_cast<std::int64_t>(history.steps.size());
        history.steps.push_back(step);
    }
    const Outcome outcome = play(history);
    ++tally.histories;
    tally.states.insert(outcome.states.begin(), outcome.states.end());
    if (outcome.violation && ++tally.failing[outcome.violation->rule] == 1) {
        std::cout << outcome.violation->rule << ": " << outcome.violation->detail << " after "
                  << outcome.violation->atMs << " ms\n"
                  << toText(history) << std::endl;
    }
}

void playOrders(std::vector<std::size_t> &order, std::size_t count, Tally &tally)
{
    if (order.size() == count) {
        for (const std::int64_t distance : distancesMs)
            playOne(order, distance, tally);
        return;
    }
    for (std::size_t event = 0; event < events().size(); ++event) {
        if (std::find(order.begin(), order.end(), event) != order.end())
            continue;
        order.push_back(event);
        playOrders(order, count, tally);
        order.pop_back();
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(allOrdersKeepTheRules)
{
    const char *text = std::getenv("LAGOONBANK_SIMULATION_EVENTS");
    Tally tally;
    std::vector<std::size_t> order;
    playOrders(order, text ? std::stoul(text) : eventsInCi, tally);
    std::cout << tally.histories << " histories, " << tally.states.size() << " states" << std::endl;
    for (const auto &[rule, times] : tally.failing)
        BOOST_TEST(times == 0, rule << ": " << times << " histories");
}
