#define BOOST_TEST_MODULE tst_fleetsync
#include <boost/test/unit_test.hpp>

#include "auto/fleetsync/fleethelpers.h"

#include <algorithm>
#include <string>
#include <vector>

using namespace Lagoonbank;
using namespace FleetHelpers;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Six routers: two data centres with two routers and two with one.
const std::vector<int> smallFleetSizes{2, 2, 1, 1};

} // namespace

BOOST_AUTO_TEST_CASE(oneRouterOfEachDataCentreLeadsAndOneReads)
{
    SyncFleet fleet({3, 2, 1});
    settle(fleet);
    for (const char *dataCentre : {"dc0", "dc1", "dc2"})
        BOOST_TEST(fleet.leaders(dataCentre) == 1);
    BOOST_TEST(fleet.readers() == 1);
    BOOST_TEST(fleet.allRouters([](const Router &router) {
        return router.configuration == 1 && router.directory->find(Base::EndpointId("a"))
            && router.sync->stateAge() < seconds(2);
    }));
}

BOOST_AUTO_TEST_CASE(changesReachEveryRouterWithinOneReadAndOneBeacon)
{
    SyncFleet fleet({3, 2, 1});
    settle(fleet);
    fleet.put(endpoint("a", Fleet::EndpointState::Draining));
    fleet.put(endpoint("b"));
    fleet.revision = 2;
    fleet.pass(milliseconds(1000));
    BOOST_TEST(fleet.allRouters([](const Router &router) {
        return router.configuration == 2 && isDraining(router, "a")
            && router.directory->find(Base::EndpointId("b"));
    }));
    fleet.drop("a");
    fleet.pass(milliseconds(1000));
    BOOST_TEST(fleet.allRouters(
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
    BOOST_TEST(fleet.leaders("dc0") == 1);
    BOOST_TEST(fleet.allRouters([](const Router &router) { return isDraining(router, "a"); }));
}

/// The store refuses a router while an endpoint drains and the configuration changes.
BOOST_AUTO_TEST_CASE(routerRefusedByTheStoreGetsChangesFromPeers)
{
    for (const std::size_t refused : {0U, 1U, 2U, 3U, 4U, 5U}) {
        BOOST_TEST_CONTEXT("router " << refused)
        {
            SyncFleet fleet(smallFleetSizes);
            settle(fleet);
            fleet.routers[refused]->reachesStore = false;
            fleet.pass(seconds(3));
            fleet.put(endpoint("a", Fleet::EndpointState::Draining));
            fleet.revision = 2;
            fleet.pass(milliseconds(2000));
            BOOST_TEST(fleet.allRouters([](const Router &router) {
                return router.configuration == 2 && isDraining(router, "a");
            }));
        }
    }
}

BOOST_AUTO_TEST_CASE(dataCentreRefusedByTheStoreGetsChangesFromTheOthers)
{
    SyncFleet fleet({2, 2, 1});
    settle(fleet);
    fleet.routers[0]->reachesStore = false;
    fleet.routers[1]->reachesStore = false;
    fleet.pass(seconds(4));
    fleet.put(endpoint("a", Fleet::EndpointState::Draining));
    fleet.revision = 2;
    fleet.pass(milliseconds(2500));
    BOOST_TEST(fleet.allRouters(
        [](const Router &router) { return router.configuration == 2 && isDraining(router, "a"); }));
}

BOOST_AUTO_TEST_CASE(cutOffDataCentreReadsTheStoreUntilItReconnects)
{
    SyncFleet fleet({2, 2});
    settle(fleet);
    fleet.passes = [](const Router &from, const Router &to) {
        return from.dataCentre == to.dataCentre;
    };
    fleet.put(endpoint("a", Fleet::EndpointState::Draining));
    fleet.pass(seconds(2));
    BOOST_TEST(fleet.allRouters([](const Router &router) { return isDraining(router, "a"); }));
    BOOST_TEST(fleet.leaders("dc0") == 1);
    fleet.passes = [](const Router &, const Router &) { return true; };
    fleet.pass(seconds(2));
    BOOST_TEST(fleet.leaders("dc0") == 1);
    BOOST_TEST(fleet.leaders("dc1") == 1);
}

BOOST_AUTO_TEST_CASE(nothingRevertsWhileTheStoreIsUnavailable)
{
    SyncFleet fleet(smallFleetSizes);
    settle(fleet);
    fleet.put(endpoint("a", Fleet::EndpointState::Draining));
    fleet.revision = 2;
    fleet.pass(seconds(2));
    for (const auto &router : fleet.routers)
        router->reachesStore = false;
    fleet.pass(seconds(5));
    // Restarted routers get the newest state from those that were not restarted.
    fleet.kill(*fleet.routers[0]);
    fleet.start(*fleet.routers[0]);
    fleet.kill(*fleet.routers[4]);
    fleet.start(*fleet.routers[4]);
    fleet.pass(seconds(3));
    BOOST_TEST(fleet.allRouters(
        [](const Router &router) { return router.configuration == 2 && isDraining(router, "a"); }));
}

BOOST_AUTO_TEST_CASE(leavingReaderHandsOverAtOnce)
{
    SyncFleet fleet({2});
    settle(fleet);
    Router *reader = fleet.routers[0]->isReading ? fleet.routers[0].get() : fleet.routers[1].get();
    reader->sync->leave();
    fleet.pass(milliseconds(700));
    // The leaving router reads until it ends, for the requests it has in flight.
    BOOST_TEST(fleet.leaders("dc0") == 2);
    fleet.kill(*reader);
    fleet.put(endpoint("a", Fleet::EndpointState::Draining));
    fleet.pass(milliseconds(1100));
    BOOST_TEST(fleet.allRouters([](const Router &router) { return isDraining(router, "a"); }));
}

BOOST_AUTO_TEST_CASE(routersThatStartTogetherSettle)
{
    SyncFleet fleet({4, 4});
    settle(fleet);
    for (const auto &router : fleet.routers)
        fleet.kill(*router);
    for (const auto &router : fleet.routers)
        fleet.start(*router);
    fleet.pass(seconds(2));
    BOOST_TEST(fleet.leaders("dc0") == 1);
    BOOST_TEST(fleet.leaders("dc1") == 1);
    BOOST_TEST(fleet.allRouters([](const Router &router) { return router.configuration == 1; }));
}

/// Target size: about 330 routers in 13 data centres, with at most 5 KB/s of control traffic each.
BOOST_AUTO_TEST_CASE(averageControlTrafficStaysInBoundsAtTargetSize)
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

/// The same for the router with the most control traffic, sent and received, at the target size.
BOOST_AUTO_TEST_CASE(maximumControlTrafficStaysInBoundsAtTargetSize)
{
    SyncFleet fleet(std::vector<int>(13, 25));
    settle(fleet);
    fleet.pass(seconds(10));
    for (const auto &router : fleet.routers)
        router->sentBytes = router->receivedBytes = 0;
    fleet.pass(seconds(20));
    std::uint64_t maxBytes = 0;
    for (const auto &router : fleet.routers)
        maxBytes = std::max(maxBytes, router->sentBytes + router->receivedBytes);
    BOOST_TEST_MESSAGE("maximum bytes a second, both directions: " << maxBytes / 20);
    BOOST_TEST(maxBytes / 20 < 5000U);
}

/// Every process of a large fleet is killed and starts again. Each reads the store once by itself.
/// The traffic between them must not grow with the square of the fleet or with the number of
/// endpoints, or slow links are saturated for seconds.
BOOST_AUTO_TEST_CASE(largeFleetThatStartsTogetherSendsLittle)
{
    SyncFleet fleet(std::vector<int>(5, 30));
    constexpr int endpoints = 300;
    for (int i = 0; i < endpoints; ++i)
        fleet.put(endpoint("e" + std::to_string(i)));
    settle(fleet);
    for (const auto &router : fleet.routers)
        fleet.kill(*router);
    const std::uint64_t messagesBefore = fleet.messages;
    const std::uint64_t pulledBefore = fleet.pulledEndpoints;
    for (const auto &router : fleet.routers) {
        router->reads = 0;
        fleet.start(*router);
    }
    fleet.pass(milliseconds(50));
    // Callers already send requests while all routers have just started, so none may wait for
    // another one.
    BOOST_TEST(fleet.allRouters([](const Router &router) {
        return router.sync->hasEndpoints() && router.configuration == 1;
    }));
    fleet.pass(milliseconds(950));
    int reads = 0;
    for (const auto &router : fleet.routers)
        reads += router->reads;
    BOOST_TEST(reads <= 150 + 5 * 3);
    fleet.pass(seconds(3));
    BOOST_TEST(fleet.allRouters([](const Router &router) {
        return router.directory->entries().size() == endpoints + 1 && router.configuration == 1;
    }));
    // Each sends a beacon to its 29 neighbours and answers each of theirs; then leaders announce
    // themselves once or twice, until all have a beacon of the strongest.
    const double perRouter = static_cast<double>(fleet.messages - messagesBefore) / 150;
    BOOST_TEST(perRouter < 5 * 29);
    BOOST_TEST(fleet.pulledEndpoints - pulledBefore < 150 * 30U);
    for (int dc = 0; dc < 5; ++dc)
        BOOST_TEST(fleet.leaders("dc" + std::to_string(dc)) == 1);
}

BOOST_AUTO_TEST_CASE(pullReturnsOnlyDifferences)
{
    SyncFleet fleet({2});
    for (int i = 0; i < 640; ++i)
        fleet.put(endpoint("e" + std::to_string(i)));
    settle(fleet);
    const Router &reader = *fleet.routers[fleet.routers[0]->isReading ? 0 : 1];
    fleet.passes = [&](const Router &from, const Router &) { return &from != &reader; };
    const std::uint64_t before = fleet.pulledEndpoints;
    fleet.put(endpoint("e7", Fleet::EndpointState::Draining));
    fleet.pass(milliseconds(600));
    fleet.passes = [](const Router &, const Router &) { return true; };
    fleet.pass(milliseconds(1000));
    BOOST_TEST(fleet.allRouters([](const Router &router) { return isDraining(router, "e7"); }));
    // Each of the 64 buckets has about ten entries.
    BOOST_TEST(fleet.pulledEndpoints - before < 40U);
}

/// The store reader and its first standby die together, in a data centre that is too large for
/// frequent beacons to all routers. Changes have to be in force within 3 s.
BOOST_AUTO_TEST_CASE(secondStandbyReadsWhenReaderAndFirstStandbyDie)
{
    SyncFleet fleet({25, 25});
    settle(fleet);
    // Among routers of equal strength the lowest id comes first.
    std::vector<Router *> inOrder;
    for (const auto &router : fleet.routers) {
        if (router->dataCentre == "dc0")
            inOrder.push_back(router.get());
    }
    std::sort(inOrder.begin(), inOrder.end(),
              [](const Router *a, const Router *b) { return a->id < b->id; });
    BOOST_TEST(inOrder[0]->isReading);
    fleet.kill(*inOrder[0]);
    fleet.kill(*inOrder[1]);
    fleet.put(endpoint("a", Fleet::EndpointState::Draining));
    fleet.revision = 2;
    fleet.pass(milliseconds(2700));
    BOOST_TEST(fleet.allRouters(
        [](const Router &router) { return router.configuration == 2 && isDraining(router, "a"); }));
    BOOST_TEST(fleet.leaders("dc0") <= 2);
}

BOOST_AUTO_TEST_CASE(simultaneousChangesAreSentTogether)
{
    SyncFleet fleet({10});
    settle(fleet);
    const std::uint64_t before = fleet.messages;
    for (int i = 0; i < 100; ++i)
        fleet.put(endpoint("e" + std::to_string(i)));
    fleet.pass(seconds(1));
    BOOST_TEST(fleet.allRouters(
        [](const Router &router) { return router.directory->entries().size() == 101; }));
    BOOST_TEST(fleet.messages - before < 100U);
}

/// The store refuses the strongest router of a data centre for a long time. State that this router
/// gets from its peers must not make it count as a healthy leader. Otherwise, in a fleet of two
/// routers in one data centre, the two alternate in not reading the store.
BOOST_AUTO_TEST_CASE(readerWithStateFromPeersOnlyIsNotHealthy)
{
    SyncFleet fleet({2});
    settle(fleet);
    const bool isFirst = fleet.routers[0]->isReading;
    Router &refused = *fleet.routers[isFirst ? 0 : 1];
    Router &other = *fleet.routers[isFirst ? 1 : 0];
    refused.reachesStore = false;
    fleet.pass(seconds(3));
    Base::Duration oldest{};
    for (int i = 0; i < 100; ++i) {
        fleet.pass(milliseconds(100));
        BOOST_TEST(other.isReading);
        oldest = std::max(oldest, refused.sync->stateAge().value());
    }
    BOOST_TEST((oldest < milliseconds(1200)));
    refused.reachesStore = true;
    fleet.pass(seconds(2));
    BOOST_TEST(fleet.leaders("dc0") == 1);
}

/// A router that alone was cut off from the store reconnects while an endpoint is removed. The
/// store was available to its peers, so no entry can have expired: a missing entry is removed at
/// once.
BOOST_AUTO_TEST_CASE(entriesExpireOnlyInOutageForAllRouters)
{
    for (const bool isForAll : {false, true}) {
        BOOST_TEST_CONTEXT("for all " << isForAll)
        {
            SyncFleet fleet({2});
            fleet.put(endpoint("b"));
            settle(fleet);
            fleet.routers[0]->reachesStore = false;
            fleet.routers[1]->reachesStore = !isForAll;
            fleet.pass(seconds(6));
            for (const auto &router : fleet.routers)
                router->reachesStore = true;
            fleet.passes = [](const Router &, const Router &) { return false; };
            fleet.drop("b");
            fleet.pass(milliseconds(1500));
            for (const auto &router : fleet.routers) {
                const bool isThere = router->directory->find(Base::EndpointId("b")) != nullptr;
                BOOST_TEST(isThere == isForAll);
            }
            fleet.pass(seconds(2));
            BOOST_TEST(fleet.allRouters([](const Router &router) {
                return !router.directory->find(Base::EndpointId("b"));
            }));
        }
    }
}

/// While the configuration changed, routers on slow links pulled two or three copies of it at the
/// same time (880 KB each, 0.7 s on 10 Mbit/s), which delayed the answers of endpoints. Each beacon
/// that arrived 400 ms after the start of a pull started another one, although the first was still
/// in flight.
BOOST_AUTO_TEST_CASE(pullInFlightIsNotRepeated)
{
    Runtime::ManualClock clock;
    Runtime::TimerQueue timers(clock);
    Fleet::EndpointDirectory directory({.timers = &timers});
    FleetSync::FleetSync sync(
        {.id = "asker", .dataCentre = "dc0", .directory = &directory, .timers = &timers});
    int pulls = 0;
    sync.pull = [&](const auto &, const auto &) { ++pulls; };
    for (int i = 0; i < 18; ++i) {
        clock.advance(milliseconds(50));
        sync.receive("10.0.0.1",
                     {.router = i % 2 == 0 ? "reader" : "deputy",
                      .dataCentre = "dc0",
                      .port = 7000,
                      .isReading = true,
                      .configuration = 2,
                      .endpoints = directory.hash()});
    }
    BOOST_TEST(pulls == 1);
}

/// Routers that passed an age back and forth during a store outage lost the transit time at each
/// hop. After an outage of 2.5 s all of them assumed 2 s, in which no entry expires, and removed
/// living endpoints.
BOOST_AUTO_TEST_CASE(forwardedAgeDoesNotShrink)
{
    Runtime::ManualClock clock;
    Runtime::TimerQueue timers(clock);
    Fleet::EndpointDirectory directory({.timers = &timers});
    FleetSync::FleetSync sync(
        {.id = "hearer", .dataCentre = "dc0", .directory = &directory, .timers = &timers});
    constexpr std::uint32_t reportedMs = 1000;
    constexpr Base::Duration maxTransit = milliseconds(45);
    sync.start();
    sync.receive("10.0.0.1",
                 {.router = "far",
                  .dataCentre = "dc1",
                  .port = 7000,
                  .knowledgeAgeMs = reportedMs,
                  .endpoints = directory.hash()});
    BOOST_TEST((sync.stateAge().value() >= milliseconds(reportedMs) + maxTransit));
}

/// A standby that the store refused claimed for 1.6 s to read the store, so the next standby did
/// not read it.
BOOST_AUTO_TEST_CASE(readerIsHealthyOnlyOnceItHasRead)
{
    Runtime::ManualClock clock;
    Runtime::TimerQueue timers(clock);
    Fleet::EndpointDirectory directory({.timers = &timers});
    FleetSync::FleetSync sync(
        {.id = "reader", .dataCentre = "dc0", .directory = &directory, .timers = &timers});
    bool claimsToRead = false;
    sync.send = [&](const auto &, const Schema::FleetBeacon &beacon) {
        claimsToRead = beacon.isReading;
    };
    sync.start();
    sync.allRoutersAdded();
    sync.addRouter("peer", "dc0", {"10.0.0.1", 7000}, 0);
    BOOST_TEST(!claimsToRead);
    sync.storeRead();
    sync.leave();
    BOOST_TEST(claimsToRead);
}

/// Guards against shares of a common rate that add up to more than the rate, as routers that shut
/// down use theirs until they exit.
BOOST_AUTO_TEST_CASE(leavingPeersAreCountedUntilTheyAreGone)
{
    Runtime::ManualClock clock;
    Runtime::TimerQueue timers(clock);
    Fleet::EndpointDirectory directory({.timers = &timers});
    FleetSync::FleetSync sync(
        {.id = "router-0", .dataCentre = "dc0", .directory = &directory, .timers = &timers});
    sync.addRouter("router-1", "dc0", {"10.0.0.1", 7000}, 0);
    const auto beaconReceived = [&](bool isLeaving) {
        sync.receive(
            "10.0.0.1",
            {.router = "router-1", .dataCentre = "dc0", .port = 7000, .isLeaving = isLeaving});
    };
    beaconReceived(false);
    beaconReceived(true);
    BOOST_TEST(sync.peerAddresses().empty());
    BOOST_TEST(sync.peerIds() == std::vector<std::string>{"router-1"},
               boost::test_tools::per_element());
    clock.advance(seconds(30));
    BOOST_TEST(sync.peerIds().empty());
}

/// Guards against a peer that gets the relayed requests of all routers of a large fleet, and
/// against relays to a router that is shutting down.
BOOST_AUTO_TEST_CASE(relayPeersAreSpreadOverALargeFleet)
{
    constexpr int routers = 300;
    constexpr std::size_t maxRelayPeers = 16;
    std::map<std::string, int> counts;
    for (int i = 0; i < routers; ++i) {
        Runtime::ManualClock clock;
        Runtime::TimerQueue timers(clock);
        Fleet::EndpointDirectory directory({.timers = &timers});
        const auto id = [](int number) { return "router-" + std::to_string(number); };
        FleetSync::FleetSync sync({.id = id(i),
                                   .dataCentre = "dc0",
                                   .directory = &directory,
                                   .timers = &timers,
                                   .maxRelayPeers = maxRelayPeers});
        for (int peer = 0; peer < routers; ++peer) {
            if (peer != i)
                sync.addRouter(id(peer), "dc0", {"10.0.0.1", 7000}, 0);
        }
        const std::string leaving = sync.relayPeers().front()->id;
        sync.receive("10.0.0.1",
                     {.router = leaving, .dataCentre = "dc0", .port = 7000, .isLeaving = true});
        const std::vector<const FleetSync::Peer *> peers = sync.relayPeers();
        BOOST_TEST(peers.size() == maxRelayPeers);
        for (const FleetSync::Peer *peer : peers) {
            BOOST_TEST(peer->id != leaving);
            ++counts[peer->id];
        }
    }
    for (const auto &[id, count] : counts)
        BOOST_TEST(count <= 3 * static_cast<int>(maxRelayPeers), id);
}
