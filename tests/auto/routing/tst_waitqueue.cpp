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
            given.emplace_back(ticket, kind);
        };
    }

    bool push(WaitQueue::Ticket ticket, std::uint8_t priority, Base::Duration left)
    {
        return !queue
                    .push({.ticket = ticket, .priority = priority, .deadline = start + left}, start)
                    .has_value();
    }

    WaitQueue queue{{.limit = 3, .maximumWait = 2s}};
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

BOOST_FIXTURE_TEST_CASE(fullQueueRejectsLeastUrgentRequest, Fixture)
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

BOOST_FIXTURE_TEST_CASE(rejectsExpiredRequests, Fixture)
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

BOOST_FIXTURE_TEST_CASE(removedRequestDoesNotExpire, Fixture)
{
    push(1, 1, 9s);
    BOOST_TEST(queue.remove(1));
    BOOST_TEST(!queue.remove(1));
    queue.expire(start + 60s);
    BOOST_TEST(given.empty());
}

BOOST_FIXTURE_TEST_CASE(retryAfterFollowsPopRate, Fixture)
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

namespace {

struct OfferRow
{
    const char *name;
    int others; ///< Workspaces that offer one request a second each.
    int surge; ///< How many requests a second the surging one offers.
    double roomPerSecond; ///< Work that endpoints get through; others' requests are 1 each.
    Base::Duration surgeDeadline; ///< Callers of the others allow 30 s.
    double surgeWork;
};
std::ostream &operator<<(std::ostream &stream, const OfferRow &row)
{
    return stream << row.name;
}

const OfferRow offers[] = {
    {"ten times as much", 9, 10, 12, 30s, 1.0},
    {"ten times as much, in short requests", 9, 100, 12, 30s, 0.1},
    {"ten times as much, in long requests", 9, 1, 12, 30s, 10.0},
    {"ten times as much, in a hurry", 9, 10, 12, 5s, 1.0},
    {"a hundred times as much, in a hurry", 9, 100, 12, 5s, 1.0},
    {"many others", 40, 10, 42, 5s, 1.0},
};

struct Loss
{
    int offered = 0;
    int lost = 0;
    double part() const { return static_cast<double>(lost) / offered; }
};

/// Offers for two minutes in steps of 10 ms. A request's ticket ends in its workspace's number, of
/// which 0 surges. Returns what the others and the surging one lost.
std::pair<Loss, Loss> offer(const OfferRow &row)
{
    constexpr WaitQueue::Ticket numbers = 100;
    constexpr int steps = 12'000;
    constexpr int stepsPerSecond = 100;
    WaitQueue queue{{.limit = 64, .maximumWait = 2s}};
    Loss others;
    Loss surging;
    const auto lossOf = [&](WaitQueue::Ticket ticket) -> Loss & {
        return ticket % numbers == 0 ? surging : others;
    };
    queue.requestRejected = [&](WaitQueue::Ticket ticket, ErrorKind) { ++lossOf(ticket).lost; };
    WaitQueue::Ticket count = 0;
    Base::MonoTime now = start;
    double room = 0.0;
    const auto push = [&](int workspace) {
        const WaitQueue::Ticket ticket =
            ++count * numbers + static_cast<WaitQueue::Ticket>(workspace);
        const bool surges = workspace == 0;
        ++lossOf(ticket).offered;
        const auto refused =
            queue.push({.ticket = ticket,
                        .deadline = now + (surges ? row.surgeDeadline : Base::Duration(30s)),
                        .workspace = Base::WorkspaceId(std::to_string(workspace)),
                        .work = Base::WorkUnits(surges ? row.surgeWork : 1.0)},
                       now);
        if (refused)
            ++lossOf(ticket).lost;
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
        room = std::min(room + row.roomPerSecond / stepsPerSecond, 1.0);
        while (queue.front() && room > 0.0) {
            room -= *queue.front() % numbers == 0 ? row.surgeWork : 1.0;
            queue.pop(now);
        }
    }
    return {others, surging};
}

} // namespace

BOOST_DATA_TEST_CASE(surgeOfOneWorkspaceDoesNotAffectOthers, boost::unit_test::data::make(offers),
                     row)
{
    const auto [others, surging] = offer(row);
    BOOST_TEST(others.part() < 0.02);
    BOOST_TEST(surging.part() > 0.5); // The endpoints were full all the time.
}

BOOST_AUTO_TEST_CASE(fullQueueRejectsRequestOfLargestWorkspace)
{
    WaitQueue queue{{.limit = 3, .maximumWait = 2s}};
    std::vector<WaitQueue::Ticket> given;
    queue.requestRejected = [&](WaitQueue::Ticket ticket, ErrorKind) { given.push_back(ticket); };
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
    BOOST_TEST((given == std::vector<WaitQueue::Ticket>{1}));
    BOOST_TEST(!push(5, "bazaar", 3s));
    BOOST_TEST(queue.size() == 3U);
    std::vector<WaitQueue::Ticket> order;
    while (const auto next = queue.front()) {
        order.push_back(*next);
        queue.pop(start);
    }
    BOOST_TEST((order == std::vector<WaitQueue::Ticket>{2, 4, 3}));
}
