/// Engines that are cold bear few requests, and hundreds of routers have to keep to that together
/// without a word between them.
#define BOOST_TEST_MODULE tst_warmupquota
#include <boost/test/unit_test.hpp>

#include "gateway/placement.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <vector>

using namespace Lagoonbank;
using namespace Lagoonbank::Gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Base::ServiceId service{"service"};
const Base::MonoTime start{std::chrono::hours(1)};

/// As the users' engines: cold for 3 s, 18 requests a second.
constexpr double sustainableRate = 18;
/// What the users allow in any second: so many times that, and so many more.
constexpr double excess = 1.5;
constexpr double slack = 5;
constexpr double most = excess * sustainableRate + slack;

std::string routerName(int number)
{
    return "router-" + std::to_string(number);
}

/// Routers before one cold endpoint that all send as often as they may.
struct RouterFleet
{
    explicit RouterFleet(int routers)
        : quotas(static_cast<std::size_t>(routers), WarmupQuota({}))
        , records(static_cast<std::size_t>(routers))
    {
        for (int i = 0; i < routers; ++i)
            know(i, routers, true);
    }
    /// The router knows the first \a known ones and itself.
    void know(int router, int known, bool isComplete)
    {
        WarmupQuota::Fleet fleet{.self = routerName(router), .isComplete = isComplete};
        for (int i = 0; i < known; ++i) {
            if (i != router)
                fleet.others.push_back(routerName(i));
        }
        quotas[static_cast<std::size_t>(router)].setFleet(std::move(fleet));
    }
    /// Requests in the worst second.
    std::size_t worstSecond(std::uint64_t endpoint, Base::Duration duration = seconds(3))
    {
        std::size_t worst = 0;
        std::deque<Base::MonoTime> sends;
        std::mt19937_64 random(endpoint);
        for (Base::MonoTime now = start; now < start + duration; now += milliseconds(1)) {
            // Each looks when one of its callers asks, some hundred times a second.
            for (std::size_t i = 0; i < quotas.size(); ++i) {
                if (random() % 4 != 0
                    || !quotas[i].admits(records[i], endpoint, sustainableRate, now))
                    continue;
                quotas[i].recordSend(records[i], now);
                sends.push_back(now);
            }
            while (!sends.empty() && now - sends.front() >= seconds(1))
                sends.pop_front();
            worst = std::max(worst, sends.size());
        }
        return worst;
    }

    std::vector<WarmupQuota> quotas;
    std::vector<WarmupRecord> records;
};

struct PlacementFixture
{
    PlacementFixture()
    {
        for (int i = 0; i < endpoints; ++i)
            registry.put(endpoint(i, false), now);
        registry.setServices(
            {{.name = service,
              .warmup = {.time = seconds(3), .requestsPerSecond = sustainableRate}}});
        registry.setFleet({.self = routerName(0), .isComplete = true});
    }
    static Lagoonbank::Fleet::Endpoint endpoint(int i, bool isWarmingUp)
    {
        Lagoonbank::Fleet::Endpoint one{.id = Base::EndpointId("e" + std::to_string(i)),
                                        .service = service};
        one.address = {"127.0.0.1", 80};
        one.dataCentre = Base::DataCentreId("here");
        one.slots = 100;
        one.isWarmingUp = isWarmingUp;
        return one;
    }
    EndpointRecord &record(int i)
    {
        return *registry.find(Base::EndpointId("e" + std::to_string(i)));
    }
    /// Requests of so many prompts that go to the endpoint at this moment.
    int chosen(int endpoint, int prompts)
    {
        int count = 0;
        for (int prompt = 1; prompt <= prompts; ++prompt) {
            const PlacementResult place =
                placement.choose({.service = service,
                                  .affinity = static_cast<std::uint64_t>(prompt) * 7919,
                                  .mayRepeat = true},
                                 registry, now);
            if (place.endpoint.get() != &record(endpoint))
                continue;
            registry.requestSent(*place.endpoint, now);
            registry.requestEnded(*place.endpoint);
            ++count;
        }
        return count;
    }

    static constexpr int endpoints = 4;
    Base::MonoTime now = start;
    EndpointRegistry registry{{}};
    Placement placement{{}};
};

} // namespace

BOOST_AUTO_TEST_CASE(fleetsOfAnySizeKeepTheSustainableRate)
{
    for (const int routers : {1, 6, 17, 18, 19, 24, 85, 300}) {
        RouterFleet fleet(routers);
        for (std::uint64_t endpoint = 1; endpoint <= 20; ++endpoint) {
            const std::size_t worst = fleet.worstSecond(endpoint * 7919);
            BOOST_TEST_CONTEXT(routers << " routers")
            {
                BOOST_TEST(worst <= sustainableRate);
                BOOST_TEST(worst >= sustainableRate * 0.9);
            }
            fleet.records.assign(fleet.records.size(), {});
        }
    }
}

