#define BOOST_TEST_MODULE tst_gatewayplacement
#include <boost/test/unit_test.hpp>

#include "gateway/placement.h"

#include <map>
#include <random>
#include <set>
#include <string>

using namespace Lagoonbank;
using namespace Lagoonbank::Gateway;

namespace {

const Base::ServiceId service{"service"};
const Base::MonoTime start{std::chrono::hours(1)};

struct Fixture
{
    explicit Fixture(int endpoints)
    {
        for (int i = 0; i < endpoints; ++i) {
            const std::string id = "e" + std::to_string(i);
            registry.put({.id = Base::EndpointId(id),
                          .service = service,
                          .address = {"127.0.0.1", 80},
                          .dataCentre = Base::DataCentreId(i % 2 == 0 ? "here" : "there"),
                          .slots = 6},
                         start);
        }
    }
    EndpointRecord &endpoint(int i)
    {
        return *registry.find(Base::EndpointId("e" + std::to_string(i)));
    }
    PlacementResult choose(std::uint64_t affinity)
    {
        return placement.choose({.service = service,
                                 .affinity = affinity,
                                 .targetLatency = std::chrono::milliseconds(300),
                                 .maxEventGap = std::chrono::milliseconds(250)},
                                registry, now);
    }
    PlacementResult chooseService(bool mayRepeat = false)
    {
        return placement.choose({.service = service, .mayRepeat = mayRepeat}, registry, now);
    }

    EndpointRegistry registry{{.suspicion = {.unreachableToSuspect = 1,
                                             .initialBackoff = std::chrono::milliseconds(500)}}};
    Placement placement{{}};
    Base::MonoTime now = start;
};

} // namespace

BOOST_AUTO_TEST_CASE(allRoutersSendAPromptToItsHome)
{
    Fixture one(9);
    Fixture other(9);
    std::set<std::string> recordUse;
    for (std::uint64_t prompt = 1; prompt <= 200; ++prompt) {
        const PlacementResult result = one.choose(prompt * 7919);
        BOOST_TEST(result.endpoint->info.id == other.choose(prompt * 7919).endpoint->info.id);
        BOOST_TEST((result.reason == PlacementReason::Home));
        recordUse.insert(result.endpoint->info.id.value());
    }
    BOOST_TEST(recordUse.size() == 9U);
}

BOOST_AUTO_TEST_CASE(removingAnEndpointMovesOnlyItsPrompts)
{
    Fixture f(9);
    std::map<std::uint64_t, std::string> before;
    for (std::uint64_t prompt = 1; prompt <= 200; ++prompt)
        before[prompt] = f.choose(prompt * 7919).endpoint->info.id.value();
    f.registry.remove(Base::EndpointId("e3"), f.now);
    for (const auto &[prompt, home] : before) {
        if (home != "e3")
            BOOST_TEST(f.choose(prompt * 7919).endpoint->info.id.value() == home);
    }
}

/// Hot key: a quarter of the requests share one prompt, which would overload its home. The load
/// bound of the fleet is 2 times the mean load plus 3.
BOOST_AUTO_TEST_CASE(hotPromptDoesNotOverloadItsHome)
{
    Fixture f(9);
    for (int i = 0; i < 9; ++i)
        f.endpoint(i).info.slots = 100; // Slots for all 400 requests, which never end.
    std::mt19937_64 random(1);
    double maxExcess = 0;
    for (int i = 0; i < 400; ++i) {
        const bool isHot = random() % 4 == 0;
        const PlacementResult result = f.choose(isHot ? 42 : random());
        f.registry.requestSent(*result.endpoint, f.now);
        double sum = 0;
        double maximum = 0;
        for (int e = 0; e < 9; ++e) {
            sum += f.endpoint(e).inFlight;
            maximum = std::max<double>(maximum, f.endpoint(e).inFlight);
        }
        maxExcess = std::max(maxExcess, maximum - (2 * sum / 9 + 3));
    }
    BOOST_TEST(maxExcess <= 0);
}

