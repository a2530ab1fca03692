#define BOOST_TEST_MODULE tst_gateway
#include "auto/gateway/gatewayfixture.h"
#include "auto/gateway/streamanswers.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

using namespace Lagoonbank;
using Lagoonbank::Test::chunk;
using Lagoonbank::Test::event;
using Lagoonbank::Test::RawSocket;
using Lagoonbank::Test::streamHead;
using Lagoonbank::Test::streamRoute;
using std::chrono::milliseconds;

namespace {

using RouteKind = Fleet::RouteKind;

Fleet::Route plain(RouteKind kind, int maxEndpoints = 2)
{
    return {.kind = kind,
            .maxEndpoints = maxEndpoints,
            .timeout = milliseconds(800),
            .targetLatency = milliseconds(150)};
}

constexpr std::string_view good = "HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-length: 4\r\n\r\ngood";
} // namespace

BOOST_AUTO_TEST_CASE(unservableRequestsAreRefusedImmediately)
{
    GatewayFixture f;
    RawSocket early = f.call();
    BOOST_TEST(f.runUntil([&] { return early.has("not_ready ran=no"); }));
    f.gateway.setConfiguration(std::make_shared<const Fleet::Configuration>(
        Fleet::ConfigurationParts{.revision = Base::Revision(50)}));
    RawSocket unknown = f.call();
    BOOST_TEST(f.runUntil([&] { return unknown.has("not_found ran=no"); }));
    BOOST_TEST(f.gateway.inFlight() == 0U);
    BOOST_TEST(f.requests() == 0U);
}

BOOST_AUTO_TEST_CASE(olderConfigurationIsIgnored)
{
    GatewayFixture f;
    f.setRoute(plain(RouteKind::Idempotent));
    f.setRoute(plain(RouteKind::NonIdempotent));
    f.gateway.setConfiguration(std::make_shared<const Fleet::Configuration>(
        Fleet::ConfigurationParts{.revision = Base::Revision(1)}));
    BOOST_TEST(f.gateway.configuration()->revision().value() == 2U);
}

BOOST_AUTO_TEST_CASE(answerOfEndpointIsForwarded)
{
    GatewayFixture f;
    f.setRoute(plain(RouteKind::NonIdempotent));
    RawSocket caller = f.call();
    FakeEndpoint &endpoint = f.awaitRequest();
    BOOST_TEST(endpoint.last().has("x-left-ms: 800"));
    endpoint.last().send(
        "HTTP/1.1 201 Created\r\nx-id: r1\r\nx-y: z\r\ncontent-length: 2\r\n\r\nok");
    BOOST_TEST(f.runUntil([&] { return caller.has("\r\n\r\nok"); }));
    BOOST_TEST(caller.has("HTTP/1.1 201"));
    BOOST_TEST(caller.has("x-y: z\r\n"));
}

/// What a failed attempt leads to: a retry, or an answer to the caller.
BOOST_AUTO_TEST_CASE(requestsThatMayHaveRunAreRetriedOnlyIfAllowed)
{
    struct Row
    {
        std::string_view name;
        RouteKind kind;
        std::string answer; ///< Sent by the first endpoint before it closes; may be empty.
        bool isRepeated;
        std::string_view received; ///< By the caller, if there is no retry.
    };
    const std::string full = "HTTP/1.1 503 Busy\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
    const std::string moved = "HTTP/1.1 421 Other\r\ncontent-length: 0\r\nx-id: r1\r\n\r\n";
    const std::string error = "HTTP/1.1 500 Bad\r\nx-id: r1\r\ncontent-length: 3\r\n\r\nbad";
    const std::string foreign = "HTTP/1.1 200 OK\r\nx-id: r9\r\ncontent-length: 4\r\n\r\nevil";
    const std::string cut = "HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-length: 9\r\n\r\ncut";
    const Row rows[]{
        {"closed, idempotent", RouteKind::Idempotent, "", true, ""},
        {"closed, not idempotent", RouteKind::NonIdempotent, "", false,
         "endpoint_broke ran=unknown"},
        {"full, not idempotent", RouteKind::NonIdempotent, full, true, ""},
        {"other endpoint, not idempotent", RouteKind::NonIdempotent, moved, true, ""},
        {"error, idempotent", RouteKind::Idempotent, error, true, ""},
        {"error, not idempotent", RouteKind::NonIdempotent, error, false, "bad"},
        {"another's answer, not idempotent", RouteKind::NonIdempotent, foreign, false,
         "answer_mismatch ran=unknown"},
        {"another's answer, idempotent", RouteKind::Idempotent, foreign, true, ""},
        {"cut, not idempotent", RouteKind::NonIdempotent, cut, false, "endpoint_broke ran=unknown"},
        {"cut, idempotent", RouteKind::Idempotent, cut, true, ""},
        {"no HTTP, not idempotent", RouteKind::NonIdempotent, "nonsense\r\n\r\n", false,
         "endpoint_broke ran=unknown"},
    };
    for (const Row &row : rows) {
        BOOST_TEST_CONTEXT(row.name)
        {
            GatewayFixture f;
            f.setRoute(plain(row.kind));
            RawSocket caller = f.call();
            FakeEndpoint &first = f.awaitRequest();
            if (!row.answer.empty())
                first.last().send(row.answer);
            first.last().close();
            if (!row.isRepeated) {
                BOOST_TEST(f.runUntil([&] { return caller.has(row.received); }));
                BOOST_TEST(!caller.has("evil"));
                BOOST_TEST(f.requests() == 1U);
                continue;
            }
            FakeEndpoint &second = f.awaitRequest();
            BOOST_TEST((&second != &first));
            second.last().send(good);
            BOOST_TEST(f.runUntil([&] { return caller.has("good"); }));
        }
    }
}

