#define BOOST_TEST_MODULE reconciliation
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "experiment/reconciliation.h"

#include <functional>

using namespace Lagoonbank;
using namespace Lagoonbank::Experiment;

namespace {

constexpr std::int64_t startMs = 1'000'000;

CallerRecord wholeCall(const std::string &requestId)
{
    return {.requestId = requestId,
            .endpoint = "engine-1",
            .outcome = CallerOutcome::Whole,
            .ran = Errors::Ran::Yes,
            .check = AnswerCheck::Matches,
            .tokens = 4};
}

LedgerEntry wholeRun(const std::string &requestId)
{
    return {.requestId = requestId, .state = "whole", .startedMs = startMs, .tokens = 4};
}

/// A model call, a booking sent twice and a refused call, without any breach.
Evidence goodEvidence()
{
    Evidence evidence;
    evidence.callers.push_back(wholeCall("model"));

    CallerRecord booking = wholeCall("booking");
    booking.endpoint = "booking-1";
    booking.isModelCall = false;
    booking.isIdempotent = false;
    booking.key = "key-1";
    CallerRecord duplicate = booking;
    duplicate.requestId = "booking-again";
    evidence.callers.push_back(booking);
    evidence.callers.push_back(duplicate);

    evidence.callers.push_back(
        {.requestId = "refused", .outcome = CallerOutcome::Refused, .ran = Errors::Ran::No});

    evidence.outcomes = {{"model", "whole", "yes", "engine-1"}, {"refused", "refused", "no", ""}};
    LedgerEntry run = wholeRun("booking");
    run.key = "key-1";
    evidence.ledgers = {{.endpoint = "engine-1", .entries = {wholeRun("model")}},
                        {.endpoint = "booking-1", .entries = {run}}};
    evidence.drains = {{.endpoint = "engine-1", .acceptedMs = startMs}};
    evidence.revisions = {{"router-1", "policy/default", 1, 4},
                          {"router-1", "policy/default", 2, 5}};
    return evidence;
}

struct Breach
{
    std::string name;
    Guarantee guarantee;
    std::function<void(Evidence &)> cause;
};

std::ostream &operator<<(std::ostream &stream, const Breach &breach)
{
    return stream << breach.name;
}

const std::vector<Breach> breaches{
    {"answer of another request", Guarantee::CrossedAnswers,
     [](Evidence &e) { e.callers[0].check = AnswerCheck::Foreign; }},
    {"crossed answer that ended in an error", Guarantee::CrossedAnswers,
     [](Evidence &e) { e.callers.push_back({.requestId = "x", .check = AnswerCheck::Foreign}); }},
    {"whole answer with a gap", Guarantee::CutAnswers,
     [](Evidence &e) { e.callers[0].check = AnswerCheck::Cut; }},
    {"answer shorter than the run", Guarantee::CutAnswers,
     [](Evidence &e) { e.callers[0].tokens = 3; }},
    {"request reported to the caller as not run", Guarantee::RefusedButRan,
     [](Evidence &e) { e.ledgers[0].entries.push_back(wholeRun("refused")); }},
    {"crashed run of a refused request", Guarantee::RefusedButRan,
     [](Evidence &e) {
         LedgerEntry run = wholeRun("refused");
         run.state = "crashed";
         e.ledgers[0].entries.push_back(run);
     }},
    {"run reported as not run by the router alone", Guarantee::RefusedButRan,
     [](Evidence &e) { e.outcomes[0].ran = "no"; }},
    {"one key run by two endpoints", Guarantee::RanTwice,
     [](Evidence &e) {
         LedgerEntry run = wholeRun("booking-again");
         run.key = "key-1";
         e.ledgers.push_back({.endpoint = "booking-2", .entries = {run}});
     }},
    {"request without a key run twice", Guarantee::RanTwice,
     [](Evidence &e) {
         CallerRecord call = wholeCall("once");
         call.isModelCall = false;
         call.isIdempotent = false;
         e.callers.push_back(call);
         e.ledgers[1].entries.push_back(wholeRun("once"));
         e.ledgers[1].entries.push_back(wholeRun("once"));
     }},
    {"answered but not run by any endpoint", Guarantee::LostAccepted,
     [](Evidence &e) { e.ledgers[0].entries.clear(); }},
    {"answered but cancelled on the endpoint", Guarantee::LostAccepted,
     [](Evidence &e) { e.ledgers[0].entries[0].state = "cancelled"; }},
    {"reported as whole by the router alone", Guarantee::LostAccepted,
     [](Evidence &e) {
         e.outcomes.push_back({"ghost", "whole", "yes", "engine-1"});
     }},
    {"work started on a leaving endpoint", Guarantee::SentToLeaving,
     [](Evidence &e) { e.ledgers[0].entries[0].startedMs = startMs + drainGraceMs + 1; }},
    {"decreasing revision", Guarantee::ConfigReverted,
     [](Evidence &e) {
         e.revisions.push_back({"router-1", "policy/default", 3, 4});
     }},
};

} // namespace