/// An engine takes five times as long for each step. New streams avoid it until its latency
/// measurements have decayed.
BOOST_AUTO_TEST_CASE(slowHomeIsAvoidedAndRetriedLater)
{
    Fixture f(4);
    const EndpointPtr home = f.choose(42).endpoint;
    for (int i = 0; i < 10; ++i) {
        for (int e = 0; e < 4; ++e) {
            const bool isHome = &f.endpoint(e) == home.get();
            f.endpoint(e).pause.add(isHome ? 0.24 : 0.03, f.now);
        }
    }
    const PlacementResult away = f.choose(42);
    BOOST_TEST((away.endpoint != home));
    BOOST_TEST((away.reason == PlacementReason::HomeSlow));
    f.now += std::chrono::seconds(15);
    BOOST_TEST((f.choose(42).endpoint == home));
}

/// Among many routers, each sees a chat rarely, while engines join, leave and are busy. A router
/// that sees a chat for the first time finds the holder of its prompt from the rendezvous-hash
/// order.
BOOST_AUTO_TEST_CASE(cacheSourceIsThePreviousHome)
{
    Fixture f(6);
    f.now += std::chrono::seconds(60);
    const EndpointPtr home = f.choose(42).endpoint;
    BOOST_TEST(!f.choose(42).cacheSource);
    // The home is draining, and its cache can still be copied.
    Fleet::Endpoint draining = home->info;
    draining.state = Fleet::EndpointState::Draining;
    f.registry.put(draining, f.now);
    const PlacementResult next = f.choose(42);
    BOOST_TEST((next.endpoint != home));
    BOOST_TEST((next.cacheSource == home));
    // The home is removed, and a new endpoint becomes the home.
    f.registry.remove(home->info.id, f.now);
    const EndpointPtr second = f.choose(42).endpoint;
    BOOST_TEST(!f.choose(42).cacheSource);
    for (int i = 6; i < 40; ++i) {
        f.registry.put(
            {.id = Base::EndpointId("e" + std::to_string(i)), .service = service, .slots = 6},
            f.now);
    }
    const PlacementResult moved = f.choose(42);
    BOOST_REQUIRE((moved.endpoint != second));
    BOOST_TEST((moved.cacheSource == second));
    f.now += std::chrono::seconds(13);
    BOOST_TEST(!f.choose(42).cacheSource);
}

BOOST_AUTO_TEST_CASE(drainingAndTriedEndpointsAreExcluded)
{
    Fixture f(2);
    Fleet::Endpoint draining = f.endpoint(0).info;
    draining.state = Fleet::EndpointState::Draining;
    f.registry.put(draining, f.now);
    BOOST_TEST(f.choose(1).endpoint->info.id.value() == "e1");
    const PlacementResult none =
        f.placement.choose({.service = service,
                            .affinity = 1,
                            .triedEndpoints = {f.registry.find(Base::EndpointId("e1"))}},
                           f.registry, f.now);
    BOOST_TEST(!none.endpoint);
}

BOOST_AUTO_TEST_CASE(endpointIsExcludedBrieflyAfterRefusingAsFull)
{
    Fixture f(2);
    f.endpoint(0).fullUntil = f.now + std::chrono::milliseconds(150);
    BOOST_TEST(f.chooseService().endpoint->info.id.value() == "e1");
    f.endpoint(1).fullUntil = f.now + std::chrono::milliseconds(150);
    BOOST_TEST(f.chooseService().endpoint != nullptr);
    f.now += std::chrono::milliseconds(150);
    BOOST_TEST(f.chooseService().endpoint->info.id.value() == "e0");
}

BOOST_AUTO_TEST_CASE(onlyRepeatableRequestsTrySuspectedEndpoints)
{
    Fixture f(2);
    f.registry.suspicion().noteResult(f.endpoint(0).index, Routing::ExchangeResult::Unreachable,
                                      f.now);
    BOOST_TEST(f.chooseService(true).endpoint->info.id.value() == "e1");
    f.now += std::chrono::seconds(1);
    BOOST_TEST(f.chooseService(false).endpoint->info.id.value() == "e1");
    const PlacementResult trial = f.chooseService(true);
    BOOST_TEST(trial.endpoint->info.id.value() == "e0");
    BOOST_TEST((trial.reason == PlacementReason::Trial));
    BOOST_TEST(f.chooseService(true).endpoint->info.id.value() == "e1");
}

