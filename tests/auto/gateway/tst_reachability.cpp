/// A data centre is partitioned or an engine crashes. Each request that waits for the connection
/// timeout loses 120 ms, too much for the target latency of most requests.
#define BOOST_TEST_MODULE tst_reachability
#include <boost/test/unit_test.hpp>

#include "gateway/placement.h"
#include "gateway/reachability.h"
#include "runtime/clock.h"

#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace Lagoonbank;
using namespace Lagoonbank::Gateway;

namespace {

const Base::ServiceId service{"service"};

Fleet::Endpoint endpointAt(const std::string &id, const std::string &ip,
                           const std::string &dataCentre)
{
    Fleet::Endpoint endpoint;
    endpoint.id = Base::EndpointId(id);
    endpoint.service = service;
    endpoint.address = {ip, 80};
    endpoint.dataCentre = Base::DataCentreId(dataCentre);
    return endpoint;
}

/// Nine endpoints in three data centres and a network that the test can partition.
struct Fixture
{
    Fixture()
    {
        for (int i = 0; i < 9; ++i) {
            const std::string number = std::to_string(i);
            registry.put(endpointAt("e" + number, "10.0.0." + number, "dc" + std::to_string(i % 3)),
                         clock.now());
        }
    }
    EndpointPtr endpoint(int i) { return registry.find(Base::EndpointId("e" + std::to_string(i))); }
    /// Lets time pass. Checks are answered after 2 ms or time out.
    void pass(Base::Duration duration)
    {
        constexpr Base::Duration step = std::chrono::milliseconds(2);
        for (auto left = duration; left > left.zero(); left -= step) {
            clock.advance(step);
            timers.runDue();
            for (auto &[server, checked] : std::exchange(checks, {})) {
                ++checkCount;
                if (!cut.contains(server))
                    checked(true);
                else
                    timers.start(std::chrono::milliseconds(100),
                                 [done = std::move(checked)] { done(false); });
            }
        }
    }
    int unreachableCount()
    {
        int sum = 0;
        for (int i = 0; i < 9; ++i)
            sum += endpoint(i)->isUnreachable ? 1 : 0;
        return sum;
    }

    Runtime::ManualClock clock;
    Runtime::TimerQueue timers{clock};
    EndpointRegistry registry{{}};
    std::set<std::string> cut;
    int checkCount = 0;
    std::vector<std::pair<std::string, std::function<void(bool)>>> checks;
    Reachability reachability{{.registry = &registry,
                               .timers = &timers,
                               .check = [this](const auto &server, Base::Duration, auto checked) {
                                   checks.emplace_back(server.ip, std::move(checked));
                               }}};
};

} // namespace

BOOST_AUTO_TEST_CASE(oneRequestDetectsAPartitionedDataCentre)
{
    Fixture f;
    f.cut = {"10.0.0.1", "10.0.0.4", "10.0.0.7"};
    f.reachability.reportUnreachable(f.endpoint(1));
    f.pass(std::chrono::milliseconds(110));
    BOOST_TEST(f.unreachableCount() == 3);
    Placement placement({});
    for (std::uint64_t prompt = 1; prompt < 100; ++prompt) {
        const PlacementResult result = placement.choose(
            {.service = service, .affinity = prompt * 7919}, f.registry, f.clock.now());
        BOOST_TEST(!result.endpoint->isUnreachable);
    }
    f.cut.clear();
    f.pass(std::chrono::milliseconds(600));
    BOOST_TEST(f.unreachableCount() == 0);
}

BOOST_AUTO_TEST_CASE(crashedEndpointDoesNotAffectOthers)
{
    Fixture f;
    f.cut = {"10.0.0.1"};
    f.reachability.reportUnreachable(f.endpoint(1));
    f.pass(std::chrono::milliseconds(400));
    BOOST_TEST(f.unreachableCount() == 1);
    const int before = f.checkCount;
    f.pass(std::chrono::seconds(4));
    BOOST_TEST(f.checkCount - before <= 13);
}

BOOST_AUTO_TEST_CASE(lostPacketExcludesAnEndpointForMilliseconds)
{
    Fixture f;
    f.reachability.reportUnreachable(f.endpoint(1));
    BOOST_TEST(f.unreachableCount() == 1);
    f.pass(std::chrono::milliseconds(6));
    BOOST_TEST(f.unreachableCount() == 0);
}

BOOST_AUTO_TEST_CASE(removedEndpointIsNoLongerChecked)
{
    Fixture f;
    f.cut = {"10.0.0.1"};
    f.reachability.reportUnreachable(f.endpoint(1));
    f.pass(std::chrono::milliseconds(200));
    f.registry.remove(Base::EndpointId("e1"), f.clock.now());
    f.pass(std::chrono::seconds(1));
    const int before = f.checkCount;
    f.pass(std::chrono::seconds(2));
    BOOST_TEST(f.checkCount == before);
}

/// In a data centre with hundreds of engines, single ones crash all the time. If each of hundreds
/// of routers checked all engines after each crash, there would be a storm of connections.
BOOST_AUTO_TEST_CASE(crashAmongHundredsCostsFewConnections)
{
    Fixture f;
    for (int i = 0; i < 500; ++i) {
        const std::string number = std::to_string(i);
        f.registry.put(endpointAt("big" + number, "10.1.0." + number, "big"), f.clock.now());
    }
    f.cut = {"10.1.0.7"};
    f.reachability.reportUnreachable(f.registry.find(Base::EndpointId("big7")));
    f.pass(std::chrono::milliseconds(200));
    BOOST_TEST(f.checkCount <= 10);
    // The whole data centre is partitioned.
    for (int i = 0; i < 500; ++i)
        f.cut.insert("10.1.0." + std::to_string(i));
    f.reachability.reportUnreachable(f.registry.find(Base::EndpointId("big8")));
    f.pass(std::chrono::milliseconds(420));
    int unreachableCount = 0;
    for (const EndpointPtr &endpoint : f.registry.inDataCentre(Base::DataCentreId("big")))
        unreachableCount += endpoint->isUnreachable ? 1 : 0;
    BOOST_TEST(unreachableCount == 500);
}
