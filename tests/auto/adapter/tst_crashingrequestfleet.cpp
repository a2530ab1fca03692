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

// The incident of tst_crashingrequest through a fleet: the request's attempts come to any router,
// so that each of them saw few of the endpoints that ended under it, and one that had just started
// saw none.

namespace {

constexpr int mostEnds = 3;
constexpr int mostEndsMore = 3; ///< Later than stableTime after the third.
constexpr auto stableTime = seconds(3);

/// An endpoint that ends when a request reaches it.
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
                            1);
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
    /// One attempt through a router; what its caller got.
    std::string attempt(int router, const std::string &path = "/p/1")
    {
        const std::string id = "a" + std::to_string(++attempts);
        RawSocket caller(Runtime::parseSocketAddress(settingsOf.at(router).listenAddress).value());
        caller.send("GET " + path + " HTTP/1.1\r\nhost: h\r\nlagoonbank-attempt-id: " + id
                    + "\r\n\r\n");
        BOOST_REQUIRE(runUntil([&] {
            clock.advance(milliseconds(1));
            ended += static_cast<int>(
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
    int ended = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(routersShareCrashReports)
{
    RouterFleet f(4);
    for (int attempt = 0; attempt < 8; ++attempt)
        f.attempt(attempt % 4);
    BOOST_TEST(f.ended <= mostEnds);
}

BOOST_AUTO_TEST_CASE(startingRoutersReceiveTheQuarantine)
{
    RouterFleet f(3);
    for (int attempt = 0; f.ended < mostEnds; ++attempt)
        f.attempt(attempt % 3);
    f.pass(seconds(1));
    const int before = f.ended;
    f.routers.at(2).reset();
    f.start(2);
    BOOST_REQUIRE(f.isReady());
    f.pass(stableTime);
    for (int attempt = 0; attempt < 6; ++attempt)
        f.attempt(2);
    BOOST_TEST(f.ended - before <= mostEndsMore);
    f.routers.clear(); // All of them: nobody is left to tell.
    for (int index = 0; index < 3; ++index)
        f.start(index);
    BOOST_REQUIRE(f.isReady());
    f.pass(stableTime);
    for (int attempt = 0; attempt < 6; ++attempt)
        f.attempt(attempt % 3);
    BOOST_TEST(f.ended - before <= mostEndsMore);
}
