/// Scenario: a fleet of many routers receives more requests than its engines can serve. Each router
/// receives load reports of an engine so seldom that all routers see free slots where there are
/// none.
///
/// The kinds of request are those of the users' bookings. A load of 1 fills all slots of the
/// engines, which have 32 each: 18 engines for 85 routers, and the same ratio in fleets of other
/// sizes.
#define BOOST_TEST_MODULE tst_concurrencylimit
#include <boost/test/unit_test.hpp>

#include "auto/gateway/overloadmodel.h"

using namespace Lagoonbank;
using namespace Lagoonbank::Gateway;
using std::chrono::milliseconds;

namespace {

/// A \a load of 1 just fills all slots.
OverloadModel::Options bookings(int routers, double load)
{
    constexpr int usersRouters = 85;
    constexpr int usersEngines = 18;
    const int engines = std::max(5, usersEngines * routers / usersRouters);
    load *= static_cast<double>(engines) / usersEngines;
    return {.kinds = {{.name = "hint",
                       .priority = 1,
                       .requestsPerSecond = 120 * load,
                       .seconds = 0.8,
                       .target = 0.5,
                       .timeout = 12,
                       .prompts = 209},
                      {.name = "question",
                       .priority = 0,
                       .requestsPerSecond = 211 * load,
                       .seconds = 0.6,
                       .target = 0.25,
                       .timeout = 10,
                       .prompts = 319},
                      {.name = "check",
                       .priority = 2,
                       .requestsPerSecond = 233 * load,
                       .seconds = 0.05,
                       .target = 0.25,
                       .timeout = 2.5,
                       .prompts = 406}},
            .routers = routers,
            .engines = engines,
            .slots = 32,
            .workspaces = 24,
            .isSharing = true,
            .isLimiting = true,
            .queue = 96,
            .seconds = 15,
            .measuredFrom = 5};
}

void print(const char *scenario, int routers, double load, const OverloadModel &model)
{
    const OverloadModel::Tally all = model.all();
    BOOST_TEST_MESSAGE(scenario << ", " << routers << " routers, load " << load << ": in time "
                                << all.timely() << ", served " << all.served() << ", rejected "
                                << static_cast<double>(model.rejected()) / all.callers);
}

LoadReport report(int waiting)
{
    return {.running = 32, .waiting = waiting, .slots = 32};
}

/// A router whose fair share is ten slots.
struct Fixture
{
    Fixture() { limit.setCapacity(850, 85); }
    void decrease(int times)
    {
        for (int i = 0; i < times; ++i) {
            now += milliseconds(400);
            limit.loadReported(report(20), limit.value(), now);
        }
    }

    ConcurrencyLimit limit{{}};
    Base::MonoTime now{std::chrono::hours(1)};
};

} // namespace

/// The engines can serve a share of 1 / load of the requests; half of that has to be in time.
BOOST_AUTO_TEST_CASE(overloadServesHalfOfTheCapacityInTime)
{
    for (const int routers : {24, 85, 300}) {
        for (const double load : {1.3, 2.0}) {
            OverloadModel model(bookings(routers, load));
            model.run();
            print("limited", routers, load, model);
            BOOST_TEST(model.all().timely() > 0.5 / load);
            BOOST_TEST(model.rejected() < 0.05 * model.all().callers);
        }
    }
}

BOOST_AUTO_TEST_CASE(noRequestIsRefusedBelowTheEnginesCapacity)
{
    for (const int routers : {24, 85, 300}) {
        OverloadModel model(bookings(routers, 0.6));
        model.run();
        print("limited", routers, 0.6, model);
        BOOST_TEST(model.all().refused < 0.005 * model.all().callers);
    }
}

/// Scenario: seven in ten engines are lost at once and return later. The remaining ones have slots
/// for three quarters of the requests.
BOOST_AUTO_TEST_CASE(goodputFollowsTheCapacityWithinFiveSeconds)
{
    OverloadModel::Options options = bookings(85, 1.3);
    options.engines = 60;
    options.lostEngines = 42;
    options.enginesLostFrom = 5;
    options.enginesLostUntil = 15;
    options.measuredFrom = 10;
    OverloadModel duringLoss(options);
    duringLoss.run();
    print("seven in ten engines lost", 85, 1.3, duringLoss);
    BOOST_TEST(duringLoss.all().timely() > 0.5 / 1.3);
    options.seconds = 30;
    options.measuredFrom = 20;
    OverloadModel afterReturn(options);
    afterReturn.run();
    print("engines are back", 85, 1.3, afterReturn);
    BOOST_TEST(afterReturn.all().timely() > 0.95);
}

