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
const RetryBudget spent({.ratio = 0, .perSecond = 0, .capacity = 0}, start);

const Backoff &noWait()
{
    static const Backoff backoff{.random = [] { return 0.0; }};
    return backoff;
}

struct Inputs
{
    AttemptFailure failure;
    RequestTraits traits;
    bool workspaceHas = true;
    bool endpointHas = true;
};

RetryDecision decideFor(const Inputs &in)
{
    return decide(in.failure, in.traits,
                  {.workspace = in.workspaceHas ? &full : &spent,
                   .endpoint = in.endpointHas ? &full : &spent},
                  noWait(), start);
}

// Every combination of the inputs; the ones that cannot happen are visited too.
void forEveryInput(const std::function<void(const Inputs &)> &visit)
{
    for (const ErrorRow &row : errorTable()) {
        for (unsigned bits = 0; bits < (1U << 11U); ++bits) {
            const auto bit = [bits](unsigned i) { return ((bits >> i) & 1U) != 0; };
            Inputs in;
            in.failure.kind = row.kind;
            in.failure.mayHaveLeft = bit(0);
            in.failure.provenNotRun = bit(1);
            in.failure.headForwarded = bit(2);
            in.failure.tokensForwarded = Tokens(bit(3) ? 7 : 0);
            in.failure.bytesForwarded = Bytes(bit(4) ? 99 : 0);
            in.failure.wasResume = bit(5);
            in.traits.idempotent = bit(6);
            in.traits.resumable = bit(7);
            in.traits.earlierMayHaveRun = bit(8);
            in.workspaceHas = bit(9);
            in.endpointHas = bit(10);
            for (const int attempts : {1, 3}) {
                for (const int resumes : {0, 3}) {
                    for (const Duration left : {Duration(1s), Duration(1ms)}) {
                        in.traits.attempts = attempts;
                        in.traits.resumes = resumes;
                        in.traits.deadline.at = start + left;
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
    int broken = 0;
    forEveryInput([&](const Inputs &in) {
        const bool safe = !in.failure.mayHaveLeft || in.failure.provenNotRun;
        const bool nothingBefore = !in.traits.earlierMayHaveRun && !in.failure.wasResume;
        if (!isNewRun(decideFor(in).action))
            return;
        ++newRuns;
        if (!in.traits.idempotent && !(safe && nothingBefore))
            ++broken;
    });
    BOOST_TEST(newRuns > 0);
    BOOST_TEST(broken == 0);
}

BOOST_AUTO_TEST_CASE(reportsNotRunOnlyIfNoAttemptMayHaveRun)
{
    int wrong = 0;
    forEveryInput([&](const Inputs &in) {
        const RetryDecision decision = decideFor(in);
        if (decision.action != RetryAction::Fail || decision.ran != Ran::No)
            return;
        const bool thisSafe = !in.failure.mayHaveLeft || in.failure.provenNotRun;
        if (!thisSafe || in.failure.wasResume || in.traits.earlierMayHaveRun
            || in.failure.tokensForwarded.value() > 0)
            ++wrong;
    });
    BOOST_TEST(wrong == 0);
}

BOOST_AUTO_TEST_CASE(neverForwardsOutputTwice)
{
    int wrong = 0;
    forEveryInput([&](const Inputs &in) {
        const RetryDecision decision = decideFor(in);
        if (decision.action == RetryAction::Fail)
            return;
        const bool hasTokens = in.failure.tokensForwarded.value() > 0;
        const bool hasBytes = in.failure.bytesForwarded.value() > 0;
        if (decision.from != in.failure.tokensForwarded)
            ++wrong;
        if (decision.action == RetryAction::RetryElsewhere && (hasTokens || hasBytes))
            ++wrong;
        if ((hasTokens || hasBytes) && !in.traits.resumable)
            ++wrong;
    });
    BOOST_TEST(wrong == 0);
}

BOOST_AUTO_TEST_CASE(limitsApplyToEveryAttempt)
{
    int wrong = 0;
    forEveryInput([&](const Inputs &in) {
        const RetryDecision decision = decideFor(in);
        if (decision.action == RetryAction::Fail)
            return;
        const bool inTime = in.traits.deadline.leavesTime(start, decision.wait, 1ms);
        const bool isResume = decision.action == RetryAction::ResumeSameEndpoint;
        const bool underCount = isResume ? in.traits.resumes < 3 : in.traits.attempts < 3;
        if (!in.workspaceHas || !in.endpointHas || !inTime || !underCount)
            ++wrong;
    });
    BOOST_TEST(wrong == 0);
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
    const Deadline inTime{.at = start + 1s};
    const RequestTraits model{.idempotent = true, .resumable = true, .deadline = inTime};
    const RequestTraits once{.idempotent = false, .resumable = false, .deadline = inTime};
    RequestTraits resumedOut = model;
    resumedOut.resumes = 3;
    RequestTraits triedOut = model;
    triedOut.attempts = 3;
    RequestTraits late = model;
    late.deadline.at = start + 2ms;
    RequestTraits onceStream = once;
    onceStream.resumable = true;

    const Row rows[] = {
        {"connect refused",
         {.kind = EndpointUnreachable, .mayHaveLeft = false},
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
        {"booking timed out",
         {.kind = EndpointTimeout},
         once,
         RetryAction::Fail,
         EndpointTimeout,
         Ran::Unknown},
        {"booking's connection broke",
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
        {"resume found nothing",
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
         resumedOut,
         RetryAction::RestartElsewhere,
         EndpointBroke,
         Ran::Unknown},
        {"stream not to be run twice is resumed",
         {.kind = EndpointBroke, .tokensForwarded = Tokens(7)},
         onceStream,
         RetryAction::ResumeSameEndpoint,
         EndpointBroke,
         Ran::Unknown},
        {"and not restarted",
         {.kind = EndpointRefused,
          .provenNotRun = true,
          .tokensForwarded = Tokens(7),
          .wasResume = true},
         onceStream,
         RetryAction::Fail,
         EndpointRefused,
         Ran::Unknown},
        {"another's answer",
         {.kind = AnswerMismatch},
         model,
         RetryAction::RetryElsewhere,
         AnswerMismatch,
         Ran::Unknown},
        {"attempts used up",
         {.kind = EndpointRefused, .provenNotRun = true},
         triedOut,
         RetryAction::Fail,
         EndpointRefused,
         Ran::No},
        {"caller left", {.kind = CallerLeft}, model, RetryAction::Fail, CallerLeft, Ran::Unknown},
        {"no time",
         {.kind = EndpointRefused, .provenNotRun = true},
         late,
         RetryAction::Fail,
         DeadlinePassed,
         Ran::No},
        {"plain answer broke in its body",
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
              .traits = {.idempotent = true, .deadline = {.at = start + 1s}}};
    in.workspaceHas = false;
    BOOST_TEST((decideFor(in).kind == ErrorKind::RetryBudgetSpent));
    BOOST_TEST((decideFor(in).ran == Ran::No));
}
