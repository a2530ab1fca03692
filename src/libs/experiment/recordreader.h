#pragma once

#include "errors/result.h"
#include "experiment/records.h"
#include "experiment/statistics.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Lagoonbank::Experiment {

/// Reads an endpoint's answer to GET /ledger. The ledger is incomplete if the endpoint dropped
/// entries. Entries without a request id are skipped.
Errors::Result<Ledger> readLedger(std::string_view json);

/// Reads a router's answer to GET /admin/outcomes, which is a list or an object with "outcomes".
Errors::Result<std::vector<OutcomeRecord>> readOutcomes(std::string_view json);

/// An engine's answer to GET /v1/load.
struct LoadReport
{
    EngineLoad load;
    std::int64_t incarnation = 0;
    bool isDraining = false;
};

Errors::Result<LoadReport> readLoadReport(std::string_view json);

/// Offset in the configuration stream up to which a router has applied it, from its answer to
/// GET /admin/status. No value before the router is ready.
std::optional<std::int64_t> readConfigurationOffset(std::string_view json);

/// Contents of an error response.
struct ErrorBody
{
    std::string kind;
    std::string limit;
    std::string requestId;
    Errors::Ran ran = Errors::Ran::Unknown;
};

/// Reads {"error": {...}} or just the inner object; no value if \a json is neither.
std::optional<ErrorBody> readErrorBody(std::string_view json);

/// Reads the text of a chat answer that is not streamed; no value if \a json is not such an answer.
std::optional<std::string> readChatAnswer(std::string_view json);

} // namespace Lagoonbank::Experiment
