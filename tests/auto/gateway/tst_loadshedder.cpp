/// Scenario: callers send more than the engines can serve for a long time, because there are too
/// few engines, many crash at the peak, or there are several times the usual number of callers.
///
/// The kinds of request are those of the users' head office (plans, answers at the counter, tags),
/// at rates relative to the capacity of four engines with 64 slots each, such as 0.6, 1 and 2
/// times.
#define BOOST_TEST_MODULE tst_loadshedder
#include <boost/test/unit_test.hpp>

#include "auto/gateway/overloadmodel.h"

using namespace Lagoonbank;
using namespace Lagoonbank::Gateway;

namespace {

/// A \a load of 1 just fills all slots.
OverloadModel::Options headOffice(double load)
{
    const double scale = load * 55; // Requests per second of a kind with factor 1.
    return {.kinds = {{.name = "plan",
                       .priority = 1,
                       .requestsPerSecond = 0.7 * scale,
                       .seconds = 1.3,
                       .target = 0.8,
                       .timeout = 15},
                      {.name = "counter",
                       .priority = 0,
                       .requestsPerSecond = 1.0 * scale,
                       .seconds = 1.0,
                       .target = 0.3,
                       .timeout = 12},
                      {.name = "tag",
                       .priority = 2,
                       .requestsPerSecond = 1.1 * scale,
                       .seconds = 0.1,
                       .target = 0.4,
                       .timeout = 3}}};
}

} // namespace

BOOST_AUTO_TEST_CASE(noRequestIsRefusedBelowCapacity)
{
    OverloadModel model(headOffice(0.6));
    model.run();
    const OverloadModel::Tally all = model.all();
    BOOST_TEST(all.refused == 0);
    BOOST_TEST(all.abandoned == 0);
    BOOST_TEST(all.timely() > 0.99);
}

BOOST_AUTO_TEST_CASE(doubleLoadIsServedInTimeUpToCapacity)
{
    OverloadModel::Options options = headOffice(2);
    options.isShedding = false;
    OverloadModel withoutShedding(options);
    withoutShedding.run();
    // All requests queue, and those served are late.
    BOOST_TEST(withoutShedding.all().timely() < 0.2);
    OverloadModel model(headOffice(2));
    model.run();
    BOOST_TEST_MESSAGE("in time " << withoutShedding.all().timely() << " without, "
                                  << model.all().timely() << " with shedding");
    BOOST_TEST(model.all().timely() > 0.38); // The capacity suffices for half of them.
    BOOST_TEST(model.all().abandoned < 0.03 * model.all().callers);
}

/// The capacity suffices for the most urgent kind, but the total demand exceeds it several times.
BOOST_AUTO_TEST_CASE(mostUrgentKindIsServedUpToCapacity)
{
    const struct
    {
        double load;
        double minTimely; ///< Minimum timely share of the most urgent kind.
    } cases[] = {{1.3, 0.92}, {2.0, 0.75}, {3.0, 0.48}};
    for (const auto &[load, minTimely] : cases) {
        OverloadModel model(headOffice(load));
        model.run();
        for (const char *name : {"counter", "plan", "tag"}) {
            const auto &kind = model.kind(name);
            BOOST_TEST_MESSAGE("load " << load << " " << name << " timely " << kind.timely()
                                       << " served " << kind.served());
        }
        BOOST_TEST(model.kind("counter").timely() > minTimely);
    }
}

/// Scenario: workspaces have priorities of their own, as all of the users' workspaces have, so that
/// the priority of a request does not distinguish its kind.
BOOST_AUTO_TEST_CASE(urgentKindIsServedFirstAmongWorkspacesOfEqualPriority)
{
    OverloadModel::Options options = headOffice(2);
    options.urgentWorkspaces = 1;
    OverloadModel model(options);
    model.run();
    const OverloadModel::Tally others = model.otherWorkspaces();
    BOOST_TEST_MESSAGE("urgent workspace " << model.workspace(0).served() << ", others "
                                           << others.served() << "; counter "
                                           << model.kind("counter").served() << ", plan "
                                           << model.kind("plan").served());
    BOOST_TEST(model.workspace(0).served() > others.served() + 0.2);
    BOOST_TEST(model.kind("counter").served() > model.kind("plan").served() + 0.2);
    BOOST_TEST(model.kind("counter").served() > model.kind("tag").served() + 0.2);
}