/// Pattern: routers that started together know a part of the fleet only, and some know nobody.
BOOST_AUTO_TEST_CASE(partlyKnownFleetStaysWithinTheBound)
{
    RouterFleet fleet(85);
    for (int i = 0; i < 20; ++i)
        fleet.know(i, 26 + 3 * i, true);
    for (int i = 20; i < 30; ++i)
        fleet.know(i, i % 5, false);
    for (std::uint64_t endpoint = 1; endpoint <= 50; ++endpoint) {
        BOOST_TEST(fleet.worstSecond(endpoint * 7919) <= most);
        fleet.records.assign(fleet.records.size(), {});
    }
}

/// Pattern: a quarter of the routers have come lately; those that were there do not know of them.
BOOST_AUTO_TEST_CASE(joiningRoutersStayWithinTheBound)
{
    for (const int routers : {8, 32, 100, 300}) {
        RouterFleet fleet(routers);
        for (int i = 0; i < routers * 4 / 5; ++i)
            fleet.know(i, routers * 4 / 5, true);
        for (std::uint64_t endpoint = 1; endpoint <= 50; ++endpoint) {
            BOOST_TEST(fleet.worstSecond(endpoint * 7919) <= most);
            fleet.records.assign(fleet.records.size(), {});
        }
    }
}

/// Pattern: all routers have been killed and the store is away, so that none knows any other.
BOOST_AUTO_TEST_CASE(unknownFleetStaysWithinTheBound)
{
    for (const int routers : {24, 85, 300}) {
        RouterFleet fleet(routers);
        for (int i = 0; i < routers; ++i)
            fleet.know(i, 0, false);
        for (std::uint64_t endpoint = 1; endpoint <= 50; ++endpoint) {
            BOOST_TEST(fleet.worstSecond(endpoint * 7919) <= most);
            fleet.records.assign(fleet.records.size(), {});
        }
    }
}

/// Pattern: all engines have started again. Each router finds some that it may send to.
BOOST_AUTO_TEST_CASE(eachRouterMaySendIfAllEndpointsAreCold)
{
    constexpr int endpoints = 60;
    RouterFleet fleet(85);
    for (std::size_t router = 0; router < fleet.quotas.size(); ++router) {
        int admitted = 0;
        for (std::uint64_t endpoint = 1; endpoint <= endpoints; ++endpoint) {
            WarmupRecord record;
            admitted += fleet.quotas[router].admits(record, endpoint * 7919, sustainableRate, start)
                ? 1
                : 0;
        }
        BOOST_TEST(admitted >= 4);
    }
}

BOOST_AUTO_TEST_CASE(coldEndpointGetsOnlyTheSustainableRate)
{
    PlacementFixture f;
    BOOST_TEST(f.chosen(2, 200) > 25);
    f.registry.remove(Base::EndpointId("e2"));
    f.registry.put(PlacementFixture::endpoint(2, true), f.now);
    BOOST_TEST(f.chosen(2, 200) == 18);
    BOOST_TEST(f.chosen(2, 200) == 0);
    f.now += milliseconds(1100);
    BOOST_TEST(f.chosen(2, 200) == 18);
    f.now += seconds(2);
    BOOST_TEST(f.chosen(2, 200) > 25);
}

BOOST_AUTO_TEST_CASE(secondWarmUpIsLimitedAgain)
{
    PlacementFixture f;
    f.registry.put(PlacementFixture::endpoint(1, true), f.now);
    BOOST_TEST(f.chosen(1, 200) == 18);
    f.now += seconds(4);
    f.registry.put(PlacementFixture::endpoint(1, false), f.now);
    BOOST_TEST(f.chosen(1, 200) > 25);
    f.registry.put(PlacementFixture::endpoint(1, true), f.now);
    BOOST_TEST(f.chosen(1, 200) == 18);
}

/// Its engines may have become cold while nothing was sent there.
BOOST_AUTO_TEST_CASE(endpointsAreLimitedAfterADrain)
{
    PlacementFixture f;
    f.registry.setDrainedDataCentres({Base::DataCentreId("here")}, f.now);
    f.now += seconds(10);
    f.registry.setDrainedDataCentres({}, f.now);
    for (int i = 0; i < PlacementFixture::endpoints; ++i)
        BOOST_TEST(f.chosen(i, 400) == 18);
}

/// Pattern: an engine crashed and is back, and every router wants to know.
BOOST_AUTO_TEST_CASE(trialsCountAgainstTheQuota)
{
    PlacementFixture f;
    f.registry.put(PlacementFixture::endpoint(1, true), f.now);
    BOOST_TEST(f.chosen(1, 200) == 18);
    f.registry.suspicion().suspect(f.record(1).index, f.now);
    f.now += milliseconds(1000);
    BOOST_TEST(f.chosen(1, 200) == 0);
}

/// Where all are suspected, the last resort is none that is cold and has had its part.
BOOST_AUTO_TEST_CASE(coldEndpointWithoutQuotaIsNoLastResort)
{
    PlacementFixture f;
    f.registry.put(PlacementFixture::endpoint(1, true), f.now);
    BOOST_TEST(f.chosen(1, 200) == 18);
    for (int i = 0; i < PlacementFixture::endpoints; ++i) {
        f.registry.suspicion().suspect(f.record(i).index, f.now);
        f.record(i).isUnreachable = i != 1;
    }
    BOOST_TEST(f.chosen(1, 20) == 0);
}
