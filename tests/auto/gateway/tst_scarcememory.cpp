/// Prompts fill most of the cache memory of the engines. Placed by hash alone, the prompts of some
/// engines exceed their memory and evict each other, while other engines have memory left.
///
/// The prompts are those of a formula-card tool (drafts, tags, tweaks), which take 0.64 of the
/// memory of twelve engines with 78,000 tokens each. Announcements between routers arrive without
/// loss or delay.
#define BOOST_TEST_MODULE tst_scarcememory
#include <boost/test/unit_test.hpp>

#include "gateway/placement.h"
#include "routing/rendezvous.h"

#include <algorithm>
#include <list>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace Lagoonbank;
using namespace Lagoonbank::Gateway;

namespace {

constexpr int engineCount = 12;
constexpr int routerCount = 8;
constexpr std::int64_t engineMemoryTokens = 78'000;
/// Memory taken by running requests.
constexpr std::int64_t runningRequestTokens = 19'500;

/// Cache with least-recently-used eviction.
class Cache
{
public:
    /// Returns whether the prompt had to be prefilled.
    bool use(std::uint64_t prompt, std::int64_t tokens)
    {
        const auto known = std::find_if(m_entries.begin(), m_entries.end(),
                                        [&](const auto &one) { return one.first == prompt; });
        const bool isHeld = known != m_entries.end();
        if (isHeld)
            m_entries.erase(known);
        else
            m_held += tokens;
        m_entries.emplace_front(prompt, tokens);
        for (; m_held > engineMemoryTokens - runningRequestTokens; m_entries.pop_back())
            m_held -= m_entries.back().second;
        return !isHeld;
    }

private:
    std::list<std::pair<std::uint64_t, std::int64_t>> m_entries;
    std::int64_t m_held = 0;
};

struct Router
{
    EndpointRegistry registry{{}};
    Placement placement{{}};
    PromptDirectory prompts{{}};
};

class Model
{
public:
    explicit Model(bool isShared)
        : m_isShared(isShared)
    {
        std::lognormal_distribution<double> size(0, 0.6);
        const auto add = [&](int count, double mean, double weight) {
            for (int i = 0; i < count; ++i) {
                m_prompts.push_back(
                    {.hash = Routing::stableHash("p" + std::to_string(m_prompts.size())),
                     .tokens = Base::Tokens(static_cast<std::int64_t>(
                         std::min(3 * mean, 0.84 * mean * size(m_random))))});
                m_weights.push_back(weight / count);
            }
        };
        add(34, 10500, 22);
        add(81, 2000, 36);
        add(73, 700, 32);
        for (int i = 0; i < routerCount; ++i) {
            m_routers.push_back(std::make_unique<Router>());
            for (int e = 0; e < engineCount; ++e) {
                m_routers.back()->registry.put(
                    {.id = Base::EndpointId("e" + std::to_string(e)), .service = m_service}, m_now);
            }
        }
    }

    /// Fraction of all shared tokens that were prefilled again.
    double prefilledAgain(int requests)
    {
        std::discrete_distribution<std::size_t> which(m_weights.begin(), m_weights.end());
        std::uniform_int_distribution<std::size_t> router(0, m_routers.size() - 1);
        std::set<std::uint64_t> prefilledPrompts;
        double repeatedTokens = 0;
        double totalTokens = 0;
        for (int i = 0; i < requests; ++i) {
            m_now += std::chrono::milliseconds(11);
            const PromptPrefix &prompt = m_prompts[which(m_random)];
            const std::size_t engine = send(*m_routers[router(m_random)], prompt);
            const bool isPrefilled = m_caches[engine].use(prompt.hash, prompt.tokens.value());
            const auto tokens = static_cast<double>(prompt.tokens.value());
            totalTokens += tokens;
            repeatedTokens +=
                isPrefilled && !prefilledPrompts.insert(prompt.hash).second ? tokens : 0;
        }
        return repeatedTokens / totalTokens;
    }

private:
    std::size_t send(Router &router, const PromptPrefix &prompt)
    {
        const PlacementResult result =
            router.placement.choose({.service = m_service,
                                     .affinity = prompt.hash,
                                     .sharedTokens = prompt.tokens,
                                     .prompts = m_isShared ? &router.prompts : nullptr,
                                     .memory = Base::Tokens(engineMemoryTokens)},
                                    router.registry, m_now);
        const PromptHolding holding{.prompt = prompt,
                                    .endpoint = result.endpoint->startHash,
                                    .memory = Base::Tokens(engineMemoryTokens)};
        if (router.prompts.recordUse(holding, m_now) != PromptDirectory::Announcement::None) {
            for (const auto &other : m_routers) {
                if (other.get() != &router)
                    other->prompts.mergeHolding(holding, m_now);
            }
        }
        return static_cast<std::size_t>(std::stoi(result.endpoint->info.id.value().substr(1)));
    }

    const Base::ServiceId m_service{"service"};
    bool m_isShared;
    std::mt19937_64 m_random{11};
    std::vector<PromptPrefix> m_prompts;
    std::vector<double> m_weights;
    std::vector<std::unique_ptr<Router>> m_routers;
    std::vector<Cache> m_caches{engineCount};
    Base::MonoTime m_now{std::chrono::hours(1)};
};

} // namespace

BOOST_AUTO_TEST_CASE(promptsThatFitIntoMemoryAreRarelyPrefilledAgain)
{
    constexpr int requests = 8000;
    Model homes(false);
    const double before = homes.prefilledAgain(requests);
    Model shared(true);
    const double after = shared.prefilledAgain(requests);
    BOOST_TEST_MESSAGE("prefilled again: " << before << " by home alone, " << after
                                           << " if routers share their holdings");
    BOOST_TEST(before > 0.04);
    BOOST_TEST(after < 0.25 * before);
}
