/// Tests that one router reads the store for the whole fleet, and which routers replace it.
#define BOOST_TEST_MODULE tst_fleetreader
#include <boost/test/unit_test.hpp>

#include "auto/fleetsync/fleethelpers.h"

#include <algorithm>
#include <functional>
#include <vector>

using namespace Lagoonbank;
using namespace FleetHelpers;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// In a fleet of six data centres only one router reads the store, and the state of no leader gets
/// older than the age at which a leader reads the store itself.
BOOST_AUTO_TEST_CASE(oneOfSixDataCentresReadsTheStore)
{
    SyncFleet fleet(std::vector<int>(6, 5));
    settle(fleet);
    const auto reads = [&] {
        int sum = 0;
        for (const auto &router : fleet.routers)
            sum += router->reads;
        return sum;
    };
    const int before = reads();
    Base::Duration oldest{};
    for (int i = 0; i < 100; ++i) {
        fleet.pass(milliseconds(100));
        for (const auto &router : fleet.routers) {
            if (router->sync->isLeader())
                oldest = std::max(oldest, router->sync->stateAge().value());
        }
    }
    BOOST_TEST(reads() - before <= 21);
    BOOST_TEST((oldest < milliseconds(1250)));
}

namespace {

/// Applies \a breakReader to the store reader of a fleet of three data centres, which is in dc0;
/// right after that an endpoint drains and a new configuration is written.
void checkWithoutReader(const std::function<void(SyncFleet &fleet, Router &reader)> &breakReader)
{
    SyncFleet fleet({3, 3, 2});
    settle(fleet);
    Router *reader = nullptr;
    for (const auto &router : fleet.routers) {
        if (router->isReading)
            reader = router.get();
    }
    BOOST_REQUIRE(reader);
    BOOST_REQUIRE(reader->dataCentre == "dc0");
    breakReader(fleet, *reader);
    fleet.put(endpoint("a", Fleet::EndpointState::Draining));
    fleet.revision = 2;
    fleet.pass(seconds(2));
    BOOST_TEST(fleet.allRouters(
        [](const Router &router) { return isDraining(router, "a") && router.configuration == 2; }));
    fleet.pass(seconds(3));
    BOOST_TEST(fleet.leaders("dc1") == 1);
    BOOST_TEST(fleet.leaders("dc2") == 1);
}

} // namespace

BOOST_AUTO_TEST_CASE(anotherDataCentreReadsWhenTheReaderDies)
{
    checkWithoutReader([](SyncFleet &fleet, Router &reader) { fleet.kill(reader); });
}

BOOST_AUTO_TEST_CASE(anotherDataCentreReadsWhenTheStoreRefusesTheReader)
{
    checkWithoutReader([](SyncFleet &, Router &reader) { reader.reachesStore = false; });
}

BOOST_AUTO_TEST_CASE(allReadWhenTheReadersDataCentreIsCutOff)
{
    checkWithoutReader([](SyncFleet &fleet, Router &) {
        fleet.passes = [](const Router &from, const Router &to) {
            return (from.dataCentre == "dc0") == (to.dataCentre == "dc0");
        };
    });
}

/// The store reader receives messages of the others, but they do not receive its messages.
BOOST_AUTO_TEST_CASE(anotherReadsWhenTheReaderIsCutOneWay)
{
    checkWithoutReader([](SyncFleet &fleet, Router &reader) {
        fleet.passes = [&reader](const Router &from, const Router &) {
            return from.id != reader.id;
        };
    });
}

/// The others receive the beacons of the store reader, but cannot pull from it.
BOOST_AUTO_TEST_CASE(anotherReadsWhenNobodyCanPullFromTheReader)
{
    checkWithoutReader([](SyncFleet &fleet, Router &reader) {
        fleet.passes = [&reader](const Router &, const Router &to) { return to.id != reader.id; };
    });
}

/// The store is down for some seconds. Leaders and their standbys notice when it is available
/// again; reads by the rest of a large data centre would only be refused.
BOOST_AUTO_TEST_CASE(whileTheStoreIsDownFewRoutersReadIt)
{
    SyncFleet fleet(std::vector<int>(6, 12));
    settle(fleet);
    for (const auto &router : fleet.routers) {
        router->reachesStore = false;
        router->reads = 0;
    }
    fleet.pass(seconds(4));
    int reads = 0;
    for (const auto &router : fleet.routers)
        reads += router->reads;
    BOOST_TEST(reads <= 6 * 3 * (4 * 2 + 1));
    for (const auto &router : fleet.routers)
        router->reachesStore = true;
    fleet.put(endpoint("a", Fleet::EndpointState::Draining));
    fleet.pass(seconds(1));
    BOOST_TEST(fleet.allRouters([](const Router &router) { return isDraining(router, "a"); }));
}

/// The store refuses a leader and both of its standbys: their data centre gets changes from the
/// others.
BOOST_AUTO_TEST_CASE(dataCentreWithRefusedStandbysGetsChangesFromTheOthers)
{
    SyncFleet fleet({6, 6});
    settle(fleet);
    for (const std::size_t refused : {0U, 1U, 2U})
        fleet.routers[refused]->reachesStore = false;
    fleet.put(endpoint("a", Fleet::EndpointState::Draining));
    fleet.revision = 2;
    fleet.pass(seconds(2));
    BOOST_TEST(fleet.allRouters(
        [](const Router &router) { return isDraining(router, "a") && router.configuration == 2; }));
}

/// The store refuses the store reader while keys are revoked, so that a leader gets the revocation
/// 1.25 s late, and one of the 50 routers of its data centre misses the beacon with it.
BOOST_AUTO_TEST_CASE(missedConfigurationIsAnnouncedAgain)
{
    SyncFleet fleet({50});
    settle(fleet);
    const Router &missing = *fleet.routers[20];
    fleet.passes = [&missing](const Router &, const Router &to) { return to.id != missing.id; };
    fleet.revision = 2;
    fleet.pass(milliseconds(520));
    BOOST_TEST(missing.configuration == 1U);
    fleet.passes = [](const Router &, const Router &) { return true; };
    fleet.pass(milliseconds(600));
    BOOST_TEST(missing.configuration == 2U);
}
