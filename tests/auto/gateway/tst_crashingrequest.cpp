#define BOOST_TEST_MODULE tst_crashingrequest
#include "auto/gateway/gatewayfixture.h"

#include <algorithm>
#include <string>

using namespace Lagoonbank;
using Lagoonbank::Test::RawSocket;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Seen: endpoints ended one after the other, up to six a second, until half of a service was gone;
// 68 within 20 s. Sound streams were cut beside them, and the budget of repeats was used up.
// One request ended each endpoint that began to run it. A router handed it on to the next endpoint,
// and its callers sent it again, each time under a new id and to another router. What a request had
// done was forgotten with its id.
// Proved by the routers' lines: of 24 ends 22 had the same path and workspace among the answers
// that broke, no other path came twice, and no endpoint ended while it did not come.

namespace {

constexpr int mostEnds = 3; ///< Under one request, before it counts as what ends them.

struct EndingEndpoints : GatewayFixture
{
    explicit EndingEndpoints(RouteKind kind = RouteKind::Idempotent)
        : GatewayFixture(12)
    {
        setRoute(
            {.kind = kind, .maxEndpoints = 2, .timeout = seconds(5), .targetLatency = seconds(4)});
    }
    RawSocket call(const std::string &path)
    {
        RawSocket caller(server.address());
        caller.send("GET " + path + " HTTP/1.1\r\nhost: a\r\n\r\n");
        return caller;
    }
    /// It closes all connections and takes no new ones.
    void end(const FakeEndpoint &endpoint)
    {
        std::erase_if(endpoints, [&](const auto &one) { return one.get() == &endpoint; });
        ++ended;
    }
    FakeEndpoint *withNewRequest()
    {
        for (const auto &endpoint : endpoints) {
            if (endpoint->requests() > seen[endpoint.get()])
                return endpoint.get();
        }
        return nullptr;
    }
    /// One attempt of a request that ends whatever begins to run it; what its caller got.
    std::string attemptThatEnds(const std::string &path)
    {
        RawSocket caller = call(path);
        BOOST_REQUIRE(runUntil([&] {
            if (const FakeEndpoint *endpoint = withNewRequest())
                end(*endpoint);
            return caller.has("\r\n\r\n");
        }));
        pass(milliseconds(200)); // In which it is seen whether the endpoint is still there.
        return caller.receive();
    }
    /// One attempt whose connections break although its endpoints stay.
    std::string attemptThatBreaks(const std::string &path)
    {
        RawSocket caller = call(path);
        BOOST_REQUIRE(runUntil([&] {
            if (FakeEndpoint *endpoint = withNewRequest()) {
                ++seen[endpoint];
                endpoint->last().close();
            }
            return caller.has("\r\n\r\n");
        }));
        pass(milliseconds(200));
        return caller.receive();
    }
    /// One attempt that is served; whether its caller got the answer.
    bool isServed(const std::string &path)
    {
        RawSocket caller = call(path);
        const std::string id = "r" + std::to_string(lastRequest + 1);
        return runUntil([&] {
            if (FakeEndpoint *endpoint = withNewRequest()) {
                ++seen[endpoint];
                endpoint->last().send("HTTP/1.1 200 OK\r\nx-id: " + id
                                      + "\r\ncontent-length: 4\r\n\r\ndone");
            }
            return caller.has("done");
        });
    }