BOOST_AUTO_TEST_CASE(unreachableEndpointDoesNotCountAsRetry)
{
    GatewayFixture f;
    f.setRoute(plain(RouteKind::NonIdempotent));
    // Nothing listens at the address of the first endpoint any more.
    f.gateway.endpoints().put({.id = Base::EndpointId("e0"),
                               .service = Base::ServiceId("service"),
                               .address = {"127.0.0.1", 1}},
                              f.clock.now());
    RawSocket caller = f.call();
    f.awaitRequest().last().send(good);
    BOOST_TEST(f.runUntil([&] { return caller.has("good"); }));
}

/// The address in an endpoint's entry is in use by a later start of the engine. Requests must not
/// be sent there again and again, as each of them would spend a retry until the budget is used up.
BOOST_AUTO_TEST_CASE(endpointWithReusedAddressIsNotTriedAgain)
{
    GatewayFixture f;
    f.setRoute(plain(RouteKind::NonIdempotent));
    std::map<FakeEndpoint *, int> attempts;
    for (int i = 1; i <= 6; ++i) {
        RawSocket caller = f.call();
        const std::string id = "x-id: r" + std::to_string(i) + "\r\n";
        const std::string answer = "HTTP/1.1 200 OK\r\n" + id + "content-length: 4\r\n\r\ngood";
        FakeEndpoint *endpoint = &f.awaitRequest();
        while (endpoint == f.endpoints.front().get()) {
            ++attempts[endpoint];
            endpoint->last().send("HTTP/1.1 421 Other\r\n" + id + "content-length: 0\r\n\r\n");
            endpoint = &f.awaitRequest();
        }
        endpoint->last().send(answer);
        BOOST_TEST(f.runUntil([&] { return caller.has("good"); }));
    }
    BOOST_TEST(attempts[f.endpoints.front().get()] <= 1);
}

BOOST_AUTO_TEST_CASE(withoutEndpointsRequestIsRefusedAsNotRun)
{
    GatewayFixture f(0);
    f.setRoute(plain(RouteKind::NonIdempotent));
    RawSocket caller = f.call();
    BOOST_TEST(f.runUntil([&] { return caller.has("no_endpoint ran=no"); }));
}

BOOST_AUTO_TEST_CASE(silentEndpointIsLeftWithinTargetLatency)
{
    GatewayFixture f;
    f.setRoute(plain(RouteKind::Idempotent));
    RawSocket caller = f.call();
    FakeEndpoint &first = f.awaitRequest();
    f.pass(milliseconds(100));
    BOOST_TEST(f.requests() == 1U);
    f.pass(milliseconds(30));
    FakeEndpoint &second = f.awaitRequest();
    BOOST_TEST(f.runUntil([&] { return first.last().isEnded(); }));
    second.last().send(good);
    BOOST_TEST(f.runUntil([&] { return caller.has("good"); }));
}

BOOST_AUTO_TEST_CASE(nonIdempotentRequestStaysAtSilentEndpoint)
{
    GatewayFixture f;
    f.setRoute(plain(RouteKind::NonIdempotent));
    RawSocket caller = f.call();
    FakeEndpoint &first = f.awaitRequest();
    f.pass(milliseconds(700));
    BOOST_TEST(f.requests() == 1U);
    first.last().send(good);
    BOOST_TEST(f.runUntil([&] { return caller.has("good"); }));
}

