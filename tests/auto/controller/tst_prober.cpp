#define BOOST_TEST_MODULE Prober
#include <boost/test/unit_test.hpp>

#include "controller/prober.h"
#include "fakeengines.h"

using namespace Lagoonbank;
using namespace Lagoonbank::Controller;
using Base::operator""ms;
using Base::operator""s;

namespace {

/// Controllers of one data centre that share the probing of its endpoints.
struct Bench
{
    Bench(int members, int endpoints)
    {
        std::vector<std::string> names;
        names.reserve(static_cast<std::size_t>(members));
        for (int i = 0; i < members; ++i)
            names.push_back("vm" + std::to_string(i));
        std::vector<Prober::Target> targets;
        targets.reserve(static_cast<std::size_t>(endpoints));
        for (int i = 0; i < endpoints; ++i)
            targets.push_back({Base::EndpointId("e" + std::to_string(i)),
                               {"10.0.0.1", static_cast<std::uint16_t>(i)}});
        for (const std::string &name : names) {
            probers.push_back(std::make_unique<Prober>(
                Prober::Options{.timers = &timers,
                                .calls = engines.calls(),
                                .member = name,
                                .takeFromBudget = [this](std::size_t bytes) {
                                    return hasBudget && (spent += bytes) > 0;
                                }}));
            Prober &prober = *probers.back();
            prober.setMembers(names);
            prober.setTargets(targets);
            prober.reported = [this](const Base::EndpointId &endpoint, const LoadAnswer &load,
                                     Base::MonoTime sampledAt) {
                ++reports[endpoint];
                BOOST_TEST(load.work.value() == 7.5);
                BOOST_TEST((clock.now() - sampledAt >= 40ms));
            };
            prober.failed = [this](const Base::EndpointId &endpoint, const std::string &) {
                ++failures[endpoint];
            };
            prober.start();
        }
    }
    void run(Base::Duration duration)
    {
        for (Base::Duration elapsed{}; elapsed < duration; elapsed += 50ms) {
            clock.advance(50ms);
            timers.runDue();
            engines.deliver();
        }
    }

    Runtime::ManualClock clock;
    Runtime::TimerQueue timers{clock};
    FakeEngines engines;
    bool hasBudget = true;
    std::size_t spent = 0;
    std::map<Base::EndpointId, int> reports;
    std::map<Base::EndpointId, int> failures;
    std::vector<std::unique_ptr<Prober>> probers;
};

} // namespace

BOOST_AUTO_TEST_CASE(controllersShareTheEndpointsWithinTheBudget)
{
    struct Case
    {
        int members;
        int endpoints;
    };
    for (const Case each : {Case{1, 1}, Case{2, 3}, Case{6, 10}, Case{6, 100}, Case{1, 100}}) {
        Bench bench(each.members, each.endpoints);
        constexpr int seconds = 60;
        bench.run(std::chrono::seconds(seconds));
        BOOST_TEST_CONTEXT(each.members << " controllers, " << each.endpoints << " endpoints")
        {
            // Every endpoint is probed, and no controller exceeds its share of the budget.
            BOOST_TEST(bench.reports.size() == static_cast<std::size_t>(each.endpoints));
            std::size_t shares = 0;
            for (const auto &prober : bench.probers)
                shares += prober->probedEndpointCount();
            BOOST_TEST(shares
                       == static_cast<std::size_t>(each.endpoints * std::min(each.members, 2)));
            constexpr double maxBytesPerSecond = 1500;
            constexpr double firstProbeBytes = 600;
            const double maxBytes = each.members * maxBytesPerSecond * seconds
                + firstProbeBytes * static_cast<double>(shares);
            BOOST_TEST(static_cast<double>(bench.spent) <= maxBytes);
        }
    }
}

BOOST_AUTO_TEST_CASE(probesAreDeferredWhileBudgetIsExhausted)
{
    Bench bench(1, 3);
    int deferred = 0;
    bench.probers[0]->deferred = [&] { ++deferred; };
    bench.run(2s);
    bench.hasBudget = false;
    const std::map<Base::EndpointId, int> before = bench.reports;
    BOOST_TEST(before.size() == 3U);
    bench.run(5s);
    BOOST_TEST((bench.reports == before));
    BOOST_TEST(deferred > 0);
    bench.hasBudget = true;
    bench.run(2s);
    for (const auto &[endpoint, reports] : bench.reports)
        BOOST_TEST(reports > before.at(endpoint));
}

BOOST_AUTO_TEST_CASE(unresponsiveEndpointDoesNotDelayOthers)
{
    Bench bench(1, 2);
    bench.engines[0].isDown = true;
    bench.run(5s);
    BOOST_TEST(bench.failures[Base::EndpointId("e0")] >= 4);
    BOOST_TEST(bench.reports[Base::EndpointId("e1")] >= 4);
    bench.engines[0].isDown = false;
    bench.run(2s);
    BOOST_TEST(bench.reports[Base::EndpointId("e0")] >= 1);
}
