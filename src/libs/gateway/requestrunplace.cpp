#include "gateway/requestrun.h"

#include "routing/rendezvous.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Lagoonbank::Gateway {

namespace {

using Errors::ErrorKind;

constexpr std::string_view part = "gateway";
/// Maximum number of requests that wait at an endpoint for each running one, on routes other than
/// streams. With four requests per slot, a request that takes 60 ms is completed within the 300 ms
/// that callers expect.
constexpr double waitingPerRunning = 3;
/// Logged in place of an unknown value.
constexpr double unknownValue = -1;

} // namespace

std::vector<PromptPrefix> RequestRun::sharedPrefixes() const
{
    if (!m_route->usesPromptCache || !m_request.prompt || m_request.prompt->parts.empty())
        return {};
    const std::vector<PromptPart> &parts = m_request.prompt->parts;
    const std::size_t shared = std::max<std::size_t>(1, parts.size() - 1);
    std::vector<PromptPrefix> prefixes;
    prefixes.reserve(shared);
    PromptPrefix prefix{.hash = Routing::stableHash(m_request.prompt->model)};
    for (std::size_t i = 0; i < shared; ++i) {
        prefix.hash = Routing::mixHashes(prefix.hash, parts[i].id);
        // The only part of a prompt determines its home endpoint, but is not shared.
        if (parts.size() > 1)
            prefix.tokens += parts[i].tokens;
        prefixes.push_back(prefix);
    }
    return prefixes;
}

/// Returns the hash of the longest prefix that requests may share, or nothing if there is none.
/// Requests whose prompts are equal up to the last part have the same affinity.
std::optional<std::uint64_t> RequestRun::affinity() const
{
    if (m_prefixes.empty())
        return std::nullopt;
    return m_prefixes.back().hash;
}

Base::Tokens RequestRun::sharedTokens() const
{
    return m_prefixes.empty() ? Base::Tokens() : m_prefixes.back().tokens;
}

AdmissionRequest RequestRun::admissionRequest() const
{
    return {.service = m_service,
            .route = m_route->name,
            .workspace = m_workspace ? m_workspace->name : Base::WorkspaceId(),
            .urgency = {.priority = m_priority, .routePriority = m_route->priority},
            .targetLatency = m_route->targetLatency,
            .remainingTimeout = m_request.remainingTimeout,
            .isPromptCached = isPromptCached()};
}

/// Whether an endpoint holds the shared prompt. That is known only of prompts whose endpoints all
/// routers announce to each other.
bool RequestRun::isPromptCached() const
{
    const bool isKnown = m_gateway.m_options.policy.cachedFirst && !m_prefixes.empty()
        && m_gateway.isAnnouncedToPeers(m_prefixes.back())
        && m_gateway.m_endpoints.reportsSlowdown(m_service);
    return !isKnown || !m_gateway.m_prompts.holders(m_prefixes.back().hash).empty();
}

/// A started stream may be sent again to endpoints that refused it or were unreachable, as they may
/// accept it a moment later.
std::vector<EndpointPtr> RequestRun::endpointsToAvoid() const
{
    if (!m_hasStreamBegun)
        return m_triedEndpoints;
    std::vector<EndpointPtr> endpoints = m_mayHaveRunAt;
    if (m_attempt)
        endpoints.push_back(m_attempt->endpoint);
    return endpoints;
}

PlacementRequest RequestRun::placementRequest() const
{
    const bool isStream = m_route->kind == Fleet::RouteKind::Stream;
    const auto prompt = affinity();
    const Schema::PolicySettings &policy = m_gateway.m_options.policy;
    return {.service = m_service,
            .affinity = policy.homes ? prompt : std::nullopt,
            .sharedTokens = sharedTokens(),
            .prompts = m_gateway.sharedPrompts(),
            .memory = m_gateway.memoryOf(m_service),
            .memoryNeed = memoryNeed(),
            .requestHash = m_requestHash,
            .targetLatency = m_route->targetLatency,
            .maxEventGap = m_route->maxEventGap,
            .mayRepeat = m_route->mayRepeat(),
            .checkCapacity = policy.shedding,
            .excludeSuspected = policy.doubt,
            .triedEndpoints = endpointsToAvoid(),
            .software = m_software,
            .connectionShare = m_gateway.connectionShare(m_service),
            .usableShare = usableShare(),
            .waitingPerSlot = isStream ? 0 : waitingPerRunning};
}

