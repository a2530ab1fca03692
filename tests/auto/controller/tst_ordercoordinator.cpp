#define BOOST_TEST_MODULE OrderCoordinator
#include <boost/test/unit_test.hpp>

#include "controller/ordercoordinator.h"
#include "fakeengines.h"
#include "routing/rendezvous.h"

using namespace Lagoonbank;
using namespace Lagoonbank::Controller;
using Base::operator""ms;
using Base::operator""s;
using std::chrono_literals::operator""min;

namespace {

constexpr std::uint16_t firstPort = 1000;
constexpr int engineCount = 3;

/// An order coordinator with three engines of one model and a lease that the test controls.
struct Bench
{
    Bench()
    {
        for (int i = 0; i < engineCount; ++i) {
            targets.push_back({.endpoint = Base::EndpointId("e" + std::to_string(i)),
                               .address = {"10.0.0.1", port(i)},
                               .checksFencing = true,
                               .model = Base::ModelId("m"),
                               .desired = {.model = "m", .version = "v1", .draining = false},
                               .revision = Base::Revision(1)});
        }
        coordinator.orderDone = [this](const OrderTarget &) { ++finishedOrders; };
        coordinator.orderRefused = [this](const OrderTarget &, int status) {
            refusals.push_back(status);
        };
        coordinator.cacheMoved = [this](const OrderTarget &, const CacheMover::MoveResult &moved) {
            movedChats += moved.chats;
        };
        coordinator.start();
    }
    static std::uint16_t port(int engine) { return static_cast<std::uint16_t>(firstPort + engine); }
    FakeEngines::Engine &engine(int i) { return engines[port(i)]; }

    void set(int engine, const Orders::EndpointSettings &desired)
    {
        targets[static_cast<std::size_t>(engine)].desired = desired;
        targets[static_cast<std::size_t>(engine)].revision += Base::Revision(1);
        coordinator.setTargets(targets);
    }
    void step()
    {
        clock.advance(50ms);
        timers.runDue();
    }
    void run(Base::Duration duration)
    {
        for (Base::Duration elapsed{}; elapsed < duration; elapsed += 50ms) {
            step();
            engines.deliver();
        }
    }

    Runtime::ManualClock clock;
    Runtime::TimerQueue timers{clock};
    FakeEngines engines;
    std::optional<Base::FencingNumber> fencing{Base::FencingNumber(5)};
    bool mayOrderUnchecked = true;
    bool hasWeights = true;
    std::vector<std::string> fetched;
    std::vector<OrderTarget> targets;
    int finishedOrders = 0;
    std::vector<int> refusals;
    std::size_t movedChats = 0;
    OrderCoordinator coordinator{
        {.timers = &timers,
         .calls = engines.calls(),
         .mayOrder =
             [this](bool checks) { return checks || mayOrderUnchecked ? fencing : std::nullopt; },
         .fetchWeights =
             [this](const Base::ModelId &model, const std::string &version,
                    const OrderCoordinator::WeightsFetched &weightsFetched) {
                 fetched.push_back(model.value() + '/' + version);
                 timers.start(10ms, [this, weightsFetched] {
                     if (hasWeights)
                         weightsFetched(Base::Bytes(1));
                     else
                         weightsFetched(Errors::makeError(Errors::ErrorKind::EndpointRefused));
                 });
             },
         .takeFromBudget = [](std::size_t) { return true; }}};
};

std::size_t count(const FakeEngines::Engine &engine, const std::string &request)
{
    return static_cast<std::size_t>(
        std::count(engine.requests.begin(), engine.requests.end(), request));
}

} // namespace

