#include "timeline/mergedtimeline.h"

#include "timeline/eventjson.h"
#include "timeline/timelinepage.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_replace.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace Lagoonbank::Timeline {

namespace {

bool isBefore(const ProcessEvent &a, const ProcessEvent &b)
{
    if (!(a.event.time == b.event.time))
        return a.event.time < b.event.time;
    if (const int order = a.process.compare(b.process); order != 0)
        return order < 0;
    return a.event.sequence < b.event.sequence;
}

void appendField(std::string &line, std::string_view name, const std::string &value)
{
    if (!value.empty())
        absl::StrAppend(&line, " ", std::string(name), value);
}

std::string htmlText(const std::string &text)
{
    return absl::StrReplaceAll(text,
                               {{"&", "&amp;"}, {"<", "&lt;"}, {">", "&gt;"}, {"\"", "&quot;"}});
}

} // namespace

std::vector<ProcessEvent> mergeEvents(std::vector<std::vector<ProcessEvent>> lists)
{
    std::vector<ProcessEvent> merged;
    for (std::vector<ProcessEvent> &list : lists)
        std::move(list.begin(), list.end(), std::back_inserter(merged));
    std::sort(merged.begin(), merged.end(), isBefore);
    merged.erase(std::unique(merged.begin(), merged.end()), merged.end());
    return merged;
}

std::string renderText(const std::vector<ProcessEvent> &events)
{
    std::size_t processWidth = 0;
    for (const ProcessEvent &event : events)
        processWidth = std::max(processWidth, event.process.size());
    std::string text;
    for (const ProcessEvent &event : events) {
        const EventFields &fields = event.event.fields;
        std::string line = absl::StrFormat("%-29s %-*s %-22s", toString(event.event.time),
                                           static_cast<int>(processWidth), event.process,
                                           std::string(toString(event.event.type)));
        appendField(line, "", fields.subject);
        appendField(line, "request ", fields.request.value());
        appendField(line, "workspace ", fields.workspace.value());
        appendField(line, "endpoint ", fields.endpoint.value());
        appendField(line, "", fields.detail);
        line.erase(line.find_last_not_of(' ') + 1);
        absl::StrAppend(&text, line, "\n");
    }
    return text;
}

std::string renderJsonLines(const std::vector<ProcessEvent> &events)
{
    std::string text;
    for (const ProcessEvent &event : events)
        absl::StrAppend(&text, toJson(event).dump(), "\n");
    return text;
}

std::string renderHtml(const std::vector<ProcessEvent> &events, const std::string &title)
{
    nlohmann::ordered_json list = nlohmann::ordered_json::array();
    for (const ProcessEvent &event : events) {
        nlohmann::ordered_json item = toJson(event);
        item["ms"] = event.event.time.wallMs;
        list.push_back(std::move(item));
    }
    // Within a script element, only "<" can end the element or start a comment.
    const std::string data = absl::StrReplaceAll(list.dump(), {{"<", "\\u003c"}});
    return absl::StrReplaceAll(std::string(Internal::timelinePage),
                               {{"@TITLE@", htmlText(title)}, {"@EVENTS@", data}});
}

} // namespace Lagoonbank::Timeline
