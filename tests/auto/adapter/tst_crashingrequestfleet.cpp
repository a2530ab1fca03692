#define BOOST_TEST_MODULE tst_crashingrequestfleet
#include "auto/adapter/keyedstore.h"
#include "platform/routerprocess.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace Lagoonbank;
using Lagoonbank::Test::RawSocket;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against the failure of tst_crashingrequest in a fleet: a request crashes each endpoint
// that it reaches. Its attempts arrive at different routers, so each router sees only few of the
// crashes, and a router that has just started sees none.

namespace {

constexpr int maxCrashes = 3;
/// Maximum number of crashes later than stableTime after the third one.
constexpr int maxFurtherCrashes = 3;
constexpr auto stableTime = seconds(3);

/// An endpoint that crashes when a request reaches it.
struct Engine
{
    Test::RawListener listener;
    std::vector<std::unique_ptr<RawSocket>> connections;

    bool hasRequest()
    {
        for (int fd = listener.accept(); fd >= 0; fd = listener.accept())
            connections.push_back(std::make_unique<RawSocket>(fd));
        return std::any_of(connections.begin(), connections.end(),
                           [](const auto &one) { return one->has("\r\n\r\n"); });
    }
};

struct RouterFleet : Test::PausedLoop
{
    explicit RouterFleet(int routerCount)
    {
        store.writeRoute();
        for (int i = 0; i < 24; ++i)
            addEngine();
        for (int i = 0; i < routerCount; ++i)
            start(i);
        BOOST_REQUIRE(isReady());
    }
    void addEngine()
    {
        engines.push_back(std::make_unique<Engine>());
        store.writeEndpoint("i-" + std::to_string(engines.size()), engines.back()->listener.address,
                            {});
    }
    void start(int index)
    {
        Schema::GatewaySettings &settings = settingsOf[index];
        settings.vm = Base::VmId("edge-" + std::to_string(index));
        settings.dataCentre = Base::DataCentreId("dc0");
        settings.listenAddress = Test::freeAddress();
        settings.readyAddress = Test::freeAddress();
        settings.peerAddress = Test::freeAddress();
        settings.storeAddress = Runtime::toString(store.server.address());
        routers[index] = std::make_unique<Platform::RouterProcess>(loop, settings);
        BOOST_REQUIRE(routers[index]->start());
    }
    bool isReady()
    {
        pass(seconds(1));
        for (const auto &[index, settings] : settingsOf) {
            RawSocket balancer(Runtime::parseSocketAddress(settings.readyAddress).value());
            balancer.send("GET /v1/readiness HTTP/1.1\r\nhost: a\r\n\r\n");
            if (!runUntil([&] { return balancer.has("HTTP/1.1 200"); }))
                return false;
        }
        return true;
    }
    /// Sends one attempt through a router and returns the answer.
    std::string attempt(int router, const std::string &path = "/p/1")
    {
        const std::string id = "a" + std::to_string(++attempts);
        RawSocket caller(Runtime::parseSocketAddress(settingsOf.at(router).listenAddress).value());
        caller.send("GET " + path + " HTTP/1.1\r\nhost: h\r\nlagoonbank-attempt-id: " + id
                    + "\r\n\r\n");
        BOOST_REQUIRE(runUntil([&] {
            clock.advance(milliseconds(1));
            crashes += static_cast<int>(
                std::erase_if(engines, [](const auto &engine) { return engine->hasRequest(); }));
            return caller.has("\r\n\r\n");
        }));
        pass(milliseconds(200));
        return caller.receive();
    }

    KeyedStore store{loop};
    std::vector<std::unique_ptr<Engine>> engines;
    std::map<int, Schema::GatewaySettings> settingsOf;
    std::map<int, std::unique_ptr<Platform::RouterProcess>> routers;
    int attempts = 0;
    int crashes = 0;
};

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