BOOST_AUTO_TEST_CASE(requestEndsAtRouteTimeout)
{
    GatewayFixture f;
    f.setRoute(plain(RouteKind::NonIdempotent));
    RawSocket caller = f.call();
    FakeEndpoint &first = f.awaitRequest();
    f.pass(milliseconds(790));
    BOOST_TEST(caller.receive().empty());
    f.pass(milliseconds(100));
    BOOST_TEST(caller.has("endpoint_timeout ran=unknown"));
    BOOST_TEST(f.runUntil([&] { return first.last().isEnded(); }));
    BOOST_TEST(f.gateway.inFlight() == 0U);
}

BOOST_AUTO_TEST_CASE(leavingCallerCancelsRequestAtEndpoint)
{
    for (const RouteKind kind : {RouteKind::NonIdempotent, RouteKind::Stream}) {
        GatewayFixture f;
        f.setRoute(kind == RouteKind::Stream ? streamRoute(false) : plain(kind));
        RawSocket caller = f.call();
        FakeEndpoint &endpoint = f.awaitRequest();
        caller.close();
        BOOST_TEST(f.runUntil([&] { return endpoint.last().isEnded(); }));
        BOOST_TEST(f.gateway.inFlight() == 0U);
    }
}

BOOST_AUTO_TEST_CASE(eventsAreForwardedAsTheyArrive)
{
    GatewayFixture f;
    f.setRoute(streamRoute(false));
    RawSocket caller = f.call();
    FakeEndpoint &endpoint = f.awaitRequest();
    endpoint.last().send(std::string(streamHead) + chunk(event(1) + "id: 2\nda"));
    BOOST_TEST(f.runUntil([&] { return caller.has("e1"); }));
    BOOST_TEST(!caller.has("id: 2"));
    endpoint.last().send(chunk("ta: e2\n\n") + "0\r\n\r\n");
    BOOST_TEST(f.runUntil([&] { return caller.has("\r\n0\r\n\r\n"); }));
    BOOST_TEST(caller.has("id: 2\ndata: e2\n\n"));
}

BOOST_AUTO_TEST_CASE(brokenStreamResumesAtAnotherEndpointWithinOneAnswer)
{
    for (const bool isSilent : {false, true}) {
        BOOST_TEST_CONTEXT((isSilent ? "falls silent" : "breaks off"))
        {
            GatewayFixture f;
            f.setRoute(streamRoute(true));
            RawSocket caller = f.call();
            FakeEndpoint &first = f.awaitRequest();
            first.last().send(std::string(streamHead) + chunk(event(1) + event(2) + "id: 3\nda"));
            BOOST_REQUIRE(f.runUntil([&] { return caller.has("e2"); }));
            if (isSilent)
                f.pass(milliseconds(160));
            else
                first.last().close();
            FakeEndpoint &second = f.awaitRequest();
            BOOST_TEST(second.last().has("x-resume: 2"));
            // Begins with an event that the caller already has.
            second.last().send(std::string(streamHead) + chunk(event(2) + event(3) + event(4))
                               + "0\r\n\r\n");
            BOOST_TEST(f.runUntil([&] { return caller.has("\r\n0\r\n\r\n"); }));
            const std::string &all = caller.receive();
            BOOST_TEST(all.find("HTTP/1.1 200", 5) == std::string::npos);
            BOOST_TEST(all.find("e2") == all.rfind("e2"));
            BOOST_TEST(all.find("id: 3") == all.rfind("id: 3"));
            BOOST_TEST(caller.has("e4"));
        }
    }
}

BOOST_AUTO_TEST_CASE(resumedStreamWithMissingEventsIsAborted)
{
    GatewayFixture f;
    f.setRoute(streamRoute(true));
    RawSocket caller = f.call();
    FakeEndpoint &first = f.awaitRequest();
    first.last().send(std::string(streamHead) + chunk(event(1)));
    BOOST_REQUIRE(f.runUntil([&] { return caller.has("e1"); }));
    first.last().close();
    f.awaitRequest().last().send(std::string(streamHead) + chunk(event(4)) + "0\r\n\r\n");
    BOOST_TEST(f.runUntil([&] { return caller.isEnded(); }));
    BOOST_TEST(!caller.has("e4"));
    BOOST_TEST(!caller.has("\r\n0\r\n\r\n"));
}

