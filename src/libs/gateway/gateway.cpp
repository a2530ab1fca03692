#include "gateway/gateway.h"

#include "gateway/requestrun.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace Lagoonbank::Gateway {

namespace {

constexpr std::string_view part = "gateway";
/// For reading one token of a prompt, and before the first: engines read 80 to 160 in a
/// millisecond, and begin with a step of some ms for all that runs there.
constexpr Base::Duration readingPerToken = std::chrono::nanoseconds(12'500);
constexpr Base::Duration readingSetup = std::chrono::milliseconds(20);
/// The same for a copy from another endpoint: 18 KB a token over 280 Gbit/s.
constexpr Base::Duration copyingPerToken = std::chrono::nanoseconds(600);
constexpr Base::Duration copyingSetup = std::chrono::milliseconds(10);
/// Part of the connections an endpoint takes that all routers use together. Callers come unevenly
/// to the routers, and checks of reachability need some too.
constexpr double connectionsUsed = 0.8;
/// What no endpoint of a service may have, by the usual load; metrics count answers beyond it.
constexpr Placement::LoadThreshold fleetBound{.factor = 2, .slack = 3};

/// With the parts of the policy that are options of others switched off as asked for.
Gateway::Options withPolicy(Gateway::Options options)
{
    const Schema::PolicySettings &policy = options.policy;
    if (!policy.bound)
        options.placement.boundFactor = std::numeric_limits<double>::infinity();
    if (!policy.gradualLeaving || !policy.bound)
        options.placement.overflowsGradually = false;
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
        options.patience.prefillWaitShare = 0;
    if (!policy.settling)
        options.patience.settle = Base::Duration::zero();
    return options;
}

/// Opens a connection and closes it, for those that look whether an endpoint is there.
auto connectionCheck(Http::Client &client)
{
    return [&client](const Runtime::SocketAddress &server, Base::Duration timeout,
                     std::function<void(bool isReachable)> checked) {
        client.check(server, timeout, std::move(checked));
    };
}

} // namespace

Gateway::Gateway(Options options)
    : m_options(withPolicy(std::move(options)))
    , m_endpoints(m_options.endpoints)
    , m_loadSharing({.registry = &m_endpoints})
    , m_health({.registry = &m_endpoints, .clock = &m_options.loop->clock(), .log = m_options.log})
    , m_reachability({.registry = &m_endpoints,
                      .timers = &m_options.loop->timers(),
                      .check = connectionCheck(*m_options.client)})
    , m_placement(m_options.placement)
    , m_retryBudget(m_options.retryBudget)
    , m_loadShedder(m_options.loadShedding)
    , m_admissionQueue({.timers = &m_options.loop->timers()})
    , m_backlog(m_options.backlog)
    , m_prompts(m_options.prompts)
    , m_quarantine(m_options.quarantine)
    , m_crashWatch(
          {.timers = &m_options.loop->timers(), .check = connectionCheck(*m_options.client)})
{
    m_crashWatch.crashed = [this](const auto &endpoint, const auto &requests) {
        endpointEnded(endpoint, requests);
    };
    m_reachability.changed = [this](EndpointRecord &endpoint) {
        if (!endpoint.isUnreachable && std::exchange(endpoint.hasCrashed, false))
            EndpointRegistry::markCold(endpoint, m_options.loop->clock().now());
        m_options.log->event(part,
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
    m_endpoints.setServices(m_configuration->services());
}

void Gateway::setDrainedDataCentres(std::set<Base::DataCentreId> dataCentres)
{
    m_endpoints.setDrainedDataCentres(std::move(dataCentres), m_options.loop->clock().now());
    for (const auto &[service, endpoints] : m_endpoints.services())
        m_admissionQueue.slotMayBeFree(service);
}

void Gateway::setRouterCount(std::size_t routers)
{
    m_routerCount = std::max<std::size_t>(1, routers);
    m_retryBudget.setRouterCount(static_cast<int>(m_routerCount));
    m_endpoints.setRouterCount(m_routerCount);
    const Base::MonoTime now = m_options.loop->clock().now();
    for (const auto &[service, endpoints] : m_endpoints.services()) {
        const double places = m_endpoints.totalSlots(service, now);
        concurrencyLimit(service).setCapacity(places, static_cast<double>(m_routerCount));
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
        connectionsUsed * known->maxConnections / static_cast<double>(m_routerCount);
    return std::max<std::size_t>(2, static_cast<std::size_t>(share));
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
    for (const PromptDirectory::Holder &one : m_prompts.holders(prefix.hash)) {
        EndpointPtr source = m_endpoints.findByStart(one.endpoint);
        const bool isUsable = source && source->info.service == target.info.service
            && source.get() != &target && !source->isUnreachable && one.readUntil <= now
            && m_endpoints.suspicion().state(source->index) == Routing::Suspicion::State::Trusted;
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
    const Base::Duration perToken = isCopied ? copyingPerToken : readingPerToken;
    const Base::Duration setup = isCopied ? copyingSetup : readingSetup;
    const Base::Tokens memory = memoryOf(endpoint.info.service);
    bool isBrought = false;
    for (const PromptPrefix &prefix : prefixes) {
        PromptHolding holding{.prompt = prefix,
                              .endpoint = endpoint.startHash,
                              .memory = memory,
                              .remainingReadTime = setup + perToken * prefix.tokens.value()};
        const PromptDirectory::Announcement announcement = m_prompts.recordUse(holding, now);
        isBrought = announcement == PromptDirectory::Announcement::New;
        const bool isTold = &prefix == &prefixes.back() && isAnnouncedToPeers(prefix);
        if (!isTold || announcement == PromptDirectory::Announcement::None)
            continue;
        holding.isNew = isBrought;
        if (!holding.isNew)
            holding.remainingReadTime = Base::Duration::zero();
        m_options.promptPlaced(holding);
    }
    return isBrought;
}

void Gateway::promptReceived(const PromptHolding &holding)
{
    const EndpointPtr endpoint = m_endpoints.findByStart(holding.endpoint);
    if (!endpoint)
        return; // Gone, or not known yet; a later request tells again.
    PromptHolding known = holding;
    known.memory = memoryOf(endpoint->info.service);
    m_prompts.mergeHolding(known, m_options.loop->clock().now());
}

void Gateway::endpointEnded(const EndpointRecord &endpoint,
                            const std::vector<RequestFingerprint> &requests)
{
    // It may start again under its id, and its entry may tell of that only later.
    if (const EndpointPtr record = m_endpoints.findByStart(endpoint.startHash)) {
        record->hasCrashed = true;
        if (m_options.policy.reachability)
            m_reachability.reportUnreachable(record);
    }
    std::vector<RequestCrash> ends;
    for (const RequestFingerprint request : requests) {
        ends.push_back({.request = request, .endpoint = endpoint.startHash});
        m_options.log->request(
            part, "An endpoint has ended under a request.",
            {{"endpoint", endpoint.info.id.value()}, {"asks", toString(request)}});
    }
    // Peers are told first of those that are the more likely to be to blame.
    std::stable_partition(ends.begin(), ends.end(), [this](const RequestCrash &end) {
        return m_quarantine.hasCrashes(end.request);
    });
    if (m_options.requestsEnded)
        m_options.requestsEnded(ends);
    for (const RequestCrash &end : ends)
        noteRequestEnd(end);
}

void Gateway::noteRequestEnd(const RequestCrash &end)
{
    const Base::MonoTime now = m_options.loop->clock().now();
    if (!m_quarantine.crashed(end, now))
        return;
    const QuarantinedRequest quarantined{.request = end.request,
                                         .remaining = *m_quarantine.timeLeft(end.request, now)};
    noteQuarantined(end.request, "ends");
    if (m_options.requestQuarantined)
        m_options.requestQuarantined(quarantined);
}

std::optional<Base::Duration> Gateway::quarantineReceived(const QuarantinedRequest &quarantined)
{
    const Base::MonoTime now = m_options.loop->clock().now();
    if (!m_quarantine.quarantine(quarantined, now))
        return std::nullopt;
    noteQuarantined(quarantined.request, "told");
    return m_quarantine.timeLeft(quarantined.request, now);
}

void Gateway::noteQuarantined(RequestFingerprint request, std::string_view from)
{
    const Base::MonoTime now = m_options.loop->clock().now();
    m_options.log->event(
        part, "A request is quarantined.",
        {{"asks", toString(request)},
         {"from", from},
         {"for_ms", m_quarantine.timeLeft(request, now).value_or(Base::Duration::zero())}});
    const auto runs = m_runs; // Some end by this.
    for (const auto &run : runs)
        run->quarantined(request);
}

std::vector<QuarantinedRequest> Gateway::quarantined() const
{
    return m_quarantine.quarantined(m_options.loop->clock().now());
}

const PromptDirectory *Gateway::sharedPrompts() const
{
    const bool isShared = m_options.promptPlaced && m_routerCount <= maxAnnouncingRouters;
    return isShared ? &m_prompts : nullptr;
}

void Gateway::loadReported(EndpointRecord &endpoint, const LoadReport &report)
{
    const Base::MonoTime now = m_options.loop->clock().now();
    const auto usual = m_endpoints.usualLoad(endpoint.info.service, now);
    if (usual && report.running + report.waiting > fleetBound.at(*usual))
        m_options.metrics->overloadedAnswers.increment();
    const double before = m_endpoints.freeSlots(endpoint, now);
    m_endpoints.loadReported(endpoint, report, now);
    const Base::ServiceId &service = endpoint.info.service;
    concurrencyLimit(service).loadReported(report, m_endpoints.inFlight(service), now);
    if (m_endpoints.freeSlots(endpoint, now) > before)
        m_admissionQueue.slotMayBeFree(service);
}

Schema::LoadNews Gateway::loadsForPeers()
{
    if (!m_options.policy.sharedLoads)
        return {};
    return m_loadSharing.announcement(m_options.loop->clock().now());
}

void Gateway::peerLoadsReceived(const Schema::LoadNews &announcement, Base::Duration delay)
{
    if (m_options.policy.sharedLoads)
        m_loadSharing.merge(announcement, delay, m_options.loop->clock().now());
}

Base::Tokens Gateway::memoryOf(const Base::ServiceId &service) const
{
    const Fleet::Service *known = m_configuration ? m_configuration->findService(service) : nullptr;
    return known && known->engine ? known->engine->memory : Base::Tokens();
}

void Gateway::run(CallerRequest request, std::shared_ptr<Http::Responder> responder)
{
    const Base::MonoTime now = m_options.loop->clock().now();
    m_options.metrics->unread.observe(Base::toSeconds(now - request.cameAt.value_or(now)));
    const auto run = std::make_shared<RequestRun>(*this, std::move(request), std::move(responder));
    m_runs.insert(run);
    m_options.metrics->requests.increment();
    m_options.metrics->inFlight.set(static_cast<double>(m_runs.size()));
    run->start();
}

} // namespace Lagoonbank::Gateway
