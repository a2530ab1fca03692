#define BOOST_TEST_MODULE retrydecision
#include <boost/test/unit_test.hpp>

#include "retry/retrydecision.h"

#include <functional>
#include <string>

using namespace Lagoonbank;
using namespace Lagoonbank::Base;
using namespace Lagoonbank::Errors;
using namespace Lagoonbank::Retry;

namespace {

const MonoTime start{std::chrono::hours(1)};
const RetryBudget full({}, start);
const RetryBudget spent({.retriesPerSuccess = 0, .retriesPerSecond = 0, .capacity = 0}, start);

const Backoff &noWait()
{
    static const Backoff backoff{.random = [] { return 0.0; }};
    return backoff;
}

struct Inputs
{
    AttemptFailure failure;
    RequestTraits traits;
    bool workspaceHasBudget = true;
    bool endpointHasBudget = true;
};

RetryDecision decideFor(const Inputs &in)
{
    return decide(in.failure, in.traits,
                  {.workspace = in.workspaceHasBudget ? &full : &spent,
                   .endpoint = in.endpointHasBudget ? &full : &spent},
                  noWait(), start);
}

// Visits every combination of the inputs, including impossible ones.
void forEveryInput(const std::function<void(const Inputs &)> &visit)
{
    for (const ErrorRow &row : errorTable()) {
        for (unsigned bits = 0; bits < (1U << 11U); ++bits) {
            const auto bit = [bits](unsigned i) { return ((bits >> i) & 1U) != 0; };
            Inputs in;
            in.failure.kind = row.kind;
            in.failure.mayHaveBeenSent = bit(0);
            in.failure.provenNotRun = bit(1);
            in.failure.headForwarded = bit(2);
            in.failure.tokensForwarded = Tokens(bit(3) ? 7 : 0);
            in.failure.bytesForwarded = Bytes(bit(4) ? 99 : 0);
            in.failure.wasResume = bit(5);
            in.traits.idempotent = bit(6);
            in.traits.resumable = bit(7);
            in.traits.earlierMayHaveRun = bit(8);
            in.workspaceHasBudget = bit(9);
            in.endpointHasBudget = bit(10);
            for (const int attempts : {1, 3}) {
                for (const int resumes : {0, 3}) {
                    for (const Duration left : {Duration(1s), Duration(1ms)}) {
                        in.traits.attempts = attempts;
                        in.traits.resumes = resumes;
                        in.traits.deadline.answerBy = start + left;
                        visit(in);
                    }
                }
            }
        }
    }
}

bool isNewRun(RetryAction action)
{
    return action == RetryAction::RetryElsewhere || action == RetryAction::RestartElsewhere;
}

} // namespace

BOOST_AUTO_TEST_CASE(neverRerunsNonIdempotentRequestThatMayHaveRun)
{
    int newRuns = 0;
    int violations = 0;
    forEveryInput([&](const Inputs &in) {
        const bool didNotRun = !in.failure.mayHaveBeenSent || in.failure.provenNotRun;
        const bool noEarlierRun = !in.traits.earlierMayHaveRun && !in.failure.wasResume;
        if (!isNewRun(decideFor(in).action))
            return;
        ++newRuns;
        if (!in.traits.idempotent && !(didNotRun && noEarlierRun))
            ++violations;
    });
    BOOST_TEST(newRuns > 0);
    BOOST_TEST(violations == 0);
}

BOOST_AUTO_TEST_CASE(reportsNotRunOnlyIfNoAttemptMayHaveRun)
{
    int violations = 0;
    forEveryInput([&](const Inputs &in) {
        const RetryDecision decision = decideFor(in);
        if (decision.action != RetryAction::Fail || decision.ran != Ran::No)
            return;
        const bool didNotRun = !in.failure.mayHaveBeenSent || in.failure.provenNotRun;
        if (!didNotRun || in.failure.wasResume || in.traits.earlierMayHaveRun
            || in.failure.tokensForwarded.value() > 0)
            ++violations;
    });
    BOOST_TEST(violations == 0);
}

BOOST_AUTO_TEST_CASE(neverForwardsOutputTwice)
{
    int violations = 0;
    forEveryInput([&](const Inputs &in) {
        const RetryDecision decision = decideFor(in);
        if (decision.action == RetryAction::Fail)
            return;
        const bool hasTokens = in.failure.tokensForwarded.value() > 0;
        const bool hasBytes = in.failure.bytesForwarded.value() > 0;
        if (decision.from != in.failure.tokensForwarded)
            ++violations;
        if (decision.action == RetryAction::RetryElsewhere && (hasTokens || hasBytes))
            ++violations;
        if ((hasTokens || hasBytes) && !in.traits.resumable)
            ++violations;
    });
    BOOST_TEST(violations == 0);
}

BOOST_AUTO_TEST_CASE(limitsApplyToEveryAttempt)
{
    int violations = 0;
    forEveryInput([&](const Inputs &in) {
        const RetryDecision decision = decideFor(in);
        if (decision.action == RetryAction::Fail)
            return;
        const bool isInTime = in.traits.deadline.leavesTime(start, decision.wait, 1ms);
        const bool isResume = decision.action == RetryAction::ResumeSameEndpoint;
        const bool isBelowLimit = isResume ? in.traits.resumes < 3 : in.traits.attempts < 3;
        if (!in.workspaceHasBudget || !in.endpointHasBudget || !isInTime || !isBelowLimit)
            ++violations;
    });
    BOOST_TEST(violations == 0);
}

