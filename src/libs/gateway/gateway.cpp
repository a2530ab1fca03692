#include "gateway/gateway.h"

#include "gateway/requestrun.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace Lagoonbank::Gateway {

namespace {

constexpr std::string_view part = "gateway";
/// Estimated prefill time of one prompt token, and of the setup before the first. Engines process
/// 80 to 160 tokens per millisecond, after a step of some milliseconds for all running requests.
constexpr Base::Duration prefillPerToken = std::chrono::nanoseconds(12'500);
constexpr Base::Duration prefillSetup = std::chrono::milliseconds(20);
/// Estimated time of copying a prompt from another endpoint: 18 KB per token over 280 Gbit/s.
constexpr Base::Duration copyingPerToken = std::chrono::nanoseconds(600);
constexpr Base::Duration copyingSetup = std::chrono::milliseconds(10);
/// Fraction of an endpoint's connection limit that all routers use together. Callers are spread
/// unevenly over the routers, and reachability checks need connections too.
constexpr double usedConnectionShare = 0.8;
/// Load, relative to the average load, that no endpoint of a service may exceed. A metric counts
/// the answers of endpoints above it.
constexpr Placement::LoadThreshold fleetBound{.meanLoadFactor = 2, .slack = 3};

/// Returns the options with those set that parts of the gateway share.
Gateway::Options withSharedOptions(Gateway::Options options)
{
    if (!options.startedAt)
        options.startedAt = options.loop->clock().now();
    options.endpoints.warmupQuota.startedAt = options.startedAt;
    options.endpoints.stateAge = options.stateAge;
    options.endpoints.outdatedSince = options.outdatedSince;
    return options;
}

/// Returns the options with the features disabled that `options.policy` switches off.
Gateway::Options applyPolicySwitches(Gateway::Options options)
{
    const Schema::PolicySettings &policy = options.policy;
    if (!policy.bound)
        options.placement.boundFactor = std::numeric_limits<double>::infinity();
    if (!policy.gradualLeaving || !policy.bound)
        options.placement.divertsLoadGradually = false;
    options.placement.usesSlowdown = policy.slowdown;
    if (!policy.usualLoad)
        options.placement.usesAverageLoad = false;
    if (!policy.slowness)
        options.placement.slowFactor = std::numeric_limits<double>::infinity();
    if (!policy.holders) {
        options.placement.holderBoundFactor = 0;
        options.placement.holderBoundSlack = 0;
    }
    if (!policy.memory)
        options.prompts.memoryShare = std::numeric_limits<double>::infinity();
    if (!policy.toldPrompts)
        options.promptPlaced = nullptr;
    if (!policy.awaitedReading)
        options.timeouts.prefillWaitShare = 0;
    if (!policy.settling)
        options.timeouts.settle = Base::Duration::zero();
    return options;
}

/// Numbers of endpoints that are open for new requests.
struct OpenEndpoints
{
    int all = 0;
    int reachable = 0;
};

OpenEndpoints countOpen(const std::vector<EndpointPtr> &endpoints)
{
    OpenEndpoints open;
    for (const EndpointPtr &endpoint : endpoints) {
        open.all += endpoint->isOpen() ? 1 : 0;
        open.reachable += endpoint->isInService() ? 1 : 0;
    }
    return open;
}

/// Returns a function that checks whether a server is reachable by opening and closing a
/// connection.
auto connectionCheck(Http::Client &client)
{
    return [&client](const Runtime::SocketAddress &server, Base::Duration timeout,
                     std::function<void(bool isReachable)> checked) {
        client.checkReachable(server, timeout, std::move(checked));
    };
}

PartQuarantine::Options partQuarantineOptions(const Gateway::Options &options)
{
    PartQuarantine::Options own = options.partQuarantine;
    own.timers = &options.loop->timers();
    return own;
}

} // namespace

Gateway::Gateway(Options options)
    : m_options(applyPolicySwitches(withSharedOptions(std::move(options))))
    , m_endpoints(m_options.endpoints)
    , m_loadSharing({.registry = &m_endpoints})
    , m_health({.registry = &m_endpoints, .clock = &m_options.loop->clock(), .log = m_options.log})
    , m_reachability({.registry = &m_endpoints,
                      .timers = &m_options.loop->timers(),
                      .check = connectionCheck(*m_options.client)})
    , m_peers({.timers = &m_options.loop->timers(),
               .log = m_options.log,
               .check = connectionCheck(*m_options.client),
               .self = m_options.vm,
               .dataCentre = m_options.dataCentre})
    , m_placement(m_options.placement)
    , m_retryBudget(m_options.retryBudget, *m_options.startedAt)
    , m_loadShedder(m_options.loadShedding)
    , m_admissionQueue({.timers = &m_options.loop->timers()})
    , m_backlog(m_options.backlog)
    , m_prompts(m_options.prompts)
    , m_quarantine(m_options.quarantine)
    , m_partQuarantine(partQuarantineOptions(m_options))
    , m_areQuarantinesKnown(!m_options.awaitsQuarantines)
    , m_isSoftwareHistoryKnown(!m_options.awaitsSoftwareHistory)
    , m_crashWatch(
          {.timers = &m_options.loop->timers(), .check = connectionCheck(*m_options.client)})
    , m_processCheck(processCheckOptions())
    , m_streams(m_options.streams)
    , m_streamVersions(streamVersionOptions())
    , m_answerMemory(m_options.maxAnswerMemory)
    , m_undecodableValues(*m_options.metrics)
{
    m_crashWatch.crashed = [this](const auto &report) { endpointCrashed(report); };
    wirePartQuarantine();
    wireSoftwareDoubts();
    m_reachability.reachabilityChanged = [this](EndpointRecord &endpoint) {
        // It may start again while this router hears nothing of it.
        doubtSoftware(endpoint, endpoint.isUnreachable ? "unreachable" : "reachable_again");
        if (!endpoint.isUnreachable && std::exchange(endpoint.hasCrashed, false))
            EndpointRegistry::markCold(endpoint, m_options.loop->clock().now());
        m_options.log->event(part,
                             endpoint.isUnreachable ? "Endpoint became unreachable."
                                                    : "Endpoint is reachable again.",
                             {{"endpoint", endpoint.info.id.value()},
                              {"data_centre", endpoint.info.dataCentre.value()}});
        logIsolation();
    };
}

ProcessCheck::Options Gateway::processCheckOptions() const
{
    Http::Client &client = *m_options.client;
    return {.timers = &m_options.loop->timers(),
            .openConnections =
                [&client](const Runtime::SocketAddress &server, Base::MonoTime time) {
                    return client.openConnections(server, time);
                },
            .connect =
                [&client](const Runtime::SocketAddress &server, Base::Duration timeout,
                          Base::Duration holdTime, std::function<void(bool isOpen)> checked) {
                    client.checkReachable(server, timeout, std::move(checked), holdTime);
                },
            .eventAge = [this] { return maxEventAge(); },
            .closeTime = m_options.timeouts.closeTime};
}

/// After a suspension, events may be as old as that.
Base::Duration Gateway::maxEventAge() const
{
    /// Time in which a process that goes on reads what arrived while it was suspended.
    constexpr Base::Duration backlogTime = std::chrono::milliseconds(100);
    constexpr Base::Duration longestSuspension = std::chrono::hours(1);
    const Base::MonoTime now = m_options.loop->clock().now();
    const auto resumedAt = m_options.outdatedSince ? m_options.outdatedSince(now) : std::nullopt;
    const bool wasSuspended = resumedAt && now - *resumedAt < backlogTime;
    return wasSuspended ? longestSuspension : m_options.loop->lag().current();
}

Gateway::~Gateway()
{
    m_options.client->setIdleConnectionHandler(nullptr);
    if (m_confirmationTimer)
        m_options.loop->timers().cancel(*m_confirmationTimer);
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
    m_endpoints.setServices(m_configuration->services());
}

void Gateway::setDrainedDataCentres(std::set<Base::DataCentreId> dataCentres)
{
    m_endpoints.setDrainedDataCentres(std::move(dataCentres), m_options.loop->clock().now());
    for (const auto &[service, endpoints] : m_endpoints.services())
        m_admissionQueue.slotMayBeFree(service);
}

void Gateway::setRouterCount(std::size_t routers, bool isComplete)
{
    m_routerCount = std::max<std::size_t>(1, routers);
    if (isComplete)
        m_retryBudget.setRouterCount(static_cast<int>(m_routerCount));
    m_endpoints.setRouterCount(m_routerCount);
    const Base::MonoTime now = m_options.loop->clock().now();
    for (const auto &[service, endpoints] : m_endpoints.services()) {
        const double totalSlots = m_endpoints.totalSlots(service, now);
        concurrencyLimit(service).setCapacity(totalSlots, static_cast<double>(m_routerCount));
    }
}

ConcurrencyLimit &Gateway::concurrencyLimit(const Base::ServiceId &service)
{
    return m_concurrencyLimits.try_emplace(service, m_options.concurrencyLimit).first->second;
}

std::optional<std::size_t> Gateway::connectionShare(const Base::ServiceId &service) const
{
    const Fleet::Service *known = m_configuration ? m_configuration->findService(service) : nullptr;
    if (!known || known->maxConnections <= 0 || !m_options.policy.connectionShares)
        return std::nullopt;
    const double share =
        usedConnectionShare * known->maxConnections / static_cast<double>(m_routerCount);
    return std::max<std::size_t>(2, static_cast<std::size_t>(share));
}

void Gateway::limitAnswerMemory()
{
    while (m_answerMemory.isExceeded()) {
        const auto largest =
            std::max_element(m_runs.begin(), m_runs.end(), [](const auto &a, const auto &b) {
                return a->answerBytes() < b->answerBytes();
            });
        if (largest == m_runs.end() || (*largest)->answerBytes() == 0)
            return;
        (*largest)->failLargeAnswer();
    }
}

void Gateway::countRefusal(Errors::ErrorKind kind)
{
    auto counter = m_refusals.find(kind);
    if (counter == m_refusals.end())
        counter = m_refusals.emplace(kind, m_options.metrics->refusals(kind)).first;
    counter->second.increment();
}

void Gateway::countAnswer(int status)
{
    auto counter = m_answers.find(status);
    if (counter == m_answers.end())
        counter = m_answers.emplace(status, m_options.metrics->answers(status)).first;
    counter->second.increment();
}

bool Gateway::isCutOffFrom(const Base::ServiceId &service) const
{
    const OpenEndpoints endpoints = countOpen(m_endpoints.endpoints(service));
    return endpoints.all > 0 && endpoints.reachable == 0;
}

bool Gateway::isMostlyCutOffFrom(const Base::ServiceId &service) const
{
    const OpenEndpoints endpoints = countOpen(m_endpoints.endpoints(service));
    return endpoints.all > 0 && 2 * endpoints.reachable <= endpoints.all;
}

void Gateway::logIsolation()
{
    const bool isIsolated = m_endpoints.unreachableCount() == m_endpoints.size();
    if (std::exchange(m_isIsolated, isIsolated) == isIsolated)
        return;
    m_options.log->event(
        part, isIsolated ? "No endpoint is reachable." : "Endpoints are reachable again.",
        {{"endpoints", m_endpoints.size()},
         {"since_contact_ms", m_options.loop->clock().now() - m_endpoints.lastContactAt()},
         {"in_flight", m_runs.size()}});
}

std::int64_t Gateway::knowledgeAgeMs() const
{
    const auto age = m_options.stateAge ? m_options.stateAge() : std::nullopt;
    return age ? Base::toMilliseconds(*age) : -1;
}

EndpointPtr Gateway::cacheSource(const PromptPrefix &prefix, const EndpointRecord &target) const
{
    if (prefix.tokens < minCopiedTokens)
        return nullptr;
    const Base::MonoTime now = m_options.loop->clock().now();
    for (const PromptDirectory::Holder &holder : m_prompts.holders(prefix.hash)) {
        EndpointPtr source = m_endpoints.findByStart(holder.endpoint);
        const bool isUsable = source && source->info.service == target.info.service
            && source.get() != &target && !source->isUnreachable && holder.prefillEndsAt <= now
            && m_endpoints.suspicion().state(source->index) == Routing::Suspicion::State::Healthy;
        if (isUsable)
            return source;
    }
    return nullptr;
}

bool Gateway::isAnnouncedToPeers(const PromptPrefix &prefix) const
{
    return prefix.tokens >= minAnnouncedTokens && sharedPrompts();
}

bool Gateway::notePrompt(const std::vector<PromptPrefix> &prefixes, const EndpointRecord &endpoint,
                         bool isCopied)
{
    const Base::MonoTime now = m_options.loop->clock().now();
    const Base::Duration perToken = isCopied ? copyingPerToken : prefillPerToken;
    const Base::Duration setup = isCopied ? copyingSetup : prefillSetup;
    const Base::Tokens memory = memoryOf(endpoint.info.service);
    bool isNew = false;
    for (const PromptPrefix &prefix : prefixes) {
        PromptHolding holding{.prompt = prefix,
                              .endpoint = endpoint.startHash,
                              .memory = memory,
                              .remainingPrefillTime = setup + perToken * prefix.tokens.value()};
        const PromptDirectory::Announcement announcement = m_prompts.recordUse(holding, now);
        isNew = announcement == PromptDirectory::Announcement::New;
        const bool isAnnounced = &prefix == &prefixes.back() && isAnnouncedToPeers(prefix);
        if (!isAnnounced || announcement == PromptDirectory::Announcement::None)
            continue;
        holding.isNew = isNew;
        if (!holding.isNew)
            holding.remainingPrefillTime = Base::Duration::zero();
        m_options.promptPlaced(holding);
    }
    return isNew;
}

void Gateway::promptReceived(const PromptHolding &holding)
{
    const EndpointPtr endpoint = m_endpoints.findByStart(holding.endpoint);
    if (!endpoint)
        return; // Removed, or not known yet; a later request announces the prompt again.
    PromptHolding completed = holding;
    completed.memory = memoryOf(endpoint->info.service);
    m_prompts.mergeHolding(completed, m_options.loop->clock().now());
}

const PromptDirectory *Gateway::sharedPrompts() const
{
    const bool isShared = m_options.promptPlaced && m_routerCount <= maxAnnouncingRouters;
    return isShared ? &m_prompts : nullptr;
}

void Gateway::loadReported(EndpointRecord &endpoint, const LoadReport &report)
{
    const Base::MonoTime now = m_options.loop->clock().now();
    const auto average = m_endpoints.averageLoad(endpoint.info.service, now);
    if (average && report.running + report.waiting > fleetBound.forMeanLoad(*average))
        m_options.metrics->overloadedAnswers.increment();
    const double before = m_endpoints.freeSlots(endpoint, now);
    m_endpoints.loadReported(endpoint, report, now);
    const Base::ServiceId &service = endpoint.info.service;
    concurrencyLimit(service).loadReported(report, m_endpoints.inFlight(service), now);
    if (m_endpoints.freeSlots(endpoint, now) > before)
        m_admissionQueue.slotMayBeFree(service);
}

void Gateway::noteUndecodable(const EndpointRecord &endpoint, const HeadFacts &facts,
                              const Base::RequestId &request)
{
    for (const std::string_view name : facts.undecodable) {
        if (!m_undecodableValues.count(endpoint.info.id, name))
            continue;
        m_options.log->event(part, "A header of an endpoint cannot be decoded.",
                             {{"endpoint", endpoint.info.id.value()},
                              {"request", request.value()},
                              {"header", name}});
    }
}

Schema::LoadUpdate Gateway::loadsForPeers()
{
    if (!m_options.policy.sharedLoads)
        return {};
    return m_loadSharing.announcement(m_options.loop->clock().now());
}

void Gateway::peerLoadsReceived(const Schema::LoadUpdate &announcement, Base::Duration delay)
{
    if (m_options.policy.sharedLoads)
        m_loadSharing.merge(announcement, delay, m_options.loop->clock().now());
}

Base::Tokens Gateway::memoryOf(const Base::ServiceId &service) const
{
    const Fleet::Service *known = m_configuration ? m_configuration->findService(service) : nullptr;
    return known && known->engine ? known->engine->memory : Base::Tokens();
}

Base::Tokens Gateway::limitingMemoryOf(const Base::ServiceId &service) const
{
    const bool isLimited = m_options.policy.kvCacheBudget && m_endpoints.reportsSlowdown(service);
    return isLimited ? memoryOf(service) : Base::Tokens();
}

void Gateway::run(CallerRequest request, std::shared_ptr<Http::Responder> responder)
{
    const Base::MonoTime now = m_options.loop->clock().now();
    m_options.metrics->requestReadDelay.observe(
        Base::toSeconds(now - request.arrivedAt.value_or(now)));
    const auto run = std::make_shared<RequestRun>(*this, std::move(request), std::move(responder));
    m_runs.insert(run);
    m_options.metrics->requests.increment();
    m_options.metrics->inFlight.set(static_cast<double>(m_runs.size()));
    run->start();
}

} // namespace Lagoonbank::Gateway
