#pragma once

#include "node/adminport.h"
#include "node/configurationfollower.h"
#include "node/peerlink.h"
#include "timeline/eventlog.h"

#include <nlohmann/json_fwd.hpp>

namespace Lagoonbank::Node {

// What all processes of the fleet tell on their admin ports in the same form.

/// `[{"id", "data_centre", "status", "reachable"}]`.
nlohmann::ordered_json membersJson(const PeerLink &peers, Base::MonoTime now);
/// `{"next", "hash", "log_up"}`.
nlohmann::ordered_json configurationJson(const ConfigurationFollower &configuration);
/// `{"events": [...]}`, filtered by `since`, `after`, `request`, `workspace` and `endpoint`.
AdminPort::Answer eventsAnswer(const Timeline::EventLog &events, const QueryParameters &query);

} // namespace Lagoonbank::Node