BOOST_AUTO_TEST_CASE(lastResortIsTheEndpointSuspectedLongest)
{
    Fixture f(2);
    f.registry.suspicion().noteResult(f.endpoint(1).index, Routing::ExchangeResult::Unreachable,
                                      f.now);
    f.registry.suspicion().noteResult(f.endpoint(0).index, Routing::ExchangeResult::Unreachable,
                                      f.now + std::chrono::milliseconds(10));
    const PlacementResult result = f.chooseService();
    BOOST_TEST(result.endpoint->info.id.value() == "e1");
    BOOST_TEST((result.reason == PlacementReason::LastResort));
}

/// The network latency to another data centre is part of the measured latency of its endpoints.
BOOST_AUTO_TEST_CASE(servicesPreferNearEndpointsUntilTheyAreFull)
{
    Fixture f(2);
    f.endpoint(0).latency.add(0.03, f.now);
    f.endpoint(1).latency.add(0.042, f.now);
    BOOST_TEST(f.chooseService().endpoint->info.id.value() == "e0");
    for (int i = 0; i < 12; ++i)
        f.registry.requestSent(f.endpoint(0), f.now);
    BOOST_TEST(f.chooseService().endpoint->info.id.value() == "e1");
}

/// All endpoints are new and one prompt is hot. The busy home holds the prompt although it is new,
/// as requests with this prompt caused its load.
BOOST_AUTO_TEST_CASE(busyHomeIsACacheSourceEvenIfNew)
{
    Fixture f(6);
    const EndpointPtr home = f.choose(42).endpoint;
    for (int i = 0; i < 20; ++i)
        f.registry.requestSent(*home, f.now);
    const PlacementResult away = f.choose(42);
    BOOST_TEST((away.reason == PlacementReason::HomeBusy));
    BOOST_TEST((away.cacheSource == home));
}

/// A data centre without endpoints of a service is partitioned from the others. Reachability
/// detects recovered endpoints within 300 ms; until then requests fail immediately.
BOOST_AUTO_TEST_CASE(unreachableEndpointsAreNoLastResort)
{
    Fixture f(3);
    for (int i = 0; i < 3; ++i)
        f.endpoint(i).isUnreachable = true;
    BOOST_TEST(!f.chooseService().endpoint);
    f.endpoint(1).isUnreachable = false;
    f.registry.suspicion().suspect(f.endpoint(1).index, f.now);
    BOOST_TEST((f.chooseService().endpoint->info.id == Base::EndpointId("e1")));
}

/// In a large fleet, all routers receive the load of a home about a second late.
BOOST_AUTO_TEST_CASE(requestsOverflowGraduallyInALargeFleet)
{
    Fixture f(60);
    f.registry.setRouterCount(80);
    const auto overflow = [&](int load, int tokens) {
        const auto choose = [&](std::uint64_t request) {
            return f.placement.choose({.service = service,
                                       .affinity = 42,
                                       .sharedTokens = Base::Tokens(tokens),
                                       .requestHash = request},
                                      f.registry, f.now);
        };
        f.registry.mergeAverageLoad(service, 4, f.now);
        const EndpointPtr home =
            f.placement.choose({.service = service, .affinity = 42}, f.registry, f.now).endpoint;
        f.registry.loadReported(*home, {.running = load, .waiting = 0, .slots = 20}, f.now);
        int awayFromHome = 0;
        for (std::uint64_t request = 0; request < 1024; ++request)
            awayFromHome += choose(request).endpoint != home ? 1 : 0;
        f.registry.loadReported(*home, {.running = 0, .waiting = 0, .slots = 20}, f.now);
        return awayFromHome;
    };
    constexpr int shortPrompt = 700;
    constexpr int longPrompt = 10000;
    BOOST_TEST(overflow(3, shortPrompt) == 0);
    BOOST_TEST(overflow(6, shortPrompt) > 200);
    BOOST_TEST(overflow(6, longPrompt) < overflow(6, shortPrompt));
    BOOST_TEST(overflow(8, longPrompt) > 200);
    BOOST_TEST(overflow(8, longPrompt) < 1024);
    BOOST_TEST(overflow(10, longPrompt) == 1024);
    f.registry.setRouterCount(8);
    BOOST_TEST(overflow(8, shortPrompt) == 0);
}

