#define BOOST_TEST_MODULE tst_relay
#include "auto/gateway/partition.h"
#include "auto/gateway/streamanswers.h"

#include <string>

using namespace Lagoonbank;
using Lagoonbank::Test::chunk;
using Lagoonbank::Test::event;
using Lagoonbank::Test::RawSocket;
using Lagoonbank::Test::streamEnd;
using Lagoonbank::Test::streamHead;
using Lagoonbank::Test::streamRoute;
using RouteKind = Fleet::RouteKind;
using std::chrono::milliseconds;

// Requests of a router that is partitioned from all endpoints are relayed to peer routers.

namespace {

constexpr std::string_view good =
    "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-endpoint: e0\r\ncontent-length: 4\r\n\r\ngood";
constexpr std::string_view refused =
    "HTTP/1.1 503 Busy\r\nx-id: r1\r\nx-not-run: 1\r\ncontent-length: 4\r\n\r\nbusy";

} // namespace

/// Guards against refusals while peers reach the endpoints.
BOOST_AUTO_TEST_CASE(requestIsRelayedIfNoEndpointIsReachable)
{
    Partition f;
    RawSocket caller = f.call();
    FakeEndpoint &peer = f.awaitRelayed();
    BOOST_TEST(peer.last().has("x-relayed: 0"));
    peer.last().send(good);
    BOOST_TEST(f.runUntil([&] { return caller.has("good"); }));
    BOOST_TEST(!caller.has("x-endpoint"));
    BOOST_TEST(f.requests() == 0U);
}

/// Guards against relaying after the partition has ended.
BOOST_AUTO_TEST_CASE(reachableEndpointGetsTheRequestItself)
{
    Partition f;
    f.record(1).isUnreachable = false;
    RawSocket caller = f.call();
    f.awaitRequest().last().send(good);
    BOOST_TEST(f.runUntil([&] { return caller.has("good"); }));
    BOOST_TEST(f.relayed() == 0U);
}

/// Guards against relaying to peers what they cannot serve either: the endpoints are drained.
BOOST_AUTO_TEST_CASE(requestIsNotRelayedIfNoEndpointIsInService)
{
    Partition f;
    f.record(0).notice.isLeaving = true;
    f.record(1).notice.isLeaving = true;
    RawSocket caller = f.call();
    BOOST_TEST(f.runUntil([&] { return caller.has("no_endpoint ran=no"); }));
    BOOST_TEST(f.relayed() == 0U);
}

/// Guards against extra load on endpoints that have refused a request, by peers that send it there
/// again: another endpoint has crashed, and is out of reach for all routers.
BOOST_AUTO_TEST_CASE(requestIsNotRelayedIfAnEndpointIsReachable)
{
    Partition f;
    f.record(1).isUnreachable = false;
    RawSocket caller = f.call();
    f.awaitRequest().last().send(refused);
    BOOST_TEST(f.runUntil([&] { return caller.has("ran=no"); }));
    BOOST_TEST(f.relayed() == 0U);
}

/// Guards against refusals while most endpoints have room: those that the router reaches are full.
BOOST_AUTO_TEST_CASE(requestIsRelayedIfTheReachableEndpointsAreFull)
{
    for (const bool isMostlyCutOff : {true, false}) {
        Partition f;
        f.setRoute(streamRoute(false));
        f.setUnreachable(false);
        f.record(0).isUnreachable = isMostlyCutOff;
        for (std::size_t i = 0; i < f.endpoints.size(); ++i) {
            f.record(i).report = Gateway::LoadReport{.running = 4, .slots = 4};
            f.record(i).reportedAt = f.clock.now();
        }
        RawSocket caller = f.call();
        if (isMostlyCutOff) {
            f.awaitRelayed().last().send(std::string(streamHead) + chunk(event(1))
                                         + std::string(streamEnd));
            BOOST_TEST(f.runUntil([&] { return caller.has("e1"); }));
        } else {
            f.pass(milliseconds(100));
            BOOST_TEST(caller.has("overloaded ran=no"));
            BOOST_TEST(f.relayed() == 0U);
        }
        BOOST_TEST(f.requests() == 0U);
    }
}

/// Guards against a request that goes round between routers that are all partitioned.
BOOST_AUTO_TEST_CASE(relayedRequestIsNotRelayedAgain)
{
    Partition f;
    f.relay.emplace();
    RawSocket caller = f.call();
    BOOST_TEST(f.runUntil([&] { return caller.has("no_endpoint ran=no"); }));
    BOOST_TEST(f.relayed() == 0U);
}

/// Guards against refusals while another peer can serve the request.
BOOST_AUTO_TEST_CASE(refusedRelayIsRetriedAtAnotherPeer)
{
    Partition f(RouteKind::NonIdempotent);
    RawSocket caller = f.call();
    f.awaitRelayed().last().send(refused);
    FakeEndpoint &second = f.awaitRelayed(2);
    second.last().send(good);
    BOOST_TEST(f.runUntil([&] { return caller.has("good"); }));
}

