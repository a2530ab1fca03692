#pragma once

#include "node/adminport.h"
#include "node/configurationfollower.h"
#include "node/peerlink.h"
#include "router/claimcoordinator.h"
#include "router/placer.h"
#include "router/requestrecorder.h"
#include "router/routermetrics.h"
#include "timeline/eventlog.h"

#include <memory>

namespace Lagoonbank::Router {

/// Admin pages of a router for operators and support engineers:
/// /metrics, /admin/status, /admin/outcomes, /admin/outcome, /admin/events.
class RouterAdmin
{
public:
    struct Sources
    {
        const Runtime::Clock *clock = nullptr;
        RouterMetrics *metrics = nullptr;
        const RequestRecorder *recorder = nullptr;
        const Timeline::EventLog *events = nullptr;
        const Node::ConfigurationFollower *configuration = nullptr;
        Node::PeerLink *peers = nullptr;
        const Placer *placer = nullptr;
        const CallerApi *callerApi = nullptr;
        const ClaimCoordinator *claims = nullptr; ///< Null without a platform.
        std::string process;
    };

    RouterAdmin(Node::AdminPort &port, Sources sources);

private:
    Node::AdminPort::Answer metrics();
    void updateEndpointMetrics();
    void updatePeerMetrics();
    Node::AdminPort::Answer status() const;
    Node::AdminPort::Answer outcome(const Node::QueryParameters &query) const;
    Node::AdminPort::Answer outcomes(const Node::QueryParameters &query) const;

    Sources m_sources;
};

} // namespace Lagoonbank::Router
