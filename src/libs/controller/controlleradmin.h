#pragma once

#include "controller/controllermetrics.h"
#include "controller/leasecoordinator.h"
#include "controller/ordercoordinator.h"
#include "controller/prober.h"
#include "node/adminport.h"
#include "node/configurationfollower.h"
#include "node/peerlink.h"
#include "timeline/eventlog.h"

#include <cstddef>
#include <functional>

namespace Lagoonbank::Controller {

/// The admin pages of a controller: /metrics, /admin/status, /admin/events.
class ControllerAdmin
{
public:
    struct Sources
    {
        const Runtime::Clock *clock = nullptr;
        ControllerMetrics *metrics = nullptr;
        const Timeline::EventLog *events = nullptr;
        const Node::ConfigurationFollower *configuration = nullptr;
        const Node::PeerLink *peers = nullptr;
        const LeaseCoordinator *lease = nullptr;
        const OrderCoordinator *orders = nullptr;
        const Prober *prober = nullptr;
        std::function<bool()> isReady;
    };

    ControllerAdmin(Node::AdminPort &port, Sources sources);

private:
    Node::AdminPort::Answer metrics() const;
    Node::AdminPort::Answer status() const;
    std::size_t ordersPending() const;

    Sources m_sources;
};

} // namespace Lagoonbank::Controller
