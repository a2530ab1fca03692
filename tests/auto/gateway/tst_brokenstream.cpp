#define BOOST_TEST_MODULE tst_brokenstream
#include "auto/gateway/gatewayfixture.h"
#include "auto/gateway/streamanswers.h"
#include "auto/gateway/wholeanswer.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

using namespace Lagoonbank;
using Lagoonbank::Test::chunk;
using Lagoonbank::Test::event;
using Lagoonbank::Test::RawSocket;
using Lagoonbank::Test::readWholeAnswer;
using Lagoonbank::Test::streamEnd;
using Lagoonbank::Test::streamHead;
using Lagoonbank::Test::streamRoute;
using Lagoonbank::Test::unframedHead;
using std::chrono::milliseconds;

// Guards against aborted streams of healthy endpoints when the router's own link is congested, for
// example by a configuration update. Nothing arrives from any endpoint for some hundred
// milliseconds then. The router must not leave its endpoint as silent, fail to connect to another
// one over the same link, and abort the answer although seconds are left before its deadline.

namespace {

/// A stream of which the caller has received two events, from one of the endpoints.
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

/// Nothing arrives from any endpoint for longer than the silence limit, and no connection to
/// another endpoint can be opened. A started stream is not aborted for that.
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

/// The stream's endpoint has crashed and all others are marked as unreachable, for less time than
/// callers wait for an event.
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
    f.pass(milliseconds(140)); // Shortly before the limit of 150 ms.
    f.first->last().send(chunk(event(3)));
    BOOST_REQUIRE(f.runUntil([&] { return f.caller->has("e3"); }));
    f.pass(milliseconds(140));
    f.first->last().send(chunk(event(4)) + std::string(streamEnd));
    BOOST_TEST(f.runUntil([&] { return f.isWhole(); }));
    BOOST_TEST(f.requests() == 1U);
}

/// Engines crash at peak load and the remaining ones are full. New requests are refused after four
/// endpoints have rejected them; a started stream tries further endpoints.
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

/// Guards against broken-off streams that look complete to callers: an endpoint closes its
/// connection inside an event, and nothing but this close marks the end of its answer.
BOOST_AUTO_TEST_CASE(unframedStreamThatEndsInsideAnEventIsAborted)
{
    GatewayFixture f;
    f.setRoute(streamRoute(false));
    RawSocket caller = f.call();
    FakeEndpoint &endpoint = f.awaitRequest();
    endpoint.last().send(std::string(unframedHead) + event(1) + "id: 2\ndata: e");
    BOOST_REQUIRE(f.runUntil([&] { return caller.has("e1"); }));
    endpoint.last().close();
    BOOST_TEST(f.runUntil([&] { return caller.isEnded(); }));
    BOOST_TEST(!caller.has("id: 2"));
    BOOST_TEST(!caller.has("\r\n0\r\n\r\n"));
}

/// Guards against the loss of such a stream where another endpoint can resume it.
BOOST_AUTO_TEST_CASE(unframedStreamThatEndsInsideAnEventIsResumed)
{
    GatewayFixture f;
    f.setRoute(streamRoute(true));
    RawSocket caller = f.call();
    FakeEndpoint &first = f.awaitRequest();
    first.last().send(std::string(unframedHead) + event(1) + "id: 2\ndata: e");
    BOOST_REQUIRE(f.runUntil([&] { return caller.has("e1"); }));
    first.last().close();
    FakeEndpoint &second = f.awaitRequest();
    BOOST_TEST(second.last().has("x-resume: 1"));
    second.last().send(std::string(unframedHead) + event(2) + event(3));
    BOOST_REQUIRE(f.runUntil([&] { return caller.has("e3"); }));
    second.last().close();
    BOOST_TEST(f.runUntil([&] { return caller.has("\r\n0\r\n\r\n"); }));
    const std::string &all = caller.receive();
    BOOST_TEST(all.find("id: 2") == all.rfind("id: 2"));
}

