#pragma once

#include "base/units.h"
#include "errors/errorkind.h"
#include "retry/backoff.h"
#include "retry/deadline.h"
#include "retry/retrybudget.h"

namespace Lagoonbank::Retry {

/// How one attempt ended badly.
struct AttemptFailure
{
    Errors::ErrorKind kind = Errors::ErrorKind::Internal;
    bool mayHaveLeft = true; ///< A byte of the request may have left this process.
    bool provenNotRun = false; ///< The endpoint said itself that nothing ran.
    bool headForwarded = false; ///< The caller has the answer's head: its status is fixed.
    Base::Tokens tokensForwarded; ///< Tokens of the answer that the caller has.
    Base::Bytes bytesForwarded; ///< Bytes of a plain answer's body that the caller has.
    bool wasResume = false; ///< The attempt asked for the rest of a stream, not for a new run.
};

/// What is known of the request and of its earlier attempts.
struct RequestTraits
{
    bool idempotent = false;
    bool resumable =
        false; ///< Its answer is a stream with offsets that an endpoint can go on with.
    bool earlierMayHaveRun = false; ///< An earlier attempt may have run.
    int attempts = 1; ///< Runs tried so far, the failed one included; resumes don't count.
    int resumes = 0; ///< Resumes tried so far.
    Deadline deadline;
};

/// What limits retries; the endpoint's budget is the one of the endpoint that would be asked next.
struct Limits
{
    const RetryBudget *workspace = nullptr;
    const RetryBudget *endpoint = nullptr;
    int maxAttempts = 3;
    int maxResumes = 3;
    Base::Duration minimumAttemptTime =
        std::chrono::milliseconds(1); ///< Less time left is no time.
};

enum class RetryAction {
    RetryElsewhere, ///< A new run on another endpoint; the caller has nothing of the answer.
    ResumeSameEndpoint, ///< The same run from an offset, over a new connection.
    RestartElsewhere, ///< A new run on another endpoint from an offset.
    Fail
};

/// What to do next. On Fail, `kind` and `ran` are what the caller is told.
struct RetryDecision
{
    RetryAction action = RetryAction::Fail;
    Base::Duration wait{}; ///< Backoff before the next attempt.
    Base::Tokens from; ///< First token that the caller does not have yet.
    Errors::ErrorKind kind = Errors::ErrorKind::Internal;
    Errors::Ran ran = Errors::Ran::Unknown;
};

/// Decides after a failed attempt. Changes nothing: whoever acts on it spends the budgets. A call
/// that is not idempotent and may have run is never run again; its stream may be resumed, which
/// runs nothing.
RetryDecision decide(const AttemptFailure &failure, const RequestTraits &traits,
                     const Limits &limits, const Backoff &backoff, Base::MonoTime now);

} // namespace Lagoonbank::Retry
