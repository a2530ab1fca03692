#define BOOST_TEST_MODULE fairshare
#include <boost/test/unit_test.hpp>

#include "routing/fairshare.h"

#include <cstdlib>
#include <map>
#include <string>
#include <vector>

using namespace Lagoonbank::Base;
using Lagoonbank::Routing::FairShare;

namespace {

// The last digit of a ticket is the number of its workspace.
int workspaceOf(FairShare::Ticket ticket)
{
    return static_cast<int>(ticket % 10);
}

FairShare::Entry entry(std::uint64_t number, int workspace, int priority = 0, double work = 1,
                       double weight = 1)
{
    return {.ticket = number * 10 + static_cast<std::uint64_t>(workspace),
            .workspace = WorkspaceId(std::to_string(workspace)),
            .priority = priority,
            .work = WorkUnits(work),
            .weight = weight};
}

} // namespace

BOOST_AUTO_TEST_CASE(workIsSharedInProportionToWeight)
{
    struct Row
    {
        double workOfSecondWorkspace;
        double weightOfSecond;
        int firstOf60; ///< Expected pops from the first workspace out of 60.
        int tolerance;
    };
    const Row rows[] = {{1, 1, 30, 1}, {2, 1, 40, 1}, {1, 2, 20, 1}, {5, 1, 50, 1}};
    for (const Row &row : rows) {
        FairShare queue(1000);
        for (std::uint64_t i = 0; i < 100; ++i) {
            queue.push(entry(i, 1));
            queue.push(entry(i, 2, 0, row.workOfSecondWorkspace, row.weightOfSecond));
        }
        int first = 0;
        for (int i = 0; i < 60; ++i)
            first += workspaceOf(*queue.pop()) == 1 ? 1 : 0;
        BOOST_TEST(std::abs(first - row.firstOf60) <= row.tolerance);
    }
}

BOOST_AUTO_TEST_CASE(servesByPriorityThenInOrderWithinWorkspace)
{
    FairShare queue(10);
    queue.push(entry(1, 1, 5));
    queue.push(entry(2, 1, 5));
    queue.push(entry(3, 2, 0));
    const std::vector<FairShare::Ticket> expected{32, 11, 21};
    for (const FairShare::Ticket ticket : expected)
        BOOST_TEST(*queue.pop() == ticket);
    BOOST_TEST(!queue.pop().has_value());
}

BOOST_AUTO_TEST_CASE(surgeDoesNotDelayOtherWorkspaces)
{
    FairShare queue(1000);
    for (std::uint64_t i = 0; i < 500; ++i)
        queue.push(entry(i, 1));
    for (int i = 0; i < 100; ++i)
        queue.pop();
    // Gets no credit for the time without requests, and waits for at most one other request.
    queue.push(entry(900, 2));
    const FairShare::Ticket next = *queue.pop();
    BOOST_TEST((workspaceOf(next) == 2 || workspaceOf(*queue.pop()) == 2));
}

BOOST_AUTO_TEST_CASE(fullQueueEvictsFromLargestWorkspace)
{
    FairShare queue(10);
    std::map<int, int> evictions;
    for (std::uint64_t i = 0; i < 100; ++i) {
        if (const auto evicted = queue.push(entry(i, 1, i % 2 == 0 ? 5 : 0)))
            ++evictions[workspaceOf(*evicted)];
    }
    BOOST_TEST(evictions[1] == 90);
    for (std::uint64_t i = 0; i < 4; ++i) {
        for (const int workspace : {2, 3}) {
            if (const auto evicted = queue.push(entry(200 + i, workspace)))
                ++evictions[workspaceOf(*evicted)];
        }
    }
    BOOST_TEST(queue.size() == 10U);
    BOOST_TEST(queue.waiting(WorkspaceId("1")) + queue.waiting(WorkspaceId("2"))
                   + queue.waiting(WorkspaceId("3"))
               == 10U);
    BOOST_TEST(queue.waiting(WorkspaceId("2")) >= 3U);
    BOOST_TEST(queue.waiting(WorkspaceId("3")) >= 3U);
}

BOOST_AUTO_TEST_CASE(removesRequests)
{
    FairShare queue(10);
    queue.push(entry(1, 1));
    queue.push(entry(2, 1));
    BOOST_TEST(queue.remove(11));
    BOOST_TEST(!queue.remove(11));
    BOOST_TEST(*queue.front() == 21U);
    BOOST_TEST(queue.remove(21));
    BOOST_TEST(!queue.front().has_value());
    BOOST_TEST(queue.size() == 0U);
}