BOOST_AUTO_TEST_CASE(noBreachesInGoodEvidence)
{
    const Reconciliation result = reconcile(goodEvidence());
    for (std::size_t i = 0; i < guaranteeCount; ++i)
        BOOST_TEST(result.breachCounts.at(i).value_or(-1) == 0,
                   toString(static_cast<Guarantee>(i)));
    BOOST_TEST(result.findings.empty());
}

BOOST_DATA_TEST_CASE(breachIsCountedOnce, boost::unit_test::data::make(breaches), breach)
{
    Evidence evidence = goodEvidence();
    breach.cause(evidence);
    const Reconciliation result = reconcile(evidence);
    for (std::size_t i = 0; i < guaranteeCount; ++i) {
        const std::int64_t expected = static_cast<Guarantee>(i) == breach.guarantee ? 1 : 0;
        BOOST_TEST(result.breachCounts.at(i).value_or(-1) == expected,
                   toString(static_cast<Guarantee>(i)));
    }
    BOOST_REQUIRE(result.findings.size() == 1);
    BOOST_TEST((result.findings.front().guarantee == breach.guarantee));
}

BOOST_AUTO_TEST_CASE(countsWithoutEvidenceAreEmpty)
{
    Evidence evidence = goodEvidence();
    evidence.ledgers.clear();
    evidence.drains.clear();
    evidence.revisions.clear();
    const Reconciliation result = reconcile(evidence);
    for (const Guarantee guarantee :
         {Guarantee::RefusedButRan, Guarantee::RanTwice, Guarantee::LostAccepted,
          Guarantee::SentToLeaving, Guarantee::ConfigReverted})
        BOOST_TEST(!result.breachCount(guarantee).has_value(), toString(guarantee));
    BOOST_TEST(result.breachCount(Guarantee::CrossedAnswers).has_value());
}

BOOST_AUTO_TEST_CASE(incompleteLedgerDoesNotProveALoss)
{
    Evidence evidence = goodEvidence();
    evidence.ledgers[0].entries.clear();
    evidence.ledgers[0].isComplete = false;
    const Reconciliation result = reconcile(evidence);
    BOOST_TEST(result.breachCount(Guarantee::LostAccepted).value() == 0);
    BOOST_TEST(result.unreconciled == 1);
}

BOOST_AUTO_TEST_CASE(workAfterARevertedDrainIsNoBreach)
{
    Evidence evidence = goodEvidence();
    evidence.ledgers[0].entries[0].startedMs = startMs + 2 * drainGraceMs;
    evidence.drains[0].endedMs = startMs + drainGraceMs;
    BOOST_TEST(reconcile(evidence).breachCount(Guarantee::SentToLeaving).value() == 0);
}

BOOST_AUTO_TEST_CASE(retriedIdempotentCallMayRunTwice)
{
    Evidence evidence = goodEvidence();
    LedgerEntry first = wholeRun("model");
    first.state = "crashed";
    evidence.ledgers[0].entries.push_back(first);
    BOOST_TEST(reconcile(evidence).breachCount(Guarantee::RanTwice).value() == 0);
}

BOOST_AUTO_TEST_CASE(cacheReuseNeedsTheCompletePreviousPrompt)
{
    Evidence evidence;
    Ledger ledger{.endpoint = "engine-1"};
    const std::vector<std::int64_t> cached{0, 32, 31, 0};
    for (int turn = 0; turn < 4; ++turn) {
        CallerRecord call = wholeCall("turn-" + std::to_string(turn));
        call.chat = "chat";
        call.turn = turn;
        evidence.callers.push_back(call);
        LedgerEntry run = wholeRun(call.requestId);
        run.promptTokens = 40 + turn;
        run.cachedTokens = cached[static_cast<std::size_t>(turn)];
        ledger.entries.push_back(run);
    }
    evidence.callers[3].outcome = CallerOutcome::Unknown;
    evidence.ledgers.push_back(ledger);

    const CacheReuse reuse = measureCacheReuse(evidence, 16);
    BOOST_TEST(reuse.isMeasured);
    BOOST_TEST(reuse.returning == 2);
    BOOST_TEST(reuse.landedOnCached == 1);
}
