/// Scenario: few engines are left, and the prompts of all chats have to be prefilled at them again.
/// Requests of deployment A are admitted to one endpoint by the forecast of their first event.
#define BOOST_TEST_MODULE tst_firsteventforecast
#include <boost/test/unit_test.hpp>

#include "capacity/firsteventforecast.h"

using namespace Lagoonbank;
using namespace Lagoonbank::Capacity;
using namespace Lagoonbank::Base;

namespace {

constexpr MonoTime start{10s};

/// An endpoint that prefills 60 tokens per millisecond.
struct Endpoint
{
    using Request = FirstEventForecast::Request;

    static Request urgent(std::int64_t uncached)
    {
        return {.urgency = {.priority = 0}, .target = 400ms, .uncached = Tokens(uncached)};
    }
    static Request large(std::int64_t uncached)
    {
        return {.urgency = {.priority = 1}, .target = 1000ms, .uncached = Tokens(uncached)};
    }
    void send(std::uint64_t id, std::int64_t uncached, MonoTime now = start)
    {
        forecast.requestSent(id, Tokens(uncached), conditions, service, now);
    }
    bool mayTake(const Request &request, MonoTime now = start) const
    {
        return forecast.mayTake(request, conditions, service, now);
    }
    std::int64_t waitMs(MonoTime now = start) const
    {
        return toMilliseconds(forecast.waitTime(conditions, service, now));
    }

    ServicePrefill service;
    FirstEventForecast forecast;
    FirstEventForecast::Conditions conditions;
};

} // namespace

BOOST_AUTO_TEST_CASE(predictsWaitPrefillAndNetwork)
{
    Endpoint endpoint;
    endpoint.conditions = {.slowdown = 2, .network = 40ms};
    endpoint.send(1, 6000);
    const Duration predicted = endpoint.forecast.timeToFirstEvent(Tokens(3000), endpoint.conditions,
                                                                  endpoint.service, start);
    BOOST_TEST(toMilliseconds(predicted) == 200 + 100 + 40);
}