void RequestRun::place()
{
    const QueuePriority priority = queuePriority();
    const bool mustWait =
        m_gateway.m_admissionQueue.mustWait(queueId(), priority, m_route->mayRepeat());
    const bool isPlaced = mustWait ? relayOverflow() : tryPlace();
    if (!isPlaced)
        waitInQueue(priority);
}

bool RequestRun::tryPlace()
{
    if (endIfCallerLeft())
        return true;
    const Base::MonoTime now = m_timers.clock().now();
    if (exceedsConcurrencyLimit()) {
        m_lastFullPlacement = {};
        return relayOverflow();
    }
    const PlacementResult placement =
        m_gateway.m_placement.choose(placementRequest(), m_gateway.m_endpoints, now);
    if (placement.isFull) {
        m_lastFullPlacement = placement;
        return relayOverflow() || awaitMemory(placement);
    }
    if (!placement.endpoint && m_software)
        m_gateway.confirmSoftwareFor(m_service, *m_software);
    const bool isCutOff = !placement.endpoint && m_gateway.isCutOffFrom(m_service);
    if ((isCutOff && relayToPeer()) || (!placement.endpoint && waitForReachableEndpoint()))
        return true;
    if (!placement.endpoint) {
        const auto retryAfter = placement.backOffUntil
            ? std::optional<Base::Duration>(*placement.backOffUntil - now)
            : std::nullopt;
        fail({.kind = ErrorKind::NoEndpoint,
              .mayHaveReached = false,
              .mayHaveRun = !m_mayHaveRunAt.empty(),
              .retryAfter = retryAfter});
        return true;
    }
    if (waitForPrefill(placement))
        return true;
    if (m_triedEndpoints.empty())
        m_gateway.m_loadShedder.requestAdmitted(admissionRequest(), now);
    sendTo(placement);
    return true;
}

/// The limit applies to streams only, as requests of other routes may wait at endpoints. Requests
/// that were sent before are not counted again.
bool RequestRun::exceedsConcurrencyLimit() const
{
    const bool isLimited = m_gateway.m_options.policy.concurrencyLimit && m_triedEndpoints.empty()
        && m_route->kind == Fleet::RouteKind::Stream;
    return isLimited
        && !m_gateway.concurrencyLimit(m_service).admits(m_gateway.m_endpoints.inFlight(m_service),
                                                         usableShare());
}

AdmissionQueue::QueueId RequestRun::queueId() const
{
    const bool isRestricted = m_software && onlySoftware() != *m_software;
    return {.service = m_service,
            .isStream = m_route->kind == Fleet::RouteKind::Stream,
            .software = isRestricted ? *m_software : SoftwareHash(),
            .awaitsMemory = m_awaitsMemory};
}

QueuePriority RequestRun::queuePriority() const
{
    return {.isRepeat = !m_triedEndpoints.empty(),
            .usableShare = usableShare(),
            .urgency = {.priority = m_priority, .routePriority = m_route->priority}};
}

/// Fraction of the slots that the request may use. A request that was sent before may use all, as
/// part of its work is done.
double RequestRun::usableShare() const
{
    const bool isDivided = m_triedEndpoints.empty() && m_gateway.m_options.policy.shares;
    return isDivided
        ? m_gateway.m_loadShedder.usableShare(admissionRequest(), m_timers.clock().now())
        : 1;
}

void RequestRun::sendTo(const PlacementResult &placement)
{
    if (isQuarantined()) // Checked again: it may have waited or been retried since its arrival.
        return;
    const CacheSource source = cacheSource(placement);
    if (m_gateway.m_options.log->shouldLogRequest())
        logSend(placement, source);
    send(placement.endpoint, source);
}

void RequestRun::logSend(const PlacementResult &placement, const CacheSource &source) const
{
    m_gateway.m_options.log->request(
        part, "Sending.",
        {{"request", m_request.id.value()},
         {"route", m_route->name},
         {"endpoint", placement.endpoint->info.id.value()},
         {"software", placement.endpoint->info.softwareVersion},
         {"software_certain", !placement.endpoint->softwareDoubt},
         {"resumes", m_request.resumes ? m_request.resumes->value() : std::string_view()},
         {"resumes_after", resumeAfter().value_or(0)},
         {"reason", toString(placement.reason)},
         {"load", placement.load},
         {"mean_load", placement.meanLoad},
         {"most_load", placement.maximumLoad.value_or(unknownValue)},
         {"candidates", placement.candidateCount},
         {"load_age_ms", m_timers.clock().now() - placement.endpoint->reportedAt},
         {"load_told", placement.endpoint->isReportFromPeer},
         {"cold_ms", coldMilliseconds(*placement.endpoint)},
         {"usual_load", averageLoad().value_or(unknownValue)},
         {"prompt", static_cast<std::int64_t>(affinity().value_or(0))},
         {"parts", toString(parts())},
         {"shared_tokens", sharedTokens().value()},
         {"cache_source", source.endpoint ? source.endpoint->info.id.value() : std::string_view()},
         {"send", m_triedEndpoints.size() + 1},
         {"revision", m_configuration->revision().value()},
         {"knowledge_age_ms", m_gateway.knowledgeAgeMs()},
         {"left_ms", timeLeft()}});
}

