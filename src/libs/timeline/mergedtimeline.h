#pragma once

#include "timeline/event.h"

#include <string>
#include <vector>

namespace Lagoonbank::Timeline {

/// The events of many processes in causal order: by hybrid time, then process, then sequence.
/// An event that came from two places is kept once.
std::vector<ProcessEvent> mergeEvents(std::vector<std::vector<ProcessEvent>> lists);

/// One event a line: time, process, type, what it is about.
std::string renderText(const std::vector<ProcessEvent> &events);
/// One JSON object a line.
std::string renderJsonLines(const std::vector<ProcessEvent> &events);
/// One HTML file that needs nothing else: a lane for each process, filters, a list below.
std::string renderHtml(const std::vector<ProcessEvent> &events, const std::string &title);

} // namespace Lagoonbank::Timeline
