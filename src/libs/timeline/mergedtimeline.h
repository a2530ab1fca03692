#pragma once

#include "timeline/event.h"

#include <string>
#include <vector>

namespace Lagoonbank::Timeline {

/// Merges the events of many processes in causal order: by hybrid time, then process, then
/// sequence. Duplicate events are dropped.
std::vector<ProcessEvent> mergeEvents(std::vector<std::vector<ProcessEvent>> lists);

/// Renders one event per line: time, process, type, subject.
std::string renderText(const std::vector<ProcessEvent> &events);
/// Renders one JSON object per line.
std::string renderJsonLines(const std::vector<ProcessEvent> &events);
/// Renders a self-contained HTML page with a lane for each process, filters and a table of events.
std::string renderHtml(const std::vector<ProcessEvent> &events, const std::string &title);

} // namespace Lagoonbank::Timeline
