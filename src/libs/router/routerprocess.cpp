#include "router/routerprocess.h"

#include "runtime/udpsocket.h"

#include <boost/outcome/try.hpp>

#include <chrono>
#include <string>
#include <utility>

namespace Lagoonbank::Router {

using Errors::ErrorKind;
using Errors::Result;

namespace {

Routing::Policy policyOf(Schema::RoutingPolicy policy)
{
    return Routing::policyFromName(Schema::toString(policy)).value_or(Routing::Policy::Bounded);
}

Routing::EndpointState stateOf(Schema::EndpointState state)
{
    return state == Schema::EndpointState::Active ? Routing::EndpointState::Live
                                                  : Routing::EndpointState::Leaving;
}

std::string poolOf(const Schema::Endpoint &endpoint)
{
    if (endpoint.type == Schema::EndpointType::Engine)
        return Routing::modelPool(endpoint.model.value_or(Base::ModelId()));
    return Routing::servicePool(endpoint.service.value_or(Base::ServiceId()));
}

} // namespace

RouterProcess::RouterProcess(Runtime::Loop &loop, Schema::RouterSettings settings)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_client({.loop = &loop})
{
    const auto wall = m_loop.clock().wallNow().time_since_epoch();
    m_incarnation = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(wall).count());
    makePlacer(Schema::Policy());
    m_callerApi = std::make_unique<CallerApi>(CallerApi::Options{
        .loop = &m_loop,
        .client = &m_client,
        .placer = m_placer.get(),
        .admission = &m_admission,
        .retries = &m_retries,
        .nextRequestId = [this] {
            return Base::RequestId(m_settings.dataCentre.value() + '.' + m_settings.vm.value() + '.'
                                   + std::to_string(m_incarnation) + '.'
                                   + std::to_string(++m_lastRequest));
        }});
}

RouterProcess::~RouterProcess() = default;

void RouterProcess::makePlacer(const Schema::Policy &policy)
{
    Routing::Router::Options routing{
        .dataCentre = m_settings.dataCentre,
        .selector = {.policy = policyOf(policy.routing),
                     .bound = {.multiple = policy.loadBound,
                               .reserve = policy.priorityReserve,
                               .urgentBelow =
                                   static_cast<std::uint8_t>(policy.reservePriority + 1)}},
        .slowStart = {.rampTime = policy.slowStart},
        .tokens = {.currentKey = m_settings.placementKey}};
    m_placer = std::make_unique<Placer>(
        Placer::Options{.loop = &m_loop,
                        .routing = std::move(routing),
                        .queue = {.limit = policy.maxQueue, .longestWait = policy.maxQueueWait}});
}

Result<void> RouterProcess::start()
{
    return startServers();
}

Result<void> RouterProcess::startServers()
{
    BOOST_OUTCOME_TRY(callers, Runtime::parseSocketAddress(m_settings.listenAddress));
    m_callerServer = std::make_unique<Http::Server>(
        Http::Server::Options{.loop = &m_loop,
                              .address = callers,
                              .maxBodyBytes = m_settings.limits.maxBodyBytes,
                              .requestTimeout = m_settings.limits.requestTimeout});
    m_callerServer->setHandler(
        [this](Http::Request request, std::shared_ptr<Http::Responder> responder) {
            m_callerApi->handle(std::move(request), std::move(responder));
        });
    return m_callerServer->listen();
}

void RouterProcess::setConfiguration(const std::vector<Schema::ConfigurationObject> &objects)
{
    m_view = std::make_shared<FleetView>(objects);
    updateEndpoints();
    updateWorkspaces();
    m_callerApi->setView(m_view);
    m_callerApi->setReady(true);
}

void RouterProcess::updateEndpoints()
{
    const Base::MonoTime now = m_loop.clock().now();
    for (const auto &[id, endpoint] : m_view->endpoints()) {
        m_placer->routing().upsert({.id = id,
                                    .address = endpoint.address,
                                    .dataCentre = endpoint.dataCentre,
                                    .pool = poolOf(endpoint),
                                    .capacity = endpoint.capacity,
                                    .state = stateOf(endpoint.state)},
                                   now);
    }
}

void RouterProcess::updateWorkspaces()
{
    const Base::MonoTime now = m_loop.clock().now();
    for (const auto &[id, contract] : m_view->contracts()) {
        m_admission.setLimits(id, limitsOf(contract), now);
        m_retries.setWorkspaceRatio(id, contract.retryBudget);
    }
}

void RouterProcess::stopGracefully()
{
    m_callerApi->setDraining(true);
    m_callerServer->stopAccepting();
    stopWhenIdle();
}

void RouterProcess::stopWhenIdle()
{
    constexpr Base::Duration interval = std::chrono::milliseconds(50);
    if (m_callerApi->inFlight() == 0) {
        m_loop.stop();
        return;
    }
    m_loop.timers().start(interval, [this] { stopWhenIdle(); });
}

} // namespace Lagoonbank::Router
