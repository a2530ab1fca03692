/// Tests a router whose pulls fail or take long.
#define BOOST_TEST_MODULE tst_fleetpulls
#include <boost/test/unit_test.hpp>

#include "auto/fleetsync/syncfleet.h"

using namespace Lagoonbank;
using std::chrono::milliseconds;

namespace {

/// A router that receives beacons of a store reader with a newer state, and counts its own pulls.
struct Member
{
    Runtime::ManualClock clock;
    Runtime::TimerQueue timers{clock};
    Fleet::EndpointDirectory directory{{.timers = &timers}};
    FleetSync::FleetSync sync{
        {.id = "hearer", .dataCentre = "dc0", .directory = &directory, .timers = &timers}};
    int pulls = 0;

    Member()
    {
        sync.pull = [this](const auto &, const auto &) { ++pulls; };
        sync.start();
        sync.storeRead();
        receiveFromReader(0);
        pass(milliseconds(500));
    }
    void receiveFromReader(std::uint64_t configuration)
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

/// After a restart a router got the removal of an endpoint 0.5 s too late, because it noticed only
/// at the store reader's next beacon that its last pull had failed.
BOOST_AUTO_TEST_CASE(secondFailedPullCausesStoreReadAtOnce)
{
    Member member;
    BOOST_TEST(!member.sync.readsStore());
    for (int pull = 1; pull <= 2; ++pull) {
        member.receiveFromReader(2);
        BOOST_TEST(member.pulls == pull);
        member.pass(milliseconds(401));
        member.sync.pullFailed();
        BOOST_TEST(member.sync.readsStore() == (pull == 2));
    }
}

/// Two large configurations follow each other over a slow link.
BOOST_AUTO_TEST_CASE(longSupersededPullCausesStoreRead)
{
    Member member;
    member.receiveFromReader(2);
    BOOST_TEST(member.pulls == 1);
    member.pass(milliseconds(500));
    member.receiveFromReader(3);
    BOOST_TEST(!member.sync.readsStore()); // The first pull may still end soon.
    member.pass(milliseconds(300));
    member.receiveFromReader(3);
    BOOST_TEST(member.sync.readsStore());
}

/// However long it takes, the pull in flight already returns the newest configuration.
BOOST_AUTO_TEST_CASE(longPullOfNewestConfigurationIsAwaited)
{
    Member member;
    member.receiveFromReader(2);
    for (int beacon = 0; beacon < 3; ++beacon) {
        member.pass(milliseconds(400));
        member.receiveFromReader(2);
    }
    BOOST_TEST(member.pulls == 1);
    BOOST_TEST(!member.sync.readsStore());
}
