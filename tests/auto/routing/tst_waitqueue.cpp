#define BOOST_TEST_MODULE waitqueue
#include "routing/waitqueue.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <ostream>
#include <string>
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
        queue.requestRejected = [this](WaitQueue::Ticket ticket, ErrorKind kind) {
            rejections.emplace_back(ticket, kind);
        };
    }

    bool push(WaitQueue::Ticket ticket, std::uint8_t priority, Base::Duration left)
    {
        return !queue
                    .push({.ticket = ticket, .priority = priority, .deadline = start + left}, start)
                    .has_value();
    }

    WaitQueue queue{{.limit = 3, .maximumWait = 2s}};
    std::vector<std::pair<WaitQueue::Ticket, ErrorKind>> rejections;
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

BOOST_FIXTURE_TEST_CASE(fullQueueRejectsLeastUrgentRequest, Fixture)
{
    push(1, 1, 5s);
    push(2, 1, 9s);
    push(3, 1, 7s);
    BOOST_TEST(!push(4, 1, 20s)); // The new request is the least urgent.
    BOOST_TEST(rejections.empty());
    BOOST_TEST(push(5, 0, 20s));
    BOOST_TEST_REQUIRE(rejections.size() == 1U);
    BOOST_TEST(rejections[0].first == 2U);
    BOOST_TEST((errorRow(rejections[0].second).ran == Errors::Ran::No));
    BOOST_TEST(queue.size() == 3U);
}

BOOST_FIXTURE_TEST_CASE(rejectsExpiredRequests, Fixture)
{
    BOOST_TEST(!push(1, 1, 0s));
    push(2, 1, 1s);
    push(3, 1, 60s);
    BOOST_TEST((queue.nextExpiry() == start + 1s));
    queue.expire(start + 999ms);
    BOOST_TEST(rejections.empty());
    queue.expire(start + 1s);
    queue.expire(start + 2s);
    const std::vector<std::pair<WaitQueue::Ticket, ErrorKind>> expected{
        {2, ErrorKind::DeadlinePassed}, {3, ErrorKind::Overloaded}};
    BOOST_TEST((rejections == expected));
}

BOOST_FIXTURE_TEST_CASE(removedRequestDoesNotExpire, Fixture)
{
    push(1, 1, 9s);
    BOOST_TEST(queue.remove(1));
    BOOST_TEST(!queue.remove(1));
    queue.expire(start + 60s);
    BOOST_TEST(rejections.empty());
}

BOOST_FIXTURE_TEST_CASE(retryAfterFollowsPopRate, Fixture)
{
    BOOST_TEST((queue.retryAfter(start) == 1s));
    push(1, 1, 9s);
    BOOST_TEST((queue.retryAfter(start) == 30s)); // No request has been popped yet.
    Base::MonoTime now = start;
    for (WaitQueue::Ticket ticket = 2; ticket < 60; ++ticket) {
        queue.push({.ticket = ticket, .priority = 1, .deadline = now + 9s}, now);
        queue.pop(now);
        now += 500ms;
    }
    BOOST_TEST((queue.retryAfter(now) == 1s));
    BOOST_TEST((queue.retryAfter(now + 60s) == 30s));
}