BOOST_AUTO_TEST_CASE(urgentKindsAreServedFirstAndNoKindIsStarved)
{
    for (const double load : {1.3, 2.0, 3.0}) {
        BOOST_TEST_CONTEXT("load " << load)
        {
            OverloadModel model(headOffice(load));
            model.run();
            const double all = model.all().served();
            for (const char *name : {"plan", "counter", "tag"})
                BOOST_TEST(model.kind(name).served() > 0.3 * all);
            BOOST_TEST(model.kind("counter").served() > model.kind("tag").served() - 0.05);
            BOOST_TEST(model.kind("counter").served() > model.kind("plan").served() - 0.05);
        }
    }
}

/// Scenario: four of five engines are lost, and most prompts with them. The prompts of all chats
/// have to be prefilled again at the one that is left, which takes much longer than an answer with
/// a cached prompt. Failure: while it prefills, callers are refused whose prompts it has cached.
BOOST_AUTO_TEST_CASE(cachedPromptsAreServedFirstAfterMostEnginesAreLost)
{
    OverloadModel::Options options{.kinds = {{.name = "report",
                                              .priority = 1,
                                              .requestsPerSecond = 40,
                                              .seconds = 0.7,
                                              .target = 1,
                                              .timeout = 15,
                                              .prompts = 300,
                                              .prefillSeconds = 1},
                                             {.name = "explanation",
                                              .requestsPerSecond = 40,
                                              .seconds = 0.7,
                                              .target = 0.4,
                                              .timeout = 12}},
                                   .engines = 5,
                                   .measuredFrom = 10,
                                   .enginesLostFrom = 10,
                                   .enginesLostUntil = 30,
                                   .lostEngines = 4};
    OverloadModel before(options);
    before.run();
    options.knowsCachedPrompts = true;
    OverloadModel model(options);
    model.run();
    for (const char *name : {"report", "explanation"}) {
        BOOST_TEST_MESSAGE(name << " served " << before.kind(name).served() << " and "
                                << model.kind(name).served() << ", in time "
                                << before.kind(name).timely() << " and "
                                << model.kind(name).timely());
    }
    BOOST_TEST(model.all().served() > before.all().served() + 0.03);
    BOOST_TEST(model.all().timely() > before.all().timely() + 0.03);
    BOOST_TEST(model.kind("explanation").served() > before.kind("explanation").served() - 0.02);
    BOOST_TEST(model.kind("report").served() > 0.25 * model.all().served());
}

/// Scenario: one workspace sends eight times its usual requests. The capacity suffices for the
/// others.
BOOST_AUTO_TEST_CASE(greedyWorkspaceDoesNotDisplaceOthers)
{
    OverloadModel::Options options = headOffice(1.5);
    options.firstWorkspaceRequestFactor = 8;
    OverloadModel model(options);
    model.run();
    const OverloadModel::Tally others = model.otherWorkspaces();
    BOOST_TEST_MESSAGE("greedy " << model.workspace(0).served() << ", others " << others.served());
    BOOST_TEST(others.served() > model.workspace(0).served() + 0.1);
    BOOST_TEST(model.workspace(0).served() > 0.25 * model.all().served());
}

BOOST_AUTO_TEST_CASE(retryAfterIsSpreadWithinTheTargetLatency)
{
    LoadShedder shedder({});
    const Base::Duration target = std::chrono::milliseconds(300);
    Base::Duration shortest = std::chrono::hours(1);
    Base::Duration longest{};
    for (int i = 0; i < 200; ++i) {
        const Base::Duration wait = shedder.retryAfter(target);
        shortest = std::min(shortest, wait);
        longest = std::max(longest, wait);
    }
    BOOST_TEST(Base::toMilliseconds(shortest) < 60);
    BOOST_TEST(Base::toMilliseconds(longest) > 110);
    BOOST_TEST((longest < target / 2));
}
