#define BOOST_TEST_MODULE selector
#include "routing/rendezvous.h"
#include "routing/selector.h"

#include <boost/test/unit_test.hpp>

#include <numeric>
#include <string>
#include <vector>

using namespace Lagoonbank;
using namespace Lagoonbank::Routing;

namespace {

struct Pool
{
    std::vector<Candidate> candidates;
    std::vector<EndpointIndex> members;

    explicit Pool(const std::vector<double> &loads, double capacity = 1000.0)
    {
        for (std::size_t i = 0; i < loads.size(); ++i) {
            candidates.push_back({.hash = stableHash("engine-" + std::to_string(i)),
                                  .weight = capacity,
                                  .load = loads[i],
                                  .use = Candidate::Use::Yes});
            members.push_back(static_cast<EndpointIndex>(i));
        }
    }
};

RouteRequest requestOf(std::uint64_t chat, std::int64_t prompt = 100, std::uint8_t priority = 1)
{
    return {.pool = 0,
            .chatHash = mixHashes(chat, 0x5eedULL),
            .promptTokens = Base::Tokens(prompt),
            .priority = priority};
}

EndpointIndex homeOf(const Pool &pool, std::uint64_t chat)
{
    Selector selector({.policy = Policy::Rendezvous});
    return selector.choose(requestOf(chat), pool.candidates, pool.members, {}).endpoint;
}

} // namespace