/// Without the limit, requests fill the engines' queues and hardly any answer is in time.
BOOST_AUTO_TEST_CASE(recoversFromCongestionCollapse)
{
    OverloadModel::Options options = bookings(85, 4);
    options.isLimiting = false;
    OverloadModel collapsed(options);
    collapsed.run();
    print("not limited", 85, 4, collapsed);
    BOOST_TEST(collapsed.all().timely() < 0.1);
    options = bookings(85, 4);
    OverloadModel model(options);
    model.run();
    print("limited", 85, 4, model);
    BOOST_TEST(model.all().timely() > 0.5 / 4);
}

BOOST_AUTO_TEST_CASE(waitingRequestsLowerTheLimitAndFreeSlotsRaiseIt)
{
    Fixture f;
    const double initial = f.limit.value();
    f.decrease(1);
    BOOST_TEST(f.limit.value() < initial);
    const double lowered = f.limit.value();
    f.limit.loadReported(report(20), lowered, f.now); // Reflects requests sent before the decrease.
    BOOST_TEST(f.limit.value() == lowered);
    for (int i = 0; i < 100; ++i)
        f.limit.loadReported(report(0), f.limit.value(), f.now);
    BOOST_TEST(f.limit.value() > lowered + 2);
}

BOOST_AUTO_TEST_CASE(anUnreachedLimitIsNotRaised)
{
    Fixture f;
    f.decrease(3);
    const double lowered = f.limit.value();
    f.limit.loadReported(report(0), 1, f.now);
    BOOST_TEST(f.limit.value() == lowered);
}

BOOST_AUTO_TEST_CASE(limitIsAtLeastHalfOfTheFairShare)
{
    Fixture f;
    f.decrease(50);
    BOOST_TEST(f.limit.value() == 5);
    BOOST_TEST(f.limit.admits(4, 1));
    BOOST_TEST(!f.limit.admits(5, 1));
    BOOST_TEST(!f.limit.admits(4, 0.85)); // For less urgent requests.
}

BOOST_AUTO_TEST_CASE(limitIsNotEnforcedForFewRouters)
{
    ConcurrencyLimit limit{{}};
    limit.setCapacity(60, 6);
    BOOST_TEST(limit.admits(1000, 1));
}

/// Failure: most callers connect to one of 16 routers, and it refuses them at four times its fair
/// share of the slots, while the endpoints are nearly idle.
BOOST_AUTO_TEST_CASE(routerWithMostCallersMayUseTheSlotsOfOthers)
{
    ConcurrencyLimit limit{{}};
    limit.setCapacity(1152, 16);
    const LoadReport idle{.running = 8, .waiting = 0, .slots = 64};
    Base::MonoTime now{std::chrono::hours(1)};
    for (int answer = 0; answer < 1000; ++answer)
        limit.loadReported(idle, limit.value(), now);
    BOOST_TEST(limit.admits(1100, 1));
    BOOST_TEST(!limit.admits(1152, 1));
    // The endpoints become full: the limit is at the fair share again within a few seconds.
    const LoadReport full{.running = 64, .waiting = 20, .slots = 64};
    for (int second = 0; second < 10; ++second) {
        now += milliseconds(300);
        limit.loadReported(full, limit.value(), now);
    }
    BOOST_TEST(limit.value() < 72);
}

/// Near their capacity, endpoints have no room for more than a router's part and its reserve.
BOOST_AUTO_TEST_CASE(limitOfBusyEndpointsStaysNearTheFairShare)
{
    ConcurrencyLimit limit{{}};
    limit.setCapacity(1152, 16);
    const LoadReport busy{.running = 50, .waiting = 0, .slots = 64};
    for (int answer = 0; answer < 100000; ++answer)
        limit.loadReported(busy, limit.value(), {});
    BOOST_TEST(limit.value() <= 4 * 72 + 1);
}