/// Guards against streams that are broken off as the ids of their events increase by more than one.
BOOST_AUTO_TEST_CASE(eventIdsMayHaveGaps)
{
    GatewayFixture f;
    f.setRoute(streamRoute(true));
    RawSocket caller = f.call();
    FakeEndpoint &first = f.awaitRequest();
    first.last().send(std::string(streamHead) + chunk(event(10) + event(20)));
    BOOST_REQUIRE(f.runUntil([&] { return caller.has("e20"); }));
    first.last().close();
    FakeEndpoint &second = f.awaitRequest();
    BOOST_TEST(second.last().has("x-resume: 20"));
    second.last().send(std::string(streamHead) + chunk(event(30) + event(35)) + "0\r\n\r\n");
    BOOST_TEST(f.runUntil([&] { return caller.has("\r\n0\r\n\r\n"); }));
    BOOST_TEST(caller.has("e30"));
    BOOST_TEST(caller.has("e35"));
}

BOOST_AUTO_TEST_CASE(brokenStreamWithoutResumeIsAborted)
{
    GatewayFixture f;
    f.setRoute(streamRoute(false));
    RawSocket caller = f.call();
    FakeEndpoint &first = f.awaitRequest();
    first.last().send(std::string(streamHead) + chunk(event(1) + "id: 2\nda"));
    BOOST_REQUIRE(f.runUntil([&] { return caller.has("e1"); }));
    first.last().close();
    BOOST_TEST(f.runUntil([&] { return caller.isEnded(); }));
    BOOST_TEST(!caller.has("id: 2"));
    BOOST_TEST(!caller.has("\r\n0\r\n\r\n"));
    BOOST_TEST(f.requests() == 1U);
}

/// An endpoint has reached its connection limit and resets new connections. A request that must not
/// run twice must not be reported as one that may have run, as it was not sent.
BOOST_AUTO_TEST_CASE(requestMovesOnWhenEndpointResetsNewConnections)
{
    GatewayFixture f(2, milliseconds(2));
    f.setRoute(plain(RouteKind::NonIdempotent, 1));
    RawSocket caller = f.call();
    FakeEndpoint *full = nullptr;
    BOOST_REQUIRE(f.runUntil([&] {
        for (const auto &endpoint : f.endpoints) {
            endpoint->accept();
            if (!endpoint->connections.empty())
                full = endpoint.get();
        }
        return full != nullptr;
    }));
    full->last().reset();
    FakeEndpoint &other = *f.endpoints[full == f.endpoints[0].get() ? 1 : 0];
    BOOST_REQUIRE(f.runUntil([&] {
        other.accept();
        return !other.connections.empty();
    }));
    BOOST_REQUIRE(f.runUntil([&] {
        f.clock.advance(milliseconds(1));
        return other.requests() == 1;
    }));
    other.last().send(good);
    BOOST_TEST(f.runUntil([&] { return caller.has("good"); }));
}

/// Endpoints with a low connection limit serve many routers. Each router uses only its share.
BOOST_AUTO_TEST_CASE(routerStaysWithinItsConnectionShare)
{
    GatewayFixture f;
    Fleet::Route route = plain(RouteKind::Idempotent);
    route.host = "a";
    route.prefix = "/";
    route.services = {{Base::ServiceId("service")}};
    // 80 % of 20 connections for five routers: three each.
    f.gateway.setConfiguration(
        std::make_shared<const Fleet::Configuration>(Fleet::ConfigurationParts{
            .revision = Base::Revision(1),
            .routes = {route},
            .services = {{.name = Base::ServiceId("service"), .maxConnections = 20}}}));
    f.gateway.setRouterCount(5, true);
    std::vector<RawSocket> callers;
    for (int i = 0; i < 6; ++i) {
        callers.push_back(f.call());
        f.awaitRequest();
    }
    BOOST_TEST(f.endpoints[0]->requests() == 3U);
    BOOST_TEST(f.endpoints[1]->requests() == 3U);
}

/// All endpoints are full. The request is refused soon, as one that has not run.
BOOST_AUTO_TEST_CASE(requestWithoutFreeSlotIsRefusedAfterQueueWait)
{
    GatewayFixture f(1);
    f.setRoute(streamRoute(false));
    std::vector<RawSocket> running;
    for (int i = 0; i < 4; ++i) { // The endpoint has four slots.
        running.push_back(f.call());
        f.awaitRequest();
    }
    RawSocket refused = f.call();
    BOOST_REQUIRE(f.runUntil([&] { return f.gateway.inFlight() == 5U; }));
    f.pass(milliseconds(45)); // Longer than it waits for a slot.
    BOOST_TEST(f.runUntil([&] { return refused.has("overloaded ran=no"); }));
    BOOST_TEST(f.requests() == 4U);
}

