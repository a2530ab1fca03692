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

/// One try of a request at one endpoint. Times are milliseconds after the request came in.
struct OutcomeAttempt
{
    Base::EndpointId endpoint;
    std::int64_t startedMs = 0;
    std::optional<std::int64_t> endedMs; ///< Not set while it runs.
    std::string result; ///< `whole` or the name of an error kind.

    bool operator==(const OutcomeAttempt &) const = default;
};

/// How a request ended.
struct OutcomeEnd
{
    OutcomeKind kind = OutcomeKind::Unknown;
    std::optional<Errors::ErrorKind> cause; ///< Not set if it ran whole.
    Errors::Ran ran = Errors::Ran::Unknown;
    std::string limit; ///< Name of the limit that refused it.
    std::string source; ///< Contract line of that limit, `file:line`.
    int status = 0; ///< HTTP status that the caller got; 0 if none.

    bool operator==(const OutcomeEnd &) const = default;
};

/// What became of one request.
struct Outcome
{
    Base::RequestId request;
    Base::WorkspaceId workspace;
    std::optional<Base::IdempotencyKey> key;
    bool isModelCall = true; ///< Its endpoints are engines.
    bool idempotent = true;
    std::int64_t startedWallMs = 0; ///< Milliseconds since 1970.
    std::optional<std::int64_t> tookMs; ///< Not set while it runs.
    OutcomeEnd end{.kind = OutcomeKind::Running};
    std::vector<OutcomeAttempt> attempts;

    bool operator==(const Outcome &) const = default;
};

/// The outcome of an end with an error: refused where it did not run, cut off where the caller has
/// a part or it is known to have run, else unknown.
OutcomeKind outcomeKind(Errors::Ran ran, bool callerHasPart);

/// One plain sentence for a support engineer. `nowWallMs` is for a request that still runs.
std::string sentence(const Outcome &outcome, std::int64_t nowWallMs);

/// For the admin port, with the sentence left to whoever shows it; also the data of log records.
nlohmann::ordered_json toJson(const Outcome &outcome);
Errors::Result<Outcome> outcomeFromJson(const nlohmann::ordered_json &json);

} // namespace Lagoonbank::Timeline
