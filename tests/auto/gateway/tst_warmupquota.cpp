/// Cold engines sustain a low request rate, which hundreds of routers have to respect together
/// without communicating.
#define BOOST_TEST_MODULE tst_warmupquota
#include <boost/test/unit_test.hpp>

#include "gateway/placement.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
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

/// The users' engines are cold for 3 s and sustain 18 requests a second in this time.
constexpr double sustainableRate = 18;
/// The users allow `sustainableRateFactor` times the sustainable rate plus `extraRequestsPerSecond`
/// requests in any second.
constexpr double sustainableRateFactor = 1.5;
constexpr double extraRequestsPerSecond = 5;
constexpr double maxRequestsPerSecond =
    sustainableRateFactor * sustainableRate + extraRequestsPerSecond;

std::string routerName(int number)
{
    return "router-" + std::to_string(number);
}

/// Routers that all send to one cold endpoint as often as their quota admits.
struct RouterFleet
{
    explicit RouterFleet(int routers)
        : quotas(static_cast<std::size_t>(routers), WarmupQuota({}))
        , records(static_cast<std::size_t>(routers))
    {
        for (int i = 0; i < routers; ++i)
            setKnownFleet(i, routers, true);
    }
    /// Makes the router know itself and the first \a known routers.
    void setKnownFleet(int router, int known, bool isComplete)
    {
        WarmupQuota::Fleet fleet{.self = routerName(router), .isComplete = isComplete};
        for (int i = 0; i < known; ++i) {
            if (i != router)
                fleet.others.push_back(routerName(i));
        }
        quotas[static_cast<std::size_t>(router)].setFleet(std::move(fleet));
    }
    /// Replaces the processes of all routers.
    void restart(Base::MonoTime now)
    {
        for (WarmupQuota &quota : quotas)
            quota = WarmupQuota({.startedAt = now});
        records.assign(records.size(), {});
        for (int i = 0; i < static_cast<int>(quotas.size()); ++i)
            setKnownFleet(i, static_cast<int>(quotas.size()), true);
    }
    /// Whether the router sends the endpoint, which is not known to be cold yet, a request in this
    /// millisecond. Requests come evenly spaced and from each router in turn.
    bool sendsAsToWarm(std::size_t router, Base::MonoTime now) const
    {
        const auto millisecond = Base::toMilliseconds(now - start);
        const auto count = millisecond * warmRate / 1000;
        return count != (millisecond - 1) * warmRate / 1000
            && static_cast<std::size_t>(count) % quotas.size() == router;
    }
    /// Sends the endpoint a request if the router may and has one. Each router has a few hundred
    /// requests a second from its callers.
    bool send(std::size_t router, std::uint64_t endpoint, std::mt19937_64 &random,
              Base::MonoTime now)
    {
        if (now < start + knownAfter)
            return sendsAsToWarm(router, now);
        if (warmRate > 0 && now == start + knownAfter)
            quotas[router].pause(records[router], now);
        if (random() % 4 != 0
            || !quotas[router].admits(records[router], endpoint, sustainableRate, now))
            return false;
        quotas[router].recordSend(records[router], now);
        return true;
    }
    /// Maximum number of requests in any second.
    std::size_t maxRequestsInOneSecond(std::uint64_t endpoint, Base::Duration duration = seconds(3))
    {
        std::size_t maxRequests = 0;
        std::deque<Base::MonoTime> sent;
        std::mt19937_64 random(endpoint);
        for (Base::MonoTime now = start; now < start + duration; now += milliseconds(1)) {
            if (restartInterval && now > start
                && (now - start) % *restartInterval == Base::Duration())
                restart(now);
            for (std::size_t i = 0; i < quotas.size(); ++i) {
                if (send(i, endpoint, random, now))
                    sent.push_back(now);
            }
            while (!sent.empty() && now - sent.front() >= seconds(1))
                sent.pop_front();
            maxRequests = std::max(maxRequests, sent.size());
        }
        return maxRequests;
    }

    std::vector<WarmupQuota> quotas;
    std::vector<WarmupRecord> records;
    std::optional<Base::Duration> restartInterval; ///< Time between two calls of restart().
    /// Requests per second that the endpoint gets until the routers learn that it is cold; 0 if it
    /// was not in service before.
    std::int64_t warmRate = 0;
    Base::Duration knownAfter{}; ///< Time from when it became cold until the routers learn that.
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
    /// Replaces the endpoint's process.
    void restart(int i)
    {
        registry.remove(Base::EndpointId("e" + std::to_string(i)), now);
        registry.put(endpoint(i, true), now);
    }
    EndpointRecord &record(int i)
    {
        return *registry.find(Base::EndpointId("e" + std::to_string(i)));
    }
    /// Number of requests, one for each of \a prompts prompts, that are sent to the endpoint now.
    int chosen(int endpoint, int prompts)
    {
        int count = 0;
        for (int prompt = 1; prompt <= prompts; ++prompt) {
            const PlacementResult result =
                placement.choose({.service = service,
                                  .affinity = static_cast<std::uint64_t>(prompt) * 7919,
                                  .mayRepeat = true},
                                 registry, now);
            if (result.endpoint.get() != &record(endpoint))
                continue;
            registry.requestSent(*result.endpoint, now);
            registry.requestEnded(*result.endpoint);
            ++count;
        }
        return count;
    }