// Guards against prompts longer than the target never being served.
BOOST_AUTO_TEST_CASE(idleEndpointTakesAnyPrompt)
{
    Endpoint endpoint;
    endpoint.service.kinds.requestArrived({.priority = 0}, 400ms, Tokens(130), start);
    endpoint.conditions.slowdown = 10;
    BOOST_TEST(endpoint.mayTake(Endpoint::large(400'000)));
    endpoint.send(1, 400'000);
    BOOST_TEST(!endpoint.mayTake(Endpoint::large(400'000)));
}

// Guards against a queue of prompts that makes all its requests late.
BOOST_AUTO_TEST_CASE(requestsThatWouldBeLateAreNotTaken)
{
    Endpoint endpoint;
    endpoint.send(1, 30'000); // 500 ms
    BOOST_TEST(endpoint.mayTake(Endpoint::large(11'812)));
    endpoint.send(2, 11'812);
    BOOST_TEST(!endpoint.mayTake(Endpoint::large(11'812)));
    BOOST_TEST(endpoint.mayTake(Endpoint::large(1'300))); // Its prompt is cached.
    BOOST_TEST(!endpoint.mayTake(Endpoint::urgent(130)));
    BOOST_TEST(endpoint.mayTake(Endpoint::urgent(130), start + 500ms));
}

// Guards against less urgent requests making the most urgent kind late.
BOOST_AUTO_TEST_CASE(lessUrgentRequestsLeaveTimeForMoreUrgentOnes)
{
    Endpoint endpoint;
    endpoint.send(1, 6000);
    BOOST_TEST(endpoint.mayTake(Endpoint::large(13'000)));
    endpoint.service.kinds.requestArrived({.priority = 0}, 400ms, Tokens(130), start);
    BOOST_TEST(!endpoint.mayTake(Endpoint::large(13'000))); // 100 ms + 217 ms > 300 ms
    BOOST_TEST(endpoint.mayTake(Endpoint::large(1'300)));
    BOOST_TEST(endpoint.mayTake(Endpoint::urgent(829)));
    // The urgent kind has had no arrivals for more than 5 s.
    endpoint.send(2, 6000, start + 6s);
    endpoint.forecast.firstEventReceived(1, endpoint.service, start + 100ms);
    BOOST_TEST(endpoint.mayTake(Endpoint::large(13'000), start + 6s));
}

// Guards against a kind with an unreachable target blocking all others.
BOOST_AUTO_TEST_CASE(kindsThatAreAlwaysLateDoNotLimitOthers)
{
    Endpoint endpoint;
    endpoint.service.kinds.requestArrived({.priority = 0}, 1ms, Tokens(5000), start);
    endpoint.send(1, 6000);
    BOOST_TEST(endpoint.mayTake(Endpoint::large(11'812)));
}

// Guards against a memory that grows with the variety of targets.
BOOST_AUTO_TEST_CASE(numberOfKindsIsLimited)
{
    RecentKinds kinds(RecentKinds::Options{.maxKinds = 2});
    kinds.requestArrived({.priority = 1}, 500ms, Tokens(0), start);
    kinds.requestArrived({.priority = 1}, 600ms, Tokens(0), start);
    kinds.requestArrived({.priority = 0}, 100ms, Tokens(0), start);
    const auto limit = [&](MonoTime now) {
        return kinds.longestWait({.priority = 2}, PrefillRate(), 1, now);
    };
    BOOST_TEST(toMilliseconds(limit(start).value()) == 375);
    BOOST_TEST(!limit(start + 6s).has_value());
    kinds.requestArrived({.priority = 0}, 100ms, Tokens(0), start + 6s);
    BOOST_TEST(toMilliseconds(limit(start + 6s).value()) == 75);
}

// Guards against refusing requests that could be served late, and against keeping those that can't.
BOOST_AUTO_TEST_CASE(onlyHopelessRequestsAreRefused)
{
    Endpoint endpoint;
    endpoint.conditions = {.slowdown = 10, .network = 20ms};
    endpoint.send(1, 60'000); // 1 s without slowdown
    const auto canServe = [&](Duration remaining) {
        return endpoint.forecast.canServeWithin(remaining, Tokens(6000), endpoint.conditions,
                                                endpoint.service, start);
    };
    BOOST_TEST(canServe(1121ms));
    BOOST_TEST(!canServe(1119ms));
}

// Failure: lost announcements, and fleets of more than 24 routers, in which routers know their own
// requests only. The observed times show the wait.
BOOST_AUTO_TEST_CASE(observedTimesShowUnknownPrompts)
{
    Endpoint endpoint;
    BOOST_TEST(endpoint.waitMs() == 0);
    MonoTime now = start;
    for (std::uint64_t i = 0; i < 10; ++i, now += 200ms) {
        endpoint.send(i, 130, now);
        endpoint.forecast.firstEventReceived(i, endpoint.service, now + 402ms);
    }
    BOOST_TEST(endpoint.waitMs(now) > 250);
    BOOST_TEST(!endpoint.mayTake(Endpoint::urgent(829), now));
    // Other endpoints of the service are expected to be no better, until they are known.
    Endpoint other;
    other.service = endpoint.service;
    BOOST_TEST(other.waitMs(now) > 150);
    for (std::uint64_t i = 0; i < 5; ++i) {
        other.send(i, 130, now);
        other.forecast.firstEventReceived(i, other.service, now + 30ms);
    }
    BOOST_TEST(other.waitMs(now) < endpoint.waitMs(now) / 2);
    // Without observations the endpoint is tried again.
    BOOST_TEST(endpoint.mayTake(Endpoint::urgent(829), now + 8s));
}

// Guards against refusals for many seconds after a wave of unknown prompts, while little is sent
// that could correct the forecast.
BOOST_AUTO_TEST_CASE(correctionDecaysWithoutObservations)
{
    WaitCorrection correction;
    for (int i = 0; i < 100; ++i)
        correction.observed(1s, start);
    BOOST_TEST(toMilliseconds(correction.value(start)) > 950);
    BOOST_TEST(toMilliseconds(correction.value(start + 2s)) < 250);
    BOOST_TEST(toMilliseconds(correction.value(start + 60s)) == 0);
    BOOST_TEST(toMilliseconds(correction.value(start + 60s, 40ms)) == 40);
}

// Guards against requests that are late already and delay others that can be in time.
BOOST_AUTO_TEST_CASE(lateRequestsAreTakenByIdleEndpointsOnly)
{
    Endpoint endpoint;
    FirstEventForecast::Request request = Endpoint::large(1'300);
    request.waited = 800ms;
    BOOST_TEST(endpoint.mayTake(request));
    endpoint.send(1, 6000);
    BOOST_TEST(!endpoint.mayTake(request));
    BOOST_TEST(endpoint.mayTake(Endpoint::large(1'300)));
}

// Failure: a frozen endpoint gets no more than the bound, and requests again when it answers.
BOOST_AUTO_TEST_CASE(frozenEndpointGetsNoMoreThanTheBound)
{
    Endpoint endpoint;
    int taken = 0;
    for (std::uint64_t i = 0; i < 1000; ++i) {
        const MonoTime now = start + i * 10ms;
        if (!endpoint.mayTake(Endpoint::urgent(829), now))
            continue;
        endpoint.send(i, 829, now);
        ++taken;
    }
    BOOST_TEST(taken > 20);
    BOOST_TEST(taken <= 100);
    BOOST_TEST(!endpoint.mayTake(Endpoint::urgent(0), start + 10s));
    for (std::uint64_t i = 0; i < 1000; ++i)
        endpoint.forecast.requestEnded(i);
    BOOST_TEST(endpoint.mayTake(Endpoint::urgent(829), start + 10s));
}

// Failure: a router restarts during an overload. It starts from an empty queue, and the first
// answers show the wait.
BOOST_AUTO_TEST_CASE(restartedRouterSendsNoMoreThanTheBound)
{
    Endpoint endpoint;
    int taken = 0;
    for (std::uint64_t i = 0; i < 1000 && endpoint.mayTake(Endpoint::urgent(829)); ++i, ++taken)
        endpoint.send(i, 829);
    // 300 ms at 60 tokens per millisecond are 18,000 tokens.
    BOOST_TEST(taken == 21);
    endpoint.forecast.firstEventReceived(2000, endpoint.service, start); // Sent before the restart.
    BOOST_TEST(endpoint.service.rate.tokensPerMs() == 60);
}

// Failure: an endpoint reports ten times its real slowdown. It is not excluded, and its early first
// events shorten the wait.
BOOST_AUTO_TEST_CASE(wrongSlowdownIsCorrectedByAnswers)
{
    Endpoint endpoint;
    endpoint.conditions.slowdown = 10;
    MonoTime now = start;
    int taken = 0;
    for (std::uint64_t i = 0; i < 100; ++i, now += 50ms) {
        if (endpoint.mayTake(Endpoint::urgent(829), now)) {
            endpoint.send(i, 829, now); // Takes 14 ms rather than the 138 ms predicted.
            ++taken;
        }
        endpoint.forecast.firstEventReceived(i, endpoint.service, now + 14ms);
    }
    BOOST_TEST(taken >= 95);
    // The reported slowdown is too low, in turn: the real one is 5.
    Endpoint slow;
    slow.conditions.slowdown = 1;
    for (std::uint64_t i = 0; i < 20; ++i, now += 100ms) {
        slow.send(i, 6000, now);
        slow.forecast.firstEventReceived(i, slow.service, now + 500ms);
    }
    BOOST_TEST(slow.waitMs(now) + slow.service.rate.prefillTime(Tokens(6000), 1) / 1ms > 300);
}
