/// Scenario: the rate at which engines prefill prompts is learnt from the times to the first event
/// of requests of deployment A, which also contain decoding, noise and unknown waits.
#define BOOST_TEST_MODULE tst_prefillrate
#include <boost/test/unit_test.hpp>

#include "capacity/prefillrate.h"

#include <random>

using namespace Lagoonbank;
using namespace Lagoonbank::Capacity;
using namespace Lagoonbank::Base;

namespace {

/// Uncached tokens of the kinds of deployment A: own parts, and once in ten requests all.
Tokens drawLength(std::minstd_rand &random)
{
    static constexpr int own[] = {1300, 130, 360};
    static constexpr int shared[] = {10512, 699, 2041};
    const auto kind = random() % 3;
    return Tokens(own[kind] + (random() % 10 == 0 ? shared[kind] : 0));
}

struct Truth
{
    double tokensPerMs = 62;
    double slowdown = 1;
    double decodeMs = 24;
    double meanHiddenWaitMs = 0;
};

void observe(PrefillRate &rate, const Truth &truth, int count)
{
    std::minstd_rand random(7);
    std::exponential_distribution<double> hiddenWait(1);
    for (int i = 0; i < count; ++i) {
        const Tokens length = drawLength(random);
        const double ms = static_cast<double>(length.value()) / truth.tokensPerMs + truth.decodeMs;
        const double waitMs = truth.meanHiddenWaitMs * hiddenWait(random);
        rate.firstEventObserved(length, fromSeconds((ms * truth.slowdown + waitMs) / 1000),
                                truth.slowdown);
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(startsAtSixtyTokensPerMillisecond)
{
    BOOST_TEST(PrefillRate().tokensPerMs() == 60);
    BOOST_TEST(toMilliseconds(PrefillRate().prefillTime(Tokens(6000), 1)) == 100);
    BOOST_TEST(toMilliseconds(PrefillRate().prefillTime(Tokens(6000), 2.5)) == 250);
}

// Guards against the decoding of the first event being taken for prefill: the short prompts would
// give a rate of 5 to 10 tokens per millisecond.
BOOST_AUTO_TEST_CASE(decodingDoesNotLowerTheRate)
{
    PrefillRate rate;
    observe(rate, {}, 300);
    BOOST_TEST(rate.tokensPerMs() == 62, boost::test_tools::tolerance(0.05));
    BOOST_TEST(toMilliseconds(rate.constantTime()) >= 22);
    BOOST_TEST(toMilliseconds(rate.constantTime()) <= 26);
}

BOOST_AUTO_TEST_CASE(learnsFastAndSlowEngines)
{
    for (const double truth : {12.0, 30.0, 200.0, 700.0}) {
        PrefillRate rate;
        observe(rate, {.tokensPerMs = truth}, 500);
        BOOST_TEST(rate.tokensPerMs() == truth, boost::test_tools::tolerance(0.2));
    }
}

// Guards against the slowdown counting twice, in the rate and in the forecast.
BOOST_AUTO_TEST_CASE(slowdownDoesNotLowerTheRate)
{
    PrefillRate rate;
    observe(rate, {.slowdown = 4}, 300);
    BOOST_TEST(rate.tokensPerMs() == 62, boost::test_tools::tolerance(0.05));
}

// Failure: lost announcements of peers. Their prompts make requests wait that found no known one.
BOOST_AUTO_TEST_CASE(unknownWaitsDoNotLowerTheRateMuch)
{
    PrefillRate rate;
    observe(rate, {.meanHiddenWaitMs = 100}, 500);
    BOOST_TEST(rate.tokensPerMs() > 40);
    BOOST_TEST(rate.tokensPerMs() < 90);
    BOOST_TEST(toMilliseconds(rate.constantTime()) <= 100);
}

// Failure: a restarted router gets its first answers while the prompts of all chats are prefilled
// again. A rate that falls then makes the forecast refuse nearly all requests for seconds.
BOOST_AUTO_TEST_CASE(waveOfUnknownPromptsLowersTheRateByLessThanHalf)
{
    PrefillRate rate;
    observe(rate, {.meanHiddenWaitMs = 1000}, 100);
    BOOST_TEST(rate.tokensPerMs() > 30);
    observe(rate, {}, 100);
    BOOST_TEST(rate.tokensPerMs() > 40);
}

// Failure: single answers of frozen endpoints that come after many seconds.
BOOST_AUTO_TEST_CASE(answersOfFrozenEndpointsHaveLittleEffect)
{
    PrefillRate rate;
    observe(rate, {}, 300);
    for (int i = 0; i < 3; ++i)
        rate.firstEventObserved(Tokens(2401), 30s, 1);
    BOOST_TEST(rate.tokensPerMs() > 45);
    observe(rate, {}, 300);
    BOOST_TEST(rate.tokensPerMs() == 62, boost::test_tools::tolerance(0.1));
}

// Failure: wrong slowdown, negative or absurd figures.
BOOST_AUTO_TEST_CASE(staysWithinItsBounds)
{
    PrefillRate rate;
    for (int i = 0; i < 1000; ++i)
        rate.firstEventObserved(Tokens(i % 2 == 0 ? 100'000 : 10), i % 2 == 0 ? 3600s : 0s, 1);
    BOOST_TEST(rate.tokensPerMs() == 5);
    for (int i = 0; i < 5000; ++i)
        rate.firstEventObserved(Tokens(i % 2 == 0 ? 100'000 : -10), -1s, 10);
    BOOST_TEST(rate.tokensPerMs() == 1000);
    BOOST_TEST(toMilliseconds(rate.constantTime()) == 0);
}

// Guards against equal lengths, from which no rate can be inferred, giving a wild one.
BOOST_AUTO_TEST_CASE(equalLengthsLeaveTheRate)
{
    PrefillRate rate;
    for (int i = 0; i < 500; ++i)
        rate.firstEventObserved(Tokens(130), 26ms, 1);
    BOOST_TEST(rate.tokensPerMs() == 60, boost::test_tools::tolerance(0.01));
    BOOST_TEST(toMilliseconds(rate.constantTime()) == 23);
}
