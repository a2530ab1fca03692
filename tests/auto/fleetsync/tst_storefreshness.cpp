#define BOOST_TEST_MODULE tst_storefreshness
#include <boost/test/unit_test.hpp>

#include "fleetsync/storefreshness.h"
#include "runtime/clock.h"

using namespace Lagoonbank;
using FleetSync::StoreFreshness;
using std::chrono::milliseconds;

namespace {

struct Fixture
{
    Fixture() { freshness.readSucceeded(false); }
    bool isOutdated() const { return freshness.outdatedSince(clock.now()).has_value(); }

    Runtime::ManualClock clock;
    StoreFreshness freshness{{.clock = &clock}};
};

} // namespace

/// Guards against requests that waited while the process was suspended and are placed by what it
/// knew before.
BOOST_AUTO_TEST_CASE(stateIsOutdatedAfterASuspensionUntilALaterRead)
{
    Fixture f;
    f.clock.advance(milliseconds(500));
    f.freshness.arrivalTime();
    BOOST_TEST(!f.isOutdated());
    f.clock.advance(milliseconds(2500));
    BOOST_TEST(f.isOutdated()); // Before the suspension is noticed.
    f.freshness.readSucceeded(false); // This answer may have waited in a socket.
    BOOST_TEST(f.isOutdated());
    f.clock.advance(milliseconds(150));
    BOOST_TEST(f.isOutdated());
    f.freshness.readSucceeded(false);
    BOOST_TEST(!f.isOutdated());
}

/// Guards against a state of a peer that is older than the end of the suspension.
BOOST_AUTO_TEST_CASE(stateOfAPeerCountsByItsAge)
{
    Fixture f;
    f.clock.advance(milliseconds(2500));
    const Base::MonoTime resumedAt = f.clock.now();
    f.freshness.arrivalTime();
    f.clock.advance(milliseconds(300));
    f.freshness.advanceTo(resumedAt - milliseconds(100), false);
    BOOST_TEST(f.isOutdated());
    f.freshness.advanceTo(resumedAt + milliseconds(100), false);
    BOOST_TEST(!f.isOutdated());
}
