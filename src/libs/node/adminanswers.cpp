#include "node/adminanswers.h"

#include "timeline/eventjson.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <string>
#include <utility>

namespace Lagoonbank::Node {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::size_t mostEvents = 20'000;

std::string text(const QueryParameters &query, std::string_view name)
{
    const auto found = query.find(name);
    return found == query.end() ? std::string() : found->second;
}

std::int64_t number(const QueryParameters &query, std::string_view name)
{
    const std::string value = text(query, name);
    std::int64_t out = 0;
    std::from_chars(value.data(), value.data() + value.size(), out);
    return out;
}

} // namespace

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
    Timeline::EventFilter filter{.request = Base::RequestId(text(query, "request")),
                                 .workspace = Base::WorkspaceId(text(query, "workspace")),
                                 .endpoint = Base::EndpointId(text(query, "endpoint")),
                                 .afterSequence =
                                     static_cast<std::uint64_t>(number(query, "after"))};
    if (query.contains("since"))
        filter.sinceMs = number(query, "since");
    Json list = Json::array();
    for (const Timeline::ProcessEvent &event : events.events(filter, mostEvents))
        list.push_back(Timeline::toJson(event));
    return AdminPort::json({{"events", std::move(list)}});
}

} // namespace Lagoonbank::Node
