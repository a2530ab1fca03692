#define BOOST_TEST_MODULE router
#include "routing/rendezvous.h"
#include "routing/router.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <tuple>
#include <vector>

using namespace Lagoonbank;
using namespace Lagoonbank::Routing;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

namespace {

constexpr EndpointIndex engineCount = 10;

struct Fixture
{
    Fixture()
        : router(Router::Options{})
    {
        for (EndpointIndex i = 0; i < engineCount; ++i)
            router.upsert(infoOf(i), now);
    }

    static EndpointInfo infoOf(EndpointIndex i)
    {
        return {.id = Base::EndpointId("engine-" + std::to_string(i)),
                .pool = modelPool(Base::ModelId("m")),
                .capacity = Base::WorkUnits(1e6)};
    }

    static RouteRequest requestOf(std::uint64_t chat)
    {
        return {
            .pool = 0, .chatHash = mixHashes(chat, 0x5eedULL), .promptTokens = Base::Tokens(100)};
    }

    /// Share of idle-fleet decisions that go to the endpoint.
    double shareOf(EndpointIndex endpoint)
    {
        constexpr int chats = 4000;
        int taken = 0;
        for (std::uint64_t chat = 0; chat < chats; ++chat)
            taken += router.choose(requestOf(chat), {}).endpoint == endpoint ? 1 : 0;
        return static_cast<double>(taken) / chats;
    }

    void fail(EndpointIndex endpoint, ExchangeResult result)
    {
        const Decision decision{.outcome = Outcome::Send, .endpoint = endpoint};
        SentRequest sent = router.noteSent(decision, now);
        router.noteEnded(&sent, result, now);
    }

    void pass(Base::Duration time)
    {
        now += time;
        router.refresh(now);
    }

    /// Ends one trial at the endpoint, which must be on offer, with the result.
    void endTrial(EndpointIndex endpoint, ExchangeResult result)
    {
        const Decision decision{
            .outcome = Outcome::Send, .endpoint = endpoint, .reason = DecisionReason::Trial};
        SentRequest sent = router.noteSent(decision, now);
        BOOST_TEST(shareOf(endpoint) == 0.0); // One trial at a time.
        router.noteEnded(&sent, result, now);
    }

