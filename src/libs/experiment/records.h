#pragma once

#include "errors/errorkind.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Lagoonbank::Experiment {

/// What a caller can tell of one call.
enum class CallerView : std::uint8_t {
    Whole, ///< The whole answer came.
    Refused, ///< An error that says that the call did not run.
    Failed, ///< An error that says that it ran, or the router could not be reached.
    Unknown ///< The answer broke off, did not come, or the error says that nobody knows.
};

/// How an answer compares with the one that the request must get.
enum class AnswerCheck : std::uint8_t { NotChecked, Fits, Foreign, Cut };

/// One call as its caller saw it.
struct CallerRecord
{
    std::uint64_t number = 0; ///< Of the planned call; retries share it.
    std::string requestId; ///< X-Request-Id of the answer; empty if none came.
    std::string workspace;
    std::string key; ///< Idempotency-Key; empty if none was sent.
    std::string endpoint; ///< X-Endpoint of the answer.
    std::string errorKind;
    std::string limit; ///< Limit of the contract that refused the call.
    std::string chat;
    int turn = 0;
    bool isModelCall = true;
    bool isIdempotent = true;
    CallerView view = CallerView::Unknown;
    Errors::Ran ran = Errors::Ran::Unknown;
    AnswerCheck check = AnswerCheck::NotChecked;
    std::int64_t tokens = 0; ///< Tokens of the answer that came.
    bool counts = true; ///< False in the warm-up.
};

/// What a router says became of one request.
struct OutcomeRecord
{
    std::string requestId;
    std::string outcome; ///< "whole", "refused", "cut_off", "unknown"
    std::string ran; ///< "no", "yes", "unknown"
    std::string endpoint;
};

/// What an endpoint says it ran.
struct LedgerEntry
{
    std::string requestId;
    std::string key;
    std::string state; ///< "running", "whole", "cancelled", "crashed"
    std::int64_t startedMs = 0; ///< Wall clock; 0 if it never started.
    std::optional<std::int64_t> cachedTokens;
    std::optional<std::int64_t> promptTokens;
    std::optional<std::int64_t> tokens;
};

struct Ledger
{
    std::string endpoint;
    bool isWhole = true; ///< False if it could not be read or the process was replaced in the run.
    std::vector<LedgerEntry> entries;
};

/// An endpoint that was told to leave.
struct DrainMark
{
    std::string endpoint;
    std::int64_t acceptedMs = 0; ///< Wall clock
    std::optional<std::int64_t> endedMs; ///< When the endpoint was taken back.
};

/// A revision of one configuration object as one router had it in force.
struct RevisionSample
{
    std::string router;
    std::string object;
    std::int64_t atMs = 0;
    std::int64_t revision = 0;
};

/// Everything that reconciliation compares.
struct Evidence
{
    std::vector<CallerRecord> callers;
    std::vector<OutcomeRecord> outcomes;
    std::vector<Ledger> ledgers;
    std::vector<DrainMark> drains;
    std::vector<RevisionSample> revisions; ///< In order of time for each router.
};

} // namespace Lagoonbank::Experiment
