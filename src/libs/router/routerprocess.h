#pragma once

#include "admission/admissioncontrol.h"
#include "errors/result.h"
#include "http/client.h"
#include "http/server.h"
#include "router/callerapi.h"
#include "router/fleetview.h"
#include "router/placer.h"
#include "router/retrybudgets.h"
#include "runtime/loop.h"
#include "schema/generated/settings.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace Lagoonbank::Router {

/// A whole router: joins the libraries to one process.
class RouterProcess
{
public:
    RouterProcess(Runtime::Loop &loop, Schema::RouterSettings settings);
    ~RouterProcess();

    /// Listens; an error says which address could not be had.
    Errors::Result<void> start();
    /// Takes no new work, lets what is in flight finish, then stops the loop.
    void stopGracefully();
    /// Puts a whole configuration in force.
    void setConfiguration(const std::vector<Schema::ConfigurationObject> &objects);

private:
    Errors::Result<void> startServers();
    void makePlacer(const Schema::Policy &policy);
    void updateEndpoints();
    void updateWorkspaces();
    void stopWhenIdle();

    Runtime::Loop &m_loop;
    Schema::RouterSettings m_settings;
    Http::Client m_client;
    std::unique_ptr<Http::Server> m_callerServer;
    std::unique_ptr<Http::Server> m_adminServer;
    std::shared_ptr<const FleetView> m_view = std::make_shared<FleetView>();
    std::unique_ptr<Placer> m_placer;
    Admission::AdmissionControl m_admission;
    RetryBudgets m_retries;
    std::unique_ptr<CallerApi> m_callerApi;
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_lastRequest = 0;
};

} // namespace Lagoonbank::Router
