#define BOOST_TEST_MODULE tst_fleetsync
#include <boost/test/unit_test.hpp>

#include "auto/fleetsync/syncfleet.h"

using namespace Lagoonbank;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

using Router = SyncFleet::Router;

Fleet::Endpoint endpoint(const std::string &id,
                         Fleet::EndpointState state = Fleet::EndpointState::Ready)
{
    return {.id = Base::EndpointId(id),
            .service = Base::ServiceId("service"),
            .address = {"10.1.0.1", 80},
            .state = state};
}

/// The users' six routers: two data centres with two, two with one.
const std::vector<int> usersSizes{2, 2, 1, 1};

bool isDraining(const Router &router, const char *id)
{
    const Fleet::Endpoint *known = router.directory->find(Base::EndpointId(id));
    return known && known->state == Fleet::EndpointState::Draining;
}

/// A fleet that has settled, with one endpoint and a configuration.
SyncFleet &settle(SyncFleet &fleet)
{
    fleet.put(endpoint("a"));
    fleet.revision = 1;
    fleet.pass(seconds(5));
    return fleet;
}

} // namespace

BOOST_AUTO_TEST_CASE(oneRouterOfEachDataCentreReads)
{
    SyncFleet fleet({3, 2, 1});
    settle(fleet);
    for (const char *dataCentre : {"dc0", "dc1", "dc2"})
        BOOST_TEST(fleet.readers(dataCentre) == 1);
    BOOST_TEST(fleet.allKnow([](const Router &router) {
        return router.configuration == 1 && router.directory->find(Base::EndpointId("a"))
            && router.sync->knowledgeAge() < seconds(2);
    }));
}

BOOST_AUTO_TEST_CASE(changesReachEveryRouterWithinAReadAndABeacon)
{
    SyncFleet fleet({3, 2, 1});
    settle(fleet);
    fleet.put(endpoint("a", Fleet::EndpointState::Draining));
    fleet.put(endpoint("b"));
    fleet.revision = 2;
    fleet.pass(milliseconds(1000));
    BOOST_TEST(fleet.allKnow([](const Router &router) {
        return router.configuration == 2 && isDraining(router, "a")
            && router.directory->find(Base::EndpointId("b"));
    }));
    fleet.drop("a");
    fleet.pass(milliseconds(1000));
    BOOST_TEST(fleet.allKnow(
        [](const Router &router) { return !router.directory->find(Base::EndpointId("a")); }));
}

BOOST_AUTO_TEST_CASE(anotherReadsWhenTheReaderDies)
{
    SyncFleet fleet({3, 2});
    settle(fleet);
    for (const auto &router : fleet.routers) {
        if (router->dataCentre == "dc0" && router->isReading)
            fleet.kill(*router);
    }
    fleet.put(endpoint("a", Fleet::EndpointState::Draining));
    fleet.pass(milliseconds(2500));
    BOOST_TEST(fleet.readers("dc0") == 1);
    BOOST_TEST(fleet.allKnow([](const Router &router) { return isDraining(router, "a"); }));
}

/// The store turns some routers away at just the moment when endpoints leave and keys are revoked.
BOOST_AUTO_TEST_CASE(aRouterThatTheStoreTurnsAwayLearnsFromItsPeers)
{
    for (const std::size_t turnedAway : {0U, 1U, 2U, 3U, 4U, 5U}) {
        BOOST_TEST_CONTEXT("router " << turnedAway)
        {
            SyncFleet fleet(usersSizes);
            settle(fleet);
            fleet.routers[turnedAway]->reachesStore = false;
            fleet.pass(seconds(3));
            fleet.put(endpoint("a", Fleet::EndpointState::Draining));
            fleet.revision = 2;
            fleet.pass(milliseconds(2000));
            BOOST_TEST(fleet.allKnow([](const Router &router) {
                return router.configuration == 2 && isDraining(router, "a");
            }));
        }
    }
}

