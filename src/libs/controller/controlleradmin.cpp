#include "controller/controlleradmin.h"

#include "node/adminanswers.h"

#include <nlohmann/json.hpp>

#include <string>
#include <utility>

namespace Lagoonbank::Controller {

namespace {

using Json = nlohmann::ordered_json;
using Node::AdminPort;

std::string leaseState(const LeaseCoordinator &lease)
{
    if (lease.mayOrder(true))
        return "held";
    return lease.state().holder().empty() ? "free" : "followed";
}

} // namespace

ControllerAdmin::ControllerAdmin(AdminPort &port, Sources sources)
    : m_sources(std::move(sources))
{
    port.add("/metrics", [this](const Node::QueryParameters &) { return metrics(); });
    port.add("/admin/status", [this](const Node::QueryParameters &) { return status(); });
    port.add("/admin/events", [this](const Node::QueryParameters &query) {
        return Node::eventsAnswer(*m_sources.events, query);
    });
}

AdminPort::Answer ControllerAdmin::metrics() const
{
    ControllerMetrics &metrics = *m_sources.metrics;
    metrics.configurationOffset.set(
        static_cast<double>(m_sources.configuration->reducer().next().value()));
    metrics.logUp.set(m_sources.lease->isLogUp() ? 1 : 0);
    metrics.members.set(static_cast<double>(
        m_sources.peers->membership().usableMembers(m_sources.clock->now(), true).size()));
    metrics.leaseHeld.set(m_sources.lease->mayOrder(true) ? 1 : 0);
    metrics.probedEndpoints.set(static_cast<double>(m_sources.prober->probedEndpointCount()));
    metrics.ordersPending.set(static_cast<double>(ordersPending()));
    return {.contentType = std::string(Metrics::Registry::textType),
            .body = metrics.registry.text()};
}

/// Pending orders are tracked only by the lease holder; other controllers return 0.
std::size_t ControllerAdmin::ordersPending() const
{
    return m_sources.lease->mayOrder(true) ? m_sources.orders->pending() : 0;
}

AdminPort::Answer ControllerAdmin::status() const
{
    const LeaseCoordinator &lease = *m_sources.lease;
    Json leaseJson{{"holder", lease.state().holder()}, {"fencing", nullptr}};
    if (lease.state().fencing())
        leaseJson["fencing"] = lease.state().fencing()->value();
    leaseJson["state"] = leaseState(lease);
    return AdminPort::json(
        {{"process", m_sources.events->process()},
         {"ready", m_sources.isReady()},
         {"configuration", Node::configurationJson(*m_sources.configuration)},
         {"members", Node::membersJson(*m_sources.peers, m_sources.clock->now())},
         {"lease", std::move(leaseJson)},
         {"orders_pending", ordersPending()},
         {"probed_endpoints", m_sources.prober->probedEndpointCount()}});
}

} // namespace Lagoonbank::Controller
