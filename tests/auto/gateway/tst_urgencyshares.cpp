#define BOOST_TEST_MODULE tst_urgencyshares
#include <boost/test/unit_test.hpp>

#include "gateway/urgencyshares.h"

#include <string>

using namespace Lagoonbank::Gateway;

namespace {

constexpr Urgency first{.priority = 0, .routePriority = 1};
constexpr Urgency second{.priority = 1, .routePriority = 0};
constexpr Urgency third{.priority = 1, .routePriority = 2};

} // namespace

BOOST_AUTO_TEST_CASE(workspacePriorityIsComparedBeforeRoutePriority)
{
    BOOST_TEST((first < second));
    BOOST_TEST((second < third));
}

BOOST_AUTO_TEST_CASE(slotsGoToTheMostUrgentAndEachDemandKeepsAMinimum)
{
    const struct
    {
        const char *name;
        std::vector<Demand> demands;
        double supply;
        double minShare;
        std::vector<double> shares;
    } cases[] = {
        {"no demands", {}, 10, 0.1, {}},
        {"all demands fit", {{second, 10, 1}, {first, 5, 2}}, 20, 0.1, {1, 1}},
        {"the least urgent demand is cut", {{third, 10, 1}, {first, 5, 2}}, 15, 0, {0.5, 1}},
        {"the least urgent demand keeps its minimum",
         {{third, 10, 1}, {first, 5, 2}},
         10,
         0.2,
         {0.2, 0.8}},
        {"equally urgent demands get the same share",
         {{first, 10, 1}, {first, 5, 2}},
         10,
         0,
         {0.5, 0.5}},
        {"in the order of urgency",
         {{third, 10, 1}, {second, 10, 1}, {first, 10, 1}},
         15,
         0,
         {0, 0.5, 1}},
        {"no supply", {{first, 10, 1}, {second, 10, 1}}, 0, 0, {0, 0}},
        {"supply below the sum of minimum shares",
         {{first, 10, 1}, {second, 10, 1}},
         1,
         0.3,
         {0.3, 0.3}},
        {"demand without cost is served in full",
         {{first, 10, 1}, {second, 10, 0}},
         5,
         0,
         {0.5, 1}},
    };
    for (const auto &[name, demands, supply, minShare, expected] : cases) {
        BOOST_TEST_CONTEXT(name)
        {
            const std::vector<double> shares = servedShares(demands, supply, minShare);
            BOOST_REQUIRE(shares.size() == expected.size());
            for (std::size_t i = 0; i < shares.size(); ++i)
                BOOST_TEST(shares[i] == expected[i], boost::test_tools::tolerance(1e-9));
        }
    }
}
