#pragma once

#include "node/adminport.h"
#include "node/configurationfollower.h"
#include "node/peerlink.h"
#include "timeline/eventlog.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace Lagoonbank::Node {

// Parts of the admin ports' answers that are the same for routers and controllers.

/// Returns the value of a query parameter, or an empty text if it is missing.
std::string textParameter(const QueryParameters &query, std::string_view name);
/// Returns the value of a query parameter as an integer, or 0 if it is missing or not a number.
std::int64_t numberParameter(const QueryParameters &query, std::string_view name);
/// Returns the members as `[{"id", "data_centre", "status", "reachable"}]`.
nlohmann::ordered_json membersJson(const PeerLink &peers, Base::MonoTime now);
/// Returns the state of the configuration as `{"next", "hash", "log_up"}`.
nlohmann::ordered_json configurationJson(const ConfigurationFollower &configuration);
/// Returns `{"events": [...]}`, filtered by the parameters `since`, `after`, `request`, `workspace`
/// and `endpoint`.
AdminPort::Answer eventsAnswer(const Timeline::EventLog &events, const QueryParameters &query);

} // namespace Lagoonbank::Node
