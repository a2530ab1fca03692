#define BOOST_TEST_MODULE tst_silentendpoint
#include "auto/gateway/gatewayfixture.h"
#include "auto/gateway/streamanswers.h"

#include <algorithm>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

using namespace Lagoonbank;
using Lagoonbank::Test::chunk;
using Lagoonbank::Test::event;
using Lagoonbank::Test::RawSocket;
using Lagoonbank::Test::streamHead;
using Lagoonbank::Test::streamRoute;
using std::chrono::milliseconds;

// Handling of requests whose endpoint is silent: when they are moved, where to, and how many of
// them.

namespace {

struct SilentFixture : GatewayFixture
{
    using GatewayFixture::GatewayFixture;

    Gateway::EndpointRecord &record(std::size_t number)
    {
        return *gateway.endpoints().find(Base::EndpointId("e" + std::to_string(number)));
    }
    /// Starts streams at the first endpoint.
    void begin(std::size_t count)
    {
        if (revision == 0)
            setRoute(streamRoute(true));
        for (std::size_t i = 1; i < endpoints.size(); ++i)
            record(i).isUnreachable = true;
        for (std::size_t i = 0; i < count; ++i) {
            callers.push_back(call());
            FakeEndpoint &first = awaitRequest();
            BOOST_REQUIRE(&first == endpoints.front().get());
        }
        for (const auto &connection : endpoints.front()->connections) {
            std::string head(streamHead);
            const std::string &request = connection->socket.receive();
            const std::size_t at = request.find("x-id: ") + std::string("x-id: ").size();
            const std::string id = request.substr(at, request.find('\r', at) - at);
            head.replace(head.find("r1"), 2, id);
            connection->socket.send(head + chunk(event(1)));
        }
        for (RawSocket &caller : callers)
            BOOST_REQUIRE(runUntil([&] { return caller.has("e1"); }));
        for (std::size_t i = 1; i < endpoints.size(); ++i)
            record(i).isUnreachable = false;
    }
    /// Replaces the endpoint by one at another address: connections to the known address are
    /// refused.
    void closePort(std::size_t number) { endpoints[number] = std::make_unique<FakeEndpoint>(); }

    std::vector<RawSocket> callers;
};

} // namespace

/// Several engines crash together. After one that accepts no connection, the next one is tried
/// without another wait for the silence limit, as the caller allows a pause of 250 ms only.
BOOST_AUTO_TEST_CASE(unreachableAlternativeIsSkippedImmediately)
{
    SilentFixture f(3);
    f.begin(1);
    f.record(2).inFlight = 1; // Makes the gateway try the other endpoint first.
    f.closePort(1);
    f.pass(milliseconds(240));
    BOOST_TEST(f.endpoints[2]->requests() == 1U);
}

/// An engine that runs many streams of a router stops. It sends the events of all streams of a
/// batch at the same time, so the streams also fall silent at the same time.
BOOST_AUTO_TEST_CASE(streamsSilentTogetherAreSpreadOverEndpoints)
{
    SilentFixture f(4);
    f.begin(3);
    for (std::size_t i = 1; i < f.endpoints.size(); ++i)
        f.record(i).inFlight = 3; // Leaves one of four slots free.
    f.pass(milliseconds(240));
    std::size_t maxRequests = 0;
    for (std::size_t i = 1; i < f.endpoints.size(); ++i)
        maxRequests = std::max(maxRequests, f.endpoints[i]->requests());
    BOOST_TEST(maxRequests == 1U);
}

/// The only other endpoint is suspect and due for a trial. Probing it must not use up the trial
/// without sending a request.
BOOST_AUTO_TEST_CASE(silentEndpointIsLeftForSuspectDueForTrial)
{
    SilentFixture f(2);
    f.begin(1);
    f.gateway.endpoints().suspicion().suspect(f.record(1).index,
                                              f.clock.now() - std::chrono::seconds(10));
    f.pass(milliseconds(240));
    BOOST_TEST(f.endpoints[1]->requests() == 1U);
}