/// One prompt is requested far more often than others in a large fleet, whose routers receive the
/// load of its home late.
BOOST_AUTO_TEST_CASE(overflowIsSpreadInProportionToTheExcess)
{
    Fixture f(60);
    f.registry.setRouterCount(80);
    const auto choose = [&](std::uint64_t request) {
        f.registry.mergeAverageLoad(service, 4, f.now);
        return f.placement.choose({.service = service,
                                   .affinity = 42,
                                   .sharedTokens = Base::Tokens(10000),
                                   .requestHash = request},
                                  f.registry, f.now);
    };
    const EndpointPtr home = choose(1).endpoint;
    constexpr std::uint64_t requests = 1U << 20U;
    constexpr std::uint64_t step = 1021; // Samples the whole range of the hash.
    const auto targets = [&](int load) {
        f.registry.loadReported(*home, {.running = load, .slots = 60}, f.now);
        std::map<std::string, int> found;
        for (std::uint64_t request = 0; request < requests; request += step)
            ++found[choose(request).endpoint->info.id.value()];
        return found;
    };
    const auto few = targets(10);
    const auto many = targets(30);
    BOOST_TEST(few.count(home->info.id.value()) == 0U);
    BOOST_TEST(few.size() > 1U);
    BOOST_TEST(few.size() < many.size());
    BOOST_TEST(many.size() == 16U);
    int maximum = 0;
    for (const auto &[endpoint, count] : many)
        maximum = std::max(maximum, count);
    BOOST_TEST(maximum < static_cast<int>(requests / step) / 8);
    // Routers of a small fleet get reports early enough to prefill the prompt at one more endpoint.
    f.registry.setRouterCount(8);
    BOOST_TEST(targets(30).size() == 1U);
}

BOOST_AUTO_TEST_CASE(overflowWithFewEndpointsStillFindsOne)
{
    Fixture f(3);
    f.registry.setRouterCount(80);
    const auto choose = [&](std::uint64_t request) {
        f.registry.mergeAverageLoad(service, 4, f.now);
        return f.placement.choose({.service = service, .affinity = 42, .requestHash = request},
                                  f.registry, f.now);
    };
    const EndpointPtr home = choose(1).endpoint;
    f.registry.loadReported(*home, {.running = 50, .slots = 60}, f.now);
    for (std::uint64_t request = 0; request < 100'000; request += 997) {
        const PlacementResult result = choose(request);
        BOOST_TEST(result.endpoint != home);
        BOOST_TEST((result.reason == PlacementReason::HomeBusy));
    }
}

namespace {

struct HolderFixture : Fixture
{
    explicit HolderFixture(int endpoints = 4)
        : Fixture(endpoints)
    { }
    PlacementResult choose(std::uint64_t prompt = 42, int tokens = 10000, std::uint64_t request = 0)
    {
        return placement.choose({.service = service,
                                 .affinity = prompt,
                                 .sharedTokens = Base::Tokens(tokens),
                                 .prompts = &prompts,
                                 .memory = Base::Tokens(40000),
                                 .requestHash = request,
                                 .targetLatency = std::chrono::milliseconds(300)},
                                registry, now);
    }
    void hold(const EndpointRecord &endpoint, std::uint64_t prompt = 42, int tokens = 10000)
    {
        prompts.mergeHolding({.prompt = {.hash = prompt, .tokens = Base::Tokens(tokens)},
                              .endpoint = endpoint.startHash,
                              .memory = Base::Tokens(40000)},
                             now);
    }
    EndpointRecord &otherThanHome() { return other(*choose().endpoint); }
    EndpointRecord &other(const EndpointRecord &one)
    {
        return endpoint(one.info.id.value() == "e0" ? 1 : 0);
    }

