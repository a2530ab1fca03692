#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "errors/result.h"
#include "schema/generated/timeline.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Lagoonbank::Timeline {

using Schema::OutcomeKind;

/// One attempt of a request at one endpoint. Times are in milliseconds since the request arrived.
struct OutcomeAttempt
{
    Base::EndpointId endpoint;
    std::int64_t startedMs = 0;
    std::optional<std::int64_t> endedMs; ///< Not set while the attempt is running.
    std::string result; ///< `whole` or the name of an error kind. Empty while running.

    bool operator==(const OutcomeAttempt &) const = default;
};

/// How a request ended.
struct OutcomeEnd
{
    OutcomeKind kind = OutcomeKind::Unknown;
    std::optional<Errors::ErrorKind> cause; ///< Not set if the request completed.
    Errors::Ran ran = Errors::Ran::Unknown;
    std::string limit; ///< Name of the limit that refused the request.
    std::string source; ///< Position of that limit in the contract, as `file:line`.
    int status = 0; ///< HTTP status sent to the caller; 0 if none.

    bool operator==(const OutcomeEnd &) const = default;
};

/// The outcome of one request.
struct Outcome
{
    Base::RequestId request;
    Base::WorkspaceId workspace;
    std::optional<Base::IdempotencyKey> key;
    bool isModelCall = true; ///< Whether the request's endpoints are engines.
    bool idempotent = true;
    std::int64_t startedWallMs = 0; ///< Milliseconds since 1970.
    std::optional<std::int64_t> tookMs; ///< Not set while the request is running.
    OutcomeEnd end{.kind = OutcomeKind::Running};
    std::vector<OutcomeAttempt> attempts;

    bool operator==(const Outcome &) const = default;
};

/// Returns the outcome of a request that ended with an error: cut off if the caller got a part of
/// the answer or the request is known to have run, refused if it did not run, otherwise unknown.
OutcomeKind outcomeKind(Errors::Ran ran, bool callerHasPart);

/// Describes the outcome in a sentence for support engineers. `nowWallMs` is used for a request
/// that is still running.
std::string sentence(const Outcome &outcome, std::int64_t nowWallMs);

/// The JSON for the admin port and for log records. It does not include the sentence, which the
/// reader makes when it shows the outcome.
nlohmann::ordered_json toJson(const Outcome &outcome);
Errors::Result<Outcome> outcomeFromJson(const nlohmann::ordered_json &json);

} // namespace Lagoonbank::Timeline
