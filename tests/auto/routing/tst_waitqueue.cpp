#define BOOST_TEST_MODULE waitqueue
#include "routing/waitqueue.h"

#include <boost/test/unit_test.hpp>

#include <utility>
#include <vector>

using namespace Lagoonbank;
using namespace Lagoonbank::Routing;
using Errors::ErrorKind;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

namespace {

constexpr Base::MonoTime start{std::chrono::hours(1)};

struct Fixture
{
    Fixture()
    {
        queue.gaveUp = [this](WaitQueue::Ticket ticket, ErrorKind kind) {
            given.emplace_back(ticket, kind);
        };
    }

    bool push(WaitQueue::Ticket ticket, std::uint8_t priority, Base::Duration left)
    {
        return !queue
                    .push({.ticket = ticket, .priority = priority, .deadline = start + left}, start)
                    .has_value();
    }

    WaitQueue queue{{.limit = 3, .longestWait = 2s}};
    std::vector<std::pair<WaitQueue::Ticket, ErrorKind>> given;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(orderIsByPriorityThenDeadlineThenArrival, Fixture)
{
    push(1, 1, 9s);
    push(2, 1, 5s);
    push(3, 0, 20s);
    for (const WaitQueue::Ticket next : {3, 2, 1}) {
        BOOST_TEST((queue.front() == next));
        queue.pop(start);
    }
    BOOST_TEST(!queue.front().has_value());
}

BOOST_FIXTURE_TEST_CASE(fullQueueGivesUpOnTheLeastUrgentAtOnce, Fixture)
{
    push(1, 1, 5s);
    push(2, 1, 9s);
    push(3, 1, 7s);
    BOOST_TEST(!push(4, 1, 20s)); // Itself the least urgent.
    BOOST_TEST(given.empty());
    BOOST_TEST(push(5, 0, 20s));
    BOOST_TEST_REQUIRE(given.size() == 1U);
    BOOST_TEST(given[0].first == 2U);
    BOOST_TEST((errorRow(given[0].second).ran == Errors::Ran::No));
    BOOST_TEST(queue.size() == 3U);
}

BOOST_FIXTURE_TEST_CASE(timeOver, Fixture)
{
    BOOST_TEST(!push(1, 1, 0s));
    push(2, 1, 1s);
    push(3, 1, 60s);
    BOOST_TEST((queue.nextExpiry() == start + 1s));
    queue.expire(start + 999ms);
    BOOST_TEST(given.empty());
    queue.expire(start + 1s);
    queue.expire(start + 2s);
    const std::vector<std::pair<WaitQueue::Ticket, ErrorKind>> expected{
        {2, ErrorKind::DeadlinePassed}, {3, ErrorKind::Overloaded}};
    BOOST_TEST((given == expected));
}

BOOST_FIXTURE_TEST_CASE(callerThatLeftIsForgotten, Fixture)
{
    push(1, 1, 9s);
    BOOST_TEST(queue.remove(1));
    BOOST_TEST(!queue.remove(1));
    queue.expire(start + 60s);
    BOOST_TEST(given.empty());
}

BOOST_FIXTURE_TEST_CASE(retryAfterFollowsThePace, Fixture)
{
    BOOST_TEST((queue.retryAfter(start) == 1s));
    push(1, 1, 9s);
    BOOST_TEST((queue.retryAfter(start) == 30s)); // Nothing has moved yet.
    Base::MonoTime now = start;
    for (WaitQueue::Ticket ticket = 2; ticket < 60; ++ticket) {
        queue.push({.ticket = ticket, .priority = 1, .deadline = now + 9s}, now);
        queue.pop(now);
        now += 500ms;
    }
    BOOST_TEST((queue.retryAfter(now) == 1s));
    BOOST_TEST((queue.retryAfter(now + 60s) == 30s));
}
