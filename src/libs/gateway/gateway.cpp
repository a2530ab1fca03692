#include "gateway/gateway.h"

#include "gateway/requestrun.h"

#include <algorithm>
#include <utility>

namespace Lagoonbank::Gateway {

namespace {

/// Prompts whose place is remembered, at 24 bytes each; more than chats return to one router
/// within the time for which an engine keeps them.
constexpr std::size_t rememberedPrompts = 16384;
/// Part of the connections an endpoint takes that all routers use together. Callers come unevenly
/// to the routers, and checks of reachability need some too.
constexpr double connectionsUsed = 0.8;

} // namespace

Gateway::Gateway(Options options)
    : m_options(std::move(options))
    , m_endpoints(m_options.endpoints)
    , m_health({.book = &m_endpoints, .clock = &m_options.loop->clock(), .log = m_options.log})
    , m_reachability({.book = &m_endpoints,
                      .timers = &m_options.loop->timers(),
                      .check =
                          [this](const auto &server, Base::Duration timeout, auto checked) {
                              m_options.client->check(server, timeout, std::move(checked));
                          }})
    , m_placement(m_options.placement)
    , m_retryBudget(m_options.retryBudget)
    , m_loadShedder(m_options.loadShedding)
    , m_promptPlaces(rememberedPrompts)
{
    m_reachability.changed = [this](const EndpointRecord &endpoint) {
        m_options.log->event("gateway",
                             endpoint.isUnreachable ? "An endpoint cannot be reached."
                                                    : "An endpoint can be reached again.",
                             {{"endpoint", endpoint.info.id.value()},
                              {"data_centre", endpoint.info.dataCentre.value()}});
    };
}

Gateway::~Gateway()
{
    const auto runs = std::exchange(m_runs, {});
    for (const auto &run : runs)
        run->drop();
}

void Gateway::setConfiguration(std::shared_ptr<const Fleet::Configuration> configuration)
{
    if (m_configuration && configuration->revision() <= m_configuration->revision())
        return;
    m_options.metrics->configuration.set(static_cast<double>(configuration->revision().value()));
    m_configuration = std::move(configuration);
}

void Gateway::setRouterCount(std::size_t routers)
{
    m_routerCount = std::max<std::size_t>(1, routers);
    m_retryBudget.setRouters(static_cast<int>(m_routerCount));
    m_endpoints.setRouterCount(m_routerCount);
}

std::optional<std::size_t> Gateway::connectionShare(const Base::ServiceId &service) const
{
    const Fleet::Service *known = m_configuration ? m_configuration->findService(service) : nullptr;
    if (!known || known->maxConnections <= 0)
        return std::nullopt;
    const double share =
        connectionsUsed * known->maxConnections / static_cast<double>(m_routerCount);
    return std::max<std::size_t>(2, static_cast<std::size_t>(share));
}

std::int64_t Gateway::knowledgeAgeMs() const
{
    const auto age = m_options.knowledgeAge ? m_options.knowledgeAge() : std::nullopt;
    return age ? Base::toMilliseconds(*age) : -1;
}

EndpointPtr Gateway::cacheSource(std::uint64_t affinity, const EndpointRecord &target)
{
    const auto known = m_promptPlaces.find(affinity);
    if (!known || known->endpointHash == target.startHash || known->cached < leastCopied)
        return nullptr;
    const EndpointPtr source = m_endpoints.findByStart(known->endpointHash);
    const bool isUsable = source && source->info.service == target.info.service
        && !source->isUnreachable
        && m_endpoints.suspicion().state(source->index) == Routing::Suspicion::State::Trusted;
    return isUsable ? source : nullptr;
}

void Gateway::run(CallerRequest request, std::shared_ptr<Http::Responder> responder)
{
    const auto run = std::make_shared<RequestRun>(*this, std::move(request), std::move(responder));
    m_runs.insert(run);
    m_options.metrics->requests.increment();
    m_options.metrics->inFlight.set(static_cast<double>(m_runs.size()));
    run->start();
}

} // namespace Lagoonbank::Gateway
