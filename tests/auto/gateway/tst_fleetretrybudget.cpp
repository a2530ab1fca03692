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

/// Routers that share the budget. Each retries all of its requests as long as its part allows.
class RetryingFleet
{
public:
    explicit RetryingFleet(int routers)
        : m_routers(routers)
    { }

    /// Starts the processes of all routers, without what earlier ones knew. The new ones know the
    /// number of routers only if \a isFleetKnown.
    void start(Base::MonoTime now, bool isFleetKnown)
    {
        m_startedAt = now;
        m_budgets.assign(static_cast<std::size_t>(m_routers),
                         FleetRetryBudget(usersOptions(), now));
        for (FleetRetryBudget &budget : m_budgets) {
            if (isFleetKnown)
                budget.setRouterCount(m_routers);
        }
    }
    Base::MonoTime startedAt() const { return m_startedAt; }
    void requestArrived(Base::MonoTime now)
    {
        FleetRetryBudget &budget = m_budgets[m_next++ % m_budgets.size()];
        budget.requestArrived(service, now);
        m_requests.push_back(now);
        if (budget.spend(service, now))
            m_retries.push_back(now);
    }
    /// Whether the retries of the last window are within the limit, whose requests are those of
    /// this window, of the previous one or of the one half a window earlier, whichever has most.
    bool isLimitKept(Base::MonoTime now) const
    {
        const auto requests =
            std::max({countIn(m_requests, now), countIn(m_requests, now - window / 2),
                      countIn(m_requests, now - window)});
        const double limit =
            usersOptions().ratio * static_cast<double>(requests) + usersOptions().slack;
        return static_cast<double>(countIn(m_retries, now)) <= limit;
    }

private:
    static constexpr Base::Duration window = std::chrono::seconds(10);

    static std::ptrdiff_t countIn(const std::deque<Base::MonoTime> &times, Base::MonoTime end)
    {
        return std::count_if(times.begin(), times.end(),
                             [end](Base::MonoTime at) { return at <= end && at > end - window; });
    }

    int m_routers;
    Base::MonoTime m_startedAt{};
    std::vector<FleetRetryBudget> m_budgets;
    std::size_t m_next = 0;
    std::deque<Base::MonoTime> m_requests;
    std::deque<Base::MonoTime> m_retries;
};

} // namespace

BOOST_AUTO_TEST_CASE(fleetKeepsTheLimitInAnyWindow)
{
    for (const int routers : {1, 6, 100}) {
        // 200 requests a second over all routers; each asks for a retry.
        RetryingFleet fleet(routers);
        const Base::MonoTime start{std::chrono::hours(1)};
        fleet.start(start, true);
        bool isKept = true;
        for (int ms = 0; ms < 60000; ms += 10) {
            const Base::MonoTime now = start + std::chrono::milliseconds(ms);
            // No requests for 10 s, then all at once, which is the worst case for a sliding window.
            const bool isQuiet = ms % 30000 < 10000;
            for (int i = 0; i < (isQuiet ? 0 : 2); ++i)
                fleet.requestArrived(now);
            isKept = isKept && (ms % 250 != 0 || fleet.isLimitKept(now));
        }
        BOOST_TEST(isKept, routers << " routers");
    }
}

/// Guards against a fresh slack for each process: all routers are killed each 1.5 s while all
/// endpoints fail.
BOOST_AUTO_TEST_CASE(restartedRoutersKeepTheLimit)
{
    for (const int routers : {1, 6, 8, 100}) {
        RetryingFleet fleet(routers);
        const Base::MonoTime start{std::chrono::hours(1)};
        fleet.start(start, true);
        bool isKept = true;
        for (int ms = 0; ms < 40000; ms += 10) {
            const Base::MonoTime now = start + std::chrono::milliseconds(ms);
            const bool isKilling =
                ms > 15000 && now - fleet.startedAt() >= std::chrono::milliseconds(1500);
            if (isKilling)
                fleet.start(now, true);
            fleet.requestArrived(now);
            isKept = isKept && (ms % 250 != 0 || fleet.isLimitKept(now));
        }
        BOOST_TEST(isKept, routers << " routers");
    }
}

/// Guards against the whole slack for each router that does not know the others: all routers start
/// while the store is away, so that they can read no registry.
BOOST_AUTO_TEST_CASE(routersThatDoNotKnowTheFleetKeepTheLimit)
{
    for (const int routers : {6, 100}) {
        RetryingFleet fleet(routers);
        const Base::MonoTime start{std::chrono::hours(1)};
        fleet.start(start, false);
        bool isKept = true;
        for (int ms = 0; ms < 40000; ms += 10) {
            const Base::MonoTime now = start + std::chrono::milliseconds(ms);
            fleet.requestArrived(now);
            isKept = isKept && (ms % 250 != 0 || fleet.isLimitKept(now));
        }
        BOOST_TEST(isKept, routers << " routers");
    }
}

BOOST_AUTO_TEST_CASE(idleServiceHasItsSlack)
{
    const Base::MonoTime now{std::chrono::hours(1)};
    FleetRetryBudget budget(usersOptions(), now - usersOptions().window);
    budget.setRouterCount(6);
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
    const Base::ServiceId service("model");
    Base::MonoTime now{std::chrono::hours(1)};
    Gateway::FleetRetryBudget budget(
        {.ratio = 0, .window = std::chrono::seconds(10), .slack = 3, .usedShare = 1},
        now - std::chrono::seconds(10));
    budget.setRouterCount(1);
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
