#include "retry/retrydecision.h"

namespace Lagoonbank::Retry {

using Base::Duration;
using Base::MonoTime;
using Errors::ErrorKind;
using Errors::Ran;

namespace {

// Whether another endpoint or connection may succeed. Errors of the caller and violations of the
// contract would fail anywhere.
bool maySucceedElsewhere(ErrorKind kind)
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

bool failedAttemptMayHaveRun(const AttemptFailure &failure)
{
    return failure.mayHaveBeenSent && !failure.provenNotRun && !failure.wasResume;
}

// A refused or unsent resume only proves that the resume had no effect; the run that it was to
// resume may still have taken place.
bool anyAttemptMayHaveRun(const AttemptFailure &failure, const RequestTraits &traits)
{
    const bool hasOutput = failure.headForwarded || failure.tokensForwarded.value() > 0
        || failure.bytesForwarded.value() > 0;
    return failedAttemptMayHaveRun(failure) || traits.earlierMayHaveRun || failure.wasResume
        || hasOutput;
}

bool budgetsAllow(const Limits &limits, MonoTime now)
{
    if (limits.workspace && !limits.workspace->available(now))
        return false;
    return !limits.endpoint || limits.endpoint->available(now);
}

RetryAction preferredAction(const AttemptFailure &failure, const RequestTraits &traits,
                            const Limits &limits)
{
    if (!maySucceedElsewhere(failure.kind))
        return RetryAction::Fail;

    // The run of the stream may still exist at the endpoint. It does not if the answer belonged to
    // another request, or if the endpoint proved that nothing was run.
    const bool runMayExist = failure.kind != ErrorKind::AnswerMismatch && !failure.provenNotRun
        && (failedAttemptMayHaveRun(failure) || failure.wasResume);
    if (traits.resumable && runMayExist && traits.resumes < limits.maxResumes)
        return RetryAction::ResumeSameEndpoint;

    if (!traits.idempotent && anyAttemptMayHaveRun(failure, traits))
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
        .ran = anyAttemptMayHaveRun(failure, traits) ? Ran::Unknown : Ran::No,
    };
    const RetryAction action = preferredAction(failure, traits, limits);
    if (action == RetryAction::Fail)
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
    decision.action = action;
    decision.wait = wait;
    return decision;
}

} // namespace Lagoonbank::Retry
