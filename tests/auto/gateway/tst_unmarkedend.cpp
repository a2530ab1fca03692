#define BOOST_TEST_MODULE tst_unmarkedend
#include "auto/gateway/gatewayfixture.h"
#include "auto/gateway/streamanswers.h"
#include "auto/gateway/wholeanswer.h"

#include <cstddef>
#include <string>

using namespace Lagoonbank;
using Lagoonbank::Test::event;
using Lagoonbank::Test::RawSocket;
using Lagoonbank::Test::readWholeAnswer;
using Lagoonbank::Test::streamRoute;
using Lagoonbank::Test::unframedHead;
using std::chrono::milliseconds;

// Guards against answers that look complete although their endpoint's process has ended: without a
// length or chunks nothing but the close of the connection marks the end, and the system closes the
// connections of a process that was killed in the same way.

namespace {

constexpr std::string_view lastChunk = "\r\n0\r\n\r\n";

Fleet::Route plainRoute(Fleet::RouteKind kind)
{
    return {.kind = kind, .maxEndpoints = 2, .timeout = std::chrono::seconds(10)};
}

struct Fixture : GatewayFixture
{
    using GatewayFixture::GatewayFixture;

    /// Closes all connections and the port of an endpoint.
    void kill(const FakeEndpoint &killed)
    {
        std::erase_if(endpoints, [&](const auto &one) { return one.get() == &killed; });
    }
    /// Waits for a request and answers it with two events, without framing.
    FakeEndpoint &beginAnswer(RawSocket &caller)
    {
        FakeEndpoint &endpoint = awaitRequest();
        endpoint.last().send(std::string(unframedHead) + event(1) + event(2));
        BOOST_REQUIRE(runUntil([&] { return caller.has(event(2)); }));
        return endpoint;
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(streamOfAKilledEndpointIsCut)
{
    Fixture f;
    f.setRoute(streamRoute(false));
    RawSocket caller = f.call();
    f.kill(f.beginAnswer(caller));
    BOOST_TEST(f.runUntil([&] { return caller.isEnded(); }));
    BOOST_TEST(!caller.has(lastChunk));
}

BOOST_AUTO_TEST_CASE(streamOfAKilledEndpointGoesOnElsewhere)
{
    Fixture f;
    f.setRoute(streamRoute(true));
    RawSocket caller = f.call();
    f.kill(f.beginAnswer(caller));
    FakeEndpoint &second = f.awaitRequest();
    BOOST_TEST(second.last().has("x-resume: 2"));
    second.last().send(std::string(unframedHead) + event(3));
    BOOST_REQUIRE(f.runUntil([&] { return caller.has("e3"); }));
    second.last().close();
    BOOST_TEST(f.runUntil([&] { return caller.has(lastChunk); }));
}

/// The endpoint was killed just after the last event.
BOOST_AUTO_TEST_CASE(nothingIsLeftOfAStreamThatGoesOn)
{
    Fixture f;
    f.setRoute(streamRoute(true));
    RawSocket caller = f.call();
    f.kill(f.beginAnswer(caller));
    FakeEndpoint &second = f.awaitRequest();
    second.last().send(unframedHead);
    f.runIterations(5);
    second.last().close();
    BOOST_TEST(f.runUntil([&] { return caller.has(lastChunk); }));
    BOOST_TEST(f.requests() == 1U);
}

BOOST_AUTO_TEST_CASE(eventsAreNotHeldBackWithTheEnd)
{
    constexpr milliseconds closeTime{2};
    Fixture f(2, closeTime);
    f.setRoute(streamRoute(false));
    RawSocket caller = f.call();
    BOOST_REQUIRE(f.runUntil([&] {
        f.clock.advance(milliseconds(1));
        return f.requests() == 1U;
    }));
    FakeEndpoint &endpoint = f.beginAnswer(caller);
    endpoint.last().close();
    f.runIterations(20);
    BOOST_TEST(!caller.has(lastChunk));
    f.advance(closeTime);
    BOOST_TEST(f.runUntil([&] { return caller.has(lastChunk); }));
}

BOOST_AUTO_TEST_CASE(plainAnswerOfAKilledEndpointIsNotForwarded)
{
    struct Case
    {
        Fleet::RouteKind kind;
        bool isRetried;
    };
    for (const Case &one :
         {Case{Fleet::RouteKind::Idempotent, true}, Case{Fleet::RouteKind::NonIdempotent, false}}) {
        BOOST_TEST_CONTEXT("retried: " << one.isRetried)
        {
            Fixture f;
            f.setRoute(plainRoute(one.kind));
            RawSocket caller = f.call();
            FakeEndpoint &endpoint = f.awaitRequest();
            endpoint.last().send(std::string(unframedHead) + "half");
            f.runIterations(5);
            f.kill(endpoint);
            if (one.isRetried) {
                FakeEndpoint &second = f.awaitRequest();
                second.last().send(std::string(unframedHead) + "whole");
                f.runIterations(5);
                second.last().close();
            }
            BOOST_TEST_REQUIRE(
                f.runUntil([&] { return readWholeAnswer(caller.receive()).has_value(); }));
            const auto answer = readWholeAnswer(caller.receive());
            BOOST_TEST(answer->status == (one.isRetried ? 200 : 502));
            BOOST_TEST(answer->body.find("half") == std::string::npos);
        }
    }
}

/// An answer that says that the request did not run is believed as it is.
BOOST_AUTO_TEST_CASE(rejectionOfAKilledEndpointCounts)
{
    Fixture f;
    f.setRoute(plainRoute(Fleet::RouteKind::NonIdempotent));
    RawSocket caller = f.call();
    FakeEndpoint &endpoint = f.awaitRequest();
    endpoint.last().send("HTTP/1.1 503 Full\r\nx-id: r1\r\nx-not-run: 1\r\n\r\n");
    f.runIterations(5);
    f.kill(endpoint);
    BOOST_TEST(f.awaitRequest().last().has("x-id: r1"));
}