BOOST_AUTO_TEST_CASE(usualFailures)
{
    using enum ErrorKind;
    struct Row
    {
        std::string name;
        AttemptFailure failure;
        RequestTraits traits;
        RetryAction action;
        ErrorKind kind;
        Ran ran;
    };
    const Deadline inTime{.answerBy = start + 1s};
    const RequestTraits model{.idempotent = true, .resumable = true, .deadline = inTime};
    const RequestTraits once{.idempotent = false, .resumable = false, .deadline = inTime};
    RequestTraits resumesUsedUp = model;
    resumesUsedUp.resumes = 3;
    RequestTraits attemptsUsedUp = model;
    attemptsUsedUp.attempts = 3;
    RequestTraits nearDeadline = model;
    nearDeadline.deadline.answerBy = start + 2ms;
    RequestTraits nonIdempotentStream = once;
    nonIdempotentStream.resumable = true;

    const Row rows[] = {
        {"connection refused",
         {.kind = EndpointUnreachable, .mayHaveBeenSent = false},
         once,
         RetryAction::RetryElsewhere,
         EndpointUnreachable,
         Ran::No},
        {"proven refusal",
         {.kind = EndpointRefused, .provenNotRun = true},
         once,
         RetryAction::RetryElsewhere,
         EndpointRefused,
         Ran::No},
        {"non-idempotent request timed out",
         {.kind = EndpointTimeout},
         once,
         RetryAction::Fail,
         EndpointTimeout,
         Ran::Unknown},
        {"connection of non-idempotent request broke",
         {.kind = EndpointBroke},
         once,
         RetryAction::Fail,
         EndpointBroke,
         Ran::Unknown},
        {"stream broke",
         {.kind = EndpointBroke, .headForwarded = true, .tokensForwarded = Tokens(7)},
         model,
         RetryAction::ResumeSameEndpoint,
         EndpointBroke,
         Ran::Unknown},
        {"nothing to resume",
         {.kind = EndpointRefused,
          .provenNotRun = true,
          .headForwarded = true,
          .tokensForwarded = Tokens(7),
          .wasResume = true},
         model,
         RetryAction::RestartElsewhere,
         EndpointRefused,
         Ran::Unknown},
        {"resumes used up",
         {.kind = EndpointBroke, .tokensForwarded = Tokens(7), .wasResume = true},
         resumesUsedUp,
         RetryAction::RestartElsewhere,
         EndpointBroke,
         Ran::Unknown},
        {"non-idempotent stream is resumed",
         {.kind = EndpointBroke, .tokensForwarded = Tokens(7)},
         nonIdempotentStream,
         RetryAction::ResumeSameEndpoint,
         EndpointBroke,
         Ran::Unknown},
        {"non-idempotent stream is not restarted",
         {.kind = EndpointRefused,
          .provenNotRun = true,
          .tokensForwarded = Tokens(7),
          .wasResume = true},
         nonIdempotentStream,
         RetryAction::Fail,
         EndpointRefused,
         Ran::Unknown},
        {"answer of another request",
         {.kind = AnswerMismatch},
         model,
         RetryAction::RetryElsewhere,
         AnswerMismatch,
         Ran::Unknown},
        {"attempts used up",
         {.kind = EndpointRefused, .provenNotRun = true},
         attemptsUsedUp,
         RetryAction::Fail,
         EndpointRefused,
         Ran::No},
        {"caller disconnected",
         {.kind = CallerLeft},
         model,
         RetryAction::Fail,
         CallerLeft,
         Ran::Unknown},
        {"too little time before the deadline",
         {.kind = EndpointRefused, .provenNotRun = true},
         nearDeadline,
         RetryAction::Fail,
         DeadlinePassed,
         Ran::No},
        {"connection broke within the body of a plain answer",
         {.kind = EndpointBroke, .headForwarded = true, .bytesForwarded = Bytes(10)},
         {.idempotent = true, .deadline = inTime},
         RetryAction::Fail,
         EndpointBroke,
         Ran::Unknown},
    };
    for (const Row &row : rows) {
        BOOST_TEST_CONTEXT(row.name)
        {
            const RetryDecision decision = decideFor({row.failure, row.traits});
            BOOST_TEST((decision.action == row.action));
            BOOST_TEST(toString(decision.kind) == toString(row.kind));
            BOOST_TEST(toString(decision.ran) == toString(row.ran));
        }
    }
}

BOOST_AUTO_TEST_CASE(reportsSpentRetryBudget)
{
    Inputs in{.failure = {.kind = ErrorKind::EndpointRefused, .provenNotRun = true},
              .traits = {.idempotent = true, .deadline = {.answerBy = start + 1s}}};
    in.workspaceHasBudget = false;
    BOOST_TEST((decideFor(in).kind == ErrorKind::RetryBudgetSpent));
    BOOST_TEST((decideFor(in).ran == Ran::No));
}
