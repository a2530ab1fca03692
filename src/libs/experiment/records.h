#pragma once

#include "errors/errorkind.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Lagoonbank::Experiment {

/// Result of one call as far as its caller can know it.
enum class CallerOutcome : std::uint8_t {
    Whole, ///< The complete answer arrived.
    Refused, ///< The error states that the call did not run.
    Failed, ///< The error states that the call ran, or no router could be reached.
    Unknown ///< The answer broke off or is missing, or the error leaves open whether it ran.
};

/// How an answer compares with the expected answer to its request. Foreign: it has parts of the
/// answer to another request. Cut: parts are missing or repeated.
enum class AnswerCheck : std::uint8_t { NotChecked, Matches, Foreign, Cut };

/// One call as seen by its caller.
struct CallerRecord
{
    std::uint64_t number = 0; ///< Number of the planned call, shared by retries and duplicate.
    std::string requestId; ///< X-Request-Id of the answer; empty if there was none.
    std::string workspace;
    std::string key; ///< Idempotency-Key; empty if none was sent.
    std::string endpoint; ///< X-Endpoint of the answer.
    std::string errorKind;
    std::string limit; ///< Limit of the contract because of which the call was refused.
    std::string chat;
    int turn = 0;
    bool isModelCall = true;
    bool isIdempotent = true;
    CallerOutcome outcome = CallerOutcome::Unknown;
    Errors::Ran ran = Errors::Ran::Unknown;
    AnswerCheck check = AnswerCheck::NotChecked;
    std::int64_t tokens = 0; ///< Tokens received.
    bool isMeasured = true; ///< False for calls sent during the warm-up.
};

/// Outcome of one request as reported by a router.
struct OutcomeRecord
{
    std::string requestId;
    std::string outcome; ///< "whole", "refused", "cut_off", "unknown"
    std::string ran; ///< "no", "yes", "unknown"
    std::string endpoint;
};

/// One request that an endpoint reports having received.
struct LedgerEntry
{
    std::string requestId;
    std::string key;
    std::string state; ///< "running", "whole", "cancelled", "crashed"
    std::int64_t startedMs = 0; ///< Wall-clock time; 0 if the request never started.
    std::optional<std::int64_t> cachedTokens;
    std::optional<std::int64_t> promptTokens;
    std::optional<std::int64_t> tokens;
};

/// Requests that an endpoint reports having received.
struct Ledger
{
    std::string endpoint;
    /// False if the ledger could not be read or has dropped entries, or if the process was
    /// replaced.
    bool isComplete = true;
    std::vector<LedgerEntry> entries;
};

/// Period in which an endpoint was being drained.
struct DrainPeriod
{
    std::string endpoint;
    std::int64_t acceptedMs = 0; ///< Wall-clock time at which the drain was accepted.
    std::optional<std::int64_t> endedMs; ///< Wall-clock time at which the drain was reverted.
};

/// Revision of a configuration object that a router had applied at a point in time.
struct RevisionSample
{
    std::string router;
    std::string object;
    std::int64_t sampledMs = 0;
    std::int64_t revision = 0;
};

/// The records that reconcile() compares.
struct Evidence
{
    std::vector<CallerRecord> callers;
    std::vector<OutcomeRecord> outcomes;
    std::vector<Ledger> ledgers;
    std::vector<DrainPeriod> drains;
    std::vector<RevisionSample> revisions; ///< Sorted by time for each router.
};

} // namespace Lagoonbank::Experiment
