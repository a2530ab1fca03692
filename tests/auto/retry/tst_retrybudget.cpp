#define BOOST_TEST_MODULE retrybudget
#include <boost/test/unit_test.hpp>

#include "retry/backoff.h"
#include "retry/deadline.h"
#include "retry/retrybudget.h"

using namespace Lagoonbank;
using namespace Lagoonbank::Base;
using namespace Lagoonbank::Retry;

namespace {

const MonoTime start{std::chrono::hours(1)};

} // namespace

BOOST_AUTO_TEST_CASE(retriesAreProportionalToSuccesses)
{
    RetryBudget budget({.retriesPerSuccess = 0.1, .retriesPerSecond = 0, .capacity = 5}, start);
    for (int i = 0; i < 5; ++i)
        BOOST_TEST(budget.spend(start));
    BOOST_TEST(!budget.spend(start));

    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.noteSuccess(start);
        retries += budget.spend(start) ? 1 : 0;
    }
    BOOST_TEST(retries >= 99);
    BOOST_TEST(retries <= 100);
}

BOOST_AUTO_TEST_CASE(balanceGrowsOverTimeUpToCapacity)
{
    RetryBudget budget({.retriesPerSuccess = 0.1, .retriesPerSecond = 0.5, .capacity = 2}, start);
    BOOST_TEST(budget.spend(start));
    BOOST_TEST(budget.spend(start));
    BOOST_TEST(!budget.available(start + 1s));
    BOOST_TEST(budget.available(start + 2s));
    BOOST_TEST(budget.balance(start + 1000s) == 2.0);
}

BOOST_AUTO_TEST_CASE(backoffUsesFullJitterUpToCap)
{
    struct Row
    {
        int retry;
        double random;
        Duration expected;
    };
    const Row rows[] = {
        {0, 0.0, 0ms},  {0, 0.5, 5ms},  {1, 0.5, 10ms},
        {2, 0.5, 20ms}, {3, 0.5, 40ms}, {100, 0.5, 40ms},
    };
    for (const Row &row : rows) {
        const Backoff backoff{.base = 10ms, .cap = 80ms, .random = [&row] { return row.random; }};
        BOOST_TEST(backoff.wait(row.retry).count() == row.expected.count());
    }
}

BOOST_AUTO_TEST_CASE(deadlineSubtractsReserve)
{
    const Deadline deadline{.answerBy = start + 100ms, .reserve = 10ms};
    BOOST_TEST(deadline.remaining(start)->count() == Duration(90ms).count());
    BOOST_TEST(deadline.remaining(start + 95ms)->count() == 0);
    BOOST_TEST(deadline.leavesTime(start, 50ms, 39ms));
    BOOST_TEST(!deadline.leavesTime(start, 50ms, 40ms));
    BOOST_TEST(!Deadline{}.remaining(start).has_value());
    BOOST_TEST(Deadline{}.leavesTime(start, 1000s, 1000s));
}