/// Guards against retries over the budget: a peer may refuse a request that endpoints have
/// received. A relay to a peer that sent it nowhere costs no retry.
BOOST_AUTO_TEST_CASE(relayCountsAsRetryIfEndpointsReceivedTheRequest)
{
    for (const bool isSent : {false, true}) {
        Partition f;
        f.gateway.setRetryBudget({.ratio = 0, .slack = 0});
        RawSocket caller = f.call();
        const std::string sends = isSent ? "x-sends: 1\r\n" : "";
        f.awaitRelayed().last().send("HTTP/1.1 503 Busy\r\nx-id: r1\r\nx-not-run: 1\r\n" + sends
                                     + "content-length: 4\r\n\r\nbusy");
        if (isSent) {
            BOOST_TEST(f.runUntil([&] { return caller.has("ran=no"); }));
            BOOST_TEST(f.relayed() == 1U);
        } else {
            f.awaitRelayed(2).last().send(good);
            BOOST_TEST(f.runUntil([&] { return caller.has("good"); }));
        }
    }
}

/// Guards against asking peers again and again when no router reaches an endpoint.
BOOST_AUTO_TEST_CASE(peersThatRefusedAreLeftAloneForAWhile)
{
    Partition f;
    RawSocket caller = f.call();
    f.awaitRelayed().last().send(refused);
    f.awaitRelayed(2).last().send(refused);
    BOOST_TEST(f.runUntil([&] { return caller.has("ran=no"); }));
    RawSocket next = f.call();
    BOOST_TEST(f.runUntil([&] { return next.has("no_endpoint ran=no"); }));
    BOOST_TEST(f.relayed() == 2U);
}

/// Guards against a second run of a request whose peer disappeared: the peer may have sent it to as
/// many endpoints as the route allows.
BOOST_AUTO_TEST_CASE(requestWhosePeerBrokeIsNotSentAgain)
{
    for (const RouteKind kind : {RouteKind::Idempotent, RouteKind::NonIdempotent}) {
        Partition f(kind);
        RawSocket caller = f.call();
        f.awaitRelayed().last().close();
        BOOST_TEST(f.runUntil([&] { return caller.has("endpoint_broke ran=unknown"); }));
        BOOST_TEST(f.relayed() == 1U);
        BOOST_TEST(f.requests() == 0U);
    }
}

/// Guards against quarantining requests because a peer has crashed.
BOOST_AUTO_TEST_CASE(crashOfAPeerBlamesNoRequest)
{
    Partition f;
    RawSocket caller = f.call();
    f.awaitRelayed();
    f.peers.clear(); // Closes their connections and ports.
    f.pass(milliseconds(800));
    BOOST_TEST(caller.has("endpoint_broke ran=unknown"));
    BOOST_TEST(f.gateway.quarantined().empty());
}

/// Guards against work for a caller that has left.
BOOST_AUTO_TEST_CASE(relayEndsWhenTheCallerLeaves)
{
    Partition f;
    RawSocket caller = f.call();
    FakeEndpoint &peer = f.awaitRelayed();
    caller.close();
    BOOST_TEST(f.runUntil([&] { return peer.last().isEnded(); }));
    BOOST_TEST(f.gateway.inFlight() == 0U);
}

/// Guards against requests to an endpoint that has said that it leaves, in an answer that came over
/// a peer.
BOOST_AUTO_TEST_CASE(leavingEndpointIsKnownFromARelayedAnswer)
{
    Partition f;
    RawSocket caller = f.call();
    f.awaitRelayed().last().send("HTTP/1.1 200 OK\r\nx-id: r1\r\nx-endpoint: e0\r\nx-leaving: 1\r\n"
                                 "content-length: 4\r\n\r\ngood");
    BOOST_TEST(f.runUntil([&] { return caller.has("good"); }));
    BOOST_TEST(f.record(0).notice.isLeaving);
    BOOST_TEST(!f.record(1).notice.isLeaving);
}

/// Guards against streams that are cut with the connections to their endpoints.
BOOST_AUTO_TEST_CASE(startedStreamGoesOnThroughAPeer)
{
    Partition f;
    f.setRoute(streamRoute(true));
    f.setUnreachable(false);
    RawSocket caller = f.call();
    FakeEndpoint &first = f.awaitRequest();
    first.last().send(std::string(streamHead) + chunk(event(1) + event(2)));
    BOOST_REQUIRE(f.runUntil([&] { return caller.has("e2"); }));
    f.setUnreachable(true);
    first.last().close();
    FakeEndpoint &peer = f.awaitRelayed();
    BOOST_TEST(peer.last().has("x-resume: 2"));
    BOOST_TEST(peer.last().has("x-relayed: 1"));
    peer.last().send(std::string(streamHead) + chunk(event(3) + event(4)) + std::string(streamEnd));
    BOOST_TEST(f.runUntil([&] { return caller.has("e4") && caller.has("\r\n0\r\n\r\n"); }));
}

