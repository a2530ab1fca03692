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

// Seen: requests went on to an endpoint for 6 s after it had said in its answers that it was
// leaving, and to full ones that had named the time after which to come back.
// The store was down, so that its entry, the one thing that a router went by, could not say it.
// What an endpoint says of itself in an answer was not read. A mend of that alone forgets it when
// the entry lapses and comes back, as the store's outage makes it do: what is known of an endpoint
// was made anew with its entry.
// Proved by the routers' lines, which have the endpoint as a prompt's home all that time and no
// change of its entry, and by the operators' log, which has the entry written 13 s late.

namespace {

constexpr auto drainTime = seconds(2); ///< From its word to the last request that it gets.

/// An endpoint that answers all requests at once, in its own words.
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
    /// Its entry, of the start at this Unix millisecond.
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
    /// Calls until this endpoint has answered one.
    void reach(const Engine &engine)
    {
        const int before = engine.requests;
        for (int i = 0; i < 20 && engine.requests == before; ++i)
            call();
        BOOST_REQUIRE(engine.requests > before);
    }
    /// How many of these calls come to the endpoint.
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
    f.store.isUp = false; // Its entry cannot say so.
    f.pass(drainTime);
    BOOST_TEST(f.reaching(leaving, 20) == 0);
    f.store.isUp = true;
    f.write(0, 1); // Its entry comes late, from before.
    f.pass(seconds(2));
    BOOST_TEST(f.reaching(leaving, 20) == 0);
}

/// Pattern: entries lapse while the store is down, and are back after it.
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
    f.write(0, 2); // Another start of it.
    f.pass(seconds(2));
    BOOST_TEST(f.reaching(leaving, 20) > 0);
}

/// Also where nobody else is there: callers are told when to come back.
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
