#define BOOST_TEST_MODULE tst_crashingpartfleet
#include "auto/adapter/routerfleet.h"

using namespace Lagoonbank;
using Lagoonbank::Test::RouterFleet;
using std::chrono::seconds;

// Failure: one part of prompts crashed each endpoint that began to answer a request with it, up to
// 84 in a row. No two of these requests were alike and they came to all routers, so no request was
// quarantined in time, while sound requests that shared the other parts broke with them.

namespace {

/// Crashes after which no router in contact may send more than maxFurtherSends such requests.
constexpr int maxCrashes = 5;
constexpr int maxFurtherSends = 3;
constexpr auto stableTime = seconds(3);

/// Routers that get requests of which a third has a part that crashes endpoints.
struct CrashingPartFleet : RouterFleet
{
    explicit CrashingPartFleet(int routerCount)
        : RouterFleet(routerCount, "streaming")
    {
        crashesOn = [](const std::string &request) {
            return request.find(",bad:") != std::string::npos;
        };
    }
    /// Sends a request that differs from all others in its path and in the last part of its prompt.
    std::string send(int router, const std::string &parts)
    {
        const std::string own = std::to_string(attempts + 1);
        return attempt(router, "/p/" + own,
                       "lagoonbank-model: m\r\nlagoonbank-token-count: 900,40\r\n"
                       "lagoonbank-prompt-prefix: "
                           + parts + ",f" + own + ":50\r\n");
    }
    std::string sendBad(int router) { return send(router, "a1:300,b2:400,bad:100"); }
    /// Sends a request that shares the first parts with those that crash endpoints.
    bool isSoundServed(int router)
    {
        return send(router, "a1:300,b2:400").find("HTTP/1.1 200") != std::string::npos;
    }
    /// Sends requests with the part to a router for some time, from its start on.
    void sendBadFor(int router, Base::Duration duration)
    {
        const Base::MonoTime end = clock.now() + duration;
        while (clock.now() < end)
            sendBad(router);
    }
    /// Sends requests with the part until it has crashed so many endpoints.
    void crashUntil(int count)
    {
        for (int round = 0; crashes < count && round < maxCrashes; ++round) {
            sendBad(round % static_cast<int>(routers.size()));
            isSoundServed(round % static_cast<int>(routers.size()));
        }
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(requestsWithOnePartStopCrashingEndpoints)
{
    CrashingPartFleet f(4);
    int served = 0;
    for (int round = 0; f.crashes < maxCrashes && round < maxCrashes; ++round) {
        f.sendBad(round % 4);
        f.isSoundServed((round + 1) % 4);
    }
    f.pass(stableTime);
    const int before = f.crashes;
    for (int round = 0; round < 12; ++round) {
        f.sendBad(round % 4);
        served += f.isSoundServed(round % 4) ? 1 : 0;
    }
    BOOST_TEST(f.crashes - before <= maxFurtherSends);
    BOOST_TEST(served == 12);
    const std::string answer = f.sendBad(1);
    BOOST_TEST(answer.find("HTTP/1.1 503") != std::string::npos);
}

/// A router that has just started knows of no crash, and after the restart of all of them only the
/// store holds the quarantine.
BOOST_AUTO_TEST_CASE(startingRoutersReceiveTheQuarantineOfAPart)
{
    CrashingPartFleet f(3);
    for (int round = 0; f.crashes < maxCrashes && round < maxCrashes; ++round)
        f.sendBad(round % 3);
    f.pass(seconds(1));
    const int before = f.crashes;
    f.routers.at(2).reset();
    f.start(2);
    BOOST_REQUIRE(f.isReady());
    f.pass(stableTime);
    for (int round = 0; round < 6; ++round)
        f.sendBad(2);
    BOOST_TEST(f.crashes - before <= maxFurtherSends);
    f.routers.clear();
    f.expireCrashed(); // Routers that start know only from the store which endpoints there are.
    for (int router = 0; router < 3; ++router)
        f.start(router);
    BOOST_REQUIRE(f.isReady());
    f.pass(stableTime);
    for (int round = 0; round < 6; ++round)
        f.sendBad(round % 3);
    BOOST_TEST(f.crashes - before <= maxFurtherSends);
    BOOST_TEST(f.isSoundServed(0));
}

/// Failure: sound requests are refused, as a part of theirs is blamed for crashes that had another
/// cause. One router sees only requests that break, the others serve the part.
BOOST_AUTO_TEST_CASE(partThatOtherRoutersServeIsNotBlamed)
{
    CrashingPartFleet f(4);
    bool areCrashing = false;
    f.crashesOn = [&](const std::string &) { return areCrashing; };
    for (int round = 0; round < maxCrashes + 1; ++round) {
        areCrashing = true;
        f.send(0, "a1:300,b2:400");
        areCrashing = false;
        BOOST_TEST(f.isSoundServed(1 + round % 3));
    }
    BOOST_TEST(f.isSoundServed(0));
}

/// Failure: a router that had just started sent requests with a quarantined part to endpoints until
/// gossip or the store told it of the quarantine, up to 1.3 s later.
BOOST_AUTO_TEST_CASE(restartedRoutersKnowQuarantinesBeforeTheirFirstRequest)
{
    CrashingPartFleet f(6);
    f.crashUntil(maxCrashes);
    f.pass(seconds(2));
    const int before = f.crashes;
    f.afterAttempt = std::chrono::milliseconds(10);
    for (int router = 0; router < 6; ++router) {
        f.restart(router);
        f.sendBadFor(router, std::chrono::milliseconds(1500));
    }
    BOOST_TEST(f.crashes == before);
    BOOST_TEST(f.isSoundServed(0));
}

/// Failure: routers that all start at once take requests before one of them has read the
/// quarantines in the store.
BOOST_AUTO_TEST_CASE(routersThatAllRestartKnowQuarantinesBeforeTheirFirstRequest)
{
    CrashingPartFleet f(3);
    f.crashUntil(maxCrashes);
    f.pass(seconds(2));
    f.expireCrashed();
    const int before = f.crashes;
    f.afterAttempt = std::chrono::milliseconds(10);
    for (int router = 0; router < 3; ++router)
        f.routers.at(router).reset();
    for (int router = 0; router < 3; ++router)
        f.restart(router);
    for (int round = 0; round < 60; ++round)
        f.sendBad(round % 3);
    BOOST_TEST(f.crashes == before);
    BOOST_TEST(f.isSoundServed(0));
}

/// Failure: crashes are forgotten with the routers that counted them, so that a part whose requests
/// come less often than routers restart is never quarantined.
BOOST_AUTO_TEST_CASE(crashesAreRememberedAcrossRestartsOneAfterTheOther)
{
    CrashingPartFleet f(3);
    for (int round = 0; round < 8; ++round) {
        f.sendBad(round % 3);
        BOOST_TEST(f.isSoundServed(0));
        for (int router = 0; router < 3; ++router) {
            f.restart(router);
            f.pass(std::chrono::milliseconds(300));
        }
        f.expireCrashed();
    }
    BOOST_TEST(f.crashes <= maxCrashes);
}