    static constexpr int endpoints = 4;
    Base::MonoTime now = start;
    std::optional<Base::Duration> stateAge; ///< Age of the entries.
    std::optional<Base::MonoTime> outdatedSince; ///< End of a suspension.
    EndpointRegistry registry{{.stateAge = [this] { return stateAge; },
                               .outdatedSince = [this](Base::MonoTime) { return outdatedSince; }}};
    Placement placement{{}};
};

} // namespace

BOOST_AUTO_TEST_CASE(fleetsOfAnySizeKeepTheSustainableRate)
{
    for (const int routers : {1, 6, 17, 18, 19, 24, 85, 300}) {
        RouterFleet fleet(routers);
        for (std::uint64_t endpoint = 1; endpoint <= 20; ++endpoint) {
            const std::size_t maxRequests = fleet.maxRequestsInOneSecond(endpoint * 7919);
            BOOST_TEST_CONTEXT(routers << " routers")
            {
                BOOST_TEST(maxRequests <= sustainableRate);
                BOOST_TEST(maxRequests >= sustainableRate * 0.9);
            }
            fleet.records.assign(fleet.records.size(), {});
        }
    }
}

/// Routers that started at the same time know only a part of the fleet, and some know no peer.
BOOST_AUTO_TEST_CASE(partlyKnownFleetStaysWithinTheBound)
{
    RouterFleet fleet(85);
    for (int i = 0; i < 20; ++i)
        fleet.setKnownFleet(i, 26 + 3 * i, true);
    for (int i = 20; i < 30; ++i)
        fleet.setKnownFleet(i, i % 5, false);
    for (std::uint64_t endpoint = 1; endpoint <= 50; ++endpoint) {
        BOOST_TEST(fleet.maxRequestsInOneSecond(endpoint * 7919) <= maxRequestsPerSecond);
        fleet.records.assign(fleet.records.size(), {});
    }
}

/// A quarter of the routers joined recently and are unknown to the others.
BOOST_AUTO_TEST_CASE(joiningRoutersStayWithinTheBound)
{
    for (const int routers : {8, 32, 100, 300}) {
        RouterFleet fleet(routers);
        for (int i = 0; i < routers * 4 / 5; ++i)
            fleet.setKnownFleet(i, routers * 4 / 5, true);
        for (std::uint64_t endpoint = 1; endpoint <= 50; ++endpoint) {
            BOOST_TEST(fleet.maxRequestsInOneSecond(endpoint * 7919) <= maxRequestsPerSecond);
            fleet.records.assign(fleet.records.size(), {});
        }
    }
}

/// Guards against a fresh quota for each process: all routers are killed and started again while
/// endpoints are cold.
BOOST_AUTO_TEST_CASE(restartedRoutersStayWithinTheBound)
{
    for (const int routers : {1, 6, 24, 85}) {
        for (const int interval : {300, 700, 1200}) {
            RouterFleet fleet(routers);
            fleet.restartInterval = milliseconds(interval);
            BOOST_TEST(fleet.maxRequestsInOneSecond(7919) <= maxRequestsPerSecond,
                       routers << " routers restarted every " << interval << " ms");
        }
    }
}

/// Guards against the sum of two rates: an endpoint in service becomes cold, gets the requests of a
/// warm one until the routers learn it, and what it sustains after that.
BOOST_AUTO_TEST_CASE(endpointThatBecomesColdInServiceStaysWithinTheBound)
{
    constexpr int ratePerSecond = 40;
    for (const int routers : {1, 4, 24, 85}) {
        for (const int delayMs : {100, 400, 700}) {
            RouterFleet fleet(routers);
            fleet.warmRate = ratePerSecond;
            fleet.knownAfter = milliseconds(delayMs);
            BOOST_TEST(fleet.maxRequestsInOneSecond(7919) <= maxRequestsPerSecond,
                       routers << " routers, known after " << delayMs << " ms");
        }
    }
}

/// All routers restarted while the store is down, so that none knows any peer.
BOOST_AUTO_TEST_CASE(unknownFleetStaysWithinTheBound)
{
    for (const int routers : {24, 85, 300}) {
        RouterFleet fleet(routers);
        for (int i = 0; i < routers; ++i)
            fleet.setKnownFleet(i, 0, false);
        for (std::uint64_t endpoint = 1; endpoint <= 50; ++endpoint) {
            BOOST_TEST(fleet.maxRequestsInOneSecond(endpoint * 7919) <= maxRequestsPerSecond);
            fleet.records.assign(fleet.records.size(), {});
        }
    }
}

