#define BOOST_TEST_MODULE tst_endpointselfreport
#include "auto/adapter/keyedstore.h"
#include "platform/routerprocess.h"

#include <memory>
#include <string>
#include <vector>

using namespace Lagoonbank;
using Lagoonbank::Test::RawSocket;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against this failure: routers sent requests to an endpoint for 6 s after its answers had
// reported that it was leaving, and to full endpoints before the end of their Retry-After time.
// Routers evaluated only the endpoint's entry in the store, which could not be updated as the store
// was down (it was written 13 s late), and ignored what endpoints report in their answers. Reading
// the answers is not enough: the entry expires during the outage and is written again afterwards,
// and the router then must not discard the reported state together with the old entry.

namespace {

/// Maximum time from the report that an endpoint is leaving to the last request that it gets.
constexpr auto drainTime = seconds(2);

/// An endpoint that answers all requests at once, with a status and headers set by the test.
struct Engine
{
    Test::RawListener listener;
    std::vector<std::unique_ptr<RawSocket>> connections;
    std::string status = "200 OK";
    std::string extraHeaders;
    int requests = 0;

    void work(const std::string &id)
    {
        for (int fd = listener.accept(); fd >= 0; fd = listener.accept())
            connections.push_back(std::make_unique<RawSocket>(fd));
        std::erase_if(connections, [](const auto &one) { return one->isEnded(); });
        for (const auto &connection : connections) {
            if (!connection->has("attempt-id: " + id + "\r\n") || !connection->has("\r\n\r\n"))
                continue;
            ++requests;
            connection->send("HTTP/1.1 " + status + "\r\nLagoonbank-Attempt-Id: " + id + "\r\n"
                             + extraHeaders
                             + "Lagoonbank-Server-Seal: 3e\r\nConnection: close\r\n"
                               "Content-Length: 2\r\n\r\nok");
            connection->finishSending();
        }
        std::erase_if(connections,
                      [&](const auto &one) { return one->has("attempt-id: " + id + "\r\n"); });
    }
};

struct Fixture : Test::PausedLoop
{
    explicit Fixture(std::size_t engineCount)
    {
        store.writeRoute();
        for (std::size_t i = 0; i < engineCount; ++i) {
            engines.push_back(std::make_unique<Engine>());
            write(i, 1);
        }
        settings.vm = Base::VmId("edge-0");
        settings.dataCentre = Base::DataCentreId("dc0");
        settings.listenAddress = Test::freeAddress();
        settings.readyAddress = Test::freeAddress();
        settings.peerAddress = Test::freeAddress();
        settings.storeAddress = Runtime::toString(store.server.address());
        router = std::make_unique<Platform::RouterProcess>(loop, settings);
        BOOST_REQUIRE(router->start());
        pass(seconds(1));
    }
    /// Writes the entry of an engine that started at this Unix millisecond.
    void write(std::size_t index, int startedAt)
    {
        store.writeEndpoint("i-" + std::to_string(index), engines[index]->listener.address,
                            startedAt);
    }
    std::string call()
    {
        const std::string id = "a" + std::to_string(++calls);
        RawSocket caller(Runtime::parseSocketAddress(settings.listenAddress).value());
        caller.send("GET /p/1 HTTP/1.1\r\nhost: h\r\nlagoonbank-attempt-id: " + id + "\r\n\r\n");
        BOOST_REQUIRE(runUntil([&] {
            clock.advance(milliseconds(1));
            for (const auto &engine : engines)
                engine->work(id);
            return caller.has("\r\n\r\n");
        }));
        return caller.receive();
    }
    /// Sends calls until this endpoint has answered one.
    void reach(const Engine &engine)
    {
        const int before = engine.requests;
        for (int i = 0; i < 20 && engine.requests == before; ++i)
            call();
        BOOST_REQUIRE(engine.requests > before);
    }
    /// Sends \a count calls and returns how many of them reach the endpoint.
    int reaching(const Engine &engine, int count)
    {
        const int before = engine.requests;
        for (int i = 0; i < count; ++i)
            call();
        return engine.requests - before;
    }

    KeyedStore store{loop};
    std::vector<std::unique_ptr<Engine>> engines;
    Schema::GatewaySettings settings;
    std::unique_ptr<Platform::RouterProcess> router;
    int calls = 0;
};

bool has(const std::string &answer, std::string_view text)
{
    return answer.find(text) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_CASE(leavingEndpointGetsNoNewRequests)
{
    Fixture f(2);
    Engine &leaving = *f.engines[0];
    leaving.extraHeaders = "Server-Leaving: 1\r\n";
    f.reach(leaving);
    f.store.isUp = false; // The endpoint's entry cannot be updated.
    f.pass(drainTime);
    BOOST_TEST(f.reaching(leaving, 20) == 0);
    f.store.isUp = true;
    f.write(0, 1); // A delayed entry from before the report.
    f.pass(seconds(2));
    BOOST_TEST(f.reaching(leaving, 20) == 0);
}

/// Entries expire while the store is down and are written again after the outage.
BOOST_AUTO_TEST_CASE(leavingStateOutlastsTheEntryUntilARestart)
{
    Fixture f(2);
    Engine &leaving = *f.engines[0];
    leaving.extraHeaders = "Server-Leaving: 1\r\n";
    f.reach(leaving);
    f.store.write("keyed.servers", "i-0", ""); // Without a value the key is dropped.
    f.pass(seconds(8));
    f.write(0, 1);
    f.pass(seconds(2));
    BOOST_TEST(f.reaching(leaving, 20) == 0);
    leaving.extraHeaders.clear();
    f.write(0, 2); // The endpoint has restarted.
    f.pass(seconds(2));
    BOOST_TEST(f.reaching(leaving, 20) > 0);
}

/// Even if no other endpoint is available: callers get a Retry-After header instead.
BOOST_AUTO_TEST_CASE(retryAfterOfAnEndpointIsObserved)
{
    Fixture f(1);
    Engine &full = *f.engines[0];
    f.reach(full);
    full.status = "503 Service Unavailable";
    full.extraHeaders = "Lagoonbank-Not-Executed: 1\r\nRetry-After: 3\r\n";
    BOOST_TEST(has(f.call(), "HTTP/1.1 503"));
    f.pass(milliseconds(600));
    const int before = full.requests;
    for (int i = 0; i < 10; ++i) {
        const std::string answer = f.call();
        BOOST_TEST(has(answer, "HTTP/1.1 503"));
        BOOST_TEST(has(answer, "retry-after: "));
        f.pass(milliseconds(200));
    }
    BOOST_TEST(full.requests - before <= 2);
    full.status = "200 OK";
    full.extraHeaders.clear();
    f.pass(milliseconds(500));
    BOOST_TEST(has(f.call(), "HTTP/1.1 200"));
}
