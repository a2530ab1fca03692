/// A service has too few slots for its requests. Waiting requests are served in order of priority,
/// and each freed slot causes one attempt, not one by each waiting request.
#define BOOST_TEST_MODULE tst_admissionqueue
#include <boost/test/unit_test.hpp>

#include "gateway/admissionqueue.h"
#include "runtime/clock.h"

#include <string>
#include <vector>

using namespace Lagoonbank;
using namespace Lagoonbank::Gateway;
using std::chrono::milliseconds;

namespace {

const Base::ServiceId service("service");

struct Fixture
{
    /// Adds a waiter with a name. When tried, it takes one of the free slots.
    std::optional<AdmissionQueue::Ticket> wait(const std::string &name,
                                               const QueuePriority &priority, bool isStream = true,
                                               bool mayRepeat = true)
    {
        return queue.add({.service = service, .isStream = isStream},
                         {.priority = priority,
                          .mayRepeat = mayRepeat,
                          .deadline = clock.now() + milliseconds(40),
                          .tryPlace =
                              [this, name] {
                                  ++attempts;
                                  if (freeSlots == 0 || name == excludedWaiter)
                                      return false;
                                  --freeSlots;
                                  placed.push_back(name);
                                  return true;
                              },
                          .fail = [this, name] { refused.push_back(name); }});
    }
    void release(int slots)
    {
        freeSlots += slots;
        for (int i = 0; i < slots; ++i)
            queue.slotMayBeFree(service);
        timers.runDue();
    }
    void pass(Base::Duration duration)
    {
        for (auto left = duration; left > left.zero(); left -= milliseconds(1)) {
            clock.advance(milliseconds(1));
            timers.runDue();
        }
    }

    Runtime::ManualClock clock;
    Runtime::TimerQueue timers{clock};
    AdmissionQueue queue{{.timers = &timers, .maxWaiters = 3}};
    int freeSlots = 0;
    int attempts = 0;
    std::string excludedWaiter; ///< Name of the waiter that cannot use the free slots.
    std::vector<std::string> placed;
    std::vector<std::string> refused;
};

constexpr QueuePriority urgent{.urgency = {.priority = 0}};
constexpr QueuePriority usual{.urgency = {.priority = 1}};
constexpr QueuePriority beyondItsShare{.usableShare = 0.85, .urgency = {.priority = 0}};
constexpr QueuePriority repeat{.isRepeat = true, .urgency = {.priority = 2}};

using Names = std::vector<std::string>;

} // namespace

BOOST_AUTO_TEST_CASE(freeSlotsGoToWaitersByPriority)
{
    Fixture f;
    f.queue.remove(*f.wait("left", urgent));
    f.wait("beyond its share", beyondItsShare);
    f.wait("usual", usual);
    f.wait("urgent", urgent);
    f.release(1);
    BOOST_TEST((f.placed == Names{"urgent"}));
    f.wait("repeat", repeat);
    f.release(3);
    BOOST_TEST((f.placed == Names{"urgent", "repeat", "usual", "beyond its share"}));
    BOOST_TEST(f.queue.size() == 0U);
}

BOOST_AUTO_TEST_CASE(equalPrioritiesAreServedInOrderOfArrival)
{
    Fixture f;
    f.wait("first", usual);
    f.wait("second", usual);
    f.release(1);
    BOOST_TEST((f.placed == Names{"first"}));
}

BOOST_AUTO_TEST_CASE(failedAttemptsEndTheRound)
{
    Fixture f;
    for (const char *name : {"a", "b", "c"})
        f.wait(name, usual);
    f.release(0);
    f.queue.slotMayBeFree(service);
    f.queue.slotMayBeFree(service);
    f.timers.runDue();
    BOOST_TEST(f.attempts == 3); // One round for both, with at most three failed attempts.
    f.pass(milliseconds(10));
    BOOST_TEST(f.attempts == 4);
}

BOOST_AUTO_TEST_CASE(waiterThatCannotUseTheSlotDoesNotBlockOthers)
{
    Fixture f;
    f.wait("barred", repeat);
    f.wait("next", usual);
    f.excludedWaiter = "barred";
    f.release(1);
    BOOST_TEST((f.placed == Names{"next"}));
}

BOOST_AUTO_TEST_CASE(waiterPastItsDeadlineIsRefused)
{
    Fixture f;
    f.wait("a", usual);
    f.pass(milliseconds(25));
    BOOST_TEST(f.refused.empty());
    f.pass(milliseconds(15));
    BOOST_TEST((f.refused == Names{"a"}));
    BOOST_TEST(f.queue.size() == 0U);
}

BOOST_AUTO_TEST_CASE(unannouncedFreeSlotIsFoundByPeriodicRetry)
{
    Fixture f;
    f.wait("a", usual);
    f.freeSlots = 1;
    f.pass(milliseconds(10));
    BOOST_TEST((f.placed == Names{"a"}));
}

BOOST_AUTO_TEST_CASE(fullQueueAcceptsOnlyHigherPriorityThanItsLast)
{
    Fixture f;
    for (const char *name : {"a", "b", "c"})
        f.wait(name, usual);
    BOOST_TEST(!f.wait("d", usual).has_value());
    BOOST_TEST(f.refused.empty());
    BOOST_TEST(f.wait("urgent", urgent).has_value());
    BOOST_TEST((f.refused == Names{"c"}));
}

BOOST_AUTO_TEST_CASE(newRequestMustWaitBehindHigherPriorities)
{
    Fixture f;
    const AdmissionQueue::QueueId queueId{.service = service, .isStream = true};
    BOOST_TEST(!f.queue.mustWait(queueId, usual, true));
    f.wait("sent before", repeat);
    BOOST_TEST(!f.queue.mustWait(queueId, usual, true));
    f.wait("once at most", usual, true, false);
    BOOST_TEST(f.queue.mustWait(queueId, usual, false));
    BOOST_TEST(!f.queue.mustWait(queueId, usual, true)); // It may be a trial of a suspect endpoint.
    f.wait("a", usual);
    BOOST_TEST(f.queue.mustWait(queueId, usual, true));
    BOOST_TEST(f.queue.mustWait(queueId, beyondItsShare, true));
    BOOST_TEST(!f.queue.mustWait(queueId, urgent, true));
    BOOST_TEST(!f.queue.mustWait({.service = service, .isStream = false}, usual, true));
}
