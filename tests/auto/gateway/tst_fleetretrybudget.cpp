/// Scenario: engines crash or fail while many requests arrive, and every router would retry each of
/// them. The fleet's limit is 0.2 times the requests of 10 s, plus 52.
#define BOOST_TEST_MODULE tst_fleetretrybudget
#include <boost/test/unit_test.hpp>

#include "gateway/fleetretrybudget.h"

#include <algorithm>
#include <deque>
#include <vector>

using namespace Lagoonbank;
using Gateway::FleetRetryBudget;

namespace {

const Base::ServiceId service{"service"};

FleetRetryBudget::Options usersOptions()
{
    return {.ratio = 0.2, .window = std::chrono::seconds(10), .slack = 52};
}

} // namespace

BOOST_AUTO_TEST_CASE(fleetKeepsTheLimitInAnyWindow)
{
    for (const int routers : {1, 6, 100}) {
        BOOST_TEST_CONTEXT(routers << " routers")
        {
            std::vector<FleetRetryBudget> budgets(static_cast<std::size_t>(routers),
                                                  FleetRetryBudget(usersOptions()));
            for (FleetRetryBudget &budget : budgets)
                budget.setRouterCount(routers);
            // 120 requests a second over all routers; each asks for a retry.
            std::deque<Base::MonoTime> requests;
            std::deque<Base::MonoTime> retries;
            std::size_t next = 0;
            bool isKept = true;
            for (int ms = 0; ms < 60000; ms += 10) {
                const Base::MonoTime now{std::chrono::hours(1) + std::chrono::milliseconds(ms)};
                // No requests for 10 s, then all at once, which is the worst case for a sliding
                // window.
                const bool isQuiet = ms % 30000 < 10000;
                for (int i = 0; i < (isQuiet ? 0 : 2); ++i) {
                    FleetRetryBudget &budget = budgets[next++ % budgets.size()];
                    budget.requestArrived(service, now);
                    requests.push_back(now);
                    if (budget.spend(service, now))
                        retries.push_back(now);
                }
                // The limit is based on the maximum of the requests in this window, in the previous
                // one, and in the window half a window earlier.
                const auto countIn = [now](const std::deque<Base::MonoTime> &times,
                                           Base::Duration before) {
                    const Base::MonoTime end = now - before;
                    return std::count_if(times.begin(), times.end(), [end](Base::MonoTime at) {
                        return at <= end && at > end - std::chrono::seconds(10);
                    });
                };
                const bool isChecked = ms % 250 == 0;
                if (!isChecked)
                    continue;
                const auto maxRequests = std::max({countIn(requests, std::chrono::seconds(0)),
                                                   countIn(requests, std::chrono::seconds(5)),
                                                   countIn(requests, std::chrono::seconds(10))});
                const double limit = 0.2 * static_cast<double>(maxRequests) + 52;
                isKept = isKept
                    && static_cast<double>(countIn(retries, std::chrono::seconds(0))) <= limit;
            }
            BOOST_TEST(isKept);
        }
    }
}

BOOST_AUTO_TEST_CASE(idleServiceHasItsSlack)
{
    FleetRetryBudget budget(usersOptions());
    budget.setRouterCount(6);
    const Base::MonoTime now{std::chrono::hours(1)};
    int spent = 0;
    while (budget.spend(service, now))
        ++spent;
    BOOST_TEST(spent >= 5);
    BOOST_TEST(spent <= 8);
    BOOST_TEST(budget.remaining(service, now) < 1);
    BOOST_TEST(budget.remaining(service, now + std::chrono::seconds(11)) >= 5);
    BOOST_TEST(budget.remaining(Base::ServiceId("other"), now) >= 5);
}

/// Scenario: engines crash together, and retries cannot connect to several of them.
BOOST_AUTO_TEST_CASE(refundedRetriesAreAvailableAgain)
{
    Gateway::FleetRetryBudget budget(
        {.ratio = 0, .window = std::chrono::seconds(10), .slack = 3, .usedShare = 1});
    const Base::ServiceId service("model");
    Base::MonoTime now{};
    BOOST_TEST(budget.spend(service, now));
    now += std::chrono::seconds(1);
    BOOST_TEST(budget.spend(service, now));
    BOOST_TEST(budget.remaining(service, now) == 1);
    budget.refund(service, now);
    budget.refund(service, now);
    BOOST_TEST(budget.remaining(service, now) == 3);
    budget.refund(service, now); // Refunding more than was spent has no effect.
    BOOST_TEST(budget.remaining(service, now) == 3);
}
