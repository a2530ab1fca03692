#define BOOST_TEST_MODULE tst_crashingrequestfleet
#include "auto/adapter/routerfleet.h"

using namespace Lagoonbank;
using Lagoonbank::Test::RouterFleet;
using std::chrono::seconds;

// Guards against the failure of tst_crashingrequest in a fleet: a request crashes each endpoint
// that it reaches. Its attempts arrive at different routers, so each router sees only few of the
// crashes, and a router that has just started sees none.

namespace {

constexpr int maxCrashes = 3;
/// Maximum number of crashes later than stableTime after the third one.
constexpr int maxFurtherCrashes = 3;
constexpr auto stableTime = seconds(3);

} // namespace

BOOST_AUTO_TEST_CASE(routersShareCrashReports)
{
    RouterFleet f(4);
    for (int attempt = 0; attempt < 8; ++attempt)
        f.attempt(attempt % 4);
    BOOST_TEST(f.crashes <= maxCrashes);
}

BOOST_AUTO_TEST_CASE(startingRoutersReceiveTheQuarantine)
{
    RouterFleet f(3);
    for (int attempt = 0; f.crashes < maxCrashes; ++attempt)
        f.attempt(attempt % 3);
    f.pass(seconds(1));
    const int before = f.crashes;
    f.routers.at(2).reset();
    f.start(2);
    BOOST_REQUIRE(f.isReady());
    f.pass(stableTime);
    for (int attempt = 0; attempt < 6; ++attempt)
        f.attempt(2);
    BOOST_TEST(f.crashes - before <= maxFurtherCrashes);
    f.routers.clear(); // No peer is left, so only the store has the quarantine.
    for (int index = 0; index < 3; ++index)
        f.start(index);
    BOOST_REQUIRE(f.isReady());
    f.pass(stableTime);
    for (int attempt = 0; attempt < 6; ++attempt)
        f.attempt(attempt % 3);
    BOOST_TEST(f.crashes - before <= maxFurtherCrashes);
}

/// Failure: a router that has just started sends a quarantined request to an endpoint before it
/// hears of the quarantine.
BOOST_AUTO_TEST_CASE(restartedRoutersKnowTheQuarantineBeforeTheirFirstRequest)
{
    RouterFleet f(4);
    for (int attempt = 0; f.crashes < maxCrashes; ++attempt)
        f.attempt(attempt % 4);
    f.pass(seconds(1));
    const int before = f.crashes;
    f.afterAttempt = std::chrono::milliseconds(10);
    for (int router = 0; router < 4; ++router) {
        f.restart(router);
        for (int attempt = 0; attempt < 50; ++attempt)
            f.attempt(router);
    }
    BOOST_TEST(f.crashes == before);
}
