#include "router/routeradmin.h"

#include "node/adminanswers.h"
#include "timeline/outcome.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <utility>

namespace Lagoonbank::Router {

namespace {

using Json = nlohmann::ordered_json;
using Node::AdminPort;
using Node::numberParameter;
using Node::textParameter;

/// Maximum number of outcomes in one answer.
constexpr std::size_t maxOutcomes = 200'000;

/// Raises a counter to \a total, which another component counts.
void raiseTo(Metrics::Counter counter, std::uint64_t total)
{
    counter.increment(static_cast<double>(total) - counter.value());
}

AdminPort::Answer notFound()
{
    return AdminPort::json({{"error", "This router does not know the request, or no longer."}},
                           404);
}

} // namespace

RouterAdmin::RouterAdmin(AdminPort &port, Sources sources)
    : m_sources(std::move(sources))
{
    port.add("/metrics", [this](const Node::QueryParameters &) { return metrics(); });
    port.add("/admin/status", [this](const Node::QueryParameters &) { return status(); });
    port.add("/admin/outcome",
             [this](const Node::QueryParameters &query) { return outcome(query); });
    port.add("/admin/outcomes",
             [this](const Node::QueryParameters &query) { return outcomes(query); });
    port.add("/admin/events", [this](const Node::QueryParameters &query) {
        return Node::eventsAnswer(*m_sources.events, query);
    });
}

AdminPort::Answer RouterAdmin::metrics()
{
    RouterMetrics &metrics = *m_sources.metrics;
    const Base::MonoTime now = m_sources.clock->now();
    metrics.waiting.set(static_cast<double>(m_sources.placer->waiting()));
    metrics.logUp.set(m_sources.configuration->isLogUp() ? 1 : 0);
    metrics.configurationOffset.set(
        static_cast<double>(m_sources.configuration->reducer().next().value()));
    metrics.members.set(
        static_cast<double>(m_sources.peers->membership().usableMembers(now, true).size()));
    if (m_sources.claims)
        metrics.registry.gauge("lagoonbank_claims_pending")
            .set(static_cast<double>(m_sources.claims->pending()));
    updateEndpointMetrics();
    updatePeerMetrics();
    return {.contentType = std::string(Metrics::Registry::textType),
            .body = metrics.registry.text()};
}

void RouterAdmin::updateEndpointMetrics()
{
    int usable = 0;
    int suspected = 0;
    int leaving = 0;
    const Routing::Router &routing = m_sources.placer->routing();
    for (Routing::EndpointIndex i = 0; i < routing.endpoints().size(); ++i) {
        if (!routing.endpoints().contains(i))
            continue;
        if (routing.endpoints().info(i).state == Routing::EndpointState::Leaving)
            ++leaving;
        else if (routing.suspicion(i) != Routing::Suspicion::State::Healthy)
            ++suspected;
        else
            ++usable;
    }
    Metrics::Registry &registry = m_sources.metrics->registry;
    registry.gauge("lagoonbank_endpoints", {{"state", "usable"}}).set(usable);
    registry.gauge("lagoonbank_endpoints", {{"state", "suspected"}}).set(suspected);
    registry.gauge("lagoonbank_endpoints", {{"state", "leaving"}}).set(leaving);
}

void RouterAdmin::updatePeerMetrics()
{
    Metrics::Registry &registry = m_sources.metrics->registry;
    raiseTo(registry.counter("lagoonbank_control_refused_total"),
            m_sources.peers->budget().refusals());
    const Membership::PeerTransport *transport = m_sources.peers->transport();
    if (!transport)
        return;
    for (std::size_t i = 0; i < Membership::dropReasonCount; ++i) {
        const auto reason = static_cast<Membership::DropReason>(i);
        raiseTo(registry.counter("lagoonbank_peer_drops_total",
                                 {{"reason", std::string(Membership::toString(reason))}}),
                transport->codec().drops(reason));
    }
}

AdminPort::Answer RouterAdmin::status() const
{
    const Base::MonoTime now = m_sources.clock->now();
    Json endpoints = Json::array();
    const Routing::Router &routing = m_sources.placer->routing();
    for (Routing::EndpointIndex i = 0; i < routing.endpoints().size(); ++i) {
        if (!routing.endpoints().contains(i))
            continue;
        const Routing::EndpointInfo &info = routing.endpoints().info(i);
        const bool isTrusted = routing.suspicion(i) == Routing::Suspicion::State::Healthy;
        endpoints.push_back({{"id", info.id.value()},
                             {"data_centre", info.dataCentre.value()},
                             {"leaving", info.state == Routing::EndpointState::Leaving},
                             {"suspected", !isTrusted},
                             {"load", routing.loads().load(i)}});
    }
    return AdminPort::json({{"process", m_sources.process},
                            {"ready", m_sources.callerApi->isReady()},
                            {"in_flight", m_sources.callerApi->inFlight()},
                            {"waiting", m_sources.placer->waiting()},
                            {"configuration", Node::configurationJson(*m_sources.configuration)},
                            {"members", Node::membersJson(*m_sources.peers, now)},
                            {"endpoints", std::move(endpoints)}});
}

AdminPort::Answer RouterAdmin::outcome(const Node::QueryParameters &query) const
{
    const Timeline::OutcomeRing &ring = m_sources.recorder->ring();
    const std::string id = textParameter(query, "id");
    const Timeline::Outcome *found = id.empty()
        ? ring.find(Base::WorkspaceId(textParameter(query, "workspace")),
                    Base::IdempotencyKey(textParameter(query, "key")))
        : ring.find(Base::RequestId(id));
    return found ? AdminPort::json(Timeline::toJson(*found)) : notFound();
}

AdminPort::Answer RouterAdmin::outcomes(const Node::QueryParameters &query) const
{
    const std::int64_t since = numberParameter(query, "since");
    Json list = Json::array();
    m_sources.recorder->ring().forEach([&](const Timeline::Outcome &outcome) {
        if (outcome.startedWallMs >= since && list.size() < maxOutcomes)
            list.push_back(Timeline::toJson(outcome));
    });
    return AdminPort::json(
        {{"outcomes", std::move(list)}, {"dropped", m_sources.recorder->ring().dropped()}});
}

} // namespace Lagoonbank::Router