/// Guards against relayed streams that go on at another software version: the peer has to know the
/// version, and one of an older software does not heed it.
BOOST_AUTO_TEST_CASE(relayedStreamGoesOnAtItsSoftwareVersion)
{
    for (const bool isHeeded : {true, false}) {
        BOOST_TEST_CONTEXT("the peer " << (isHeeded ? "heeds" : "ignores") << " the version")
        {
            Partition f;
            f.putEndpoint(0, "v1");
            f.putEndpoint(1, "v1");
            f.setRoute(streamRoute(true));
            f.setUnreachable(false);
            RawSocket caller = f.call();
            FakeEndpoint &first = f.awaitRequest();
            first.last().send(std::string(streamHead) + chunk(event(1)));
            BOOST_REQUIRE(f.runUntil([&] { return caller.has("e1"); }));
            const std::string software = std::to_string(f.record(0).software.value());
            f.setUnreachable(true);
            first.last().close();
            FakeEndpoint &peer = f.awaitRelayed();
            BOOST_TEST(peer.last().has("x-goes-on-at: " + software + "\r\n"));
            const std::string answered = isHeeded ? software : "1";
            peer.last().send("HTTP/1.1 200 OK\r\nx-id: r1\r\nx-endpoint: e9\r\nx-software: "
                             + answered + "\r\ntransfer-encoding: chunked\r\n\r\n" + chunk(event(2))
                             + std::string(streamEnd));
            const auto isWhole = [&] { return caller.has("e2") && caller.has("\r\n0\r\n\r\n"); };
            BOOST_TEST(f.runUntil([&] { return isWhole() || caller.isEnded(); }));
            BOOST_TEST(isWhole() == isHeeded);
            BOOST_TEST(caller.has("e2") == isHeeded);
        }
    }
}

/// Guards against streams of two software versions: a peer began one, and its endpoints can be
/// reached again when it breaks.
BOOST_AUTO_TEST_CASE(streamOfAPeerGoesOnAtItsSoftwareVersion)
{
    Partition f;
    f.putEndpoint(0, "v1");
    f.putEndpoint(1, "v2");
    f.setRoute(streamRoute(true));
    RawSocket caller = f.call();
    FakeEndpoint &peer = f.awaitRelayed();
    peer.last().send("HTTP/1.1 200 OK\r\nx-id: r1\r\nx-endpoint: e9\r\nx-software: "
                     + std::to_string(f.record(1).software.value())
                     + "\r\ntransfer-encoding: chunked\r\n\r\n" + chunk(event(1)));
    BOOST_REQUIRE(f.runUntil([&] { return caller.has("e1"); }));
    f.setUnreachable(false);
    f.record(0).report = Gateway::LoadReport{.running = 0, .slots = 4};
    f.record(0).reportedAt = f.clock.now();
    f.record(1).report = Gateway::LoadReport{.running = 2, .slots = 4};
    f.record(1).reportedAt = f.clock.now();
    peer.last().close();
    BOOST_TEST(f.runUntil([&] { return f.requests() > 0 || caller.isEnded(); }));
    BOOST_TEST(f.endpoints[0]->requests() == 0U);
}

/// Guards against a router that places a relayed stream by prompt and load only.
BOOST_AUTO_TEST_CASE(relayedRequestKeepsToTheSoftwareVersion)
{
    Partition f;
    f.putEndpoint(0, "v1");
    f.putEndpoint(1, "v2");
    f.setRoute(streamRoute(true));
    f.setUnreachable(false);
    f.record(1).report = Gateway::LoadReport{.running = 2, .slots = 4};
    f.record(1).reportedAt = f.clock.now();
    f.relay = Gateway::Relay{.endpoints = 1, .software = f.record(1).software};
    f.resumeAfter = 1;
    RawSocket caller = f.call();
    BOOST_TEST(&f.awaitRequest() == f.endpoints[1].get());
}

/// Guards against broken-off streams that look complete: a peer of an older version has taken one
/// for complete, and ends its own answer as such.
BOOST_AUTO_TEST_CASE(relayedStreamThatEndsInsideAnEventIsAborted)
{
    Partition f;
    f.setRoute(streamRoute(false));
    RawSocket caller = f.call();
    FakeEndpoint &peer = f.awaitRelayed();
    peer.last().send(std::string(streamHead) + chunk(event(1) + "id: 2\nda"));
    BOOST_REQUIRE(f.runUntil([&] { return caller.has("e1"); }));
    peer.last().send(streamEnd);
    BOOST_TEST(f.runUntil([&] { return caller.isEnded(); }));
    BOOST_TEST(!caller.has("id: 2"));
    BOOST_TEST(!caller.has("\r\n0\r\n\r\n"));
}

/// Guards against more endpoints for a request than its route allows: the peer had sent it to one.
BOOST_AUTO_TEST_CASE(relayedRequestKeepsToTheEndpointLimit)
{
    Partition f;
    f.setUnreachable(false);
    f.relay.emplace().endpoints = 1;
    RawSocket caller = f.call();
    f.awaitRequest().last().close();
    BOOST_TEST(f.runUntil([&] { return caller.has("ran=unknown"); }));
    BOOST_TEST(f.requests() == 1U);
}