BOOST_AUTO_TEST_CASE(aWholeDataCentreThatTheStoreTurnsAwayLearnsFromTheOthers)
{
    SyncFleet fleet({2, 2, 1});
    settle(fleet);
    fleet.routers[0]->reachesStore = false;
    fleet.routers[1]->reachesStore = false;
    fleet.pass(seconds(4));
    fleet.put(endpoint("a", Fleet::EndpointState::Draining));
    fleet.revision = 2;
    fleet.pass(milliseconds(2500));
    BOOST_TEST(fleet.allKnow(
        [](const Router &router) { return router.configuration == 2 && isDraining(router, "a"); }));
}

BOOST_AUTO_TEST_CASE(aDataCentreThatIsCutOffReadsForItselfAndComesBack)
{
    SyncFleet fleet({2, 2});
    settle(fleet);
    fleet.passes = [](const Router &from, const Router &to) {
        return from.dataCentre == to.dataCentre;
    };
    fleet.put(endpoint("a", Fleet::EndpointState::Draining));
    fleet.pass(seconds(2));
    BOOST_TEST(fleet.allKnow([](const Router &router) { return isDraining(router, "a"); }));
    BOOST_TEST(fleet.readers("dc0") == 1);
    fleet.passes = [](const Router &, const Router &) { return true; };
    fleet.pass(seconds(2));
    BOOST_TEST(fleet.readers("dc0") == 1);
    BOOST_TEST(fleet.readers("dc1") == 1);
}

BOOST_AUTO_TEST_CASE(whileTheStoreIsAwayNothingGoesBack)
{
    SyncFleet fleet(usersSizes);
    settle(fleet);
    fleet.put(endpoint("a", Fleet::EndpointState::Draining));
    fleet.revision = 2;
    fleet.pass(seconds(2));
    for (const auto &router : fleet.routers)
        router->reachesStore = false;
    fleet.pass(seconds(5));
    // Restarted routers learn the newest from those that were not.
    fleet.kill(*fleet.routers[0]);
    fleet.start(*fleet.routers[0]);
    fleet.kill(*fleet.routers[4]);
    fleet.start(*fleet.routers[4]);
    fleet.pass(seconds(3));
    BOOST_TEST(fleet.allKnow(
        [](const Router &router) { return router.configuration == 2 && isDraining(router, "a"); }));
}

BOOST_AUTO_TEST_CASE(aLeavingReaderHandsOverAtOnce)
{
    SyncFleet fleet({2});
    settle(fleet);
    Router *reader = fleet.routers[0]->isReading ? fleet.routers[0].get() : fleet.routers[1].get();
    reader->sync->leave();
    fleet.pass(milliseconds(700));
    BOOST_TEST(fleet.readers("dc0") == 2); // It reads until it ends, for what it has in flight.
    fleet.kill(*reader);
    fleet.put(endpoint("a", Fleet::EndpointState::Draining));
    fleet.pass(milliseconds(1100));
    BOOST_TEST(fleet.allKnow([](const Router &router) { return isDraining(router, "a"); }));
}

BOOST_AUTO_TEST_CASE(routersThatAllStartAtOnceSettle)
{
    SyncFleet fleet({4, 4});
    settle(fleet);
    for (const auto &router : fleet.routers)
        fleet.kill(*router);
    for (const auto &router : fleet.routers)
        fleet.start(*router);
    fleet.pass(seconds(2));
    BOOST_TEST(fleet.readers("dc0") == 1);
    BOOST_TEST(fleet.readers("dc1") == 1);
    BOOST_TEST(fleet.allKnow([](const Router &router) { return router.configuration == 1; }));
}

/// The target: 330 routers in 13 data centres; control may cost a router 5 KB/s.
BOOST_AUTO_TEST_CASE(controlTrafficStaysInItsBoundsAtTheTargetsSize)
{
    SyncFleet fleet(std::vector<int>(13, 25));
    settle(fleet);
    const std::uint64_t before = fleet.bytes;
    int reads = 0;
    for (const auto &router : fleet.routers)
        reads -= router->reads;
    fleet.pass(seconds(10));
    for (const auto &router : fleet.routers)
        reads += router->reads;
    const double perRouter = static_cast<double>(fleet.bytes - before) / 10 / 325;
    BOOST_TEST(perRouter < 1000);
    BOOST_TEST(reads <= 13 * 21);
}