/// Guards against an empty answer that looks complete: an endpoint has crashed between the head of
/// its answer and the first event. The caller may have events of an earlier answer.
BOOST_AUTO_TEST_CASE(unframedStreamWithoutEventsIsRetried)
{
    for (const std::uint64_t received : {0U, 4U}) {
        BOOST_TEST_CONTEXT("the caller has " << received << " events")
        {
            GatewayFixture f;
            f.setRoute(streamRoute(true));
            if (received > 0)
                f.resumeAfter = received;
            RawSocket caller = f.call();
            FakeEndpoint &first = f.awaitRequest();
            first.last().send(unframedHead);
            f.runIterations(5);
            first.last().close();
            FakeEndpoint &second = f.awaitRequest();
            BOOST_TEST(second.last().has("x-resume") == (received > 0));
            second.last().send(std::string(unframedHead) + event(5));
            BOOST_REQUIRE(f.runUntil([&] { return caller.has("e5"); }));
            second.last().close();
            BOOST_TEST(f.runUntil([&] { return caller.has("\r\n0\r\n\r\n"); }));
        }
    }
}

/// Guards against aborts of complete streams that end with their connection.
BOOST_AUTO_TEST_CASE(unframedStreamThatEndsBetweenEventsIsComplete)
{
    GatewayFixture f;
    f.setRoute(streamRoute(false));
    RawSocket caller = f.call();
    FakeEndpoint &endpoint = f.awaitRequest();
    endpoint.last().send(std::string(unframedHead) + event(1) + event(2));
    BOOST_REQUIRE(f.runUntil([&] { return caller.has("e2"); }));
    endpoint.last().close();
    BOOST_TEST(f.runUntil([&] { return caller.has("\r\n0\r\n\r\n"); }));
}

/// Guards against an unframed stream that is reset, between events, and looks complete.
BOOST_AUTO_TEST_CASE(unframedStreamThatIsResetIsAborted)
{
    GatewayFixture f;
    f.setRoute(streamRoute(false));
    RawSocket caller = f.call();
    FakeEndpoint &endpoint = f.awaitRequest();
    endpoint.last().send(std::string(unframedHead) + event(1));
    BOOST_REQUIRE(f.runUntil([&] { return caller.has("e1"); }));
    endpoint.last().reset();
    BOOST_TEST(f.runUntil([&] { return caller.isEnded(); }));
    BOOST_TEST(!caller.has("\r\n0\r\n\r\n"));
}

/// Guards against events that come twice: an endpoint can't be told to go on after an event without
/// an id.
BOOST_AUTO_TEST_CASE(streamIsNotMovedAfterAnEventWithoutId)
{
    struct Case
    {
        const char *name;
        std::string sent; ///< Before the endpoint breaks off.
        std::string last; ///< The last event of it.
        bool isMoved;
    };
    const std::vector<Case> cases = {
        {"no event has an id", "data: x\n\n", "data: x\n\n", false},
        {"the last event has none", event(1) + "data: x\n\n", "data: x\n\n", false},
        {"a comment follows it", "data: x\n\n: y\n\n", ": y\n\n", false},
        {"an earlier event has none", "data: x\n\n" + event(1), event(1), true},
        {"the last one is a comment", event(1) + ": y\n:\r\n\r\n", ":\r\n\r\n", true},
    };
    for (const Case &one : cases) {
        BOOST_TEST_CONTEXT(one.name)
        {
            GatewayFixture f;
            f.setRoute(streamRoute(true));
            RawSocket caller = f.call();
            FakeEndpoint &first = f.awaitRequest();
            first.last().send(std::string(streamHead) + chunk(one.sent));
            BOOST_REQUIRE(f.runUntil([&] { return caller.has(one.last); }));
            first.last().close();
            BOOST_TEST(
                f.runUntil([&] { return caller.isEnded() || f.requests() == 1U + one.isMoved; }));
            f.runIterations(5);
            BOOST_TEST(f.requests() == 1U + one.isMoved);
            BOOST_TEST(caller.isEnded() == !one.isMoved);
            BOOST_TEST(!caller.has("\r\n0\r\n\r\n"));
        }
    }
}

