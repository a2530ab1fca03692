#include "retry/retrydecision.h"

namespace Lagoonbank::Retry {

using Base::Duration;
using Base::MonoTime;
using Errors::ErrorKind;
using Errors::Ran;

namespace {

// A failure that another endpoint or connection may not have. What the caller or the contract got
// wrong stays wrong elsewhere.
bool mayGoBetterElsewhere(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::Overloaded:
    case ErrorKind::QueueFull:
    case ErrorKind::NoEndpoint:
    case ErrorKind::EndpointRefused:
    case ErrorKind::EndpointUnreachable:
    case ErrorKind::EndpointTimeout:
    case ErrorKind::EndpointBroke:
    case ErrorKind::AnswerMismatch:
        return true;
    default:
        return false;
    }
}

bool thisMayHaveRun(const AttemptFailure &failure)
{
    return failure.mayHaveLeft && !failure.provenNotRun && !failure.wasResume;
}

// A refused or unsent resume proves only that the resume did nothing; the run before it stands.
bool anyMayHaveRun(const AttemptFailure &failure, const RequestTraits &traits)
{
    const bool hasOutput = failure.headForwarded || failure.tokensForwarded.value() > 0
        || failure.bytesForwarded.value() > 0;
    return thisMayHaveRun(failure) || traits.earlierMayHaveRun || failure.wasResume || hasOutput;
}

bool budgetsAllow(const Limits &limits, MonoTime now)
{
    if (limits.workspace && !limits.workspace->available(now))
        return false;
    return !limits.endpoint || limits.endpoint->available(now);
}

RetryAction wantedAction(const AttemptFailure &failure, const RequestTraits &traits,
                         const Limits &limits)
{
    if (!mayGoBetterElsewhere(failure.kind))
        return RetryAction::Fail;

    // The stream's own run may still be there. A mismatched answer was another request's; an
    // endpoint that proved that nothing ran has nothing to resume.
    const bool runMayStand = failure.kind != ErrorKind::AnswerMismatch && !failure.provenNotRun
        && (thisMayHaveRun(failure) || failure.wasResume);
    if (traits.resumable && runMayStand && traits.resumes < limits.maxResumes)
        return RetryAction::ResumeSameEndpoint;

    if (!traits.idempotent && anyMayHaveRun(failure, traits))
        return RetryAction::Fail;
    if (traits.attempts >= limits.maxAttempts)
        return RetryAction::Fail;
    if (failure.tokensForwarded.value() > 0)
        return traits.resumable ? RetryAction::RestartElsewhere : RetryAction::Fail;
    if (failure.bytesForwarded.value() > 0)
        return RetryAction::Fail;
    if (failure.headForwarded && !traits.resumable)
        return RetryAction::Fail;
    return RetryAction::RetryElsewhere;
}

} // namespace

RetryDecision decide(const AttemptFailure &failure, const RequestTraits &traits,
                     const Limits &limits, const Backoff &backoff, MonoTime now)
{
    RetryDecision decision{
        .from = failure.tokensForwarded,
        .kind = failure.kind,
        .ran = anyMayHaveRun(failure, traits) ? Ran::Unknown : Ran::No,
    };
    const RetryAction wanted = wantedAction(failure, traits, limits);
    if (wanted == RetryAction::Fail)
        return decision;
    if (!budgetsAllow(limits, now)) {
        decision.kind = ErrorKind::RetryBudgetSpent;
        return decision;
    }
    const Duration wait = backoff.wait(traits.attempts + traits.resumes - 1);
    if (!traits.deadline.leavesTime(now, wait, limits.minimumAttemptTime)) {
        decision.kind = ErrorKind::DeadlinePassed;
        return decision;
    }
    decision.action = wanted;
    decision.wait = wait;
    return decision;
}

} // namespace Lagoonbank::Retry
