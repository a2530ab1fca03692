/// Callers that have left, or whose requests were not read, while the router's event loop was busy.
#define BOOST_TEST_MODULE tst_callerleft
#include "gatewayfixture.h"

#include <sys/resource.h>

#include <array>
#include <string_view>

using namespace Lagoonbank;
using namespace Lagoonbank::Gateway;
using Lagoonbank::Fleet::RouteKind;
using Lagoonbank::Test::RawSocket;
using std::chrono::milliseconds;

namespace {

constexpr std::array kinds{RouteKind::Idempotent, RouteKind::NonIdempotent, RouteKind::Stream};
constexpr std::array stallsMs{50, 200, 600, 2000};
constexpr std::string_view bytes = "GET /x HTTP/1.1\r\nhost: a\r\n\r\n";

Fleet::Route routeOf(RouteKind kind)
{
    return {.kind = kind,
            .maxEndpoints = 2,
            .timeout = milliseconds(5000),
            .targetLatency = milliseconds(150)};
}

/// A caller that has received one complete answer and keeps its connection.
RawSocket keptCaller(GatewayFixture &f)
{
    RawSocket caller = f.call();
    f.awaitRequest().last().send("HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-length: 4\r\n\r\ngood");
    BOOST_REQUIRE(f.runUntil([&] { return caller.has("good"); }));
    return caller;
}

} // namespace

BOOST_AUTO_TEST_CASE(requestOfCallerThatLeftDuringAStallIsNotSent)
{
    struct Row
    {
        std::string_view name;
        bool reusesConnection;
        bool resets;
        bool isPipelined;
    };
    constexpr std::array rows{Row{"new", false, false, false}, Row{"kept", true, false, false},
                              Row{"kept, reset", true, true, false},
                              Row{"kept, pipelined", true, false, true}};
    for (const RouteKind kind : kinds) {
        for (const int stallMs : stallsMs) {
            for (const Row &row : rows) {
                BOOST_TEST_CONTEXT(row.name << ", " << stallMs << " ms, kind "
                                            << static_cast<int>(kind))
                {
                    GatewayFixture f(1);
                    f.setRoute(routeOf(RouteKind::Idempotent));
                    std::optional<RawSocket> caller;
                    if (row.reusesConnection)
                        caller.emplace(keptCaller(f));
                    f.setRoute(routeOf(kind));
                    const std::size_t before = f.requests();
                    const auto doAll = [&] {
                        if (!caller)
                            caller.emplace(f.server.address());
                        caller->send(bytes);
                        if (row.isPipelined)
                            caller->send(bytes);
                        row.resets ? caller->reset() : caller->close();
                        f.clock.advance(milliseconds(stallMs));
                    };
                    f.loop.post(doAll);
                    f.runIterations(20);
                    BOOST_TEST(f.requests() == before);
                    BOOST_TEST(f.gateway.inFlight() == 0U);
                }
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(callerThatWaitsThroughAStallIsServed)
{
    for (const RouteKind kind : kinds) {
        for (const int stallMs : stallsMs) {
            BOOST_TEST_CONTEXT(stallMs << " ms, kind " << static_cast<int>(kind))
            {
                GatewayFixture f(1);
                f.setRoute(routeOf(kind));
                std::optional<RawSocket> caller;
                f.loop.post([&] {
                    caller.emplace(f.call());
                    f.clock.advance(milliseconds(stallMs));
                });
                f.awaitRequest();
                BOOST_TEST(f.requests() == 1U);
            }
        }
    }
}

/// The connection to the endpoint is established in the same loop iteration in which the caller's
/// close becomes readable.
BOOST_AUTO_TEST_CASE(requestOfCallerThatLeftWhileConnectingIsNotSent)
{
    for (const int stallMs : stallsMs) {
        GatewayFixture f(1);
        f.setRoute(routeOf(RouteKind::Idempotent));
        RawSocket caller = f.call();
        BOOST_REQUIRE(f.runUntil([&] { return f.gateway.inFlight() == 1; }));
        caller.close();
        f.clock.advance(milliseconds(stallMs));
        f.runIterations(20);
        BOOST_TEST(f.requests() == 0U);
        BOOST_TEST(f.gateway.inFlight() == 0U);
    }
}

/// The timeouts of caller and route start when the bytes of the request arrive.
BOOST_AUTO_TEST_CASE(unreadTimeCountsAgainstTimeouts)
{
    GatewayFixture f(1);
    Fleet::Route route = routeOf(RouteKind::NonIdempotent);
    route.timeout = milliseconds(800);
    f.setRoute(route);
    f.unread = milliseconds(600);
    const RawSocket late = f.call();
    BOOST_TEST(f.awaitRequest().last().has("x-left-ms: 200"));
    f.unread = milliseconds(795);
    RawSocket tooLate = f.call();
    BOOST_TEST(f.runUntil([&] { return tooLate.has("overloaded ran=no"); }));
    f.unread = milliseconds(0);
    f.remainingTimeout = milliseconds(500);
    const RawSocket other = f.call();
    BOOST_TEST(f.awaitRequest().last().has("x-left-ms: 500"));
    f.unread = milliseconds(450);
    const RawSocket impatient = f.call();
    BOOST_TEST(f.awaitRequest().last().has("x-left-ms: 50"));
}

/// A router without file descriptors can open no connection, which says nothing about its
/// endpoints.
BOOST_AUTO_TEST_CASE(descriptorExhaustionIsNotBlamedOnEndpoints)
{
    GatewayFixture f(2);
    f.setRoute(routeOf(RouteKind::Idempotent));
    RawSocket caller = keptCaller(f);
    f.setRoute(routeOf(RouteKind::NonIdempotent)); // Opens a new connection for each request.
    rlimit limit{};
    BOOST_REQUIRE_EQUAL(getrlimit(RLIMIT_NOFILE, &limit), 0);
    rlimit none = limit;
    none.rlim_cur = 3;
    BOOST_REQUIRE_EQUAL(setrlimit(RLIMIT_NOFILE, &none), 0);
    caller.send(bytes);
    const bool isRefused = f.runUntil([&] { return caller.has("ran=no"); });
    BOOST_REQUIRE_EQUAL(setrlimit(RLIMIT_NOFILE, &limit), 0);
    BOOST_TEST(isRefused, caller.receive());
    const std::size_t before = f.requests();
    caller.send(bytes);
    BOOST_TEST(f.runUntil([&] { return f.requests() > before; }));
}
