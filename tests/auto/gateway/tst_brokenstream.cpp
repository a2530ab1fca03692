#define BOOST_TEST_MODULE tst_brokenstream
#include "auto/gateway/gatewayfixture.h"
#include "auto/gateway/streamanswers.h"

#include <cstddef>
#include <optional>
#include <string>

using namespace Lagoonbank;
using Lagoonbank::Test::chunk;
using Lagoonbank::Test::event;
using Lagoonbank::Test::RawSocket;
using Lagoonbank::Test::streamEnd;
using Lagoonbank::Test::streamHead;
using Lagoonbank::Test::streamRoute;
using std::chrono::milliseconds;

// Seen: beside a change of the configuration streams were cut in the middle although their
// endpoints were sound and 9 s of their time were left. The routers' small links were full of
// configuration, so that nothing came from any endpoint for some hundred ms. The router left each
// endpoint as silent, found no connection to another one over the same link, thought that none
// could be reached, and ended the answers. Proved by the bytes that came in (the link's limit), by
// the lines of the sends, and by other routers that were served by the same endpoints meanwhile.

namespace {

/// A stream of which the caller has two events, from the first of two endpoints.
struct BegunStream : GatewayFixture
{
    explicit BegunStream(int endpointCount = 2)
        : GatewayFixture(endpointCount)
    {
        setRoute(streamRoute(true));
        caller.emplace(call());
        first = &awaitRequest();
        other = first == endpoints[0].get() ? 1 : 0;
        first->last().send(std::string(streamHead) + chunk(event(1) + event(2)));
        BOOST_REQUIRE(runUntil([&] { return caller->has("e2"); }));
    }
    Gateway::EndpointRecord &otherRecord()
    {
        return *gateway.endpoints().find(Base::EndpointId("e" + std::to_string(other)));
    }
    bool isWhole() { return caller->has("e4") && caller->has("\r\n0\r\n\r\n"); }

    std::optional<RawSocket> caller;
    FakeEndpoint *first = nullptr;
    std::size_t other = 0;
};

} // namespace

/// Pattern: nothing comes from anywhere for longer than an endpoint may be silent, and no
/// connection to another endpoint can be opened. What the caller has begun to get is not given up
/// for that.
BOOST_AUTO_TEST_CASE(silentEndpointIsKeptUntilAnotherIsReachable)
{
    BegunStream f;
    f.endpoints.erase(f.endpoints.begin()
                      + static_cast<std::ptrdiff_t>(f.other)); // Closes its port.
    f.pass(milliseconds(400));
    BOOST_TEST(!f.caller->isEnded());
    BOOST_REQUIRE(!f.first->last().isEnded());
    f.first->last().send(chunk(event(3) + event(4)) + std::string(streamEnd));
    BOOST_TEST(f.runUntil([&] { return f.isWhole(); }));
}

/// Pattern: the stream's endpoint is gone, and all others are thought to be out of reach, for less
/// time than callers wait for an event.
BOOST_AUTO_TEST_CASE(startedStreamWaitsForReachableEndpoint)
{
    BegunStream f;
    f.otherRecord().isUnreachable = true;
    f.first->last().close();
    f.pass(milliseconds(600));
    BOOST_TEST(!f.caller->isEnded());
    f.otherRecord().isUnreachable = false;
    FakeEndpoint &second = *f.endpoints[f.other];
    BOOST_REQUIRE(f.runUntil([&] {
        f.clock.advance(milliseconds(5));
        return second.requests() > 0 || f.caller->isEnded();
    }));
    BOOST_REQUIRE(!f.caller->isEnded());
    BOOST_TEST(second.last().has("x-resume: 2"));
    second.last().send(std::string(streamHead) + chunk(event(3) + event(4))
                       + std::string(streamEnd));
    BOOST_TEST(f.runUntil([&] { return f.isWhole(); }));
}

BOOST_AUTO_TEST_CASE(pauseWithinLimitKeepsEndpoint)
{
    BegunStream f;
    f.pass(milliseconds(140)); // Of 150.
    f.first->last().send(chunk(event(3)));
    BOOST_REQUIRE(f.runUntil([&] { return f.caller->has("e3"); }));
    f.pass(milliseconds(140));
    f.first->last().send(chunk(event(4)) + std::string(streamEnd));
    BOOST_TEST(f.runUntil([&] { return f.isWhole(); }));
    BOOST_TEST(f.requests() == 1U);
}

/// Pattern: engines crash at the peak, and those that are left are full. New requests are refused
/// after four endpoints that turned them away; what its caller has begun to get goes on looking.
BOOST_AUTO_TEST_CASE(startedStreamTriesMoreEndpointsThanNewRequest)
{
    BegunStream f(8);
    f.first->last().close();
    for (int i = 0; i < 5; ++i) {
        FakeEndpoint &full = f.awaitRequest();
        full.last().send(
            "HTTP/1.1 503 Full\r\nx-id: r1\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n");
    }
    FakeEndpoint &next = f.awaitRequest();
    BOOST_TEST(next.last().has("x-resume: 2"));
    BOOST_TEST(!f.caller->isEnded());
}
