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

// What a request does whose endpoint is silent: where it goes, when, and with how many others.

namespace {

struct SilentFixture : GatewayFixture
{
    using GatewayFixture::GatewayFixture;

    Gateway::EndpointRecord &record(std::size_t number)
    {
        return *gateway.endpoints().find(Base::EndpointId("e" + std::to_string(number)));
    }
    /// Callers whose streams have begun at the first endpoint.
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
    /// Another one listens elsewhere; who connects to the address that is known is turned down.
    void closePort(std::size_t number) { endpoints[number] = std::make_unique<FakeEndpoint>(); }

    std::vector<RawSocket> callers;
};

} // namespace

/// Pattern: engines crash together. One that takes no connection is no reason to wait as long again
/// before the next one is asked: the caller allows a pause of 250 ms.
BOOST_AUTO_TEST_CASE(unreachableAlternativeIsSkippedImmediately)
{
    SilentFixture f(3);
    f.begin(1);
    f.record(2).inFlight = 1; // So that the other one is asked first.
    f.closePort(1);
    f.pass(milliseconds(240));
    BOOST_TEST(f.endpoints[2]->requests() == 1U);
}

/// Pattern: an engine that runs many streams of a router stops; its batch gives all of them their
/// events at the same time, so that they fall silent at the same time too.
BOOST_AUTO_TEST_CASE(streamsSilentTogetherAreSpreadOverEndpoints)
{
    SilentFixture f(4);
    f.begin(3);
    for (std::size_t i = 1; i < f.endpoints.size(); ++i)
        f.record(i).inFlight = 3; // Of four places.
    f.pass(milliseconds(240));
    std::size_t most = 0;
    for (std::size_t i = 1; i < f.endpoints.size(); ++i)
        most = std::max(most, f.endpoints[i]->requests());
    BOOST_TEST(most == 1U);
}

/// Pattern: the only other endpoint is doubted and due for its trial. The search must not use the
/// trial up without sending anything.
BOOST_AUTO_TEST_CASE(silentEndpointIsLeftForSuspectDueForTrial)
{
    SilentFixture f(2);
    f.begin(1);
    f.gateway.endpoints().suspicion().suspect(f.record(1).index,
                                              f.clock.now() - std::chrono::seconds(10));
    f.pass(milliseconds(240));
    BOOST_TEST(f.endpoints[1]->requests() == 1U);
}

/// Pattern: for some seconds nothing comes from anywhere; then the endpoint breaks off while
/// another one can be reached. The caller has not left: for this route callers wait four times the
/// target latency.
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

/// A stream without a limit of its pauses is not looked at again at once, and again.
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

/// Sends that reach no endpoint are no arrivals, and take nothing from the budget of repeats.
BOOST_AUTO_TEST_CASE(unreachableEndpointsDoNotSpendRetryBudget)
{
    SilentFixture f(5);
    f.gateway.setRetryBudget({.ratio = 0, .slack = 3, .share = 1});
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

/// Pattern: engines crash at the peak, and those that are left are full for 0.4 s. A stream waits
/// for room as long as for an endpoint that can be reached: its caller does not mind which it is.
BOOST_AUTO_TEST_CASE(startedStreamWaitsForSlotUntilCallerTimeout)
{
    SilentFixture f(2);
    f.begin(1);
    f.record(1).inFlight = 4; // All of its places.
    f.endpoints[0]->connections.front()->socket.close();
    f.pass(milliseconds(400));
    BOOST_REQUIRE(!f.callers.front().isEnded());
    f.record(1).inFlight = 0;
    f.pass(milliseconds(50));
    BOOST_TEST(f.endpoints[1]->requests() == 1U);
}

/// Pattern: of two endpoints one crashes and the other one is full for a moment. What turned a
/// stream away without running it can take it later; nothing else is there to wait for.
BOOST_AUTO_TEST_CASE(startedStreamRetriesEndpointThatRefusedIt)
{
    SilentFixture f(2);
    f.begin(1);
    f.endpoints[0]->connections.front()->socket.close();
    BOOST_REQUIRE(f.runUntil([&] { return f.endpoints[1]->requests() == 1U; }));
    f.endpoints[1]->last().send(
        "HTTP/1.1 503 Full\r\nx-id: r1\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n");
    f.pass(milliseconds(600)); // It is given a moment of 150 ms.
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