    PromptDirectory prompts{{}};
};

} // namespace

/// When engines are added or restart, some prompts get another home.
BOOST_AUTO_TEST_CASE(promptStaysAtItsHolderWithinTheLoadBound)
{
    HolderFixture f;
    EndpointRecord &holder = f.otherThanHome();
    f.hold(holder);
    const PlacementResult held = f.choose();
    BOOST_TEST((held.endpoint.get() == &holder));
    BOOST_TEST((held.reason == PlacementReason::Holder));
    for (int i = 0; i < 8; ++i)
        f.registry.requestSent(holder, f.now);
    BOOST_TEST((f.choose().endpoint.get() != &holder));
}

BOOST_AUTO_TEST_CASE(drainingHolderIsNotChosen)
{
    HolderFixture f;
    EndpointRecord &holder = f.otherThanHome();
    f.hold(holder);
    holder.info.state = Fleet::EndpointState::Draining;
    BOOST_TEST((f.choose().endpoint.get() != &holder));
}

/// The prompts whose home is one engine exceed its memory, while other engines have memory left.
BOOST_AUTO_TEST_CASE(promptLeavesAHomeWithoutMemoryForIt)
{
    HolderFixture f;
    const EndpointPtr home = f.choose().endpoint;
    f.hold(*home, 7, 25000);
    const PlacementResult away = f.choose();
    BOOST_TEST((away.endpoint != home));
    BOOST_TEST((away.reason == PlacementReason::HomeFilled));
    // A prompt that the home holds already stays there.
    BOOST_TEST((f.choose(7, 25000).endpoint == home));
    // If no endpoint has memory left, the home is chosen.
    for (int i = 0; i < 4; ++i)
        f.hold(f.endpoint(i), 8, 30000);
    BOOST_TEST((f.choose().endpoint == home));
}

namespace {

/// A few dozen routers, which know the holders of a prompt but receive their loads late.
struct HeldHomeFixture : HolderFixture
{
    explicit HeldHomeFixture(int load)
        : HolderFixture(60)
    {
        registry.setRouterCount(22);
        registry.mergeAverageLoad(service, 4, now);
        home = HolderFixture::choose().endpoint;
        hold(*home);
        registry.loadReported(*home, {.running = load, .slots = 60}, now);
    }
    EndpointPtr choose(std::uint64_t request)
    {
        registry.mergeAverageLoad(service, 4, now);
        return HolderFixture::choose(42, 10000, request).endpoint;
    }

    /// All endpoints that requests with the prompt are sent to.
    std::set<EndpointPtr> targets()
    {
        std::set<EndpointPtr> found;
        for (std::uint64_t request = 0; request < (1U << 20U); request += 1021)
            found.insert(choose(request));
        return found;
    }

    EndpointPtr home;
};

} // namespace

BOOST_AUTO_TEST_CASE(overflowDoesNotAllGoToTheNextHolder)
{
    HeldHomeFixture f(30);
    f.hold(f.other(*f.home));
    const std::set<EndpointPtr> targets = f.targets();
    BOOST_TEST(targets.count(f.home) == 0U);
    BOOST_TEST(targets.size() > 8U);
}

/// The home has no free slot, so that it is not a candidate.
BOOST_AUTO_TEST_CASE(overflowOfAHomeWithoutFreeSlotsIsSpread)
{
    HeldHomeFixture f(60);
    const std::set<EndpointPtr> targets = f.targets();
    BOOST_TEST(targets.count(f.home) == 0U);
    BOOST_TEST(targets.size() > 8U);
}

BOOST_AUTO_TEST_CASE(heldPromptOverflowsGradually)
{
    HeldHomeFixture f(8);
    int awayFromHome = 0;
    constexpr int requests = 1024;
    for (std::uint64_t request = 0; request < requests; ++request)
        awayFromHome += f.choose(request) != f.home ? 1 : 0;
    BOOST_TEST(awayFromHome > requests / 5);
    BOOST_TEST(awayFromHome < requests);
}