    int ended = 0;
};

bool has(const std::string &answer, std::string_view text)
{
    return answer.find(text) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_CASE(requestIsQuarantinedAfterThreeCrashes)
{
    EndingEndpoints f;
    for (int attempt = 0; attempt < 5; ++attempt)
        f.attemptThatEnds("/x");
    BOOST_TEST(f.ended <= mostEnds);
    const std::string answer = f.attemptThatEnds("/x");
    BOOST_TEST(has(answer, "HTTP/1.1 503"));
    BOOST_TEST(has(answer, "ran=no"));
}

/// Pattern: attempts of it wait in the lines of endpoints when it is found out.
BOOST_AUTO_TEST_CASE(attemptsInFlightAreCancelledOnQuarantine)
{
    EndingEndpoints f(GatewayFixture::RouteKind::NonIdempotent);
    RawSocket waiting = f.call("/x");
    FakeEndpoint *endpoint = nullptr;
    BOOST_REQUIRE(f.runUntil([&] { return (endpoint = f.withNewRequest()) != nullptr; }));
    ++f.seen[endpoint];
    for (int attempt = 0; attempt < mostEnds; ++attempt)
        f.attemptThatEnds("/x");
    BOOST_REQUIRE(f.ended == mostEnds);
    BOOST_TEST(f.runUntil([&] { return waiting.has("HTTP/1.1 502"); }));
    BOOST_TEST(f.runUntil([&] { return endpoint->last().isEnded(); }));
}

BOOST_AUTO_TEST_CASE(otherRequestsAreStillServed)
{
    EndingEndpoints f;
    for (int attempt = 0; attempt < 5; ++attempt)
        f.attemptThatEnds("/x");
    BOOST_TEST(f.isServed("/y"));
}

/// Pattern: several such requests come by turns, and each takes endpoints that the others need.
BOOST_AUTO_TEST_CASE(alternatingCrashingRequestsAreEachQuarantined)
{
    EndingEndpoints f;
    for (int attempt = 0; attempt < 4; ++attempt) {
        f.attemptThatEnds("/x");
        f.attemptThatEnds("/y");
    }
    BOOST_TEST(f.ended <= 2 * mostEnds);
    BOOST_TEST(has(f.attemptThatEnds("/x"), "ran=no"));
    BOOST_TEST(has(f.attemptThatEnds("/y"), "ran=no"));
    BOOST_TEST(f.isServed("/z"));
}

/// Pattern: what many callers ask for in the same words is in flight at many ends, and is answered
/// in between.
BOOST_AUTO_TEST_CASE(requestAnsweredBetweenCrashesIsNotQuarantined)
{
    EndingEndpoints f(GatewayFixture::RouteKind::NonIdempotent);
    for (int round = 0; round < mostEnds + 1; ++round) {
        f.attemptThatEnds("/x");
        BOOST_TEST(f.isServed("/x"));
    }
}

/// Pattern: endpoints that break answers and stay, or a network that resets connections.
BOOST_AUTO_TEST_CASE(brokenAnswersOfALiveEndpointAreNoCrashes)
{
    EndingEndpoints f(GatewayFixture::RouteKind::NonIdempotent);
    for (int round = 0; round < mostEnds + 1; ++round)
        BOOST_TEST(has(f.attemptThatBreaks("/x"), "HTTP/1.1 502"));
    BOOST_TEST(f.isServed("/x"));
}

/// Its entry tells of the new start only later, while the store is away perhaps not at all.
BOOST_AUTO_TEST_CASE(crashedEndpointStartsCold)
{
    EndingEndpoints f;
    f.warmup = {.time = seconds(3), .requestsPerSecond = 18};
    f.setRoute({.kind = Fleet::RouteKind::Idempotent, .timeout = seconds(5)});
    f.attemptThatEnds("/x");
    Gateway::EndpointPtr ended;
    for (const auto &record : f.gateway.endpoints().endpoints(Base::ServiceId("service"))) {
        if (record->hasCrashed)
            ended = record;
    }
    BOOST_REQUIRE(ended);
    BOOST_TEST(ended->isUnreachable);
    const Test::RawListener back(ended->info.address.port);
    f.pass(milliseconds(500));
    BOOST_TEST(!ended->isUnreachable);
    BOOST_TEST(f.gateway.endpoints().isWarmingUp(*ended, f.clock.now()));
    f.pass(seconds(3));
    BOOST_TEST(!f.gateway.endpoints().isWarmingUp(*ended, f.clock.now()));
}