    Base::MonoTime now{std::chrono::hours(1)};
    Router router;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(leavingAndRemovedEndpointsGetNoRequests, Fixture)
{
    router.setState(4, EndpointState::Leaving, now);
    BOOST_TEST(shareOf(4) == 0.0);
    router.setState(4, EndpointState::Live, now);
    BOOST_TEST(shareOf(4) > 0.05);
    router.remove(Base::EndpointId("engine-4"), now);
    BOOST_TEST(shareOf(4) == 0.0);
}

BOOST_FIXTURE_TEST_CASE(slowStartShareRises, Fixture)
{
    EndpointInfo joined = infoOf(engineCount);
    joined.coldSince = now;
    const EndpointIndex endpoint = router.upsert(joined, now);
    double before = 0.0;
    for (const auto &[passed, low, high] :
         {std::tuple{0s, 0.005, 0.02}, std::tuple{15s, 0.03, 0.07}, std::tuple{15s, 0.08, 0.11}}) {
        pass(passed);
        const double share = shareOf(endpoint);
        BOOST_TEST(share > low);
        BOOST_TEST(share < high);
        BOOST_TEST(share > before);
        before = share;
    }
}

BOOST_FIXTURE_TEST_CASE(failingEndpointIsSuspectedThenGetsTrials, Fixture)
{
    fail(3, ExchangeResult::Broke);
    fail(3, ExchangeResult::Answered);
    fail(3, ExchangeResult::Broke);
    fail(3, ExchangeResult::Broke);
    BOOST_TEST(shareOf(3) > 0.0); // Three in a row are needed.
    fail(3, ExchangeResult::Broke);
    BOOST_TEST(shareOf(3) == 0.0);
    pass(900ms);
    BOOST_TEST(shareOf(3) == 0.0);
    pass(200ms);
    endTrial(3, ExchangeResult::Answered);
    BOOST_TEST((router.suspicion(3) == Suspicion::State::OnTrial));
    endTrial(3, ExchangeResult::Answered);
    BOOST_TEST((router.suspicion(3) == Suspicion::State::Healthy));
    BOOST_TEST(shareOf(3) > 0.05);
}

BOOST_FIXTURE_TEST_CASE(backoffOfFlappingEndpointGrows, Fixture)
{
    for (const Base::Duration wait : std::vector<Base::Duration>{1s, 2s, 4s, 8s, 16s, 30s, 30s}) {
        fail(2, ExchangeResult::Unreachable);
        fail(2, ExchangeResult::Unreachable);
        BOOST_TEST((router.suspicion(2) == Suspicion::State::Suspected));
        pass(wait - 100ms);
        BOOST_TEST(shareOf(2) == 0.0);
        pass(200ms);
        endTrial(2, ExchangeResult::Answered);
        endTrial(2, ExchangeResult::Answered);
        BOOST_TEST((router.suspicion(2) == Suspicion::State::Healthy));
    }
    pass(61s); // Well for long: the wait is short again.
    fail(2, ExchangeResult::Unreachable);
    fail(2, ExchangeResult::Unreachable);
    pass(1100ms);
    BOOST_TEST(shareOf(2) > 0.0);
}

BOOST_FIXTURE_TEST_CASE(chatStaysAtWarmEndpoint, Fixture)
{
    const RouteRequest request = requestOf(5);
    const EndpointIndex home = router.choose(request, {}).endpoint;
    const EndpointIndex other = (home + 1) % engineCount;
    const Placement token = router.noteServed(request.chatHash, other, Base::Tokens(80));
    BOOST_TEST(router.choose(request, {}).endpoint == other);
    // Evicted: neither the table nor the older token keeps the chat there.
    router.noteCacheEvent(other, {.kind = CacheEvent::Kind::Evicted, .chatHash = request.chatHash});
    BOOST_TEST(router.choose(request, token).endpoint == home);
    // A token alone serves a router that knows nothing of the chat.
    router.noteCacheGap(other);
    const Decision decision = router.choose(request, token);
    BOOST_TEST(decision.endpoint == other);
    BOOST_TEST(decision.work.value() == 20.0);
}

BOOST_FIXTURE_TEST_CASE(requestWaitsBrieflyForWarmEndpointThenOverflows, Fixture)
{
    RouteRequest request = requestOf(5);
    request.promptTokens = Base::Tokens(2000);
    const EndpointIndex warm = router.choose(request, {}).endpoint;
    router.noteServed(request.chatHash, warm, Base::Tokens(2000));
    router.noteReport(warm, {.work = Base::WorkUnits(1e5), .sampledAt = now}, {}, now);
    const Decision held = router.choose(request, {});
    BOOST_TEST((held.outcome == Outcome::Wait));
    BOOST_TEST((held.reason == DecisionReason::WarmFull));
    request.waited = 200ms;
    const Decision overflowed = router.choose(request, {});
    BOOST_TEST((overflowed.outcome == Outcome::Send));
    BOOST_TEST(overflowed.endpoint != warm);
}

BOOST_FIXTURE_TEST_CASE(restartedEngineStartsCold, Fixture)
{
    const RouteRequest request = requestOf(5);
    const EndpointIndex home = router.choose(request, {}).endpoint;
    router.noteReport(home, {.sampledAt = now, .incarnation = Base::Incarnation(1)}, {}, now);
    router.noteServed(request.chatHash, home, Base::Tokens(80));
    BOOST_TEST((router.choose(request, {}).reason == DecisionReason::Warm));
    router.noteReport(home, {.sampledAt = now, .incarnation = Base::Incarnation(2)}, {}, now);
    BOOST_TEST((router.choose(request, {}).reason != DecisionReason::Warm));
    BOOST_TEST(router.candidates()[home].weight < 2e5);
}
