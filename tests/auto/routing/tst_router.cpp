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

    /// Share of decisions in an idle fleet that choose the endpoint.
    double shareOf(EndpointIndex endpoint)
    {
        constexpr int chats = 4000;
        int chosen = 0;
        for (std::uint64_t chat = 0; chat < chats; ++chat)
            chosen += router.choose(requestOf(chat), {}).endpoint == endpoint ? 1 : 0;
        return static_cast<double>(chosen) / chats;
    }

    void endRequest(EndpointIndex endpoint, ExchangeResult result)
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

    /// Sends a trial to the endpoint, which must be due for one, and ends it with the result.
    void endTrial(EndpointIndex endpoint, ExchangeResult result)
    {
        const Decision decision{
            .outcome = Outcome::Send, .endpoint = endpoint, .reason = DecisionReason::Trial};
        SentRequest sent = router.noteSent(decision, now);
        BOOST_TEST(shareOf(endpoint) == 0.0); // Only one trial at a time.
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
    double previous = 0.0;
    for (const auto &[passed, low, high] :
         {std::tuple{0s, 0.005, 0.02}, std::tuple{15s, 0.03, 0.07}, std::tuple{15s, 0.08, 0.11}}) {
        pass(passed);
        const double share = shareOf(endpoint);
        BOOST_TEST(share > low);
        BOOST_TEST(share < high);
        BOOST_TEST(share > previous);
        previous = share;
    }
}

BOOST_FIXTURE_TEST_CASE(failingEndpointIsSuspectedThenGetsTrials, Fixture)
{
    endRequest(3, ExchangeResult::Broke);
    endRequest(3, ExchangeResult::Answered);
    endRequest(3, ExchangeResult::Broke);
    endRequest(3, ExchangeResult::Broke);
    BOOST_TEST(shareOf(3) > 0.0); // Three consecutive failures are needed.
    endRequest(3, ExchangeResult::Broke);
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
    for (const Base::Duration backoff :
         std::vector<Base::Duration>{1s, 2s, 4s, 8s, 16s, 30s, 30s}) {
        endRequest(2, ExchangeResult::Unreachable);
        endRequest(2, ExchangeResult::Unreachable);
        BOOST_TEST((router.suspicion(2) == Suspicion::State::Suspected));
        pass(backoff - 100ms);
        BOOST_TEST(shareOf(2) == 0.0);
        pass(200ms);
        endTrial(2, ExchangeResult::Answered);
        endTrial(2, ExchangeResult::Answered);
        BOOST_TEST((router.suspicion(2) == Suspicion::State::Healthy));
    }
    pass(61s); // Healthy for long enough to reset the backoff.
    endRequest(2, ExchangeResult::Unreachable);
    endRequest(2, ExchangeResult::Unreachable);
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
    // After an eviction, neither the table nor the older token keeps the chat there.
    router.noteCacheEvent(other, {.kind = CacheEvent::Kind::Evicted, .chatHash = request.chatHash});
    BOOST_TEST(router.choose(request, token).endpoint == home);
    // A router without a placement of the chat uses the token.
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
    const Decision waiting = router.choose(request, {});
    BOOST_TEST((waiting.outcome == Outcome::Wait));
    BOOST_TEST((waiting.reason == DecisionReason::WarmFull));
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