namespace {

struct SurgeRow
{
    const char *name;
    int others; ///< Number of workspaces that send one request per second each.
    int surge; ///< Requests per second of the surging workspace.
    double capacityPerSecond; ///< Work that endpoints process; a request of the others has work 1.
    Base::Duration surgeDeadline; ///< Deadline of the surging requests; the others have 30 s.
    double surgeWork; ///< Work of a request of the surging workspace.
};
std::ostream &operator<<(std::ostream &stream, const SurgeRow &row)
{
    return stream << row.name;
}

const SurgeRow surges[] = {
    {"ten times as much work", 9, 10, 12, 30s, 1.0},
    {"ten times as much work, short requests", 9, 100, 12, 30s, 0.1},
    {"ten times as much work, long requests", 9, 1, 12, 30s, 10.0},
    {"ten times as much work, short deadline", 9, 10, 12, 5s, 1.0},
    {"a hundred times as much work, short deadline", 9, 100, 12, 5s, 1.0},
    {"many other workspaces", 40, 10, 42, 5s, 1.0},
};

struct Rejections
{
    int sent = 0;
    int rejected = 0;
    double share() const { return static_cast<double>(rejected) / sent; }
};

/// Simulates two minutes of requests in steps of 10 ms. The last two digits of a ticket are the
/// number of its workspace; workspace 0 is the surging one. Returns the rejections of the other
/// workspaces and of the surging one.
std::pair<Rejections, Rejections> simulateSurge(const SurgeRow &row)
{
    constexpr WaitQueue::Ticket workspaceNumbers = 100;
    constexpr int steps = 12'000;
    constexpr int stepsPerSecond = 100;
    WaitQueue queue{{.limit = 64, .maximumWait = 2s}};
    Rejections others;
    Rejections surging;
    const auto rejectionsOf = [&](WaitQueue::Ticket ticket) -> Rejections & {
        return ticket % workspaceNumbers == 0 ? surging : others;
    };
    queue.requestRejected = [&](WaitQueue::Ticket ticket, ErrorKind) {
        ++rejectionsOf(ticket).rejected;
    };
    WaitQueue::Ticket count = 0;
    Base::MonoTime now = start;
    double capacity = 0.0;
    const auto push = [&](int workspace) {
        const WaitQueue::Ticket ticket =
            ++count * workspaceNumbers + static_cast<WaitQueue::Ticket>(workspace);
        const bool surges = workspace == 0;
        ++rejectionsOf(ticket).sent;
        const auto refused =
            queue.push({.ticket = ticket,
                        .deadline = now + (surges ? row.surgeDeadline : Base::Duration(30s)),
                        .workspace = Base::WorkspaceId(std::to_string(workspace)),
                        .work = Base::WorkUnits(surges ? row.surgeWork : 1.0)},
                       now);
        if (refused)
            ++rejectionsOf(ticket).rejected;
    };
    for (int step = 0; step < steps; ++step) {
        now += 10ms;
        queue.expire(now);
        for (int n = step * row.surge / stepsPerSecond; n < (step + 1) * row.surge / stepsPerSecond;
             ++n)
            push(0);
        for (int other = 1; other <= row.others; ++other) {
            if (step % stepsPerSecond == other * stepsPerSecond / (row.others + 1))
                push(other);
        }
        capacity = std::min(capacity + row.capacityPerSecond / stepsPerSecond, 1.0);
        while (queue.front() && capacity > 0.0) {
            capacity -= *queue.front() % workspaceNumbers == 0 ? row.surgeWork : 1.0;
            queue.pop(now);
        }
    }
    return {others, surging};
}

} // namespace

BOOST_DATA_TEST_CASE(surgeOfOneWorkspaceDoesNotAffectOthers, boost::unit_test::data::make(surges),
                     row)
{
    const auto [others, surging] = simulateSurge(row);
    BOOST_TEST(others.share() < 0.02);
    BOOST_TEST(surging.share() > 0.5); // The endpoints must have been at capacity all the time.
}

BOOST_AUTO_TEST_CASE(fullQueueRejectsRequestOfLargestWorkspace)
{
    WaitQueue queue{{.limit = 3, .maximumWait = 2s}};
    std::vector<WaitQueue::Ticket> rejections;
    queue.requestRejected = [&](WaitQueue::Ticket ticket, ErrorKind) {
        rejections.push_back(ticket);
    };
    const auto push = [&](WaitQueue::Ticket ticket, const char *workspace, Base::Duration left) {
        return !queue
                    .push({.ticket = ticket,
                           .deadline = start + left,
                           .workspace = Base::WorkspaceId(workspace)},
                          start)
                    .has_value();
    };
    push(1, "bazaar", 3s);
    push(2, "bazaar", 1s);
    push(3, "bazaar", 2s);
    BOOST_TEST(push(4, "clinic", 9s));
    BOOST_TEST((rejections == std::vector<WaitQueue::Ticket>{1}));
    BOOST_TEST(!push(5, "bazaar", 3s));
    BOOST_TEST(queue.size() == 3U);
    std::vector<WaitQueue::Ticket> order;
    while (const auto next = queue.front()) {
        order.push_back(*next);
        queue.pop(start);
    }
    BOOST_TEST((order == std::vector<WaitQueue::Ticket>{2, 4, 3}));
}
