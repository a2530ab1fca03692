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
            .view = CallerView::Whole,
            .ran = Errors::Ran::Yes,
            .check = AnswerCheck::Fits,
            .tokens = 4};
}

LedgerEntry wholeRun(const std::string &requestId)
{
    return {.requestId = requestId, .state = "whole", .startedMs = startMs, .tokens = 4};
}

/// A model call, a booking sent twice and a refused call, all as they should be.
Evidence goodEvidence()
{
    Evidence evidence;
    evidence.callers.push_back(wholeCall("model"));

    CallerRecord booking = wholeCall("booking");
    booking.endpoint = "booking-1";
    booking.isModelCall = false;
    booking.isIdempotent = false;
    booking.key = "key-1";
    CallerRecord again = booking;
    again.requestId = "booking-again";
    evidence.callers.push_back(booking);
    evidence.callers.push_back(again);

    evidence.callers.push_back(
        {.requestId = "refused", .view = CallerView::Refused, .ran = Errors::Ran::No});

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
    Promise promise;
    std::function<void(Evidence &)> cause;
};

std::ostream &operator<<(std::ostream &stream, const Breach &breach)
{
    return stream << breach.name;
}

const std::vector<Breach> breaches{
    {"answer of another request", Promise::CrossedAnswers,
     [](Evidence &e) { e.callers[0].check = AnswerCheck::Foreign; }},
    {"crossed answer that ended in an error", Promise::CrossedAnswers,
     [](Evidence &e) { e.callers.push_back({.requestId = "x", .check = AnswerCheck::Foreign}); }},
    {"whole answer with a gap", Promise::CutAnswers,
     [](Evidence &e) { e.callers[0].check = AnswerCheck::Cut; }},
    {"answer shorter than the run", Promise::CutAnswers,
     [](Evidence &e) { e.callers[0].tokens = 3; }},
    {"caller was told that it did not run", Promise::RefusedButRan,
     [](Evidence &e) { e.ledgers[0].entries.push_back(wholeRun("refused")); }},
    {"a run that crashed is a run", Promise::RefusedButRan,
     [](Evidence &e) {
         LedgerEntry run = wholeRun("refused");
         run.state = "crashed";
         e.ledgers[0].entries.push_back(run);
     }},
    {"router alone says that it did not run", Promise::RefusedButRan,
     [](Evidence &e) { e.outcomes[0].ran = "no"; }},
    {"one key ran at two endpoints", Promise::RanTwice,
     [](Evidence &e) {
         LedgerEntry run = wholeRun("booking-again");
         run.key = "key-1";
         e.ledgers.push_back({.endpoint = "booking-2", .entries = {run}});
     }},
    {"one request without a key ran twice", Promise::RanTwice,
     [](Evidence &e) {
         CallerRecord call = wholeCall("once");
         call.isModelCall = false;
         call.isIdempotent = false;
         e.callers.push_back(call);
         e.ledgers[1].entries.push_back(wholeRun("once"));
         e.ledgers[1].entries.push_back(wholeRun("once"));
     }},
    {"answered but no endpoint ran it", Promise::LostAccepted,
     [](Evidence &e) { e.ledgers[0].entries.clear(); }},
    {"answered but the run was cancelled", Promise::LostAccepted,
     [](Evidence &e) { e.ledgers[0].entries[0].state = "cancelled"; }},
    {"router alone says whole", Promise::LostAccepted,
     [](Evidence &e) {
         e.outcomes.push_back({"ghost", "whole", "yes", "engine-1"});
     }},
    {"work for a leaving endpoint", Promise::SentToLeaving,
     [](Evidence &e) { e.ledgers[0].entries[0].startedMs = startMs + drainGraceMs + 1; }},
    {"a revision goes down", Promise::ConfigReverted,
     [](Evidence &e) {
         e.revisions.push_back({"router-1", "policy/default", 3, 4});
     }},
};

} // namespace

BOOST_AUTO_TEST_CASE(keptPromisesCountZero)
{
    const Reconciliation result = reconcile(goodEvidence());
    for (std::size_t i = 0; i < promiseCount; ++i)
        BOOST_TEST(result.counts.at(i).value_or(-1) == 0, toString(static_cast<Promise>(i)));
    BOOST_TEST(result.findings.empty());
}

BOOST_DATA_TEST_CASE(brokenPromiseCountsOnce, boost::unit_test::data::make(breaches), breach)
{
    Evidence evidence = goodEvidence();
    breach.cause(evidence);
    const Reconciliation result = reconcile(evidence);
    for (std::size_t i = 0; i < promiseCount; ++i) {
        const std::int64_t expected = static_cast<Promise>(i) == breach.promise ? 1 : 0;
        BOOST_TEST(result.counts.at(i).value_or(-1) == expected, toString(static_cast<Promise>(i)));
    }
    BOOST_REQUIRE(result.findings.size() == 1);
    BOOST_TEST((result.findings.front().promise == breach.promise));
}

BOOST_AUTO_TEST_CASE(whatWasNotMeasuredIsNoZero)
{
    Evidence evidence = goodEvidence();
    evidence.ledgers.clear();
    evidence.drains.clear();
    evidence.revisions.clear();
    const Reconciliation result = reconcile(evidence);
    for (const Promise promise : {Promise::RefusedButRan, Promise::RanTwice, Promise::LostAccepted,
                                  Promise::SentToLeaving, Promise::ConfigReverted})
        BOOST_TEST(!result.count(promise).has_value(), toString(promise));
    BOOST_TEST(result.count(Promise::CrossedAnswers).has_value());
}

BOOST_AUTO_TEST_CASE(ledgerOfAReplacedEndpointProvesNoLoss)
{
    Evidence evidence = goodEvidence();
    evidence.ledgers[0].entries.clear();
    evidence.ledgers[0].isWhole = false;
    const Reconciliation result = reconcile(evidence);
    BOOST_TEST(result.count(Promise::LostAccepted).value() == 0);
    BOOST_TEST(result.unreconciled == 1);
}

BOOST_AUTO_TEST_CASE(workAfterTheEndOfADrainIsFine)
{
    Evidence evidence = goodEvidence();
    evidence.ledgers[0].entries[0].startedMs = startMs + 2 * drainGraceMs;
    evidence.drains[0].endedMs = startMs + drainGraceMs;
    BOOST_TEST(reconcile(evidence).count(Promise::SentToLeaving).value() == 0);
}

BOOST_AUTO_TEST_CASE(retriedIdempotentCallMayRunTwice)
{
    Evidence evidence = goodEvidence();
    LedgerEntry first = wholeRun("model");
    first.state = "crashed";
    evidence.ledgers[0].entries.push_back(first);
    BOOST_TEST(reconcile(evidence).count(Promise::RanTwice).value() == 0);
}

BOOST_AUTO_TEST_CASE(cacheReuseNeedsTheWholePreviousPrompt)
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
    evidence.callers[3].view = CallerView::Unknown;
    evidence.ledgers.push_back(ledger);

    const CacheReuse reuse = measureCacheReuse(evidence, 16);
    BOOST_TEST(reuse.isMeasured);
    BOOST_TEST(reuse.returning == 2);
    BOOST_TEST(reuse.landedOnCached == 1);
}
