#pragma once

#include "errors/result.h"
#include "experiment/records.h"
#include "experiment/statistics.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Lagoonbank::Experiment {

/// Reads an endpoint's answer to GET /ledger; not whole if it dropped entries. Entries without a
/// request id are left out.
Errors::Result<Ledger> readLedger(std::string_view json);

/// Reads a router's answer to GET /admin/outcomes: a list, or an object with "outcomes".
Errors::Result<std::vector<OutcomeRecord>> readOutcomes(std::string_view json);

/// An engine's answer to GET /v1/load.
struct LoadReport
{
    EngineLoad load;
    std::int64_t incarnation = 0;
    bool isDraining = false;
};

Errors::Result<LoadReport> readLoadReport(std::string_view json);

/// Place in the configuration stream up to which a router has it in force, from its answer to
/// GET /admin/status; nothing before it is ready.
std::optional<std::int64_t> readConfigurationOffset(std::string_view json);

/// What an error's body says.
struct ErrorBody
{
    std::string kind;
    std::string limit;
    std::string requestId;
    Errors::Ran ran = Errors::Ran::Unknown;
};

/// Reads {"error": {...}} or the object within; nothing if it is neither.
std::optional<ErrorBody> readErrorBody(std::string_view json);

/// Reads the text of an unstreamed chat answer; nothing if it is no such answer.
std::optional<std::string> readChatAnswer(std::string_view json);

} // namespace Lagoonbank::Experiment
