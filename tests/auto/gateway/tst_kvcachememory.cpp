/// Requests wait until an engine has KV cache memory for them.
#define BOOST_TEST_MODULE tst_kvcachememory
#include "auto/gateway/gatewayfixture.h"
#include "auto/gateway/streamanswers.h"

#include <chrono>

using namespace Lagoonbank;
using Lagoonbank::Test::RawSocket;
using std::chrono::milliseconds;

namespace {

/// One engine with a KV cache of 10,000 tokens.
struct MemoryFixture : GatewayFixture
{
    explicit MemoryFixture(Base::Tokens memory = Base::Tokens(10'000),
                           const Schema::PolicySettings &settings = {})
        : GatewayFixture(1, {}, settings)
    {
        engine = Fleet::EngineCapacity{.slots = 4, .memory = memory};
        setRoute({.name = "large",
                  .kind = Fleet::RouteKind::Stream,
                  .targetLatency = milliseconds(1000),
                  .usesPromptCache = true});
        // Memory limits only services whose endpoints report the slowdown of their machines.
        gateway.endpoints().loadReported(*gateway.endpoints().find(Base::EndpointId("e0")),
                                         {.slots = 4, .slowdown = 1.0}, clock.now());
    }

    RawSocket callWith(int promptTokens, int output = 100)
    {
        prompt = Gateway::Prompt{.model = "m",
                                 .promptTokens = Base::Tokens(promptTokens),
                                 .maxOutput = Base::Tokens(output),
                                 .parts = {{.id = 1, .tokens = Base::Tokens(1000)},
                                           {.id = 2, .tokens = Base::Tokens(promptTokens - 1000)}}};
        RawSocket caller = call();
        // The server reads the prompt of the fixture when it decodes the request.
        const int decoded = lastRequest;
        BOOST_REQUIRE(runUntil([&] { return lastRequest > decoded; }));
        return caller;
    }
    const Gateway::EndpointRecord &record()
    {
        return *gateway.endpoints().find(Base::EndpointId("e0"));
    }
};

} // namespace

/// Guards against preemption: requests that together exceed the memory of the engine.
BOOST_AUTO_TEST_CASE(requestWaitsForMemoryWhileASmallerOneOvertakesIt)
{
    MemoryFixture f;
    std::optional<RawSocket> first(f.callWith(6000));
    f.awaitRequest();
    RawSocket large = f.callWith(5500);
    f.pass(milliseconds(5));
    BOOST_TEST(f.requests() == 1U);
    RawSocket small = f.callWith(1500);
    f.awaitRequest();
    BOOST_TEST(f.record().kvCache.usedTokens(0, 0) == 1000 + 5100 + 600);
    first.reset(); // Its caller leaves.
    f.awaitRequest();
    BOOST_TEST(f.requests() == 3U);
    BOOST_TEST(f.record().kvCache.usedTokens(0, 0) == 1000 + 4600 + 600);
}

/// Guards against small requests that starve a large one.
BOOST_AUTO_TEST_CASE(memoryIsReservedForARequestThatHasWaited)
{
    MemoryFixture f;
    std::optional<RawSocket> first(f.callWith(6000));
    f.awaitRequest();
    RawSocket large = f.callWith(5500);
    f.pass(milliseconds(60));
    RawSocket small = f.callWith(1500);
    f.pass(milliseconds(20));
    BOOST_TEST(f.requests() == 1U);
    first.reset();
    f.awaitRequest();
    f.awaitRequest();
    BOOST_TEST(f.requests() == 3U);
}

/// Guards against a request that waits for memory that no engine has.
BOOST_AUTO_TEST_CASE(requestLargerThanTheMemoryIsRefusedAtOnce)
{
    MemoryFixture f;
    RawSocket caller = f.callWith(9950);
    BOOST_TEST(f.runUntil([&] { return caller.has("overloaded ran=no"); }));
    BOOST_TEST(f.requests() == 0U);
}

/// Guards against a wait without end.
BOOST_AUTO_TEST_CASE(requestThatGetsNoMemoryIsRefused)
{
    MemoryFixture f;
    RawSocket first = f.callWith(6000);
    f.awaitRequest();
    RawSocket caller = f.callWith(5500);
    f.pass(milliseconds(200));
    BOOST_TEST(!caller.has("ran="));
    f.pass(milliseconds(60));
    BOOST_TEST(f.runUntil([&] { return caller.has("overloaded ran=no"); }));
}

/// Guards against memory that stays taken after the requests have ended.
BOOST_AUTO_TEST_CASE(memoryIsFreeAfterAllRequestsHaveEnded)
{
    MemoryFixture f;
    {
        RawSocket first = f.callWith(3000);
        f.awaitRequest();
        RawSocket second = f.callWith(3000);
        f.awaitRequest();
        BOOST_TEST(f.record().kvCache.requestCount() == 2);
    }
    BOOST_REQUIRE(f.runUntil([&] { return f.gateway.inFlight() == 0; }));
    BOOST_TEST(f.record().kvCache.requestCount() == 0);
    BOOST_TEST(f.record().kvCache.usedTokens(0, 0) == 0);
}

/// Guards against a change for services whose memory is not configured.
BOOST_AUTO_TEST_CASE(memoryIsNotCheckedIfItIsUnknown)
{
    MemoryFixture f{Base::Tokens()};
    RawSocket first = f.callWith(6000);
    f.awaitRequest();
    RawSocket second = f.callWith(500'000);
    f.awaitRequest();
    BOOST_TEST(f.record().kvCache.requestCount() == 0);
}

/// Guards against a switch without effect.
BOOST_AUTO_TEST_CASE(memoryIsNotCheckedIfItIsSwitchedOff)
{
    MemoryFixture f{Base::Tokens(10'000), {.kvCacheBudget = false}};
    RawSocket first = f.callWith(6000);
    f.awaitRequest();
    RawSocket second = f.callWith(20'000);
    f.awaitRequest();
    BOOST_TEST(f.record().kvCache.requestCount() == 0);
}

/// Guards against requests that count as empty because they declare no length.
BOOST_AUTO_TEST_CASE(requestWithoutLengthCountsWithTheMeanOfItsKind)
{
    MemoryFixture f;
    RawSocket first = f.callWith(2000);
    f.awaitRequest();
    const double used = f.record().kvCache.usedTokens(0, 0);
    f.prompt.reset();
    RawSocket second = f.call();
    f.awaitRequest();
    // The mean of the initial 1,000 tokens and the 1,100 of the first request.
    BOOST_TEST(f.record().kvCache.usedTokens(0, 0) == used + 1050);
}
