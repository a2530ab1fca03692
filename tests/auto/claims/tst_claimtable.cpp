#define BOOST_TEST_MODULE tst_claimtable
#include <boost/test/unit_test.hpp>

#include "claims/claimtable.h"
#include "runtime/clock.h"

using namespace Lagoonbank;
using namespace Lagoonbank::Claims;
using namespace std::chrono_literals;
using Errors::Ran;

namespace {

Claim claimOf(const std::string &request, const std::string &key = "k", std::uint64_t call = 1)
{
    return {.key = {Base::WorkspaceId("qila"), Base::IdempotencyKey(key)},
            .request = Base::RequestId(request),
            .router = {Base::VmId("vm-" + request), Base::Incarnation(1)},
            .call = CallHash(call)};
}

/// One record: a claim of `request`, or its outcome if `ran` is set.
struct Step
{
    std::string request;
    std::optional<Ran> ran;
    std::uint64_t call = 1;
};

struct StatusCase
{
    const char *name;
    std::vector<Step> steps;
    Claim asked;
    ClaimStatus claimStatus;
    bool holderIsGone = false;
};

const StatusCase statusCases[] = {
    {"no claim yet", {}, claimOf("a"), ClaimStatus::Free},
    {"first claim holds the key", {{"a"}, {"b"}}, claimOf("a"), ClaimStatus::Held},
    {"second claim has to wait", {{"a"}, {"b"}}, claimOf("b"), ClaimStatus::Running},
    {"router crashed before the outcome", {{"a"}}, claimOf("b"), ClaimStatus::Unknown, true},
    {"router crashed after the outcome",
     {{"a"}, {"a", Ran::Yes}},
     claimOf("b"),
     ClaimStatus::Ended,
     true},
    {"outcome unknown", {{"a"}, {"a", Ran::Unknown}}, claimOf("b"), ClaimStatus::Unknown},
    {"unknown outcome resolved later",
     {{"a"}, {"a", Ran::Unknown}, {"a", Ran::Yes}},
     claimOf("b"),
     ClaimStatus::Ended},
    {"first outcome is kept",
     {{"a"}, {"a", Ran::Yes}, {"a", Ran::No}},
     claimOf("b"),
     ClaimStatus::Ended},
    {"did not run", {{"a"}, {"a", Ran::No}}, claimOf("b"), ClaimStatus::Free},
    {"claimed again after it did not run",
     {{"a"}, {"a", Ran::No}, {"b"}},
     claimOf("b"),
     ClaimStatus::Held},
    {"claim read after its release", {{"a", Ran::No}, {"a"}}, claimOf("b"), ClaimStatus::Free},
    {"outcome of a rejected claim does not affect the holder",
     {{"a"}, {"b"}, {"b", Ran::No}},
     claimOf("c"),
     ClaimStatus::Running},
    {"ran without a claim on the log", {{"a", Ran::Yes}}, claimOf("b"), ClaimStatus::Ended},
    {"another call under the key", {{"a"}}, claimOf("b", "k", 2), ClaimStatus::KeyReused},
    {"another call after the end",
     {{"a"}, {"a", Ran::Yes}},
     claimOf("b", "k", 2),
     ClaimStatus::KeyReused},
    {"another key", {{"a"}}, claimOf("b", "l"), ClaimStatus::Free},
};

} // namespace

BOOST_AUTO_TEST_CASE(firstClaimOnLogWins)
{
    const Runtime::ManualClock clock;
    for (const StatusCase &row : statusCases) {
        BOOST_TEST_CONTEXT(row.name)
        {
            ClaimTable table({});
            for (const Step &step : row.steps) {
                const Claim claim = claimOf(step.request, "k", step.call);
                if (step.ran)
                    table.apply(ClaimOutcome{claim, {.ran = *step.ran}}, clock.now());
                else
                    table.apply(claim, clock.now());
            }
            const auto isGone = [&](const RouterInstance &) { return row.holderIsGone; };
            BOOST_TEST((table.claimStatus(row.asked, clock.now(), isGone) == row.claimStatus));
        }
    }
}

BOOST_AUTO_TEST_CASE(evictsAfterWindowAndStaysBounded)
{
    Runtime::ManualClock clock;
    ClaimTable table({.window = 10s, .fullThreshold = 3, .capacity = 5});
    for (int i = 0; i < 100; ++i)
        table.apply(claimOf("r", std::to_string(i)), clock.now());
    BOOST_TEST(table.size() == 5);
    BOOST_TEST(table.isFull());
    BOOST_TEST(table.find(claimOf("r", "99").key) != nullptr);
    clock.advance(11s);
    table.apply(claimOf("r", "new"), clock.now());
    BOOST_TEST(table.size() == 1);
    for (int i = 0; i < 100; ++i) {
        table.apply(ClaimOutcome{claimOf(std::to_string(i), "new"), {.ran = Ran::No}}, clock.now());
        table.apply(claimOf(std::to_string(i + 1), "new"), clock.now());
    }
    BOOST_TEST(table.size() == 1);
}

BOOST_AUTO_TEST_CASE(runWithoutOutcomeBecomesUnknown)
{
    Runtime::ManualClock clock;
    ClaimTable table({.maxRunTime = 60s});
    table.apply(claimOf("a"), clock.now());
    const auto isGone = [](const RouterInstance &) { return false; };
    clock.advance(59s);
    BOOST_TEST((table.claimStatus(claimOf("b"), clock.now(), isGone) == ClaimStatus::Running));
    clock.advance(2s);
    BOOST_TEST((table.claimStatus(claimOf("b"), clock.now(), isGone) == ClaimStatus::Unknown));
}
