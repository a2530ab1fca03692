#pragma once

#include "admission/admissioncontrol.h"
#include "errors/result.h"
#include "http/client.h"
#include "http/server.h"
#include "logging/logger.h"
#include "node/adminport.h"
#include "node/configurationfollower.h"
#include "node/peerlink.h"
#include "platformclient/batchappender.h"
#include "platformclient/logclient.h"
#include "platformclient/vmlistclient.h"
#include "router/callerapi.h"
#include "router/claimcoordinator.h"
#include "router/configurationapplier.h"
#include "router/inflightsharing.h"
#include "router/loadsharing.h"
#include "router/placer.h"
#include "router/quotasharing.h"
#include "router/requestrecorder.h"
#include "router/retrybudgets.h"
#include "router/routeradmin.h"
#include "router/routermetrics.h"
#include "runtime/gracefulstop.h"
#include "runtime/loop.h"
#include "schema/generated/settings.h"
#include "timeline/eventlog.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Lagoonbank::Router {

/// The router process: creates its components and connects them.
class RouterProcess
{
public:
    RouterProcess(Runtime::Loop &loop, Schema::RouterSettings settings);
    ~RouterProcess();

    /// Starts listening and joins the fleet. An error names the address that could not be bound.
    Errors::Result<void> start();
    /// Sets configuration objects that were read from files, for running without the platform.
    void setFixedConfiguration(std::vector<Schema::ConfigurationObject> objects);
    /// Stops accepting requests, waits until those in flight have ended, then stops the loop.
    void stopGracefully();
    /// Reloads the TLS certificate files.
    void reload();

    /// Addresses that the router listens on after start(). A configured port 0 is replaced by the
    /// port that the system chose.
    const Runtime::SocketAddress &callerAddress() const { return m_callerServer->address(); }
    const Runtime::SocketAddress &adminAddress() const { return m_adminPort->address(); }
    const CallerApi &callerApi() const { return *m_callerApi; }
    const Placer &placer() const { return *m_placer; }
    /// Number of active calls to endpoints, peers and the platform.
    std::size_t activeCalls() const { return m_client.activeCalls(); }

private:
    Errors::Result<void> startServers();
    Errors::Result<void> startPeers();
    void startPlatform();
    void makeCallerApi();
    void wireConfiguration();
    void wireRequests();
    void configurationChanged();
    void noteMember(const Membership::Member &member, Membership::MemberEvent event);
    void noteEvent(Timeline::EventType type, std::string subject, std::string detail = {});
    bool isGone(const Claims::RouterInstance &run) const;
    void makeStop();
    bool isIdle() const;

    Runtime::Loop &m_loop;
    Schema::RouterSettings m_settings;
    Logging::Logger m_logger{"router"};
    Base::Incarnation m_incarnation;
    PlatformClient::Backoff::Options m_backoff;
    std::uint64_t m_lastRequest = 0;
    Http::Client m_client;
    RouterMetrics m_metrics;
    Timeline::EventLog m_events;
    std::unique_ptr<PlatformClient::LogClient> m_log;
    std::unique_ptr<PlatformClient::VmListClient> m_vmList;
    std::unique_ptr<PlatformClient::BatchAppender> m_outcomeAppender;
    std::unique_ptr<Node::ConfigurationFollower> m_configuration;
    std::unique_ptr<Node::PeerLink> m_peers;
    std::unique_ptr<ClaimCoordinator> m_claims;
    Admission::AdmissionControl m_admission;
    RetryBudgets m_retries;
    std::unique_ptr<Placer> m_placer;
    std::unique_ptr<RequestRecorder> m_recorder;
    std::unique_ptr<CallerApi> m_callerApi;
    std::unique_ptr<LoadSharing> m_loadSharing;
    std::unique_ptr<InFlightSharing> m_inFlightSharing;
    std::unique_ptr<QuotaSharing> m_quotaSharing;
    std::unique_ptr<ConfigurationApplier> m_applier;
    std::shared_ptr<Http::MemoryBudget> m_memory; ///< For callers.
    std::unique_ptr<Http::Server> m_callerServer;
    std::unique_ptr<Node::AdminPort> m_adminPort;
    std::unique_ptr<RouterAdmin> m_admin;
    std::shared_ptr<Configuration::ObjectTable> m_objects =
        std::make_shared<Configuration::ObjectTable>();
    std::unique_ptr<Runtime::GracefulStop> m_stop; ///< Null until a graceful stop begins.
};

} // namespace Lagoonbank::Router
