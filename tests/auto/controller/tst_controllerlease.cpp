#define BOOST_TEST_MODULE ControllerLease
#include <boost/test/unit_test.hpp>

#include "controller/leasecoordinator.h"
#include "controller/ordercoordinator.h"
#include "controller/prober.h"
#include "fakeengines.h"
#include "fakelog.h"

#include <memory>

using namespace Lagoonbank;
using namespace Lagoonbank::Controller;
using Base::operator""ms;
using Base::operator""s;

namespace {

constexpr Base::Duration term = 6s;
constexpr Base::Duration longestOrder = 5s;
/// Maximum time until a controller that reads the log acquires a free lease.
constexpr Base::Duration maxAcquisitionTime = term + 1s;
constexpr std::uint16_t checkingPort = 1;
constexpr std::uint16_t ignoringPort = 2;

/// The components of one controller that hold the lease, send orders and probe.
struct ControllerParts
{
    ControllerParts(const std::string &name, const Runtime::Clock &clock, FakeLog &fakeLog,
                    FakeEngines &engines)
        : timers(clock)
        , log({.transport = fakeLog.transport(&isPaused), .timers = &timers})
        , lease({.timers = &timers,
                 .log = &log,
                 .lease = {.dataCentre = Base::DataCentreId("here"),
                           .holder = name,
                           .term = term,
                           .renewPeriod = term / 3,
                           .longestOrder = longestOrder}})
        , orders({.timers = &timers,
                  .calls = engines.calls(&isPaused),
                  .mayOrder = [this](bool checks) { return lease.mayOrder(checks); },
                  .takeFromBudget = [](std::size_t) { return true; },
                  .longestOrder = longestOrder})
        , prober({.timers = &timers,
                  .calls = engines.calls(&isPaused),
                  .member = name,
                  .takeFromBudget = [](std::size_t) { return true; }})
    {
        lease.gained = [this](Base::FencingNumber) { orders.leaseGained(); };
        prober.reported = [this](const Base::EndpointId &, const LoadAnswer &, Base::MonoTime) {
            ++reports;
        };
        prober.setMembers({name});
        prober.setTargets({{Base::EndpointId("checking"), {"10.0.0.1", checkingPort}}});
        lease.setCandidate(true);
        lease.start();
        orders.start();
        prober.start();
    }
    bool holdsLease() const { return lease.mayOrder(true).has_value(); }

    bool isPaused = false;
    Runtime::TimerQueue timers;
    PlatformClient::LogClient log;
    LeaseCoordinator lease;
    OrderCoordinator orders;
    Prober prober;
    int reports = 0;
};

struct Bench
{
    Bench()
    {
        engines[ignoringPort].checksFencing = false;
        add("a");
        run(maxAcquisitionTime);
        BOOST_REQUIRE(a().holdsLease());
        add("b");
    }
    void add(const std::string &name)
    {
        controllers.push_back(std::make_unique<ControllerParts>(name, clock, log, engines));
        setDesiredRole(role);
    }
    ControllerParts &a() { return *controllers.at(0); }
    ControllerParts &b() { return *controllers.at(1); }

    void setDesiredRole(const std::string &newRole)
    {
        role = newRole;
        revision += Base::Revision(1);
        std::vector<OrderTarget> targets;
        for (const std::uint16_t port : {checkingPort, ignoringPort}) {
            targets.push_back(
                {.endpoint = Base::EndpointId(port == checkingPort ? "checking" : "ignoring"),
                 .address = {"10.0.0.1", port},
                 .checksFencing = port == checkingPort,
                 .model = Base::ModelId("m"),
                 .desired = {.role = role},
                 .revision = revision});
        }
        for (const auto &controller : controllers)
            controller->orders.setTargets(targets);
    }
    void run(Base::Duration duration)
    {
        constexpr Base::Duration step = 20ms;
        for (Base::Duration elapsed{}; elapsed < duration; elapsed += step) {
            clock.advance(step);
            for (const auto &controller : controllers) {
                if (!controller->isPaused)
                    controller->timers.runDue();
            }
            log.deliver();
            engines.deliver();
            const auto holders =
                std::count_if(controllers.begin(), controllers.end(),
                              [](const auto &controller) { return controller->holdsLease(); });
            BOOST_TEST(holders <= 1);
        }
    }
    std::size_t orders(std::uint16_t port) { return engines[port].orders.size(); }

    Runtime::ManualClock clock;
    FakeLog log;
    FakeEngines engines;
    std::string role = "any";
    Base::Revision revision;
    std::vector<std::unique_ptr<ControllerParts>> controllers;
};

} // namespace