BOOST_AUTO_TEST_CASE(orderSetsOnlyDifferingValues)
{
    struct Case
    {
        Orders::EndpointSettings desired;
        /// Expected values of the only order; empty if no order is expected.
        std::string expectedOrder;
    };
    const std::vector<Case> cases{
        {{}, ""},
        {{.model = "m", .version = "v1", .role = "any", .draining = false}, ""},
        {{.role = "prefill"}, R"({"role":"prefill"})"},
        {{.model = "m", .version = "v2"}, R"({"version":"v2"})"},
        {{.adapter = "a", .role = "any"}, R"({"adapter":"a"})"},
        {{.draining = true}, R"({"draining":true})"},
    };
    for (const Case &each : cases) {
        Bench bench;
        bench.set(0, each.desired);
        bench.run(5s);
        const auto &orders = bench.engine(0).orders;
        BOOST_TEST_CONTEXT("set " << each.expectedOrder)
        {
            BOOST_REQUIRE(orders.size() == (each.expectedOrder.empty() ? 0U : 1U));
            BOOST_TEST(bench.finishedOrders == (each.expectedOrder.empty() ? 0 : 1));
            BOOST_TEST(bench.coordinator.pending() == 0U);
            if (!orders.empty()) {
                BOOST_TEST(orders[0]["set"].dump() == each.expectedOrder);
                BOOST_TEST(orders[0]["fencing"] == 5U);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(unansweredOrderIsResolvedByReadingState)
{
    struct Case
    {
        int ordersToDrop;
        int responsesToDrop;
    };
    for (const Case each : {Case{0, 1}, Case{1, 0}, Case{2, 1}}) {
        Bench bench;
        bench.engine(0).ordersToDrop = each.ordersToDrop;
        bench.engine(0).responsesToDrop = each.responsesToDrop;
        bench.set(0, {.role = "prefill"});
        bench.run(6s);
        BOOST_TEST(bench.engine(0).state["role"] == "prefill");
        BOOST_TEST(bench.engine(0).orders.size() == 1U);
        BOOST_TEST(bench.finishedOrders == 1);
        BOOST_TEST(bench.coordinator.ordersInFlight() == 0U);
    }
}

BOOST_AUTO_TEST_CASE(repeatedOrderKeepsIdAndNewRevisionGetsNewId)
{
    Bench bench;
    bench.set(0, {.role = "prefill"});
    bench.run(2s);
    bench.engine(0).state["role"] = "any";
    bench.run(31s); // The engine restarted; the periodic check detects it.
    bench.set(0, {.role = "any"});
    bench.run(2s);
    bench.set(0, {.role = "prefill"});
    bench.run(2s);
    const auto &orders = bench.engine(0).orders;
    BOOST_REQUIRE(orders.size() == 4U);
    BOOST_TEST(orders[0]["order_id"] == orders[1]["order_id"]);
    BOOST_TEST(orders[0]["order_id"] != orders[3]["order_id"]);
}

BOOST_AUTO_TEST_CASE(noOrderIsSentAfterLeaseLoss)
{
    enum class LostWhen { BeforeReading, WhileReading, WhileConnecting };
    for (const bool checksFencing : {true, false}) {
        for (const LostWhen when :
             {LostWhen::BeforeReading, LostWhen::WhileReading, LostWhen::WhileConnecting}) {
            for (const bool isReacquired : {false, true}) {
                Bench bench;
                bench.targets[0].checksFencing = checksFencing;
                bench.engine(0).checksFencing = checksFencing;
                const auto loseLease = [&] {
                    bench.fencing.reset();
                    if (isReacquired)
                        bench.fencing = Base::FencingNumber(9);
                };
                if (when == LostWhen::BeforeReading)
                    loseLease();
                bench.set(0, {.role = "prefill"});
                for (int i = 0; i < 10 && bench.engines.pendingCalls() == 0; ++i)
                    bench.step();
                if (when == LostWhen::WhileReading)
                    loseLease();
                if (when == LostWhen::WhileConnecting) {
                    // The answer to the state call starts the order call within deliver().
                    bench.coordinator.orderSent = [&](const OrderTarget &, const Orders::Order &,
                                                      Base::FencingNumber) {
                        loseLease();
                        bench.coordinator.orderSent = nullptr;
                    };
                }
                bench.run(10s);
                const auto &orders = bench.engine(0).orders;
                BOOST_TEST(orders.size() == (isReacquired ? 1U : 0U));
                if (!orders.empty())
                    BOOST_TEST(orders[0]["fencing"] == 9U);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(engineWithoutFencingWaitsForOldLeaseToExpire)
{
    Bench bench;
    bench.mayOrderUnchecked = false;
    bench.targets[1].checksFencing = false;
    bench.set(0, {.role = "prefill"});
    bench.set(1, {.role = "prefill"});
    bench.run(5s);
    BOOST_TEST(bench.engine(0).orders.size() == 1U);
    BOOST_TEST(bench.engine(1).requests.empty());
    bench.mayOrderUnchecked = true;
    bench.run(2s);
    BOOST_TEST(bench.engine(1).orders.size() == 1U);
}

BOOST_AUTO_TEST_CASE(refusedOrderIsRetried)
{
    Bench bench;
    bench.engine(0).fencing = 6; // A holder with a newer lease sent an order.
    bench.set(0, {.role = "prefill"});
    bench.run(2s);
    BOOST_TEST(!bench.refusals.empty());
    BOOST_TEST(bench.refusals.front() == 409);
    BOOST_TEST(bench.engine(0).state["role"] == "any");
    bench.fencing = Base::FencingNumber(7);
    bench.run(2s);
    BOOST_TEST(bench.engine(0).state["role"] == "prefill");
}

BOOST_AUTO_TEST_CASE(hotChatsMoveBeforeDrainOrder)
{
    Bench bench;
    const auto others = [&] {
        return std::vector<CacheEngine>{{bench.targets[1].endpoint, bench.targets[1].address, 1},
                                        {bench.targets[2].endpoint, bench.targets[2].address, 1}};
    };
    constexpr std::size_t chats = 100;
    for (std::size_t i = 0; i < chats; ++i)
        bench.engine(0).chats.push_back(Routing::chatName(i * 0x9e3779b97f4a7c15ULL));
    bench.engine(0).chats.emplace_back("../odd name"); // Must not be used in a path.
    bench.set(0, {.draining = true});
    bench.run(5s);
    const auto &requests = bench.engine(0).requests;
    constexpr std::size_t maxMoved = 64;
    BOOST_TEST(count(bench.engine(0), "GET /v1/cache/export") == maxMoved);
    const auto order = std::find(requests.begin(), requests.end(), "POST /v1/order");
    BOOST_REQUIRE((order != requests.end()));
    BOOST_TEST(std::count(order, requests.end(), "GET /v1/cache/export") == 0);
    BOOST_TEST(bench.engine(0).state["draining"] == true);
    BOOST_TEST(bench.movedChats == maxMoved);
    // Each chat moved to the engine to which routers will send it, the latest chats first.
    BOOST_TEST(bench.engine(1).chats.size() + bench.engine(2).chats.size() == maxMoved);
    for (const int i : {1, 2}) {
        for (const std::string &chat : bench.engine(i).chats)
            BOOST_TEST(migrationTarget(chat, others())->address.port == Bench::port(i));
    }
    BOOST_TEST(
        std::count(bench.engine(1).chats.begin(), bench.engine(1).chats.end(), Routing::chatName(0))
        == 0);
}

BOOST_AUTO_TEST_CASE(drainCompletesWhenNoRequestIsInFlight)
{
    Bench bench;
    int drained = 0;
    bench.coordinator.drained = [&](const OrderTarget &) { ++drained; };
    bench.engine(0).running = 2;
    bench.engine(0).chats.push_back(Routing::chatName(1));
    bench.set(0, {.draining = true});
    bench.run(5min);
    BOOST_TEST(bench.engine(0).state["draining"] == true);
    BOOST_TEST(drained == 0);
    // The last request left its chat in the cache; this chat is moved too.
    bench.engine(0).chats.push_back(Routing::chatName(2));
    bench.engine(0).running = 0;
    bench.run(3s);
    BOOST_TEST(drained == 1);
    BOOST_TEST(count(bench.engine(0), "GET /v1/cache/export") == 2U);
    // After a cancelled drain, a new drain repeats all steps.
    bench.set(0, {.draining = false});
    bench.run(3s);
    BOOST_TEST(bench.engine(0).state["draining"] == false);
    bench.set(0, {.draining = true});
    bench.run(5s);
    BOOST_TEST(drained == 2);
}

BOOST_AUTO_TEST_CASE(drainDoesNotWaitForFailedCacheMoves)
{
    enum class Failure { Unresponsive, UnresponsiveImport, OthersDown, NoOthers };
    for (const Failure failure : {Failure::Unresponsive, Failure::UnresponsiveImport,
                                  Failure::OthersDown, Failure::NoOthers}) {
        Bench bench;
        bench.engine(0).chats.push_back(Routing::chatName(1));
        if (failure == Failure::OthersDown)
            bench.engine(1).isDown = bench.engine(2).isDown = true;
        if (failure == Failure::NoOthers) {
            bench.targets[1].desired.draining = true;
            bench.targets[2].desired.draining = true;
        }
        if (failure == Failure::Unresponsive)
            bench.engine(0).unresponsivePath = "/v1/cache";
        if (failure == Failure::UnresponsiveImport)
            bench.engine(1).unresponsivePath = bench.engine(2).unresponsivePath =
                "/v1/cache/import";
        bench.set(0, {.draining = true});
        bench.run(3s);
        BOOST_TEST(bench.engine(0).state["draining"] == true);
    }
}

BOOST_AUTO_TEST_CASE(oneEngineOfAModelLoadsAtATime)
{
    Bench bench;
    for (int i = 0; i < engineCount; ++i) {
        bench.engine(i).loadsForever = true;
        bench.set(i, {.model = "m", .version = "v2"});
    }
    for (int loaded = 0; loaded < engineCount; ++loaded) {
        bench.run(10s);
        int loading = 0;
        for (int i = 0; i < engineCount; ++i)
            loading += bench.engine(i).state["loading"] == true ? 1 : 0;
        BOOST_TEST(loading == 1);
        for (int i = 0; i < engineCount; ++i)
            bench.engine(i).state["loading"] = false;
    }
    bench.run(10s);
    BOOST_TEST(bench.coordinator.pending() == 0U);
    BOOST_TEST(bench.fetched.size() == 3U);
}

BOOST_AUTO_TEST_CASE(versionWithoutWeightsIsNotOrdered)
{
    Bench bench;
    bench.hasWeights = false;
    bench.set(0, {.model = "m", .version = "v2"});
    bench.run(12s);
    BOOST_TEST(bench.engine(0).orders.empty());
    BOOST_TEST(bench.fetched.size() >= 2U);
    BOOST_TEST(bench.fetched.size() <= 4U);
    bench.hasWeights = true;
    bench.run(8s);
    BOOST_TEST(bench.engine(0).state["version"] == "v2");
}

BOOST_AUTO_TEST_CASE(noOrderIsSentAfterStop)
{
    Bench bench;
    bench.set(0, {.role = "prefill"});
    bench.step();
    bench.step();
    BOOST_REQUIRE(bench.engines.pendingCalls() > 0U);
    bench.coordinator.stop(); // A call for the state is in flight.
    bench.run(5s);
    BOOST_TEST(bench.engine(0).orders.empty());
    BOOST_TEST(bench.coordinator.ordersInFlight() == 0U);
}
