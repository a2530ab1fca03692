#define BOOST_TEST_MODULE tst_partitionedrouter
#include "auto/adapter/onerouter.h"

#include <array>
#include <memory>
#include <string>

using namespace Lagoonbank;
using Lagoonbank::Test::RawSocket;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against refusals by a router that is partitioned from all endpoints while its peers reach
// them: callers, the store and the peers still reach the router, so callers keep coming to it.

namespace {

/// Two routers of one fleet, the first of which, or both, can connect to no endpoint. Each reads a
/// store of its own; the entries are the same but for the endpoints' addresses, at which nothing
/// listens for a partitioned router.
struct PartitionedRouter : Test::PausedLoop
{
    static constexpr std::size_t engineCount = 3;

    explicit PartitionedRouter(bool isPeerPartitioned = false)
    {
        for (std::size_t i = 0; i < routers.size(); ++i) {
            settings[i].vm = Base::VmId("edge-" + std::to_string(i));
            settings[i].dataCentre = Base::DataCentreId("dc0");
            settings[i].listenAddress = Test::freeAddress();
            settings[i].readyAddress = Test::freeAddress();
            settings[i].peerAddress = Test::freeAddress();
            settings[i].storeAddress = Runtime::toString(stores[i].server.address());
        }
        for (KeyedStore &store : stores) {
            store.writeRoute();
            for (const Schema::GatewaySettings &router : settings) {
                store.write("keyed.lagoonbank-routers", router.vm.value(),
                            "dc0 " + router.peerAddress + " 0");
            }
        }
        for (std::size_t i = 0; i < engineCount; ++i) {
            const std::string id = "i-" + std::to_string(i);
            const auto closed = Runtime::parseSocketAddress(Test::freeAddress()).value();
            stores[0].writeEndpoint(id, closed, {});
            stores[1].writeEndpoint(id, isPeerPartitioned ? closed : engines[i].listener.address,
                                    {});
        }
        for (std::size_t i = 0; i < routers.size(); ++i) {
            routers[i] = std::make_unique<Platform::RouterProcess>(loop, settings[i]);
            BOOST_REQUIRE(routers[i]->start());
        }
        pass(seconds(2));
    }
    /// Sends a request to a router and returns the answer.
    std::string call(std::size_t router, const std::string &headers = {})
    {
        const std::string id = "a" + std::to_string(++calls);
        RawSocket caller(Runtime::parseSocketAddress(settings[router].listenAddress).value());
        caller.send("GET /p/1 HTTP/1.1\r\nhost: h\r\nlagoonbank-attempt-id: " + id + "\r\n"
                    + headers + "\r\n");
        BOOST_REQUIRE(runUntil([&] {
            clock.advance(milliseconds(1));
            for (Engine &engine : engines)
                engine.work(id);
            return caller.has("\r\n\r\n");
        }));
        return caller.receive();
    }

    std::array<KeyedStore, 2> stores{KeyedStore(loop), KeyedStore(loop)};
    std::array<Engine, engineCount> engines;
    std::array<Schema::GatewaySettings, 2> settings;
    std::array<std::unique_ptr<Platform::RouterProcess>, 2> routers;
    int calls = 0;
};

} // namespace

/// Guards against a router that refuses requests which its peers could serve.
BOOST_AUTO_TEST_CASE(requestsAtAPartitionedRouterAreServedByAPeer)
{
    PartitionedRouter f;
    BOOST_TEST(has(f.call(1), "200 OK"));
    f.call(0); // Finds out that no endpoint is reachable.
    f.pass(seconds(1));
    int served = 0;
    for (int i = 0; i < 20; ++i)
        served += has(f.call(0), "200 OK") ? 1 : 0;
    BOOST_TEST(served == 20);
}

/// Guards against fields between routers that reach callers or endpoints.
BOOST_AUTO_TEST_CASE(relayedAnswerIsThatOfTheEndpoint)
{
    PartitionedRouter f;
    f.call(0);
    f.pass(seconds(1));
    const std::string answer = f.call(0, "lagoonbank-relayed-endpoints: 9\r\n");
    BOOST_TEST(has(answer, "200 OK"));
    BOOST_TEST(has(answer, "lagoonbank-server-seal: 3e"));
    BOOST_TEST(!has(answer, "relay"));
}

/// Guards against requests that go round, or wait, while no router reaches an endpoint.
BOOST_AUTO_TEST_CASE(requestIsRefusedAtOnceIfNoRouterReachesAnEndpoint)
{
    PartitionedRouter f(true);
    f.call(0);
    f.call(1);
    f.pass(seconds(1));
    for (int i = 0; i < 5; ++i) {
        const Base::MonoTime before = f.clock.now();
        const std::string answer = f.call(0);
        BOOST_TEST(has(answer, "503"));
        BOOST_TEST(has(answer, "retry-after"));
        BOOST_TEST((f.clock.now() - before < milliseconds(100)));
    }
}
