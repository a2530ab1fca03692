/// What a router does whose pulls fail or take long.
#define BOOST_TEST_MODULE tst_fleetpulls
#include <boost/test/unit_test.hpp>

#include "auto/fleetsync/syncfleet.h"

using namespace Lagoonbank;
using std::chrono::milliseconds;

namespace {

/// A router that hears its reader, which is ahead of it, and counts its own pulls.
struct Hearer
{
    Runtime::ManualClock clock;
    Runtime::TimerQueue timers{clock};
    Fleet::EndpointDirectory directory{{.timers = &timers}};
    FleetSync::FleetSync sync{
        {.id = "hearer", .dataCentre = "dc0", .directory = &directory, .timers = &timers}};
    int pulls = 0;

    Hearer()
    {
        sync.pull = [this](const auto &, const auto &) { ++pulls; };
        sync.start();
        sync.storeRead();
        hearReader(0);
        pass(milliseconds(500));
    }
    void hearReader(std::uint64_t configuration)
    {
        sync.receive("10.0.0.1",
                     {.router = "a-reader",
                      .dataCentre = "dc0",
                      .port = 7000,
                      .isReading = true,
                      .configuration = configuration,
                      .endpoints = directory.hash()});
    }
    void pass(Base::Duration time)
    {
        clock.advance(time);
        timers.runDue();
    }
};

} // namespace

/// Behind a restart a router has known of an endpoint's leaving 0.5 s too late, as it waited for
/// its reader's next beacon to find out that its last pull had failed.
BOOST_AUTO_TEST_CASE(secondFailedPullCausesStoreReadAtOnce)
{
    Hearer hearer;
    BOOST_TEST(!hearer.sync.readsStore());
    for (int pull = 1; pull <= 2; ++pull) {
        hearer.hearReader(2);
        BOOST_TEST(hearer.pulls == pull);
        hearer.pass(milliseconds(401));
        hearer.sync.pullFailed();
        BOOST_TEST(hearer.sync.readsStore() == (pull == 2));
    }
}

/// Two large configurations one after the other over a slow link.
BOOST_AUTO_TEST_CASE(longSupersededPullCausesStoreRead)
{
    Hearer hearer;
    hearer.hearReader(2);
    BOOST_TEST(hearer.pulls == 1);
    hearer.pass(milliseconds(500));
    hearer.hearReader(3);
    BOOST_TEST(!hearer.sync.readsStore()); // It may come in a moment.
    hearer.pass(milliseconds(300));
    hearer.hearReader(3);
    BOOST_TEST(hearer.sync.readsStore());
}

/// It is on its way, however large it is.
BOOST_AUTO_TEST_CASE(longPullOfNewestConfigurationIsAwaited)
{
    Hearer hearer;
    hearer.hearReader(2);
    for (int beacon = 0; beacon < 3; ++beacon) {
        hearer.pass(milliseconds(400));
        hearer.hearReader(2);
    }
    BOOST_TEST(hearer.pulls == 1);
    BOOST_TEST(!hearer.sync.readsStore());
}