BOOST_AUTO_TEST_CASE(pausedHolderSendsNoOrderAfterResuming)
{
    // The pause ends either while the lease is free or while another controller holds it.
    for (const bool isTakenOver : {false, true}) {
        Bench bench;
        bench.b().lease.setCandidate(isTakenOver);
        bench.run(1s);
        bench.a().isPaused = true;
        bench.run(term + maxAcquisitionTime);
        BOOST_TEST(bench.b().holdsLease() == isTakenOver);
        const std::size_t checking = bench.orders(checkingPort);
        const std::size_t ignoring = bench.orders(ignoringPort);

        // Only the resumed controller could order the new role, since the other one has stopped.
        bench.b().orders.stop();
        bench.setDesiredRole("prefill");
        bench.a().lease.setCandidate(false);
        bench.a().isPaused = false;
        bench.run(10s);
        BOOST_TEST(!bench.a().holdsLease());
        BOOST_TEST(bench.orders(checkingPort) == checking);
        BOOST_TEST(bench.orders(ignoringPort) == ignoring);
    }
}

BOOST_AUTO_TEST_CASE(holderPausedWhileConnectingSendsNoOrder)
{
    Bench bench;
    bench.run(longestOrder);
    bench.setDesiredRole("prefill");
    // Controller a is paused while its calls for the state of the engines are in flight.
    bench.clock.advance(100ms);
    bench.a().timers.runDue();
    BOOST_REQUIRE(bench.engines.pendingCalls() >= 2U);
    bench.a().isPaused = true;
    bench.b().orders.stop();
    bench.run(term + maxAcquisitionTime);
    BOOST_TEST(bench.b().holdsLease());
    bench.a().isPaused = false;
    bench.run(5s);
    BOOST_TEST(bench.orders(checkingPort) == 0U);
    BOOST_TEST(bench.orders(ignoringPort) == 0U);
}

BOOST_AUTO_TEST_CASE(newHolderWaitsBeforeOrderingEnginesThatIgnoreFencing)
{
    Bench bench;
    bench.a().isPaused = true;
    while (!bench.b().holdsLease())
        bench.run(100ms);
    bench.setDesiredRole("prefill");
    bench.run(longestOrder - 1s);
    BOOST_TEST(bench.orders(checkingPort) == 1U);
    BOOST_TEST(bench.orders(ignoringPort) == 0U);
    bench.run(3s);
    BOOST_TEST(bench.orders(ignoringPort) == 1U);
}

BOOST_AUTO_TEST_CASE(logOutageStopsLeaseAndOrdersButNotProbes)
{
    Bench bench;
    bench.log.isUnavailable = true;
    bench.run(term);
    BOOST_TEST(!bench.a().holdsLease());
    bench.setDesiredRole("prefill");
    const int reports = bench.a().reports;
    constexpr int minutes = 2;
    bench.run(std::chrono::minutes(minutes));
    BOOST_TEST(!bench.a().holdsLease());
    BOOST_TEST(!bench.b().holdsLease());
    BOOST_TEST(bench.orders(checkingPort) + bench.orders(ignoringPort) == 0U);
    BOOST_TEST(bench.a().reports >= reports + minutes * 60 - 2);

    bench.log.isUnavailable = false;
    bench.run(maxAcquisitionTime + longestOrder + 2s);
    BOOST_TEST((bench.a().holdsLease() || bench.b().holdsLease()));
    BOOST_TEST(bench.engines[checkingPort].state["role"] == "prefill");
    BOOST_TEST(bench.engines[ignoringPort].state["role"] == "prefill");
    BOOST_TEST(bench.orders(checkingPort) == 1U);
}

BOOST_AUTO_TEST_CASE(lostLogResponsesDoNotLoseTheLease)
{
    Bench bench;
    const auto fencing = bench.a().lease.mayOrder(true);
    for (int i = 0; i < 5; ++i) {
        bench.log.responsesToDrop = 1;
        bench.run(term);
        BOOST_TEST((bench.a().lease.mayOrder(true) == fencing));
    }
}

BOOST_AUTO_TEST_CASE(releasedLeaseIsAcquiredByStandbyAndNotReclaimed)
{
    Bench bench;
    bench.run(1s);
    bench.a().orders.stop();
    bench.a().lease.release();
    BOOST_TEST(bench.a().lease.isReleasePending());
    bench.run(1s);
    BOOST_TEST(!bench.a().lease.isReleasePending());
    BOOST_TEST(bench.b().holdsLease());
    bench.b().lease.release();
    bench.run(maxAcquisitionTime + term);
    BOOST_TEST(!bench.a().holdsLease());
    BOOST_TEST(!bench.b().holdsLease());
}
