#define BOOST_TEST_MODULE gcra
#include <boost/test/unit_test.hpp>

#include "admission/gcra.h"

using namespace Lagoonbank::Base;
using Lagoonbank::Admission::Gcra;

namespace {

const MonoTime start{std::chrono::hours(1)};

bool tryCharge(Gcra &gcra, double cost, MonoTime now)
{
    const auto wait = gcra.waitFor(cost, now);
    if (!wait || *wait > Duration::zero())
        return false;
    gcra.charge(cost, now);
    return true;
}

} // namespace

BOOST_AUTO_TEST_CASE(admitsRateAndBurst)
{
    struct Row
    {
        double rate;
        double burst;
        Duration interval;
        int offered;
        int expected;
    };
    const Row rows[] = {
        {10, 1, 100ms, 100, 100}, // exactly at the rate
        {10, 1, 50ms, 100, 50}, // at twice the rate
        {10, 5, 0ms, 100, 5}, // all at once
        {10, 5, 50ms, 100, 54}, // the burst, then the rate
        {0, 5, 50ms, 100, 0}, // no rate: nothing is accepted
        {0.5, 1, 1s, 100, 50}, // less than one unit per second
    };
    for (const Row &row : rows) {
        Gcra gcra({.rate = row.rate, .burst = row.burst});
        int accepted = 0;
        for (int i = 0; i < row.offered; ++i)
            accepted += tryCharge(gcra, 1, start + row.interval * i) ? 1 : 0;
        BOOST_TEST(accepted == row.expected);
    }
}

BOOST_AUTO_TEST_CASE(waitTimeIsExact)
{
    Gcra gcra({.rate = 7, .burst = 3});
    for (int i = 0; i < 3; ++i)
        BOOST_TEST(tryCharge(gcra, 1, start));
    const auto wait = gcra.waitFor(1, start);
    BOOST_REQUIRE(wait.has_value());
    BOOST_TEST(!tryCharge(gcra, 1, start + *wait - 1ms));
    BOOST_TEST(tryCharge(gcra, 1, start + *wait));
}

BOOST_AUTO_TEST_CASE(largeCostCreatesBoundedDebt)
{
    Gcra gcra({.rate = 100, .burst = 200, .debt = 300});
    BOOST_TEST(!gcra.waitFor(501, start).has_value());
    BOOST_TEST(tryCharge(gcra, 500, start));
    BOOST_TEST(gcra.waitFor(1, start)->count() == Duration(3010ms).count());
    // A second large cost has to wait until nothing of the burst is in use.
    BOOST_TEST(gcra.waitFor(500, start)->count() == Duration(5s).count());
    // A later charge is clamped to the bound.
    gcra.charge(1e9, start);
    BOOST_TEST(gcra.unitsInUse(start) == 500, boost::test_tools::tolerance(1e-6));
}

BOOST_AUTO_TEST_CASE(refundsAndOptionChangesKeepUsage)
{
    Gcra gcra({.rate = 10, .burst = 10});
    gcra.charge(8, start);
    gcra.charge(-3, start);
    BOOST_TEST(gcra.unitsInUse(start) == 5, boost::test_tools::tolerance(1e-6));
    gcra.setOptions({.rate = 1, .burst = 10}, start);
    BOOST_TEST(gcra.unitsInUse(start) == 5, boost::test_tools::tolerance(1e-6));
    BOOST_TEST(gcra.unitsInUse(start + 2s) == 3, boost::test_tools::tolerance(1e-6));
    gcra.charge(-100, start);
    BOOST_TEST(gcra.unitsInUse(start) == 0);
}
