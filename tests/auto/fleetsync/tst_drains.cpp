/// Tests how drains of data centres are propagated between routers.
#define BOOST_TEST_MODULE tst_drains
#include <boost/test/unit_test.hpp>

#include "auto/fleetsync/fleethelpers.h"

#include <set>
#include <vector>

using namespace Lagoonbank;
using namespace FleetHelpers;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

using Drained = std::set<Base::DataCentreId>;

const Drained east{Base::DataCentreId("east")};

bool allRoutersHave(const SyncFleet &fleet, const Drained &drained)
{
    return fleet.allRouters(
        [&](const Router &router) { return router.sync->drains().current() == drained; });
}

} // namespace

BOOST_AUTO_TEST_CASE(drainAndItsEndReachEveryRouterWithinASecond)
{
    SyncFleet fleet({20, 20, 20, 20});
    settle(fleet);
    fleet.drain(east);
    fleet.pass(milliseconds(1000));
    BOOST_TEST(allRoutersHave(fleet, east));
    fleet.drain({});
    fleet.pass(milliseconds(1000));
    BOOST_TEST(allRoutersHave(fleet, {}));
}

BOOST_AUTO_TEST_CASE(routerThatStartsWithoutStoreGetsDrainFromPeers)
{
    SyncFleet fleet({3, 2});
    settle(fleet);
    fleet.drain(east);
    fleet.pass(seconds(1));
    Router &router = *fleet.routers[2];
    fleet.kill(router);
    router.reachesStore = false;
    fleet.pass(seconds(1));
    fleet.start(router);
    fleet.pass(seconds(2));
    BOOST_TEST(allRoutersHave(fleet, east));
}

BOOST_AUTO_TEST_CASE(drainEndsAlsoWhereStoreRefusesAThirdOfRouters)
{
    SyncFleet fleet({5, 5, 5});
    settle(fleet);
    fleet.drain(east);
    fleet.pass(seconds(1));
    for (std::size_t i = 0; i < fleet.routers.size(); i += 3)
        fleet.routers[i]->reachesStore = false;
    fleet.drain({});
    fleet.pass(seconds(3));
    BOOST_TEST(allRoutersHave(fleet, {}));
}

BOOST_AUTO_TEST_CASE(reconnectedDataCentreDoesNotRestoreDrain)
{
    SyncFleet fleet({3, 3});
    settle(fleet);
    fleet.drain(east);
    fleet.pass(seconds(1));
    fleet.passes = [](const Router &from, const Router &to) {
        return from.dataCentre == to.dataCentre;
    };
    for (const auto &router : fleet.routers)
        router->reachesStore = router->dataCentre == "dc0";
    fleet.drain({});
    fleet.pass(seconds(4));
    BOOST_TEST(!allRoutersHave(fleet, {}));
    fleet.passes = [](const Router &, const Router &) { return true; };
    fleet.pass(seconds(3));
    BOOST_TEST(allRoutersHave(fleet, {}));
}