/// All engines restarted. Each router still has some that it may send to.
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
    f.restart(2);
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
    f.restart(1);
    BOOST_TEST(f.chosen(1, 200) == 18);
    f.now += seconds(4);
    f.registry.put(PlacementFixture::endpoint(1, false), f.now);
    BOOST_TEST(f.chosen(1, 200) > 25);
    f.registry.put(PlacementFixture::endpoint(1, true), f.now);
    BOOST_TEST(f.chosen(1, 200) == 0);
    f.now += milliseconds(1100);
    BOOST_TEST(f.chosen(1, 200) == 18);
}

/// Guards against an endpoint that is taken for warm as it became cold a second time before its
/// entry had said that the first warm-up was over.
BOOST_AUTO_TEST_CASE(endpointIsColdForAsLongAsItsEntrySaysSo)
{
    PlacementFixture f;
    f.stateAge = seconds(1);
    f.restart(1);
    BOOST_TEST(f.chosen(1, 200) == 18);
    f.now += seconds(6);
    BOOST_TEST(f.chosen(1, 200) == 18);
    f.now += milliseconds(200);
    f.registry.put(PlacementFixture::endpoint(1, false), f.now);
    BOOST_TEST(f.chosen(1, 200) > 25);
}

/// Guards against a fleet that spares its endpoints for as long as the store is down.
BOOST_AUTO_TEST_CASE(outdatedEntryCountsForTheTimeOfAWarmUp)
{
    PlacementFixture f;
    f.stateAge = seconds(10);
    f.restart(1);
    BOOST_TEST(f.chosen(1, 200) == 18);
    f.now += seconds(4);
    BOOST_TEST(f.chosen(1, 200) > 25);
}

/// The engines of a data centre may have become cold while it was drained.
BOOST_AUTO_TEST_CASE(endpointsAreLimitedAfterADrain)
{
    PlacementFixture f;
    f.registry.setDrainedDataCentres({Base::DataCentreId("here")}, f.now);
    f.now += seconds(10);
    f.registry.setDrainedDataCentres({}, f.now);
    for (int i = 0; i < PlacementFixture::endpoints; ++i)
        BOOST_TEST(f.chosen(i, 400) == 18);
}

/// Guards against requests that waited while the router was suspended and reach endpoints that
/// became cold meanwhile as if these were warm.
BOOST_AUTO_TEST_CASE(endpointsAreLimitedAfterASuspension)
{
    for (const bool isReadAgain : {true, false}) {
        PlacementFixture f;
        f.outdatedSince = f.now;
        for (int i = 0; i < PlacementFixture::endpoints; ++i)
            BOOST_TEST(f.chosen(i, 400) == 18);
        if (isReadAgain)
            f.outdatedSince.reset();
        else
            f.now += seconds(3); // The time of a warm-up.
        BOOST_TEST(f.chosen(0, 400) > 25);
    }
}

/// The entry of an endpoint says that it is cold some time after the end of the drain: nobody has
/// sent it the requests of a warm one in between.
BOOST_AUTO_TEST_CASE(knownColdEndpointIsNotPaused)
{
    PlacementFixture f;
    f.registry.setDrainedDataCentres({Base::DataCentreId("here")}, f.now);
    f.now += seconds(10);
    f.registry.setDrainedDataCentres({}, f.now);
    BOOST_TEST(f.chosen(1, 400) == 18);
    f.now += milliseconds(1100);
    f.registry.put(PlacementFixture::endpoint(1, true), f.now);
    BOOST_TEST(f.chosen(1, 400) == 18);
}

/// An engine restarted after a crash, and all routers have a trial due.
BOOST_AUTO_TEST_CASE(trialsCountAgainstTheQuota)
{
    PlacementFixture f;
    f.restart(1);
    BOOST_TEST(f.chosen(1, 200) == 18);
    f.registry.suspicion().suspect(f.record(1).index, f.now);
    f.now += milliseconds(1000);
    BOOST_TEST(f.chosen(1, 200) == 0);
}

/// If all endpoints are suspected, a cold one whose quota is used up is not chosen as last resort.
BOOST_AUTO_TEST_CASE(coldEndpointWithoutQuotaIsNoLastResort)
{
    PlacementFixture f;
    f.restart(1);
    BOOST_TEST(f.chosen(1, 200) == 18);
    for (int i = 0; i < PlacementFixture::endpoints; ++i) {
        f.registry.suspicion().suspect(f.record(i).index, f.now);
        f.record(i).isUnreachable = i != 1;
    }
    BOOST_TEST(f.chosen(1, 20) == 0);
}
