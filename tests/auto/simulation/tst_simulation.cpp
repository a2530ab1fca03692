/// Plays histories that are drawn from seeds. To run more of them:
/// LAGOONBANK_SIMULATION_FIRST=1 LAGOONBANK_SIMULATION_COUNT=50000 tst_simulation
/// LAGOONBANK_SIMULATION_TRACE=1 prints the router events of the minimised failing histories.
#define BOOST_TEST_MODULE tst_simulation
#include <boost/test/unit_test.hpp>

#include "auto/simulation/play.h"

#include <chrono>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <string>

using namespace Simulation;

namespace {

/// Number of histories that are played in CI; they take some seconds.
constexpr std::uint64_t countInCi = 300;
/// Maximum number of failing histories per rule that are minimised and printed.
constexpr int maxShown = 1;

std::uint64_t numberFrom(const char *variable, std::uint64_t defaultValue)
{
    const char *text = std::getenv(variable);
    return text ? std::stoull(text) : defaultValue;
}

void show(const History &failing, const Violation &violation)
{
    const History minimised = shrink(failing, violation);
    const Outcome outcome = play(minimised);
    std::cout << "seed " << failing.seed << ": " << violation.rule << ": " << violation.detail
              << " after " << violation.atMs << " ms\nminimised: " << outcome.violation->detail
              << " after " << outcome.violation->atMs << " ms\n"
              << toText(minimised) << std::endl;
    if (std::getenv("LAGOONBANK_SIMULATION_TRACE"))
        play(minimised, [](const std::string &line) { std::cout << line << '\n'; });
}

/// Plays the histories that \a historyOf returns for the seeds.
void playAll(const std::function<History(std::uint64_t seed)> &historyOf)
{
    const std::uint64_t first = numberFrom("LAGOONBANK_SIMULATION_FIRST", 1);
    const std::uint64_t count = numberFrom("LAGOONBANK_SIMULATION_COUNT", countInCi);
    const auto startedAt = std::chrono::steady_clock::now();
    std::map<std::string, int> failing;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        const History history = historyOf(seed);
        const auto violation = play(history).violation;
        if (violation && ++failing[violation->rule] <= maxShown)
            show(history, *violation);
    }
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - startedAt;
    std::cout << count << " histories in " << took.count() << " s" << std::endl;
    for (const auto &[rule, times] : failing)
        BOOST_TEST(times == 0, rule << ": " << times << " histories");
}

} // namespace

BOOST_AUTO_TEST_CASE(sameSeedGivesSameHistory)
{
    for (const std::uint64_t seed : {1U, 2U, 3U, 4U, 5U}) {
        const Outcome first = play(historyFromSeed(seed));
        const Outcome second = play(historyFromSeed(seed));
        BOOST_TEST(first.fingerprint == second.fingerprint, "seed " << seed);
        BOOST_TEST(first.fingerprint != 0U);
    }
}

BOOST_AUTO_TEST_CASE(historiesSatisfyTheRules)
{
    playAll(historyFromSeed);
}

BOOST_AUTO_TEST_CASE(historiesWithRestorationsOfTheStoreSatisfyTheRules)
{
    playAll(historyWithRestorations);
}