/// Time in milliseconds for which the endpoint has been known to be cold.
double RequestRun::coldMilliseconds(const EndpointRecord &endpoint) const
{
    const Base::MonoTime now = m_timers.clock().now();
    if (!m_gateway.m_endpoints.isWarmingUp(endpoint, now))
        return unknownValue;
    return Base::toSeconds(now - *endpoint.warmup.coldSince) * 1000;
}

std::optional<double> RequestRun::averageLoad() const
{
    return m_gateway.m_endpoints.averageLoad(m_service, m_timers.clock().now());
}

/// A relayed request is not relayed again: the peer refuses it if it reaches no endpoint either.
bool RequestRun::relayToPeer()
{
    const bool isUncertain = m_software && *m_software == SoftwareHash();
    if (m_request.relay || isUncertain)
        return false;
    const PeerChoice choice =
        m_gateway.m_peers.choose(m_service, endpointsToAvoid(), m_route->mayRepeat());
    const EndpointPtr &peer = choice.peer;
    if (!peer)
        return false;
    if (isQuarantined())
        return true;
    m_gateway.m_options.log->request(part, "Relaying the request to a peer.",
                                     {{"request", m_request.id.value()},
                                      {"route", m_route->name},
                                      {"service", m_service.value()},
                                      {"peer", peer->info.id.value()},
                                      {"reach", toString(choice.reach)},
                                      {"reaching_peers", choice.reachingPeers},
                                      {"load", choice.load},
                                      {"latency_ms", m_gateway.m_peers.latencyMs(*peer)},
                                      {"send", m_triedEndpoints.size() + 1},
                                      {"left_ms", timeLeft()}});
    m_gateway.m_options.metrics->relayed.increment();
    beginAttempt(peer, true);
    startCall(m_gateway.m_options.relay.peer.makeCall(
        {.request = &m_request,
         .endpoint = &peer->info,
         .timeLeft = std::max(timeLeft(), Base::Duration::zero()),
         .resumeAfter = resumeAfter(),
         .earlierEndpoints = static_cast<int>(m_mayHaveRunAt.size()),
         .software = m_software}));
    return true;
}

/// The few endpoints that the router reaches fill up with the requests of its callers, while those
/// that only its peers reach have room.
bool RequestRun::relayOverflow()
{
    return m_gateway.isMostlyCutOffFrom(m_service) && relayToPeer();
}

bool RequestRun::waitForReachableEndpoint()
{
    const bool mayWait = m_hasStreamBegun && !hasCallerTimedOut()
        && Placement::isServed(placementRequest(), m_gateway.m_endpoints);
    if (!mayWait)
        return false;
    schedulePlacement(m_gateway.m_options.timeouts.reachabilityRetryInterval);
    return true;
}

void RequestRun::waitInQueue(const QueuePriority &priority)
{
    const Base::MonoTime now = m_timers.clock().now();
    if (!m_queuedAt)
        m_queuedAt = now;
    const std::weak_ptr<RequestRun> weak = weak_from_this();
    m_queueTicket = m_gateway.m_admissionQueue.add(
        queueId(),
        {.priority = priority,
         .mayRepeat = m_route->mayRepeat(),
         .deadline = m_hasStreamBegun ? callerTimeoutAt() : *m_queuedAt + maxQueueWait(),
         .tryPlace =
             [weak] {
                 const auto self = weak.lock();
                 return !self || self->tryPlace();
             },
         .fail =
             [weak] {
                 if (const auto self = weak.lock())
                     self->queueWaitFailed();
             }});
    if (!m_queueTicket)
        queueWaitFailed();
}

void RequestRun::leaveQueue()
{
    m_gateway.m_tokenReservations.release(m_requestHash);
    if (const auto ticket = std::exchange(m_queueTicket, std::nullopt))
        m_gateway.m_admissionQueue.remove(*ticket);
}

