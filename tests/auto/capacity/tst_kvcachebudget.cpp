/// Large and small requests compete for the KV cache memory of few endpoints.
#define BOOST_TEST_MODULE tst_kvcachebudget
#include <boost/test/unit_test.hpp>

#include "auto/capacity/memorymodel.h"

#include <cstdlib>
#include <iomanip>
#include <map>
#include <sstream>
#include <utility>

using namespace Lagoonbank;
using namespace Lagoonbank::Capacity;

namespace {

constexpr Base::Tokens memory{100'000};
constexpr Base::Tokens manyPrompts{100'000'000};

RequestSize size(std::uint64_t prompt, std::int64_t shared, std::int64_t own)
{
    return {.prompt = prompt, .shared = Base::Tokens(shared), .own = Base::Tokens(own)};
}

} // namespace

/// Guards against preemption: a router that knows all requests never exceeds the memory.
BOOST_AUTO_TEST_CASE(requestsOfOneRouterNeverExceedTheMemory)
{
    const auto result = Test::MemoryModel({.routers = 1}).run();
    BOOST_TEST(result.exceedingSends == 0);
    BOOST_TEST(result.maximumUse <= 0.95);
    BOOST_TEST(result.served > 0.5);
}

/// Guards against a budget that limits deployment A with a fifth of its engines, where the requests
/// of its 24 routers fit into the memory.
BOOST_AUTO_TEST_CASE(requestsThatFitAreAdmittedWithAFifthOfTheEngines)
{
    const auto result = Test::MemoryModel({.routers = 24,
                                           .engines = 12,
                                           .slots = 64,
                                           .engineTokens = 416'734,
                                           .requestsPerSecond = 398})
                            .run();
    BOOST_TEST(result.served == 1);
    BOOST_TEST(result.exceedingSends == 0);
    BOOST_TEST(result.largestRatio >= 0.8);
}

/// Guards against an estimate that refuses work that fits, or one that exceeds the memory. The
/// table weighs the share of their shared prompts with which requests of other routers count.
BOOST_AUTO_TEST_CASE(requestsOfOtherRoutersAreEstimatedWithAShareOfTheirSharedPrompts)
{
    struct Load
    {
        const char *name;
        Test::MemoryModel::Options options;
    };
    const std::vector<Load> loads{{"full", {}},
                                  {"full, 8 routers", {.routers = 8}},
                                  {"full, margin 0.1", {.budget = {.safetyMargin = 0.1}}},
                                  {"full, not announced", {.announcesPrompts = false}},
                                  {"calm", {.engineTokens = 416'734, .requestsPerSecond = 190}},
                                  {"few long prompts",
                                   {.engineTokens = 416'734,
                                    .requestsPerSecond = 190,
                                    .largePrompts = 4,
                                    .largePromptTokens = 60'000}}};
    std::ostringstream table;
    table << std::fixed << std::setprecision(3)
          << "load                    share  served  ratio  maximum use  exceeding sends\n";
    for (const Load &load : loads) {
        for (const double share : {0.0, 0.25, 0.5, 1.0}) {
            Test::MemoryModel::Options options = load.options;
            options.sharedShare = share;
            const auto result = Test::MemoryModel(options).run();
            table << std::left << std::setw(22) << load.name << std::right << std::setw(7) << share
                  << std::setw(8) << result.served << std::setw(7) << result.largestRatio
                  << std::setw(13) << result.maximumUse << std::setw(17) << result.exceedingSends
                  << '\n';
            const bool fits = load.options.engineTokens > 400'000;
            BOOST_TEST((!fits || result.served == 1));
            BOOST_TEST((!fits || result.exceedingSends == 0));
        }
    }
    BOOST_TEST_MESSAGE(table.str());
}

/// Guards against a shared prompt that counts once for each request that runs with it.
BOOST_AUTO_TEST_CASE(aSharedPromptCountsOnce)
{
    KvCacheBudget budget;
    for (int i = 0; i < 10; ++i)
        budget.requestSent(size(1, 10'000, 1000));
    BOOST_TEST(budget.usedTokens(0, 0) == 20'000);
    budget.requestSent(size(2, 5000, 1000));
    BOOST_TEST(budget.usedTokens(0, 0) == 26'000);
    for (int i = 0; i < 9; ++i)
        budget.requestEnded(size(1, 10'000, 1000));
    BOOST_TEST(budget.usedTokens(0, 0) == 17'000);
    budget.requestEnded(size(1, 10'000, 1000));
    budget.requestEnded(size(2, 5000, 1000));
    BOOST_TEST(budget.usedTokens(0, 0) == 0);
    BOOST_TEST(budget.requestCount() == 0);
}

/// Guards against a request that is refused although it fits, or sent although it does not.
BOOST_AUTO_TEST_CASE(aRequestIsAdmittedUpToTheMemoryLessTheSafetyMargin)
{
    KvCacheBudget budget;
    budget.requestSent(size(1, 10'000, 50'000));
    BOOST_TEST(budget.admits(size(1, 10'000, 35'000), memory, 0, 0));
    BOOST_TEST(!budget.admits(size(1, 10'000, 35'001), memory, 0, 0));
    BOOST_TEST(!budget.admits(size(2, 10'000, 35'000), memory, 0, 0));
    BOOST_TEST(budget.admits(size(1, 10'000, 25'000), memory, 5, 2000));
    BOOST_TEST(!budget.admits(size(1, 10'000, 25'001), memory, 5, 2000));
}

/// Guards against a request that fits into an engine, but never gets one because of the margin.
BOOST_AUTO_TEST_CASE(anEndpointWithoutRequestsTakesOneThatNeedsAllMemory)
{
    KvCacheBudget budget;
    BOOST_TEST(budget.admits(size(1, 60'000, 40'000), memory, 0.01, 2000));
    BOOST_TEST(!budget.admits(size(1, 60'000, 40'001), memory, 0, 2000));
    BOOST_TEST(!budget.admits(size(1, 60'000, 40'000), memory, 1, 2000));
    budget.requestSent(size(2, 0, 1));
    BOOST_TEST(!budget.admits(size(1, 60'000, 40'000), memory, 0, 2000));
}

/// Guards against late or contradictory reports: fewer requests than this router has there must not
/// make the estimate fall below what is known to run.
BOOST_AUTO_TEST_CASE(ownRequestsCountWhateverIsReported)
{
    KvCacheBudget budget;
    budget.requestSent(size(1, 10'000, 70'000));
    BOOST_TEST(budget.usedTokens(-20, 2000) == 80'000);
    BOOST_TEST(budget.usedTokens(0, 2000) == 80'000);
    BOOST_TEST(!budget.admits(size(2, 0, 20'000), memory, -20, 2000));
    // An end that is reported twice does not make the estimate negative.
    budget.requestEnded(size(1, 10'000, 70'000));
    budget.requestEnded(size(1, 10'000, 70'000));
    BOOST_TEST(budget.usedTokens(0, 2000) == 0);
}

/// Guards against two routers that take the last memory again and again: the report that the
/// endpoint sends with its answer or its refusal corrects both.
BOOST_AUTO_TEST_CASE(aReportCorrectsRoutersThatTookTheLastMemoryAtOnce)
{
    const RequestSize request = size(0, 0, 30'000);
    KvCacheBudget first;
    KvCacheBudget second;
    for (KvCacheBudget *budget : {&first, &second}) {
        budget->requestSent(size(1, 10'000, 5000));
        BOOST_TEST(budget->admits(request, memory, 1, 30'000));
    }
    first.requestSent(request);
    second.requestSent(request); // The endpoint refuses it, and reports three requests.
    second.requestEnded(request);
    BOOST_TEST(!second.admits(request, memory, 2, 30'000));
    BOOST_TEST(!first.admits(request, memory, 1, 30'000));
}

/// Guards against requests that count as empty because they declare no length.
BOOST_AUTO_TEST_CASE(aRequestWithoutLengthCountsWithTheMeanOfItsKind)
{
    constexpr std::uint64_t shortKind = 1;
    constexpr std::uint64_t longKind = 2;
    constexpr std::uint64_t unknownKind = 3;
    RequestSizeMeans means;
    BOOST_TEST(means.ownTokens(unknownKind) == Base::Tokens(1000));
    for (int i = 0; i < 500; ++i) {
        means.record(shortKind, size(1, 2000, 300));
        means.record(longKind, size(2, 10'000, 1700));
    }
    BOOST_TEST(std::abs(means.ownTokens(shortKind).value() - 300) <= 2);
    BOOST_TEST(std::abs(means.ownTokens(longKind).value() - 1700) <= 2);
    BOOST_TEST(std::abs(means.ownTokens(unknownKind).value() - 1000) <= 20);
    BOOST_TEST(means.othersTokens(1, manyPrompts) == 1000 + 6000,
               boost::test_tools::tolerance(0.03));
}

/// Guards against one wrong declared length that makes all requests of other routers look large.
BOOST_AUTO_TEST_CASE(aWrongLengthHardlyChangesTheMean)
{
    RequestSizeMeans means;
    for (int i = 0; i < 500; ++i)
        means.record(1, size(1, 2000, 1000));
    means.record(1, size(1, 2000, 400'000));
    BOOST_TEST(means.ownTokens(1) < Base::Tokens(1200));
    BOOST_TEST(means.othersTokens(1, manyPrompts) < 3200);
    // The request itself counts as declared.
    BOOST_TEST(!KvCacheBudget().admits(size(1, 2000, 400'000), memory, 0, 0));
}

/// Guards against a map that grows with each kind that callers name.
BOOST_AUTO_TEST_CASE(theNumberOfKindsIsLimited)
{
    RequestSizeMeans means({.maximumKinds = 2});
    for (std::uint64_t kind = 1; kind <= 3; ++kind)
        means.record(kind, size(1, 2000, kind == 3 ? 5000 : 1000));
    BOOST_TEST(means.ownTokens(1) == Base::Tokens(1000));
    BOOST_TEST(means.ownTokens(3) < Base::Tokens(3000));
}
