#pragma once

#include "base/units.h"
#include "errors/errorkind.h"
#include "retry/backoff.h"
#include "retry/deadline.h"
#include "retry/retrybudget.h"

namespace Lagoonbank::Retry {

/// A failed attempt.
struct AttemptFailure
{
    Errors::ErrorKind kind = Errors::ErrorKind::Internal;
    bool mayHaveBeenSent = true; ///< Part of the request may have been sent.
    bool provenNotRun = false; ///< The endpoint reported that the request was not run.
    bool headForwarded = false; ///< The caller has the answer's head; the status is final.
    Base::Tokens tokensForwarded; ///< Tokens of a stream that have been sent to the caller.
    Base::Bytes bytesForwarded; ///< Body bytes of a plain answer that have been sent to the caller.
    bool wasResume = false; ///< The attempt tried to resume a stream, not to start a new run.
};

/// Properties of the request and the state of its earlier attempts.
struct RequestTraits
{
    bool idempotent = false;
    bool resumable = false; ///< The answer is a stream that can be resumed from an offset.
    bool earlierMayHaveRun = false; ///< An attempt before the failed one may have run.
    int attempts = 1; ///< Attempts so far, including the failed one but without resumes.
    int resumes = 0; ///< Attempts to resume so far.
    Deadline deadline;
};

/// Limits that a retry must meet. `endpoint` is the budget of the endpoint that the retry would be
/// sent to.
struct Limits
{
    const RetryBudget *workspace = nullptr;
    const RetryBudget *endpoint = nullptr;
    int maxAttempts = 3;
    int maxResumes = 3;
    /// Time that must remain until the deadline when the next attempt starts, after its backoff.
    Base::Duration minimumAttemptTime = std::chrono::milliseconds(1);
};

enum class RetryAction {
    RetryElsewhere, ///< Start a new run on another endpoint; the caller has received no output.
    ResumeSameEndpoint, ///< Resume the run from an offset, over a new connection.
    RestartElsewhere, ///< Start a new run on another endpoint; forward its output from an offset.
    Fail ///< Report the failure to the caller.
};

/// Next step after a failed attempt. On Fail, `kind` and `ran` are reported to the caller.
struct RetryDecision
{
    RetryAction action = RetryAction::Fail;
    Base::Duration wait{}; ///< Backoff before the next attempt.
    Base::Tokens from; ///< Offset of the first token that the caller has not received.
    Errors::ErrorKind kind = Errors::ErrorKind::Internal;
    Errors::Ran ran = Errors::Ran::Unknown;
};

/// Decides how to proceed after a failed attempt. Does not change the budgets; the caller spends
/// them when it acts on the decision. A request that is not idempotent and may have run is never
/// run again; its stream may be resumed, as that starts no new run.
RetryDecision decide(const AttemptFailure &failure, const RequestTraits &traits,
                     const Limits &limits, const Backoff &backoff, Base::MonoTime now);

} // namespace Lagoonbank::Retry
