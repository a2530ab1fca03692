#define BOOST_TEST_MODULE workload
#include <boost/test/unit_test.hpp>

#include "experiment/workload.h"

#include <map>
#include <set>

using namespace Lagoonbank;
using namespace Lagoonbank::Experiment;

namespace {

Definition makeDefinition(std::uint64_t seed)
{
    ChatCall chat;
    chat.promptTokens = {5, 20, 100};
    chat.answerTokens = {1, 10, 40};
    chat.pauseSeconds = {0.5, 1, 3};
    chat.turns = {2, 5, 10};
    ServiceCall booking;
    booking.idempotent = false;
    booking.withKey = true;
    booking.duplicateShare = 0.5;
    booking.duplicateSeconds = {0.1, 0.1, 0.1};

    Definition definition;
    definition.seed = seed;
    definition.length = std::chrono::seconds(20);
    definition.workspaces = {
        {.workspace = Base::WorkspaceId("large"),
         .callsPerSecond = 100,
         .callers = 5,
         .kinds = {{"hint", 9, chat}, {"booking", 1, booking}}},
        {.workspace = Base::WorkspaceId("surging"),
         .callsPerSecond = 10,
         .surges = {{std::chrono::seconds(5), std::chrono::seconds(10), 10}},
         .kinds = {{"hint", 1, chat}}},
    };
    return definition;
}

std::vector<PlannedCall> callsOf(const Definition &definition)
{
    Workload workload(definition);
    std::vector<PlannedCall> calls;
    while (const auto call = workload.next())
        calls.push_back(*call);
    return calls;
}

bool isSame(const PlannedCall &a, const PlannedCall &b)
{
    return a.timeInRun == b.timeInRun && a.number == b.number && a.chat == b.chat
        && a.turn == b.turn && a.promptTokens == b.promptTokens && a.balancerDraw == b.balancerDraw;
}

std::size_t countBetween(const std::vector<PlannedCall> &calls, std::size_t workspace,
                         double fromSeconds, double toSeconds)
{
    std::size_t count = 0;
    for (const PlannedCall &call : calls) {
        const double seconds = Base::toSeconds(call.timeInRun);
        count +=
            call.workspace == workspace && seconds >= fromSeconds && seconds < toSeconds ? 1 : 0;
    }
    return count;
}

} // namespace

BOOST_AUTO_TEST_CASE(workloadDependsOnTheSeedAlone)
{
    const auto first = callsOf(makeDefinition(7));
    const auto second = callsOf(makeDefinition(7));
    const auto other = callsOf(makeDefinition(8));
    BOOST_REQUIRE(first.size() == second.size());
    BOOST_TEST(std::equal(first.begin(), first.end(), second.begin(), isSame));
    BOOST_TEST(!isSame(first.front(), other.front()));
}

BOOST_AUTO_TEST_CASE(callsAreSortedAndMatchTheRate)
{
    const auto calls = callsOf(makeDefinition(7));
    BOOST_TEST(std::is_sorted(calls.begin(), calls.end(), [](const auto &a, const auto &b) {
        return a.timeInRun < b.timeInRun;
    }));
    // 20 s at 100/s plus duplicates of half of the bookings; the limits are five standard
    // deviations apart from the mean.
    const std::size_t large = countBetween(calls, 0, 0, 20);
    BOOST_TEST(large > 1850U);
    BOOST_TEST(large < 2350U);
}

BOOST_AUTO_TEST_CASE(surgeMultipliesTheRate)
{
    const auto calls = callsOf(makeDefinition(7));
    const std::size_t quiet = countBetween(calls, 1, 0, 5);
    const std::size_t surge = countBetween(calls, 1, 5, 10);
    BOOST_TEST(surge > 5 * quiet);
    BOOST_TEST(surge < 20 * quiet);
}

BOOST_AUTO_TEST_CASE(chatsReturnAfterTheirPause)
{
    std::map<std::uint64_t, PlannedCall> last;
    std::size_t returningCalls = 0;
    for (const PlannedCall &call : callsOf(makeDefinition(7))) {
        if (call.chat == 0)
            continue;
        const auto before = last.find(call.chat);
        if (before == last.end()) {
            BOOST_TEST(call.turn == 0);
        } else {
            ++returningCalls;
            BOOST_TEST(call.turn == before->second.turn + 1);
            BOOST_TEST(call.caller == before->second.caller);
            BOOST_TEST(!before->second.isLastTurn);
            BOOST_TEST(Base::toSeconds(call.timeInRun - before->second.timeInRun) >= 0.5);
        }
        last[call.chat] = call;
    }
    BOOST_TEST(returningCalls > 500U);
}

BOOST_AUTO_TEST_CASE(duplicateGoesThroughAnotherRouter)
{
    std::map<std::uint64_t, PlannedCall> firsts;
    std::size_t duplicates = 0;
    for (const PlannedCall &call : callsOf(makeDefinition(7))) {
        if (!call.isDuplicate) {
            firsts[call.number] = call;
            continue;
        }
        ++duplicates;
        const auto first = firsts.find(call.number);
        BOOST_REQUIRE(first != firsts.end());
        for (const Balancer balancer : {Balancer::Random, Balancer::Sticky})
            BOOST_TEST(chooseRouter(call, balancer, 6) != chooseRouter(first->second, balancer, 6));
    }
    BOOST_TEST(duplicates > 50U);
}

BOOST_AUTO_TEST_CASE(stickyCallersKeepTheirRouter)
{
    std::map<std::pair<std::size_t, int>, std::size_t> routers;
    std::set<std::size_t> used;
    for (const PlannedCall &call : callsOf(makeDefinition(7))) {
        if (call.isDuplicate)
            continue;
        const std::size_t router = chooseRouter(call, Balancer::Sticky, 6);
        const auto [known, isNew] = routers.emplace(std::pair(call.workspace, call.caller), router);
        BOOST_TEST((isNew || known->second == router));
        used.insert(router);
    }
    BOOST_TEST(used.size() > 1U);
}

BOOST_AUTO_TEST_CASE(typicalWorkIsTheMeanOverTheCalls)
{
    Definition definition = makeDefinition(7);
    BOOST_TEST(typicalWork(definition) == 20 + 8 * 10, boost::test_tools::tolerance(1e-9));
    definition.workspaces.clear();
    BOOST_TEST(typicalWork(definition) == 0);
}