BOOST_AUTO_TEST_CASE(queuedRequestGetsFreedSlot)
{
    GatewayFixture f(1);
    f.setRoute(streamRoute(false));
    std::vector<RawSocket> running;
    for (int i = 0; i < 4; ++i) {
        running.push_back(f.call());
        f.awaitRequest();
    }
    RawSocket waiting = f.call();
    BOOST_TEST(f.runUntil([&] { return f.gateway.inFlight() == 5U; }));
    f.endpoints[0]->connections[0]->socket.close();
    BOOST_TEST(f.runUntil([&] {
        f.clock.advance(milliseconds(1));
        return f.requests() == 5U;
    }));
}

/// The router itself is short of processor time. It refuses some of the new requests, as not run
/// and without sending them, and forwards the answers to the requests that it has admitted.
BOOST_AUTO_TEST_CASE(overloadedRouterRefusesNewRequestsAndServesAdmittedOnes)
{
    GatewayFixture f(1);
    f.setRoute(streamRoute(false));
    RawSocket taken = f.call();
    FakeEndpoint &endpoint = f.awaitRequest();
    f.ownDelay = milliseconds(300);
    std::vector<RawSocket> others;
    const auto refused = [&] {
        return std::count_if(others.begin(), others.end(),
                             [](RawSocket &caller) { return caller.has("overloaded ran=no"); });
    };
    for (int i = 0; i < 12 && refused() == 0; ++i) {
        others.push_back(f.call());
        f.runIterations(5);
        f.advance(milliseconds(100));
    }
    BOOST_TEST(refused() == 1);
    BOOST_TEST(f.requests() == others.size());
    RawSocket &first = endpoint.connections[0]->socket;
    first.send("HTTP/1.1 200 OK\r\nx-id: r1\r\ntransfer-encoding: chunked\r\n\r\n"
               + chunk(event(1)));
    BOOST_TEST(f.runUntil([&] { return taken.has("data: e1"); }));
    f.ownDelay = Base::Duration::zero();
    RawSocket later = f.call();
    f.runIterations(5);
    BOOST_TEST(f.requests() == others.size() + 1);
}

/// Engines crash at peak load. A started stream waits longer for a free slot at another endpoint
/// than a request that can still be refused.
BOOST_AUTO_TEST_CASE(startedStreamWaitsForSlotToResume)
{
    GatewayFixture f(2);
    f.setRoute(streamRoute(true));
    std::vector<RawSocket> callers;
    for (int i = 0; i < 8; ++i) { // Four slots at each of two endpoints.
        callers.push_back(f.call());
        f.awaitRequest();
    }
    RawSocket &first = f.endpoints[0]->connections[0]->socket;
    const std::size_t at = first.receive().find("x-id: r") + std::string_view("x-id: ").size();
    const std::string id = first.receive().substr(at, 2);
    first.send("HTTP/1.1 200 OK\r\nx-id: " + id + "\r\ntransfer-encoding: chunked\r\n\r\n"
               + chunk(event(1)));
    RawSocket &caller = callers[std::stoul(id.substr(1)) - 1];
    BOOST_REQUIRE(f.runUntil([&] { return caller.has("data: e1"); }));
    const std::size_t before = f.endpoints[1]->requests();
    first.reset();
    f.pass(milliseconds(60));
    f.endpoints[1]->connections[0]->socket.reset();
    BOOST_TEST(f.runUntil([&] {
        f.clock.advance(milliseconds(1));
        return f.endpoints[1]->requests() > before || caller.isEnded();
    }));
    BOOST_TEST(!caller.isEnded());
}

/// Guards against endpoints that look fast because they answer errors at once.
BOOST_AUTO_TEST_CASE(errorsDoNotCountAsFastAnswers)
{
    for (const int status : {200, 500}) {
        GatewayFixture f(1);
        f.setRoute(plain(RouteKind::NonIdempotent));
        RawSocket caller = f.call();
        f.awaitRequest().last().send("HTTP/1.1 " + std::to_string(status)
                                     + " S\r\nx-id: r1\r\ncontent-length: 4\r\n\r\nbody");
        BOOST_REQUIRE(f.runUntil([&] { return caller.has("body"); }));
        const auto endpoint = f.gateway.endpoints().find(Base::EndpointId("e0"));
        BOOST_TEST(endpoint->latency.isEmpty() == (status == 500));
    }
}
