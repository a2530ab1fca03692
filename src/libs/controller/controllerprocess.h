#pragma once

#include "configuration/objecttable.h"
#include "controller/controlleradmin.h"
#include "controller/controllermetrics.h"
#include "controller/leasecoordinator.h"
#include "controller/ordercoordinator.h"
#include "controller/prober.h"
#include "controller/snapshotwriter.h"
#include "errors/result.h"
#include "http/client.h"
#include "logging/logger.h"
#include "node/adminport.h"
#include "node/configurationfollower.h"
#include "node/peerlink.h"
#include "platformclient/batchappender.h"
#include "platformclient/logclient.h"
#include "platformclient/vmlistclient.h"
#include "platformclient/weightstoreclient.h"
#include "runtime/loop.h"
#include "schema/generated/settings.h"
#include "timeline/eventlog.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Lagoonbank::Controller {

/// The controller process; creates and connects its components.
class ControllerProcess
{
public:
    ControllerProcess(Runtime::Loop &loop, Schema::ControllerSettings settings);
    ~ControllerProcess();

    /// Starts listening and joins the fleet. An error names the address that could not be bound.
    Errors::Result<void> start();
    /// Stops sending orders, releases the lease when no order is in flight, leaves the fleet, and
    /// then stops the loop.
    void stopGracefully();

private:
    Errors::Result<void> startPlatform();
    Errors::Result<void> startPeers();
    Errors::Result<void> startAdmin();
    void wireConfiguration();
    void makeSnapshots();
    void makeLease();
    void makeProber();
    void makeOrders();
    void wireOrders();
    void configurationChanged();
    void updateTargets();
    void removeEndpoint(const Base::EndpointId &endpoint);
    void updateRoles();
    std::optional<std::size_t> snapshotRank() const;
    std::vector<std::string> probingControllers() const;
    void recordProbe(const Base::EndpointId &endpoint, bool isAnswered, const std::string &detail);
    void recordEvent(Timeline::EventType type, Timeline::EventFields fields);
    void stopWhenIdle();
    Base::MonoTime now() const { return m_loop.clock().now(); }

    Runtime::Loop &m_loop;
    Schema::ControllerSettings m_settings;
    Logging::Logger m_logger{"controller"};
    Base::Incarnation m_incarnation;
    PlatformClient::Backoff::Options m_backoff;
    std::string m_instanceId; ///< Identifies this run of the process.
    Http::Client m_client;
    ControllerMetrics m_metrics;
    Timeline::EventLog m_events;
    std::unique_ptr<PlatformClient::LogClient> m_log;
    std::unique_ptr<PlatformClient::VmListClient> m_vmList;
    std::unique_ptr<PlatformClient::WeightStoreClient> m_weightStore;
    std::unique_ptr<PlatformClient::BatchAppender> m_snapshotAppender;
    std::unique_ptr<Node::ConfigurationFollower> m_configuration;
    std::unique_ptr<Node::PeerLink> m_peers;
    std::unique_ptr<SnapshotWriter> m_snapshots;
    std::unique_ptr<LeaseCoordinator> m_lease;
    std::unique_ptr<Prober> m_prober;
    std::unique_ptr<OrderCoordinator> m_orders;
    std::unique_ptr<Node::AdminPort> m_adminPort;
    std::unique_ptr<ControllerAdmin> m_admin;
    Configuration::ObjectTable m_objects;
    std::vector<Base::EndpointId> m_probedEndpoints;
    std::set<Base::EndpointId> m_unresponsive; ///< Endpoints whose last probe failed.
    bool m_isReady = false;
    bool m_isStopping = false;
    Base::MonoTime m_stopDeadline;
    Runtime::TimerId m_roleTimer;
};

} // namespace Lagoonbank::Controller
