/// One reader of the store for a whole fleet, and what takes its place.
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

/// The users' largest fleet: the store is asked once for all, and what it tells is nowhere older
/// than what deputies wait for before they ask it.
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

/// A fleet of three data centres in which something happens to the reader, which stands in dc0;
/// right behind that an endpoint leaves and a configuration comes.
void checkWithoutReader(const std::function<void(SyncFleet &fleet, Router &reader)> &happens)
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
    happens(fleet, *reader);
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

/// It hears the others, and they do not hear it.
BOOST_AUTO_TEST_CASE(anotherReadsWhenTheReaderIsCutOneWay)
{
    checkWithoutReader([](SyncFleet &fleet, Router &reader) {
        fleet.passes = [&reader](const Router &from, const Router &) {
            return from.id != reader.id;
        };
    });
}

/// The others hear it, and cannot ask it.
BOOST_AUTO_TEST_CASE(anotherReadsWhenNobodyCanPullFromTheReader)
{
    checkWithoutReader([](SyncFleet &fleet, Router &reader) {
        fleet.passes = [&reader](const Router &, const Router &to) { return to.id != reader.id; };
    });
}

/// Pattern: the store is down for some seconds. Leaders and their deputies find out when it is
/// back; for the rest of a large data centre to ask as well would only be refused.
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

/// A leader and both of its deputies are turned away: its data centre learns from the others.
BOOST_AUTO_TEST_CASE(dataCentreWithRefusedStandbysGetsChangesFromTheOthers)
{
    SyncFleet fleet({6, 6});
    settle(fleet);
    for (const std::size_t turnedAway : {0U, 1U, 2U})
        fleet.routers[turnedAway]->reachesStore = false;
    fleet.put(endpoint("a", Fleet::EndpointState::Draining));
    fleet.revision = 2;
    fleet.pass(seconds(2));
    BOOST_TEST(fleet.allRouters(
        [](const Router &router) { return isDraining(router, "a") && router.configuration == 2; }));
}

/// Pattern: the store turns the reader away as keys are revoked, so that a leader learns of it 1.25
/// s late, and one of its 50 hearers misses what it tells.
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
