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
        const char *what;
        std::vector<Demand> demands;
        double supply;
        double minShare;
        std::vector<double> shares;
    } cases[] = {
        {"nobody asks", {}, 10, 0.1, {}},
        {"all fits", {{second, 10, 1}, {first, 5, 2}}, 20, 0.1, {1, 1}},
        {"the last one pays", {{third, 10, 1}, {first, 5, 2}}, 15, 0, {0.5, 1}},
        {"the last one keeps its part", {{third, 10, 1}, {first, 5, 2}}, 10, 0.2, {0.2, 0.8}},
        {"equals share alike", {{first, 10, 1}, {first, 5, 2}}, 10, 0, {0.5, 0.5}},
        {"in the order of urgency",
         {{third, 10, 1}, {second, 10, 1}, {first, 10, 1}},
         15,
         0,
         {0, 0.5, 1}},
        {"no supply is known", {{first, 10, 1}, {second, 10, 1}}, 0, 0, {0, 0}},
        {"less than the least parts", {{first, 10, 1}, {second, 10, 1}}, 1, 0.3, {0.3, 0.3}},
        {"what costs nothing is served", {{first, 10, 1}, {second, 10, 0}}, 5, 0, {0.5, 1}},
    };
    for (const auto &[what, demands, supply, minShare, expected] : cases) {
        BOOST_TEST_CONTEXT(what)
        {
            const std::vector<double> shares = servedShares(demands, supply, minShare);
            BOOST_REQUIRE(shares.size() == expected.size());
            for (std::size_t i = 0; i < shares.size(); ++i)
                BOOST_TEST(shares[i] == expected[i], boost::test_tools::tolerance(1e-9));
        }
    }
}
