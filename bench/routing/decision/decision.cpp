#include "routing/rendezvous.h"
#include "routing/router.h"

#include <benchmark/benchmark.h>

#include <atomic>
#include <cstdlib>
#include <memory>
#include <new>
#include <string>
#include <vector>

namespace {

std::atomic<std::uint64_t> allocations{0};
std::atomic<std::uint64_t> allocatedBytes{0};

} // namespace

void *operator new(std::size_t size)
{
    allocations.fetch_add(1, std::memory_order_relaxed);
    allocatedBytes.fetch_add(size, std::memory_order_relaxed);
    if (void *memory = std::malloc(size))
        return memory;
    throw std::bad_alloc();
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    std::free(memory);
}

namespace {

using namespace Lagoonbank;
using namespace Lagoonbank::Routing;

constexpr Base::MonoTime now{std::chrono::hours(1)};
constexpr std::uint64_t chatCount = 4096;

Router::Options optionsOf(Policy policy)
{
    Router::Options options;
    options.selector.policy = policy;
    options.selector.warmWaitPerThousandTokens = {};
    options.tokens.currentKey = "benchmark";
    return options;
}

std::unique_ptr<Router> makeRouter(Policy policy, std::int64_t engines)
{
    auto router = std::make_unique<Router>(optionsOf(policy));
    for (std::int64_t i = 0; i < engines; ++i) {
        const EndpointIndex endpoint =
            router->upsert({.id = Base::EndpointId("engine-" + std::to_string(i)),
                            .pool = "model/m",
                            .capacity = Base::WorkUnits(40000)},
                           now);
        const auto work = static_cast<double>(mixHashes(endpoint, 1) % 10000);
        router->noteReport(endpoint, {.work = Base::WorkUnits(work + 15000), .sampledAt = now}, {},
                           now);
    }
    return router;
}

RouteRequest requestOf(std::uint64_t chat)
{
    return {.pool = 0,
            .chatHash = mixHashes(chat % chatCount, 0x5eed),
            .promptTokens = Base::Tokens(2000),
            .expectedOutput = Base::Tokens(150)};
}

void decide(benchmark::State &state, Policy policy, bool warm)
{
    const auto router = makeRouter(policy, state.range(0));
    if (warm) {
        for (std::uint64_t chat = 0; chat < chatCount; ++chat) {
            const RouteRequest request = requestOf(chat);
            const Decision decision = router->choose(request, {});
            router->noteServed(request.chatHash, decision.endpoint, Base::Tokens(1900));
        }
    }
    std::uint64_t chat = 0;
    const std::uint64_t before = allocations.load();
    for (auto unused : state) {
        (void)unused;
        const Decision decision = router->choose(requestOf(++chat), {});
        SentRequest sent = router->noteSent(decision, now);
        router->noteEnded(&sent, ExchangeResult::Answered, now);
        benchmark::DoNotOptimize(sent);
    }
    state.counters["allocations"] = static_cast<double>(allocations.load() - before);
}

void decideWarm(benchmark::State &state)
{
    decide(state, Policy::Bounded, true);
}

void decideCold(benchmark::State &state)
{
    decide(state, Policy::Bounded, false);
}

void decideRendezvous(benchmark::State &state)
{
    decide(state, Policy::Rendezvous, false);
}

void decideLeastLoad(benchmark::State &state)
{
    decide(state, Policy::LeastLoad, false);
}

void refreshAll(benchmark::State &state)
{
    const auto router = makeRouter(Policy::Bounded, state.range(0));
    for (auto unused : state) {
        (void)unused;
        router->refresh(now);
    }
}

void writeAndReadToken(benchmark::State &state)
{
    const PlacementToken token({.currentKey = "benchmark"});
    constexpr Base::WallTime wall{std::chrono::hours(24) * 20000};
    std::uint64_t chat = 0;
    for (auto unused : state) {
        (void)unused;
        ++chat;
        const PlacementToken::Text text =
            token.write(chat, {.endpointHash = chat, .cached = Base::Tokens(100)}, wall);
        benchmark::DoNotOptimize(token.read(toView(text), chat, wall));
    }
}

/// Bytes that a router allocates for each endpoint, without its placements, and for each chat of a
/// placement table.
void memoryOfEndpoints(benchmark::State &state)
{
    double each = 0.0;
    for (auto unused : state) {
        (void)unused;
        const std::uint64_t empty = allocatedBytes.load();
        const auto none = makeRouter(Policy::Bounded, 0);
        const std::uint64_t before = allocatedBytes.load();
        const auto router = makeRouter(Policy::Bounded, state.range(0));
        const std::uint64_t after = allocatedBytes.load();
        each = static_cast<double>(after - before - (before - empty))
            / static_cast<double>(state.range(0));
    }
    state.counters["bytes_asked_each"] = each;
    state.counters["bytes_a_chat"] =
        static_cast<double>(PlacementTable(65536).memory().value()) / 65536.0;
}

constexpr auto sizes = {10, 100, 250, 1500};

const bool registered = [] {
    for (const int size : sizes) {
        benchmark::RegisterBenchmark("decideWarm", decideWarm)->Arg(size);
        benchmark::RegisterBenchmark("decideCold", decideCold)->Arg(size);
        benchmark::RegisterBenchmark("decideRendezvous", decideRendezvous)->Arg(size);
        benchmark::RegisterBenchmark("decideLeastLoad", decideLeastLoad)->Arg(size);
        benchmark::RegisterBenchmark("refreshAll", refreshAll)->Arg(size);
        benchmark::RegisterBenchmark("memoryOfEndpoints", memoryOfEndpoints)
            ->Arg(size)
            ->Iterations(1);
    }
    benchmark::RegisterBenchmark("writeAndReadToken", writeAndReadToken);
    return true;
}();

} // namespace
