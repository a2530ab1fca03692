/// Scenario: prompts wait for prefill at an endpoint whose machine may be slow, and whose first
/// events and announcements of other routers come late or never.
#define BOOST_TEST_MODULE tst_prefillqueue
#include <boost/test/unit_test.hpp>

#include "capacity/prefillqueue.h"

using namespace Lagoonbank;
using namespace Lagoonbank::Capacity;
using namespace Lagoonbank::Base;

namespace {

constexpr MonoTime start{10s};

/// The default pace is 60 tokens per millisecond, so 6,000 tokens take 100 ms.
std::int64_t waitMs(const PrefillQueue &queue, MonoTime now, double slowdown = 1)
{
    return std::chrono::round<std::chrono::milliseconds>(queue.waitTime(now, slowdown)).count();
}

} // namespace

// Guards against sending to endpoints whose queue has long been processed, or is still full.
BOOST_AUTO_TEST_CASE(promptsArePrefilledOneAfterTheOther)
{
    PrefillQueue queue;
    BOOST_TEST(waitMs(queue, start) == 0);
    queue.requestSent(1, Tokens(6000), start);
    queue.requestSent(2, Tokens(12000), start);
    BOOST_TEST(waitMs(queue, start) == 300);
    BOOST_TEST(waitMs(queue, start + 120ms) == 180);
    BOOST_TEST(waitMs(queue, start + 300ms) == 0);
    BOOST_TEST(waitMs(queue, start + 400ms) == 0);
}

BOOST_AUTO_TEST_CASE(slowdownLengthensTheWaitOnce)
{
    PrefillQueue queue;
    queue.setPace({.tokensPerMs = 60, .slowdown = 2}, start);
    queue.requestSent(1, Tokens(6000), start);
    BOOST_TEST(waitMs(queue, start, 2) == 200);
    BOOST_TEST(waitMs(queue, start + 100ms, 2) == 100);
    // The neighbour's burst ended.
    queue.setPace({.tokensPerMs = 60, .slowdown = 1}, start + 100ms);
    BOOST_TEST(waitMs(queue, start + 100ms) == 50);
}

// Guards against waits that stay too long after a pace that was set too low.
BOOST_AUTO_TEST_CASE(firstEventShowsThatEarlierPromptsAreDone)
{
    PrefillQueue queue;
    queue.setPace({.tokensPerMs = 5, .slowdown = 1}, start);
    queue.requestSent(1, Tokens(6000), start);
    queue.peerPromptAnnounced(Tokens(6000), start);
    queue.requestSent(2, Tokens(6000), start);
    queue.requestSent(3, Tokens(3000), start);
    queue.firstEventReceived(2, start + 300ms);
    BOOST_TEST(waitMs(queue, start + 300ms) == 600);
    queue.firstEventReceived(1, start + 310ms); // Late, changes nothing.
    BOOST_TEST(waitMs(queue, start + 310ms) == 590);
}

// Guards against waits that never end when requests fail or are cancelled, or events repeat.
BOOST_AUTO_TEST_CASE(endedRequestsLeaveTheQueue)
{
    PrefillQueue queue;
    queue.requestSent(1, Tokens(6000), start);
    queue.requestSent(2, Tokens(6000), start);
    queue.requestEnded(2);
    queue.requestEnded(2);
    queue.requestEnded(7);
    BOOST_TEST(waitMs(queue, start) == 100);
    queue.requestEnded(1);
    queue.firstEventReceived(1, start);
    BOOST_TEST(waitMs(queue, start) == 0);
    BOOST_TEST(waitMs(queue, start + 60s) == 0);
    BOOST_TEST(queue.size() == 0);
}

// Guards against a cancelled prompt being taken for the progress of others before or behind it.
BOOST_AUTO_TEST_CASE(endedRequestsLeaveOthersInPlace)
{
    PrefillQueue queue;
    for (std::uint64_t i = 1; i <= 4; ++i)
        queue.requestSent(i, Tokens(6000), start);
    queue.requestEnded(2);
    BOOST_TEST(waitMs(queue, start) == 300);
    queue.firstEventReceived(3, start + 150ms);
    BOOST_TEST(waitMs(queue, start + 150ms) == 100);
    queue.requestEnded(4);
    BOOST_TEST(waitMs(queue, start + 150ms) == 0);
}

// A retry of a request at the same endpoint is sent under the same number.
BOOST_AUTO_TEST_CASE(requestSentTwiceCountsOnce)
{
    PrefillQueue queue;
    queue.requestSent(1, Tokens(6000), start);
    queue.requestSent(1, Tokens(6000), start);
    BOOST_TEST(waitMs(queue, start) == 100);
}

