/// Scenario: a router receives several times the requests that its share of a processor can
/// forward, or its event loop stalls for a while. Unread requests become older than their callers'
/// timeouts.
#define BOOST_TEST_MODULE tst_backlogcontrol
#include <boost/test/unit_test.hpp>

#include "auto/gateway/slowroutermodel.h"

using namespace Lagoonbank;
using namespace Lagoonbank::Gateway;
using std::chrono::milliseconds;

namespace {

/// Load of the users' head office: answers at the counter, tags and plans.
SlowRouterModel::Options headOffice(double load)
{
    return {
        .kinds = {{.name = "counter", .priority = 0, .weight = 1.0, .target = 0.3, .timeout = 1},
                  {.name = "tag", .priority = 2, .weight = 1.1, .target = 0.4, .timeout = 1},
                  {.name = "plan", .priority = 1, .weight = 0.7, .target = 0.8, .timeout = 3}},
        .load = load};
}

/// Several times the usual number of callers, some of which retry immediately, and one of ten
/// workspaces sends far more than the others.
SlowRouterModel::Options overload(unsigned seed)
{
    SlowRouterModel::Options options = headOffice(0.7);
    options.burstLoadFactor = 4;
    options.firstWorkspaceRequestFactor = 6;
    options.immediateRetries = 3;
    options.seed = seed;
    options.isAgeKnown = false; // Shows admission control alone.
    return options;
}

void report(SlowRouterModel &model, const std::string &scenario)
{
    BOOST_TEST_MESSAGE(
        scenario << ": in time " << model.all().timely() << ", served " << model.all().served()
                 << " (counter " << model.kind("counter").served() << ", plan "
                 << model.kind("plan").served() << ", tag " << model.kind("tag").served()
                 << "), refusals " << model.refusals() << ", sent for callers who left "
                 << model.sentForCallersWhoLeft() << ", oldest " << model.maxDelay()
                 << " s, behind until " << model.lastBacklogTime());
}

/// Day 1 is an overload. On day 2 the event loop also stalls in the middle of it, as when a large
/// configuration is read.
SlowRouterModel::Options overloadDay(int number)
{
    SlowRouterModel::Options options = overload(number == 1 ? 7 : 13);
    if (number == 2) {
        options.stallSeconds = 0.6;
        options.isAgeKnown = true; // No backlog is detected in the first 0.1 s after the stall.
    }
    return options;
}

} // namespace

BOOST_AUTO_TEST_CASE(withoutControlRequestsAreSentForCallersWhoLeft)
{
    for (const int day : {1, 2}) {
        SlowRouterModel::Options options = overloadDay(day);
        options.isControlled = false;
        SlowRouterModel model(options);
        model.run();
        report(model, "day " + std::to_string(day) + " without control");
        BOOST_TEST(model.sentForCallersWhoLeft() > 100);
    }
}

BOOST_AUTO_TEST_CASE(nothingIsSentForCallersWhoLeft)
{
    for (const int day : {1, 2}) {
        BOOST_TEST_CONTEXT("day " << day)
        {
            SlowRouterModel::Options options = overloadDay(day);
            SlowRouterModel model(options);
            model.run();
            report(model, "day " + std::to_string(day));
            options.isControlled = false;
            SlowRouterModel withoutControl(options);
            withoutControl.run();
            BOOST_TEST(model.sentForCallersWhoLeft() <= 3);
            BOOST_TEST(model.finished() == model.admitted());
            BOOST_TEST(model.all().timely() > withoutControl.all().timely() + 0.2);
            BOOST_TEST(model.kind("counter").served() > model.kind("tag").served());
            BOOST_TEST(model.otherWorkspaces().served() > model.firstWorkspace().served());
            for (const char *name : {"counter", "plan", "tag"})
                BOOST_TEST(model.kind(name).served() > 0.25 * model.all().served());
        }
    }
}

BOOST_AUTO_TEST_CASE(stallsLoseNoAdmittedRequest)
{
    for (const double load : {1.0, 2.0, 5.0}) {
        for (const double stall : {0.05, 0.2, 0.6, 2.0}) {
            BOOST_TEST_CONTEXT("load " << load << ", stall " << stall)
            {
                SlowRouterModel::Options options = headOffice(0.8 * load);
                options.stallSeconds = stall;
                SlowRouterModel model(options);
                model.run();
                report(model, "load " + std::to_string(load) + ", stall " + std::to_string(stall));
                SlowRouterModel::Options uncontrolled = options;
                uncontrolled.isControlled = false;
                SlowRouterModel withoutControl(uncontrolled);
                withoutControl.run();
                BOOST_TEST(model.finished() == model.admitted());
                BOOST_TEST(model.sentForCallersWhoLeft() <= withoutControl.sentForCallersWhoLeft());
                // After a single stall below the router's capacity, control refuses as many
                // requests as would be late without it.
                BOOST_TEST(model.all().timely() >= withoutControl.all().timely() - 0.02);
                BOOST_TEST(model.kind("counter").served() >= model.kind("tag").served() - 0.01);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(noRequestIsRefusedWhileTheRouterIsNotBehind)
{
    SlowRouterModel model(headOffice(0.8));
    model.run();
    BOOST_TEST(model.refusals() == 0);
    BOOST_TEST(model.all().timely() > 0.99);
}

BOOST_AUTO_TEST_CASE(oneLongLoopTurnRefusesNoRequest)
{
    BacklogControl control({});
    Base::MonoTime now(std::chrono::hours(1));
    const AdmissionRequest admissionRequest{.workspace = Base::WorkspaceId("w")};
    for (int i = 0; i < 100; ++i) {
        BOOST_TEST(control.admits(admissionRequest, milliseconds(1), now));
        now += milliseconds(5);
    }
    for (int i = 0; i < 18; ++i) {
        BOOST_TEST(control.admits(admissionRequest, milliseconds(100 - 5 * i), now));
        now += milliseconds(5);
    }
}

BOOST_AUTO_TEST_CASE(admittedShareFallsWhileBehindAndRecovers)
{
    BacklogControl control({});
    Base::MonoTime now(std::chrono::hours(1));
    const AdmissionRequest admissionRequest{.workspace = Base::WorkspaceId("w")};
    int admitted = 0;
    for (int i = 0; i < 400; ++i) {
        admitted += control.admits(admissionRequest, milliseconds(300), now) ? 1 : 0;
        now += milliseconds(5);
    }
    BOOST_TEST(admitted > 20);
    BOOST_TEST(admitted < 200);
    BOOST_TEST(control.admittedShare() < 0.1);
    BOOST_TEST(control.admits(admissionRequest, milliseconds(10), now));
    now += std::chrono::seconds(3);
    control.admits(admissionRequest, milliseconds(10), now);
    BOOST_TEST(control.admittedShare() == 1);
}

BOOST_AUTO_TEST_CASE(retryAfterGrowsAsTheAdmittedShareFalls)
{
    BacklogControl control({});
    const auto mean = [&](Base::Duration delay) {
        Base::Duration sum{};
        for (int i = 0; i < 200; ++i)
            sum += control.retryAfter(delay);
        return sum / 200;
    };
    const Base::Duration early = mean(milliseconds(30));
    Base::MonoTime now(std::chrono::hours(1));
    for (int i = 0; i < 100; ++i) {
        control.admits({.workspace = Base::WorkspaceId("w")}, milliseconds(300), now);
        now += milliseconds(10);
    }
    const Base::Duration later = mean(milliseconds(300));
    BOOST_TEST((early < milliseconds(200)));
    BOOST_TEST((later > 2 * early));
    BOOST_TEST((later <= std::chrono::seconds(1)));
}
