#include "router/configurationapplier.h"

#include "router/contractrules.h"
#include "runtime/loop.h"

#include <algorithm>
#include <utility>

namespace Lagoonbank::Router {

namespace {

Routing::Policy toRoutingPolicy(Schema::RoutingPolicy policy)
{
    return Routing::policyFromName(Schema::toString(policy)).value_or(Routing::Policy::Bounded);
}

Routing::EndpointState toRoutingState(Schema::EndpointState state)
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

Routing::Router::Options routingOptions(const Schema::RouterSettings &settings,
                                        const Schema::Policy &policy)
{
    return {.dataCentre = settings.dataCentre,
            .selector = {.policy = toRoutingPolicy(policy.routing),
                         .bound = {.preferredShareMultiple = policy.loadBound,
                                   .reserve = policy.priorityReserve,
                                   .urgentBelow =
                                       static_cast<std::uint8_t>(policy.reservePriority + 1)}},
            .suspicion = {.breaksToSuspect = static_cast<int>(policy.suspicionFailures),
                          .initialBackoff = policy.suspicionHold,
                          .trialsToRecover = static_cast<int>(policy.recoverySuccesses)},
            .slowStart = {.rampTime = policy.slowStart},
            .tokens = {.currentKey = settings.placementKey}};
}

ConfigurationApplier::ConfigurationApplier(const Parts &parts)
    : m_parts(parts)
{ }

void ConfigurationApplier::apply(const Configuration::ObjectTable &objects, bool isServing)
{
    applyPolicy(objects.policy());
    updateEndpoints(objects, isServing);
    updateDataCentres(objects);
    updateWorkspaces(objects);
}

void ConfigurationApplier::applyPolicy(const Schema::Policy &policy)
{
    m_parts.placer->setPolicy(routingOptions(*m_parts.settings, policy),
                              {.limit = policy.maxQueue, .maximumWait = policy.maxQueueWait});
    m_parts.retries->setEndpointRatio(policy.retryBudget);
    m_parts.retries->setMaxAttempts(static_cast<int>(policy.maxAttempts));
}

void ConfigurationApplier::reportEndpointChange(const Schema::Endpoint &endpoint,
                                                Routing::EndpointIndex index, bool isServing) const
{
    const bool isDraining = toRoutingState(endpoint.state) == Routing::EndpointState::Leaving;
    if (index == Routing::noEndpoint) {
        if (isServing)
            m_parts.endpointChanged(Timeline::EventType::EndpointAdded, endpoint.name);
        return;
    }
    const Routing::EndpointInfo &before = m_parts.placer->routing().endpoints().info(index);
    const bool wasDraining = before.state == Routing::EndpointState::Leaving;
    if (isDraining != wasDraining)
        m_parts.endpointChanged(isDraining ? Timeline::EventType::EndpointDraining
                                           : Timeline::EventType::EndpointAdded,
                                endpoint.name);
}

void ConfigurationApplier::updateEndpoints(const Configuration::ObjectTable &objects,
                                           bool isServing)
{
    const Base::MonoTime now = m_parts.loop->clock().now();
    std::vector<Base::EndpointId> known;
    objects.each<Schema::Endpoint>([&](const Schema::Endpoint &endpoint) {
        if (endpoint.state == Schema::EndpointState::Removed
            || endpoint.region != m_parts.settings->region)
            return;
        known.push_back(endpoint.name);
        // An endpoint that is added while the router is serving has a cold cache, so its share of
        // the load is ramped up slowly.
        const Routing::EndpointTable &table = m_parts.placer->routing().endpoints();
        const Routing::EndpointIndex index = table.find(endpoint.name);
        reportEndpointChange(endpoint, index, isServing);
        Base::MonoTime coldSince = isServing ? now : Base::MonoTime();
        if (index != Routing::noEndpoint)
            coldSince = table.info(index).coldSince;
        m_parts.placer->routing().upsert({.id = endpoint.name,
                                          .address = endpoint.address,
                                          .dataCentre = endpoint.dataCentre,
                                          .pool = poolOf(endpoint),
                                          .capacity = endpoint.capacity,
                                          .state = toRoutingState(endpoint.state),
                                          .coldSince = coldSince},
                                         now);
    });
    for (const Base::EndpointId &old : m_knownEndpoints) {
        if (std::find(known.begin(), known.end(), old) != known.end())
            continue;
        m_parts.placer->routing().remove(old, now);
        m_parts.endpointChanged(Timeline::EventType::EndpointRemoved, old);
    }
    m_knownEndpoints = std::move(known);
    m_parts.loadSharing->endpointsChanged();
    m_parts.inFlightSharing->endpointsChanged();
}

void ConfigurationApplier::updateDataCentres(const Configuration::ObjectTable &objects)
{
    std::vector<Base::DataCentreId> dataCentres;
    objects.each<Schema::DataCentre>(
        [&](const Schema::DataCentre &dataCentre) { dataCentres.push_back(dataCentre.name); });
    m_parts.quotaSharing->setDataCentres(std::move(dataCentres));
}

void ConfigurationApplier::updateWorkspaces(const Configuration::ObjectTable &objects)
{
    const Base::MonoTime now = m_parts.loop->clock().now();
    std::vector<Base::WorkspaceId> known;
    objects.each<Schema::Contract>([&](const Schema::Contract &contract) {
        known.push_back(contract.name);
        m_parts.admission->setLimits(contract.name, toWorkspaceLimits(contract), now);
        m_parts.retries->setWorkspaceRatio(contract.name, contract.retryBudget);
    });
    for (const Base::WorkspaceId &old : m_knownWorkspaces) {
        if (std::find(known.begin(), known.end(), old) == known.end())
            m_parts.admission->remove(old);
    }
    m_knownWorkspaces = known;
    m_parts.quotaSharing->setWorkspaces(std::move(known));
}

} // namespace Lagoonbank::Router
