/// Pattern: a router gets several times the requests that its share of a processor can pass on, or
/// its loop stands still for a while. What lies unread gets older than its callers wait.
#define BOOST_TEST_MODULE tst_backlogcontrol
#include <boost/test/unit_test.hpp>

#include "auto/gateway/slowroutermodel.h"

using namespace Lagoonbank;
using namespace Lagoonbank::Gateway;
using std::chrono::milliseconds;

namespace {

/// The users' head office: answers at the counter, tags, plans; one in ten workspaces sends more.
SlowRouterModel::Options headOffice(double load)
{
    return {.kinds = {{.name = "counter", .priority = 0, .part = 1.0, .target = 0.3, .timeout = 1},
                      {.name = "tag", .priority = 2, .part = 1.1, .target = 0.4, .timeout = 1},
                      {.name = "plan", .priority = 1, .part = 0.7, .target = 0.8, .timeout = 3}},
            .load = load};
}

/// Several times the callers, some of whom repeat at once, and one workspace far above the others.
SlowRouterModel::Options farMoreThanThereIsTimeFor(unsigned seed)
{
    SlowRouterModel::Options options = headOffice(0.7);
    options.burst = 4;
    options.firstWorkspaceFactor = 6;
    options.immediateRetries = 3;
    options.seed = seed;
    options.isAgeKnown = false; // What admission does alone.
    return options;
}

void tell(SlowRouterModel &model, const std::string &what)
{
    BOOST_TEST_MESSAGE(what << ": in time " << model.all().timely() << ", served "
                            << model.all().served() << " (counter "
                            << model.kind("counter").served() << ", plan "
                            << model.kind("plan").served() << ", tag " << model.kind("tag").served()
                            << "), refusals " << model.refusals() << ", sent for who left "
                            << model.sentForCallersWhoLeft() << ", oldest " << model.maxDelay()
                            << " s, behind until " << model.lastBehind());
}

/// The first day has the usual callers of other workspaces as well; in the second the loop stands
/// still in the middle of it, as while a large configuration is read.
SlowRouterModel::Options redDay(int number)
{
    SlowRouterModel::Options options = farMoreThanThereIsTimeFor(number == 1 ? 7 : 13);
    if (number == 2) {
        options.stall = 0.6;
        options.isAgeKnown = true; // In the first 0.1 s after it nothing is known of a backlog.
    }
    return options;
}

} // namespace

BOOST_AUTO_TEST_CASE(withoutControlRequestsAreSentForCallersWhoLeft)
{
    for (const int day : {1, 2}) {
        SlowRouterModel::Options options = redDay(day);
        options.isControlled = false;
        SlowRouterModel model(options);
        model.run();
        tell(model, "day " + std::to_string(day) + " without control");
        BOOST_TEST(model.sentForCallersWhoLeft() > 100);
    }
}

BOOST_AUTO_TEST_CASE(nothingIsSentForCallersWhoLeft)
{
    for (const int day : {1, 2}) {
        BOOST_TEST_CONTEXT("day " << day)
        {
            SlowRouterModel::Options options = redDay(day);
            SlowRouterModel model(options);
            model.run();
            tell(model, "day " + std::to_string(day));
            options.isControlled = false;
            SlowRouterModel before(options);
            before.run();
            BOOST_TEST(model.sentForCallersWhoLeft() <= 3);
            BOOST_TEST(model.finished() == model.admitted());
            BOOST_TEST(model.all().timely() > before.all().timely() + 0.2);
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
                options.stall = stall;
                SlowRouterModel model(options);
                model.run();
                tell(model, "load " + std::to_string(load) + ", stall " + std::to_string(stall));
                SlowRouterModel::Options uncontrolled = options;
                uncontrolled.isControlled = false;
                SlowRouterModel before(uncontrolled);
                before.run();
                BOOST_TEST(model.finished() == model.admitted());
                BOOST_TEST(model.sentForCallersWhoLeft() <= before.sentForCallersWhoLeft());
                // After one stall at less than it can do, what is refused is as much as what is
                // late.
                BOOST_TEST(model.all().timely() >= before.all().timely() - 0.02);
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
