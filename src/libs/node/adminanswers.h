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

// What all processes of the fleet tell on their admin ports in the same form.

/// Value of a query parameter; empty if it is not there.
std::string textParameter(const QueryParameters &query, std::string_view name);
/// The same as a whole number; 0 if it is not there or no number.
std::int64_t numberParameter(const QueryParameters &query, std::string_view name);
/// `[{"id", "data_centre", "status", "reachable"}]`.
nlohmann::ordered_json membersJson(const PeerLink &peers, Base::MonoTime now);
/// `{"next", "hash", "log_up"}`.
nlohmann::ordered_json configurationJson(const ConfigurationFollower &configuration);
/// `{"events": [...]}`, filtered by `since`, `after`, `request`, `workspace` and `endpoint`.
AdminPort::Answer eventsAnswer(const Timeline::EventLog &events, const QueryParameters &query);

} // namespace Lagoonbank::Node