void RequestRun::queueWaitFailed()
{
    m_queueTicket.reset();
    if (m_gateway.m_options.log->shouldLogRequest()) {
        m_gateway.m_options.log->request(
            part, m_awaitsMemory ? "No endpoint has free memory." : "No endpoint has a free slot.",
            {{"request", m_request.id.value()},
             {"route", m_route->name},
             {"priority", m_priority},
             {"usable_share", usableShare()},
             {"prompt_cached", isPromptCached()},
             // Of this request's last placement; 0 if no endpoint was sought for it.
             {"mean_load", m_lastFullPlacement.meanLoad},
             {"candidates", m_lastFullPlacement.candidateCount},
             {"own_requests", m_gateway.m_endpoints.inFlight(m_service)},
             {"needed_tokens", m_size ? m_size->total().value() : 0},
             {"own_limit", m_gateway.concurrencyLimit(m_service).value()},
             {"in_line", m_gateway.m_admissionQueue.size()},
             {"waited_ms", m_timers.clock().now() - *m_queuedAt},
             {"left_ms", timeLeft()}});
    }
    fail({.kind = ErrorKind::Overloaded,
          .mayHaveReached = false,
          .mayHaveRun = !m_mayHaveRunAt.empty()});
}

void RequestRun::schedulePlacement(Base::Duration delay)
{
    m_placementTimer = m_timers.start(delay, [this] {
        m_placementTimer.reset();
        place();
    });
}

/// Maximum wait of a request that can still be refused. A started stream waits until the timeout of
/// its caller instead, as it is lost without a slot.
Base::Duration RequestRun::maxQueueWait() const
{
    const GatewayTimeouts &timeouts = m_gateway.m_options.timeouts;
    const double share = m_awaitsMemory ? timeouts.memoryWaitShare : timeouts.queueWaitShare;
    const auto wait = std::chrono::duration_cast<Base::Duration>(m_route->targetLatency * share);
    return m_awaitsMemory ? wait : std::min(timeouts.maxQueueWait, wait);
}

RequestRun::CacheSource RequestRun::cacheSource(const PlacementResult &placement) const
{
    const bool isCopying = m_gateway.m_options.policy.copies;
    if (!isCopying || m_prefixes.empty())
        return {};
    const PromptPrefix &sharedPrompt = m_prefixes.back();
    if (EndpointPtr holder = m_gateway.cacheSource(sharedPrompt, *placement.endpoint))
        return {.endpoint = std::move(holder), .isConfirmed = true};
    const bool isGuessed = sharedTokens() >= m_gateway.minCopiedTokens && placement.cacheSource;
    if (isGuessed && !m_gateway.isAnnouncedToPeers(sharedPrompt))
        return {.endpoint = placement.cacheSource};
    for (auto prefix = std::next(m_prefixes.rbegin()); prefix != m_prefixes.rend(); ++prefix) {
        if (EndpointPtr holder = m_gateway.cacheSource(*prefix, *placement.endpoint))
            return {.endpoint = std::move(holder)};
    }
    return {.endpoint = isGuessed ? placement.cacheSource : nullptr};
}

/// Two concurrent requests with the same prompt would each process all of it, at half the speed.
bool RequestRun::waitForPrefill(const PlacementResult &placement)
{
    if (m_hasAwaitedPrefill || sharedTokens() < m_gateway.m_options.timeouts.minAwaitedTokens)
        return false;
    const PromptDirectory::Holder *holder =
        m_gateway.m_prompts.find(m_prefixes.back().hash, placement.endpoint->startHash);
    if (!holder)
        return false;
    const Base::Duration left = holder->prefillEndsAt - m_timers.clock().now();
    if (left <= Base::Duration::zero())
        return false;
    const auto maximumWait = std::chrono::duration_cast<Base::Duration>(
        m_route->targetLatency * m_gateway.m_options.timeouts.prefillWaitShare);
    const Base::Duration wait = std::min(left, maximumWait);
    m_hasAwaitedPrefill = true;
    m_gateway.m_options.log->request(part, "Waiting for the endpoint to process the prompt.",
                                     {{"request", m_request.id.value()},
                                      {"endpoint", placement.endpoint->info.id.value()},
                                      {"prompt", static_cast<std::int64_t>(*affinity())},
                                      {"shared_tokens", sharedTokens().value()},
                                      {"wait_ms", wait}});
    schedulePlacement(wait);
    return true;
}

} // namespace Lagoonbank::Gateway
