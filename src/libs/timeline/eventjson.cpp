#include "timeline/eventjson.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace Lagoonbank::Timeline {

using Errors::ErrorKind;
using Json = nlohmann::ordered_json;

namespace {

void putIfSet(Json &json, const char *name, const std::string &value)
{
    if (!value.empty())
        json[name] = value;
}

std::string textOf(const Json &json, const char *name)
{
    return json.value(name, std::string());
}

} // namespace

Json toJson(const ProcessEvent &event)
{
    const EventFields &fields = event.event.fields;
    Json json{{"time", toString(event.event.time)},
              {"process", event.process},
              {"sequence", event.event.sequence},
              {"type", toString(event.event.type)}};
    putIfSet(json, "request", fields.request.value());
    putIfSet(json, "workspace", fields.workspace.value());
    putIfSet(json, "endpoint", fields.endpoint.value());
    putIfSet(json, "subject", fields.subject);
    putIfSet(json, "detail", fields.detail);
    return json;
}

Errors::Result<ProcessEvent> eventFromJson(const Json &json)
{
    try {
        const auto time = parseHybridTime(textOf(json, "time"));
        const auto type = Schema::enumFromName<EventType>(textOf(json, "type"));
        if (!time || !type)
            return Errors::makeError(ErrorKind::BadMessage, "An event needs a time and a type.");
        ProcessEvent event{.process = textOf(json, "process")};
        event.event.time = *time;
        event.event.sequence = json.value("sequence", std::uint64_t{0});
        event.event.type = *type;
        event.event.fields = {.request = Base::RequestId(textOf(json, "request")),
                              .workspace = Base::WorkspaceId(textOf(json, "workspace")),
                              .endpoint = Base::EndpointId(textOf(json, "endpoint")),
                              .subject = textOf(json, "subject"),
                              .detail = textOf(json, "detail")};
        return event;
    } catch (const Json::exception &error) {
        return Errors::makeError(ErrorKind::BadMessage, error.what());
    }
}

Errors::Result<std::vector<ProcessEvent>> eventsFromJson(const Json &json)
{
    const auto list = json.find("events");
    if (list == json.end() || !list->is_array())
        return Errors::makeError(ErrorKind::BadMessage, "The list of events is missing.");
    std::vector<ProcessEvent> events;
    for (const Json &item : *list) {
        Errors::Result<ProcessEvent> event = eventFromJson(item);
        if (!event.has_value())
            return event.error();
        events.push_back(std::move(event.value()));
    }
    return events;
}

} // namespace Lagoonbank::Timeline
