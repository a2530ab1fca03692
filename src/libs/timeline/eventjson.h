#pragma once

#include "errors/result.h"
#include "timeline/event.h"

#include <nlohmann/json_fwd.hpp>

#include <vector>

namespace Lagoonbank::Timeline {

/// Returns `{"time", "process", "sequence", "type", "request"?, "workspace"?, "endpoint"?,
/// "subject"?, "detail"?}`.
nlohmann::ordered_json toJson(const ProcessEvent &event);
Errors::Result<ProcessEvent> eventFromJson(const nlohmann::ordered_json &json);
/// Reads the body of the admin port's answer: `{"events": [...]}`.
Errors::Result<std::vector<ProcessEvent>> eventsFromJson(const nlohmann::ordered_json &json);

} // namespace Lagoonbank::Timeline