BOOST_AUTO_TEST_CASE(outcomesAtTheBounds)
{
    struct Case
    {
        const char *name;
        std::vector<double> loads;
        std::int64_t promptTokens;
        std::uint8_t priority;
        Outcome outcome;
    };
    const std::vector<Case> cases{
        {"average load zero", {0, 0, 0, 0}, 100, 1, Outcome::Send},
        {"average load zero, request larger than the capacity",
         {0, 0, 0, 0},
         1000000,
         1,
         Outcome::Send},
        {"single idle", {0}, 100, 1, Outcome::Send},
        {"single loaded", {1500}, 100, 1, Outcome::Send},
        {"single at the absolute bound", {1900}, 100, 1, Outcome::Wait},
        {"urgent request may use the reserve", {1900}, 100, 0, Outcome::Send},
        {"reserve used up", {1950}, 100, 0, Outcome::Wait},
        {"all at the absolute bound", {1900, 1900, 1900}, 100, 1, Outcome::Wait},
        {"one endpoint below the bound", {1900, 1900, 100}, 100, 1, Outcome::Send},
        {"no endpoint", {}, 100, 1, Outcome::Refuse},
    };
    for (const Case &c : cases) {
        BOOST_TEST_CONTEXT(c.name)
        {
            const Pool pool(c.loads);
            Selector selector({.warmWaitPerThousandTokens = {}});
            for (std::uint64_t chat = 0; chat < 50; ++chat) {
                const RouteRequest request = requestOf(chat, c.promptTokens, c.priority);
                const Decision decision =
                    selector.choose(request, pool.candidates, pool.members, {});
                BOOST_TEST((decision.outcome == c.outcome));
                if (decision.outcome != Outcome::Send)
                    BOOST_TEST((errorRow(decision.refusal).ran == Errors::Ran::No));
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(missingEndpointMovesOnlyItsOwnChats)
{
    const Pool complete(std::vector<double>(10, 0.0));
    Pool incomplete = complete;
    constexpr EndpointIndex missing = 3;
    incomplete.candidates[missing].use = Candidate::Use::No;
    int moved = 0;
    for (std::uint64_t chat = 0; chat < 2000; ++chat) {
        const EndpointIndex home = homeOf(complete, chat);
        if (home == missing)
            ++moved;
        else
            BOOST_TEST(homeOf(incomplete, chat) == home);
    }
    BOOST_TEST(moved > 150);
    BOOST_TEST(moved < 250);
}

BOOST_AUTO_TEST_CASE(homesAreSharedInProportionToWeight)
{
    Pool pool(std::vector<double>(4, 0.0));
    pool.candidates[0].weight = 3000.0;
    std::vector<int> homes(4, 0);
    constexpr int chats = 12000;
    for (std::uint64_t chat = 0; chat < chats; ++chat)
        ++homes[homeOf(pool, chat)];
    BOOST_TEST(homes[0] > chats * 0.48);
    BOOST_TEST(homes[0] < chats * 0.52);
}

BOOST_AUTO_TEST_CASE(warmEndpointIsUsedOnlyBelowBound)
{
    struct Case
    {
        const char *name;
        double warmLoad;
        std::int64_t cachedTokens;
        bool tried;
        Candidate::Use use;
        bool isChosen;
    };
    const std::vector<Case> cases{
        {"under the bound", 120, 80, false, Candidate::Use::Yes, true},
        {"over the bound", 400, 80, false, Candidate::Use::Yes, false},
        {"leaving or suspected", 0, 80, false, Candidate::Use::No, false},
        {"on trial", 0, 80, false, Candidate::Use::Trial, false},
        {"tried already", 0, 80, true, Candidate::Use::Yes, false},
        {"known to be evicted", 0, 0, false, Candidate::Use::Yes, false},
    };
    for (const Case &c : cases) {
        BOOST_TEST_CONTEXT(c.name)
        {
            constexpr std::uint64_t chat = 7;
            Pool pool(std::vector<double>(10, 100.0));
            const EndpointIndex warm = (homeOf(pool, chat) + 1) % 10;
            pool.candidates[warm].load = c.warmLoad;
            pool.candidates[warm].use = c.use;
            RouteRequest request = requestOf(chat);
            if (c.tried)
                request.tried.add(warm);
            const std::vector<WarmEndpoint> warmEndpoints{
                {.endpoint = warm, .cached = Base::Tokens(c.cachedTokens)}};
            Selector selector({.warmWaitPerThousandTokens = {}});
            const Decision decision =
                selector.choose(request, pool.candidates, pool.members, warmEndpoints);
            BOOST_TEST((decision.outcome == Outcome::Send));
            BOOST_TEST((decision.endpoint == warm) == c.isChosen);
            BOOST_TEST(decision.work.value() == (c.isChosen ? 100.0 - c.cachedTokens : 100.0));
        }
    }
}

BOOST_AUTO_TEST_CASE(overflowFollowsRendezvousOrder)
{
    for (std::uint64_t chat = 0; chat < 200; ++chat) {
        Pool pool(std::vector<double>(10, 100.0));
        const EndpointIndex home = homeOf(pool, chat);
        Pool without = pool;
        without.candidates[home].use = Candidate::Use::No;
        const EndpointIndex next = homeOf(without, chat);
        pool.candidates[home].load = 500.0;
        Selector selector({.warmWaitPerThousandTokens = {}});
        const Decision decision =
            selector.choose(requestOf(chat), pool.candidates, pool.members, {});
        BOOST_TEST(decision.endpoint == next);
        BOOST_TEST((decision.reason == DecisionReason::Overflow));
    }
}

BOOST_AUTO_TEST_CASE(trialGetsOnlyRepeatableRequestsOfItsOwnChats)
{
    Pool pool(std::vector<double>(6, 0.0));
    constexpr EndpointIndex suspected = 2;
    int trials = 0;
    for (std::uint64_t chat = 0; chat < 600; ++chat) {
        pool.candidates[suspected].use = Candidate::Use::Yes;
        const bool ownChat = homeOf(pool, chat) == suspected;
        pool.candidates[suspected].use = Candidate::Use::Trial;
        for (const bool repeatable : {true, false}) {
            RouteRequest request = requestOf(chat);
            request.repeatable = repeatable;
            Selector selector({.warmWaitPerThousandTokens = {}});
            const Decision decision = selector.choose(request, pool.candidates, pool.members, {});
            BOOST_TEST((decision.endpoint == suspected) == (ownChat && repeatable));
            BOOST_TEST((decision.reason == DecisionReason::Trial) == (ownChat && repeatable));
            trials += decision.reason == DecisionReason::Trial ? 1 : 0;
        }
    }
    BOOST_TEST(trials > 50);
}

BOOST_AUTO_TEST_CASE(servicesPreferLocalDataCentreBelowBound)
{
    struct Case
    {
        const char *name;
        double localLoad;
        bool localUsable;
        bool staysLocal;
    };
    const std::vector<Case> cases{
        {"under the bound", 1, true, true},
        {"over the bound", 50, true, false},
        {"absent", 0, false, false},
    };
    for (const Case &c : cases) {
        BOOST_TEST_CONTEXT(c.name)
        {
            Pool pool(std::vector<double>(8, 2.0), 64.0);
            for (EndpointIndex i = 0; i < 2; ++i) {
                pool.candidates[i].local = true;
                pool.candidates[i].load = c.localLoad;
                pool.candidates[i].use = c.localUsable ? Candidate::Use::Yes : Candidate::Use::No;
            }
            Selector selector({.warmWaitPerThousandTokens = {}});
            for (std::uint64_t call = 0; call < 100; ++call) {
                RouteRequest request = requestOf(call, 1);
                request.usesCache = false;
                const Decision decision =
                    selector.choose(request, pool.candidates, pool.members, {});
                BOOST_TEST((decision.endpoint < 2) == c.staysLocal);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(baselinePolicies)
{
    Pool pool({30, 10, 20, 40});
    pool.candidates[3].use = Candidate::Use::No;

    Selector roundRobin({.policy = Policy::RoundRobin});
    std::vector<int> counts(4, 0);
    for (std::uint64_t chat = 0; chat < 300; ++chat)
        ++counts[roundRobin.choose(requestOf(chat), pool.candidates, pool.members, {}).endpoint];
    BOOST_TEST(counts == (std::vector<int>{100, 100, 100, 0}));

    Selector leastLoad({.policy = Policy::LeastLoad});
    BOOST_TEST(leastLoad.choose(requestOf(1), pool.candidates, pool.members, {}).endpoint == 1U);

    Selector twoChoices({.policy = Policy::TwoChoices});
    std::vector<int> chosen(4, 0);
    for (std::uint64_t chat = 0; chat < 900; ++chat)
        ++chosen[twoChoices.choose(requestOf(chat), pool.candidates, pool.members, {}).endpoint];
    BOOST_TEST(chosen[0] == 0); // The most loaded of three is never the less loaded of a pair.
    BOOST_TEST(chosen[1] > 540);
    BOOST_TEST(chosen[1] < 660);
    BOOST_TEST(chosen[3] == 0);
}

BOOST_AUTO_TEST_CASE(policyNames)
{
    for (const Policy policy : {Policy::RoundRobin, Policy::LeastLoad, Policy::TwoChoices,
                                Policy::Rendezvous, Policy::Bounded})
        BOOST_TEST((policyFromName(toString(policy)) == policy));
    BOOST_TEST(!policyFromName("fastest"));
}
