#include "node/adminanswers.h"

#include "timeline/eventjson.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <string>
#include <utility>

namespace Lagoonbank::Node {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::size_t maxEventsPerAnswer = 20'000;

} // namespace

std::string textParameter(const QueryParameters &query, std::string_view name)
{
    const auto found = query.find(name);
    return found == query.end() ? std::string() : found->second;
}

std::int64_t numberParameter(const QueryParameters &query, std::string_view name)
{
    const std::string value = textParameter(query, name);
    std::int64_t number = 0;
    std::from_chars(value.data(), value.data() + value.size(), number);
    return number;
}

Json membersJson(const PeerLink &peers, Base::MonoTime now)
{
    Json members = Json::array();
    for (const auto &[id, member] : peers.membership().table().members()) {
        members.push_back({{"id", id},
                           {"data_centre", member.info.dataCentre},
                           {"status", std::string(Schema::toString(member.info.status))},
                           {"reachable", peers.membership().isReachable(member, now)}});
    }
    return members;
}

Json configurationJson(const ConfigurationFollower &configuration)
{
    const Configuration::Reducer &reducer = configuration.reducer();
    return {{"next", reducer.next().value()},
            {"hash", reducer.hash()},
            {"log_up", configuration.isLogUp()}};
}

AdminPort::Answer eventsAnswer(const Timeline::EventLog &events, const QueryParameters &query)
{
    Timeline::EventFilter filter{.request = Base::RequestId(textParameter(query, "request")),
                                 .workspace = Base::WorkspaceId(textParameter(query, "workspace")),
                                 .endpoint = Base::EndpointId(textParameter(query, "endpoint")),
                                 .afterSequence =
                                     static_cast<std::uint64_t>(numberParameter(query, "after"))};
    if (query.contains("since"))
        filter.sinceMs = numberParameter(query, "since");
    Json list = Json::array();
    for (const Timeline::ProcessEvent &event : events.events(filter, maxEventsPerAnswer))
        list.push_back(Timeline::toJson(event));
    return AdminPort::json({{"events", std::move(list)}});
}

} // namespace Lagoonbank::Node
