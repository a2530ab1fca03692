#define BOOST_TEST_MODULE OrderPlan
#include "orders/orderplan.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <string>
#include <vector>

using namespace Lagoonbank;
using namespace Lagoonbank::Base;
using namespace Lagoonbank::Orders;

BOOST_AUTO_TEST_CASE(ordersSetOnlyDifferingFields)
{
    struct Row
    {
        EndpointSettings desired;
        EndpointSettings observed;
        std::optional<EndpointSettings> set;
        bool loadsWeights;
    };
    const std::vector<Row> rows{
        {{.model = "m"}, {.model = "m", .role = "decode"}, std::nullopt, false},
        {{.model = "m", .version = "2"},
         {.model = "m", .version = "1"},
         EndpointSettings{.version = "2"},
         true},
        {{.role = "prefill"}, {.role = "decode"}, EndpointSettings{.role = "prefill"}, false},
        {{.draining = true}, {}, EndpointSettings{.draining = true}, false},
    };
    for (const Row &row : rows) {
        const auto order = planOrder(EndpointId("e"), row.desired, row.observed, Revision(4));
        BOOST_REQUIRE(order.has_value() == row.set.has_value());
        if (!order)
            continue;
        BOOST_TEST((order->set == *row.set));
        BOOST_TEST(order->loadsWeights == row.loadsWeights);
        // A retry after a lost response results in the same order.
        const auto again = planOrder(EndpointId("e"), row.desired, row.observed, Revision(4));
        BOOST_TEST(again->id == order->id);
    }
}

BOOST_AUTO_TEST_CASE(weightLoadsAreLimited)
{
    WeightLoadLimiter loads({.maxConcurrentLoads = 2, .minStartInterval = 1s});
    MonoTime now{std::chrono::hours(1)};
    BOOST_TEST(loads.mayStart(now));
    loads.started(EndpointId("a"), now);
    BOOST_TEST(!loads.mayStart(now));
    now += 1s;
    BOOST_TEST(loads.mayStart(now));
    loads.started(EndpointId("b"), now);
    now += 5s;
    BOOST_TEST(!loads.mayStart(now)); // Two loads are running.
    loads.noteStoreRefusal(EndpointId("b"), 30s, now);
    BOOST_TEST(!loads.mayStart(now + 29s));
    BOOST_TEST(loads.mayStart(now + 30s));
}

BOOST_AUTO_TEST_CASE(drainStepsInOrder)
{
    BOOST_TEST((nextDrainStep({}) == DrainStep::OrderDraining));
    BOOST_TEST((nextDrainStep({.isDraining = true, .chatsToExport = 2, .inFlight = 1})
                == DrainStep::ExportCache));
    BOOST_TEST((
        nextDrainStep({.isDraining = true, .chatsToExport = 2, .inFlight = 1, .sinceDraining = 61s})
        == DrainStep::Wait));
    // Requests in flight are never interrupted, however long they take.
    BOOST_TEST((nextDrainStep({.isDraining = true, .inFlight = 1, .sinceDraining = 3600s})
                == DrainStep::Wait));
    BOOST_TEST((nextDrainStep({.isDraining = true}) == DrainStep::Done));
}

BOOST_AUTO_TEST_CASE(probesAreSharedWithinTheBudget)
{
    const ProbeSchedule schedule({.probersPerEndpoint = 2});
    std::vector<std::string> members;
    members.reserve(25);
    for (int i = 0; i < 25; ++i)
        members.push_back("vm-" + std::to_string(i) + "/controller");
    std::vector<EndpointId> endpoints;
    endpoints.reserve(120);
    for (int i = 0; i < 120; ++i)
        endpoints.emplace_back("engine-" + std::to_string(i));
    std::map<EndpointId, int> probers;
    for (const std::string &member : members) {
        const auto result = schedule.probesOf(member, members, endpoints);
        for (const EndpointId &endpoint : result.endpoints)
            ++probers[endpoint];
        const double bytesPerSecond =
            static_cast<double>(result.endpoints.size()) * 600 / toSeconds(result.period);
        BOOST_TEST(bytesPerSecond <= 1500.5);
    }
    for (const EndpointId &endpoint : endpoints)
        BOOST_TEST(probers[endpoint] == 2);
    // Every endpoint has a prober even if controllers have different member lists.
    const std::vector<std::string> shorter(members.begin(), members.begin() + 20);
    std::map<EndpointId, int> mixed;
    for (std::size_t i = 0; i < members.size(); ++i) {
        const auto &visible = i % 2 == 0 ? members : shorter;
        for (const EndpointId &endpoint :
             schedule.probesOf(members[i], visible, endpoints).endpoints)
            ++mixed[endpoint];
    }
    for (const EndpointId &endpoint : endpoints)
        BOOST_TEST(mixed[endpoint] >= 1);
}