// Failure: late announcements of peers. The prompt counts for as long as it takes to prefill,
// though it was done before; then the queue is right again.
BOOST_AUTO_TEST_CASE(lateAnnouncementIsForgottenInTime)
{
    PrefillQueue queue;
    queue.peerPromptAnnounced(Tokens(6000), start + 2s);
    BOOST_TEST(waitMs(queue, start + 2s) == 100);
    BOOST_TEST(waitMs(queue, start + 2100ms) == 0);
}

// Failure: no message of a peer may block anything for longer than 3 s, whatever it announces.
BOOST_AUTO_TEST_CASE(announcementsExpireWithinThreeSeconds)
{
    PrefillQueue queue;
    queue.peerPromptAnnounced(Tokens(6'000'000), start);
    queue.peerPromptAnnounced(Tokens(-6000), start);
    BOOST_TEST(waitMs(queue, start + 1s) == 99'000);
    BOOST_TEST(waitMs(queue, start + 3s) == 0);
    queue.requestSent(1, Tokens(6000), start + 3s);
    BOOST_TEST(waitMs(queue, start + 3s) == 100);
}

// Failure: lost announcements. The wait is too short by them, but never negative.
BOOST_AUTO_TEST_CASE(lostAnnouncementsDoNotMakeTheWaitNegative)
{
    PrefillQueue queue;
    queue.requestSent(1, Tokens(600), start);
    // The lost prompt of a peer delays the first event by 200 ms.
    for (int ms = 0; ms < 210; ++ms)
        BOOST_TEST(waitMs(queue, start + std::chrono::milliseconds(ms)) == std::max(0, 10 - ms));
    queue.firstEventReceived(1, start + 210ms);
    BOOST_TEST(waitMs(queue, start + 210ms) == 0);
}

// Failure: a frozen endpoint sends no first events. It must not appear to be free, as it would get
// more and more requests.
BOOST_AUTO_TEST_CASE(frozenEndpointDoesNotBecomeFree)
{
    PrefillQueue queue;
    for (std::uint64_t i = 0; i < 20; ++i)
        queue.requestSent(i, Tokens(6000), start);
    // 100 ms of prefill and 450 ms of further progress are granted.
    BOOST_TEST(waitMs(queue, start + 550ms) == 1450);
    BOOST_TEST(waitMs(queue, start + 2s) > 1450);
    // It resumes.
    queue.firstEventReceived(0, start + 3s);
    BOOST_TEST(waitMs(queue, start + 3s) == 1450);
    BOOST_TEST(waitMs(queue, start + 3100ms) == 1350);
}

BOOST_AUTO_TEST_CASE(frozenEndpointWithOneRequestDoesNotBecomeFree)
{
    PrefillQueue queue;
    queue.requestSent(1, Tokens(6000), start);
    BOOST_TEST(waitMs(queue, start + 550ms) == 0);
    BOOST_TEST(waitMs(queue, start + 1550ms) == 1000);
    queue.requestEnded(1);
    BOOST_TEST(waitMs(queue, start + 1550ms) == 0);
}

// Guards against excluding an endpoint by one request that is never answered while others are.
BOOST_AUTO_TEST_CASE(firstEventsOfOthersEndTheOverdueTime)
{
    PrefillQueue queue;
    queue.requestSent(1, Tokens(6000), start);
    for (std::uint64_t i = 2; i < 30; ++i) {
        const MonoTime now = start + i * 100ms;
        queue.requestSent(i, Tokens(600), now);
        queue.firstEventReceived(i, now + 30ms);
        BOOST_TEST(waitMs(queue, now + 50ms) == 0);
    }
}

// Failure: a restarted router begins with an empty queue, whatever events arrive for requests of
// its predecessor.
BOOST_AUTO_TEST_CASE(restartedRouterStartsEmpty)
{
    PrefillQueue queue;
    queue.firstEventReceived(5, start);
    queue.requestEnded(6);
    BOOST_TEST(waitMs(queue, start) == 0);
    queue.requestSent(1, Tokens(6000), start + 1s);
    BOOST_TEST(waitMs(queue, start + 1s) == 100);
}

// Guards against a queue that drifts or grows over a long run.
BOOST_AUTO_TEST_CASE(queueStaysExactOverManyRequests)
{
    PrefillQueue queue;
    MonoTime now = start;
    for (std::uint64_t i = 0; i < 1'000'000; ++i, now += 10ms) {
        queue.requestSent(i, Tokens(300), now);
        queue.peerPromptAnnounced(Tokens(300), now);
        if (i >= 2)
            queue.firstEventReceived(i - 2, now + 5ms);
    }
    BOOST_TEST(queue.size() <= 4);
    BOOST_TEST(waitMs(queue, now) <= 1);
}
