#define BOOST_TEST_MODULE tst_promptwait
#include "auto/gateway/gatewayfixture.h"
#include "auto/gateway/streamanswers.h"

#include <chrono>
#include <string>
#include <string_view>

using namespace Lagoonbank;
using Lagoonbank::Test::chunk;
using Lagoonbank::Test::event;
using Lagoonbank::Test::RawSocket;
using Lagoonbank::Test::streamHead;
using std::chrono::milliseconds;

namespace {

/// A stream whose prompt shares \a tokens with others.
struct PromptFixture : GatewayFixture
{
    explicit PromptFixture(int tokens)
    {
        prompt = Gateway::Prompt{.model = "m",
                                 .parts = {{.id = 1, .tokens = Base::Tokens(tokens)},
                                           {.id = 2, .tokens = Base::Tokens(100)}}};
        setRoute({.kind = Fleet::RouteKind::Stream,
                  .targetLatency = std::chrono::milliseconds(800),
                  .usesPromptCache = true});
    }
};

} // namespace

/// The home endpoint of a popular prompt has crashed, and the next one has to process the prompt.
BOOST_AUTO_TEST_CASE(requestWaitsWhileItsPromptIsPrefilledForAnother)
{
    PromptFixture f(10000);
    RawSocket first = f.call();
    FakeEndpoint &endpoint = f.awaitRequest();
    RawSocket second = f.call();
    f.pass(std::chrono::milliseconds(100));
    BOOST_TEST(f.requests() == 1U);
    f.pass(std::chrono::milliseconds(60)); // 20 ms setup and 10,000 tokens of 12.5 us each.
    BOOST_TEST((&f.awaitRequest() == &endpoint));
    RawSocket third = f.call();
    BOOST_TEST((&f.awaitRequest() == &endpoint)); // Processed by now.
}

BOOST_AUTO_TEST_CASE(shortPromptIsNotAwaited)
{
    PromptFixture f(1000);
    RawSocket first = f.call();
    f.awaitRequest();
    RawSocket second = f.call();
    f.awaitRequest();
    BOOST_TEST(f.requests() == 2U);
}

BOOST_AUTO_TEST_CASE(prefillCancelledByLeavingCallerIsNotAwaited)
{
    PromptFixture f(10000);
    {
        RawSocket first = f.call();
        f.awaitRequest();
    }
    BOOST_REQUIRE(f.runUntil([&] { return f.gateway.inFlight() == 0; }));
    RawSocket second = f.call();
    f.awaitRequest();
    BOOST_TEST(f.requests() == 2U);
}