/// Guards against events without ids that come twice, and missing events that go unnoticed, where
/// an endpoint does not go on just after the last event.
BOOST_AUTO_TEST_CASE(resumedStreamWithEventsWithoutIdsHasEachEventOnce)
{
    struct Case
    {
        const char *name;
        std::string resumed; ///< What the second endpoint sends.
        bool isWhole;
    };
    const std::string unnumbered = "data: x\n\n";
    const std::vector<Case> cases = {
        {"repeats all", event(1) + unnumbered + event(2) + event(3), true},
        {"repeats the last event", event(2) + event(3), true},
        {"begins with a comment", ": y\n\n" + event(3), true},
        {"lacks an event after a comment", ": y\n\n" + event(4), false},
    };
    for (const Case &one : cases) {
        BOOST_TEST_CONTEXT("the second endpoint " << one.name)
        {
            GatewayFixture f;
            f.setRoute(streamRoute(true));
            RawSocket caller = f.call();
            FakeEndpoint &first = f.awaitRequest();
            first.last().send(std::string(streamHead) + chunk(event(1) + unnumbered + event(2)));
            BOOST_REQUIRE(f.runUntil([&] { return caller.has("e2"); }));
            first.last().close();
            f.awaitRequest().last().send(std::string(streamHead) + chunk(one.resumed)
                                         + std::string(streamEnd));
            BOOST_TEST(f.runUntil([&] { return caller.isEnded() || caller.has("\r\n0\r\n\r\n"); }));
            const std::string &all = caller.receive();
            BOOST_TEST(caller.has("\r\n0\r\n\r\n") == one.isWhole);
            BOOST_TEST(caller.has("e3") == one.isWhole);
            BOOST_TEST(!caller.has("e4"));
            for (const std::string &piece : {event(1), unnumbered, event(2)})
                BOOST_TEST(all.find(piece) == all.rfind(piece));
        }
    }
}

/// Guards against events that are missing or come twice where a caller resumes its stream, at any
/// id, and its endpoint breaks off before or after the first event, inside of a later one.
BOOST_AUTO_TEST_CASE(resumedStreamOfACallerGoesOnAfterItsLastEvent)
{
    for (const int received : {0, 2, 99}) {
        for (const bool hasBegun : {false, true}) {
            BOOST_TEST_CONTEXT("after " << received << ", begun: " << hasBegun)
            {
                GatewayFixture f;
                f.setRoute(streamRoute(true));
                f.resumeAfter = static_cast<std::uint64_t>(received);
                RawSocket caller = f.call();
                FakeEndpoint &first = f.awaitRequest();
                const std::string begun = event(received + 1) + event(received + 3); // Has a gap.
                const std::string broken = event(received + 5).substr(0, 8);
                first.last().send(std::string(streamHead)
                                  + (hasBegun ? chunk(begun + broken) : std::string()));
                f.runIterations(5);
                first.last().close();
                FakeEndpoint &second = f.awaitRequest();
                const int last = hasBegun ? received + 3 : received;
                BOOST_TEST(second.last().has("x-resume: " + std::to_string(last) + "\r\n"));
                // An endpoint may repeat events.
                second.last().send(std::string(streamHead)
                                   + chunk((hasBegun ? event(last) : begun) + event(received + 5))
                                   + std::string(streamEnd));
                BOOST_TEST_REQUIRE(
                    f.runUntil([&] { return readWholeAnswer(caller.receive()).has_value(); }));
                BOOST_TEST(readWholeAnswer(caller.receive())->body == begun + event(received + 5));
            }
        }
    }
}