/// Nothing arrives from any endpoint for some seconds. Then the connection to the endpoint breaks
/// while another one is reachable. The caller has not left: on this route callers wait four target
/// latencies.
BOOST_AUTO_TEST_CASE(startedStreamIsRetriedUntilCallerTimeout)
{
    SilentFixture f(2);
    Fleet::Route route = streamRoute(true);
    route.targetLatency = std::chrono::seconds(1);
    route.maxEventGap = milliseconds(500);
    f.setRoute(route);
    f.begin(1);
    f.record(1).isUnreachable = true;
    f.pass(milliseconds(2100));
    BOOST_REQUIRE(!f.callers.front().isEnded());
    f.record(1).isUnreachable = false;
    f.endpoints[0]->connections.front()->socket.close();
    BOOST_TEST(f.runUntil([&] {
        f.clock.advance(milliseconds(1));
        return f.endpoints[1]->requests() == 1U;
    }));
    BOOST_TEST(!f.callers.front().isEnded());
}

/// The silence timer of a stream without a pause limit must not be restarted at once, again and
/// again.
BOOST_AUTO_TEST_CASE(streamWithoutPauseLimitLeavesLoopIdle)
{
    SilentFixture f(1);
    Fleet::Route route = streamRoute(true);
    route.maxEventGap = {};
    f.setRoute(route);
    f.begin(1);
    f.pass(milliseconds(300)); // Longer than the first event may take.
    const auto due = f.loop.timers().nextDue();
    BOOST_TEST((!due || *due > f.clock.now()));
}

/// Attempts that reach no endpoint add nothing to the retry budget and take nothing from it.
BOOST_AUTO_TEST_CASE(unreachableEndpointsDoNotSpendRetryBudget)
{
    SilentFixture f(5);
    f.gateway.setRetryBudget({.ratio = 0, .slack = 3, .usedShare = 1});
    f.begin(1);
    f.record(4).inFlight = 1;
    for (std::size_t i = 1; i < 4; ++i)
        f.closePort(i);
    f.endpoints[0]->connections.front()->socket.close();
    BOOST_TEST(f.runUntil([&] {
        f.clock.advance(milliseconds(1));
        return f.endpoints[4]->requests() == 1U;
    }));
}

/// Engines crash at peak load and the remaining ones are full for 0.4 s. A started stream waits for
/// a free slot as long as for a reachable endpoint, as there is no difference for its caller.
BOOST_AUTO_TEST_CASE(startedStreamWaitsForSlotUntilCallerTimeout)
{
    SilentFixture f(2);
    f.begin(1);
    f.record(1).inFlight = 4; // Fills all slots of the endpoint.
    f.endpoints[0]->connections.front()->socket.close();
    f.pass(milliseconds(400));
    BOOST_REQUIRE(!f.callers.front().isEnded());
    f.record(1).inFlight = 0;
    f.pass(milliseconds(50));
    BOOST_TEST(f.endpoints[1]->requests() == 1U);
}

/// One of two endpoints crashes and the other one is full for a moment. An endpoint that rejected a
/// started stream without running it is tried again, as there is no other one.
BOOST_AUTO_TEST_CASE(startedStreamRetriesEndpointThatRefusedIt)
{
    SilentFixture f(2);
    f.begin(1);
    f.endpoints[0]->connections.front()->socket.close();
    BOOST_REQUIRE(f.runUntil([&] { return f.endpoints[1]->requests() == 1U; }));
    f.endpoints[1]->last().send(
        "HTTP/1.1 503 Full\r\nx-id: r1\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n");
    f.pass(milliseconds(600)); // The endpoint gets no requests for 150 ms.
    BOOST_TEST(!f.callers.front().isEnded());
    std::size_t heads = 0;
    for (const auto &connection : f.endpoints[1]->connections) {
        const std::string &bytes = connection->socket.receive();
        for (std::size_t at = bytes.find("\r\n\r\n"); at != std::string::npos;
             at = bytes.find("\r\n\r\n", at + 1))
            ++heads;
    }
    BOOST_TEST(heads == 2U);
}
