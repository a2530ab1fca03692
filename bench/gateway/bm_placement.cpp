/// Measures the time in which a router of a large fleet chooses the endpoint of a request. The
/// limit is 5 us for a decision at 90 routers and 90 endpoints.
#include "gateway/placement.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

using namespace Lagoonbank;

namespace {

constexpr std::size_t routerCount = 90;
constexpr int endpointCount = 90;
constexpr int slotsPerEndpoint = 32;
constexpr std::int64_t memoryTokens = 519'094;
constexpr std::size_t promptCount = 4000;
/// Mean length of the shared prompts, weighted by the rates of the kinds of requests.
constexpr std::int64_t promptTokens = 3'500;

/// Age of the oldest load report. Reports reach all routers about a second late.
constexpr Base::Duration reportAge = std::chrono::seconds(1);

const Base::ServiceId service{"service"};

/// A router's view of its fleet: endpoints, their reported loads, and the prompts that they hold.
class FleetView
{
public:
    /// \a meanLoad is the mean number of requests at an endpoint.
    explicit FleetView(int meanLoad)
        : m_loads(meanLoad)
    {
        m_registry.setRouterCount(routerCount);
        for (int i = 0; i < endpointCount; ++i) {
            m_registry.put({.id = Base::EndpointId("e" + std::to_string(i)),
                            .service = service,
                            .address = {"127.0.0.1", 80},
                            .dataCentre = Base::DataCentreId("dc" + std::to_string(i % 4)),
                            .slots = slotsPerEndpoint},
                           m_now);
        }
        // The endpoints have been known for long, so that they count as holders of their prompts.
        m_now += std::chrono::minutes(1);
        const std::vector<Gateway::EndpointPtr> &endpoints = m_registry.endpoints(service);
        for (const Gateway::EndpointPtr &endpoint : endpoints) {
            m_now += reportAge / endpointCount;
            reportLoad(*endpoint);
        }
        for (std::size_t i = 0; i < promptCount; ++i) {
            m_affinities.push_back(m_random());
            const Gateway::PlacementResult placed = choose(m_affinities.back());
            recordUse(m_affinities.back(),
                      placed.endpoint ? *placed.endpoint : *endpoints[i % endpointCount]);
        }
    }

    /// Chooses the endpoint of a request with a random prompt.
    Gateway::PlacementResult choose() { return choose(m_affinities[m_random() % promptCount]); }
    std::size_t heldPrompts() const { return m_prompts.size(); }

private:
    Gateway::PlacementResult choose(std::uint64_t prompt)
    {
        return m_placement.choose({.service = service,
                                   .affinity = prompt,
                                   .sharedTokens = Base::Tokens(promptTokens),
                                   .prompts = &m_prompts,
                                   .memory = Base::Tokens(memoryTokens),
                                   .requestHash = m_random(),
                                   .targetLatency = std::chrono::milliseconds(400),
                                   .maxEventGap = std::chrono::milliseconds(500)},
                                  m_registry, m_now);
    }
    void recordUse(std::uint64_t prompt, const Gateway::EndpointRecord &endpoint)
    {
        m_prompts.recordUse({.prompt = {.hash = prompt, .tokens = Base::Tokens(promptTokens)},
                             .endpoint = endpoint.startHash,
                             .memory = Base::Tokens(memoryTokens)},
                            m_now);
    }
    void reportLoad(Gateway::EndpointRecord &endpoint)
    {
        const int requests = m_loads(m_random);
        const int running = std::min(requests, slotsPerEndpoint);
        m_registry.loadReported(
            endpoint,
            {.running = running, .waiting = requests - running, .slots = slotsPerEndpoint}, m_now);
        m_registry.answerTimed(endpoint, std::chrono::milliseconds(100 + requests),
                               std::chrono::milliseconds(400), m_now);
    }

    std::poisson_distribution<int> m_loads;
    std::mt19937_64 m_random{1};
    Base::MonoTime m_now{std::chrono::hours(1)};
    Gateway::EndpointRegistry m_registry{{}};
    Gateway::Placement m_placement{{}};
    Gateway::PromptDirectory m_prompts{{}};
    std::vector<std::uint64_t> m_affinities;
};

void measure(benchmark::State &state, int meanLoad)
{
    FleetView fleet(meanLoad);
    std::size_t placed = 0;
    for (auto _ : state)
        placed += fleet.choose().endpoint ? 1 : 0;
    const auto decisions = static_cast<double>(state.iterations());
    state.counters["placed_share"] = static_cast<double>(placed) / decisions;
    state.counters["prompts"] = static_cast<double>(fleet.heldPrompts());
}

void BM_ChosenAtUsualLoad(benchmark::State &state)
{
    measure(state, slotsPerEndpoint / 4);
}

/// Some of the endpoints have no free slot.
void BM_ChosenAtHighLoad(benchmark::State &state)
{
    measure(state, slotsPerEndpoint - 4);
}

/// No endpoint has a free slot.
void BM_AllFull(benchmark::State &state)
{
    measure(state, 3 * slotsPerEndpoint);
}

BENCHMARK(BM_ChosenAtUsualLoad)->MinTime(1)->Unit(benchmark::kMicrosecond);
BENCHMARK(BM_ChosenAtHighLoad)->MinTime(1)->Unit(benchmark::kMicrosecond);
BENCHMARK(BM_AllFull)->MinTime(1)->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
