#include "gateway/placement.h"

#include "routing/rendezvous.h"

#include <algorithm>
#include <array>
#include <limits>

namespace Lagoonbank::Gateway {

namespace {

constexpr std::array<std::string_view, 8> reasonNames{"home",      "holder",     "home_filled",
                                                      "home_busy", "home_slow",  "least_cost",
                                                      "trial",     "last_resort"};

constexpr std::uint64_t fractionSteps = 1024;

/// Fraction from 0 up to 1, uniformly distributed over hashes; the same on every router.
double toFraction(std::uint64_t hash)
{
    return static_cast<double>(hash % fractionSteps) / fractionSteps;
}

bool isTried(const PlacementRequest &request, const EndpointPtr &endpoint)
{
    return std::find(request.triedEndpoints.begin(), request.triedEndpoints.end(), endpoint)
        != request.triedEndpoints.end();
}

/// Whether the request must not go to the endpoint, whatever its state.
bool isExcluded(const PlacementRequest &request, const EndpointPtr &endpoint)
{
    // A stream whose version is not certain goes on nowhere.
    const bool isOtherSoftware = request.software
        && (*request.software == SoftwareHash()
            || endpoint->certainSoftware() != *request.software);
    return isOtherSoftware || isTried(request, endpoint);
}

bool isBelowConnectionShare(const PlacementRequest &request, const EndpointRecord &endpoint)
{
    return !request.connectionShare
        || static_cast<std::size_t>(std::max(0, endpoint.inFlight)) < *request.connectionShare;
}

bool hasFreeSlot(const PlacementRequest &request, const EndpointRegistry &registry,
                 const EndpointRecord &endpoint, Base::MonoTime now)
{
    const double slots = registry.effectiveSlots(endpoint, now);
    const double usable = slots * (1 + request.waitingPerSlot) * request.usableShare;
    return slots <= 0 || registry.fleetLoad(endpoint, now) + 1 <= std::max(1.0, usable);
}

bool lacksMemory(const PlacementRequest &request, const EndpointRegistry &registry,
                 const EndpointRecord &endpoint, Base::MonoTime now)
{
    return request.memoryNeed && !hasFreeMemory(*request.memoryNeed, endpoint, registry, now);
}

/// The full endpoint with a free slot that lacks the least memory for the request, or null.
EndpointPtr leastLackingMemory(const PlacementRequest &request,
                               const std::vector<EndpointPtr> &full,
                               const EndpointRegistry &registry, Base::MonoTime now)
{
    EndpointPtr best;
    double lowest = std::numeric_limits<double>::max();
    for (const EndpointPtr &endpoint : full) {
        const bool lacksOnlyMemory = lacksMemory(request, registry, *endpoint, now)
            && isBelowConnectionShare(request, *endpoint)
            && hasFreeSlot(request, registry, *endpoint, now);
        if (!lacksOnlyMemory)
            continue;
        const double missing = missingTokens(*request.memoryNeed, *endpoint, registry, now);
        if (missing >= lowest)
            continue;
        lowest = missing;
        best = endpoint;
    }
    return best;
}

/// The first of the full endpoints in the rendezvous-hash order that precedes \a cost, or null.
EndpointPtr firstFullBefore(double cost, const Routing::RendezvousCost &order,
                            const std::vector<EndpointPtr> &full)
{
    EndpointPtr first;
    for (const EndpointPtr &endpoint : full) {
        const double own = order.cost(endpoint->hash, 1);
        if (own >= cost)
            continue;
        cost = own;
        first = endpoint;
    }
    return first;
}

} // namespace

std::string_view toString(PlacementReason reason)
{
    return reasonNames.at(static_cast<std::size_t>(reason));
}

PlacementResult Placement::choose(const PlacementRequest &request, EndpointRegistry &registry,
                                  Base::MonoTime now) const
{
    CandidateSets sets = candidateSets(request, registry, now);
    const Candidates &candidates = sets.candidates;
    if (candidates.empty())
        return sets.full.empty() ? chooseLastResort(request, registry, now)
                                 : fullResult(request, sets, registry, now);
    double sum = 0;
    for (const Candidate &candidate : candidates)
        sum += candidate.load;
    const double mean = sum / static_cast<double>(candidates.size());
    const std::size_t count = candidates.size();
    PlacementResult result;
    const auto trial = std::find_if(candidates.begin(), candidates.end(),
                                    [](const Candidate &candidate) { return candidate.isTrial; });
    if (trial != candidates.end()) {
        result = {
            .endpoint = trial->endpoint, .reason = PlacementReason::Trial, .load = trial->load};
        registry.suspicion().noteTrialSent(trial->endpoint->index, now);
    } else if (request.affinity) {
        result = chooseByAffinity(request, std::move(sets), registry, now);
        result.cacheSource = cacheSource(request, registry, result, now);
    } else {
        result = chooseByCost(candidates, registry, now);
    }
    result.meanLoad = mean;
    result.candidateCount = count;
    return result;
}

bool Placement::canPlace(const PlacementRequest &request, const EndpointRegistry &registry,
                         Base::MonoTime now) const
{
    return !candidateSets(request, registry, now).candidates.empty();
}

bool Placement::isServed(const PlacementRequest &request, const EndpointRegistry &registry)
{
    const std::vector<EndpointPtr> &endpoints = registry.endpoints(request.service);
    return std::any_of(endpoints.begin(), endpoints.end(), [&](const EndpointPtr &endpoint) {
        const bool isOtherSoftware = request.software && endpoint->software != *request.software;
        return endpoint->isOpen() && !isOtherSoftware && !isTried(request, endpoint);
    });
}

PlacementResult Placement::fullResult(const PlacementRequest &request, const CandidateSets &sets,
                                      const EndpointRegistry &registry, Base::MonoTime now)
{
    double sum = 0;
    for (const EndpointPtr &endpoint : sets.full)
        sum += registry.fleetLoad(*endpoint, now);
    return {.meanLoad = sum / static_cast<double>(sets.full.size()),
            .candidateCount = sets.full.size(),
            .isFull = true,
            .memoryLacking = leastLackingMemory(request, sets.full, registry, now)};
}

/// Applies the filters in turn: availability, health, capacity.
Placement::Eligibility Placement::eligibilityOf(const PlacementRequest &request,
                                                const EndpointPtr &endpoint,
                                                const EndpointRegistry &registry,
                                                Base::MonoTime now)
{
    const bool isAvailable = endpoint->takesRequests(now) && now >= endpoint->fullUntil
        && !isExcluded(request, endpoint);
    if (!isAvailable)
        return Eligibility::Excluded;
    const bool isHealthy = !request.excludeSuspected
        || registry.suspicion().state(endpoint->index) == Routing::Suspicion::State::Healthy;
    const bool isTrialDue =
        request.mayRepeat && registry.suspicion().admitsTrial(endpoint->index, now);
    if (!isHealthy && !isTrialDue)
        return Eligibility::Excluded;
    const bool hasCapacity =
        !request.checkCapacity || hasFreeSlot(request, registry, *endpoint, now);
    if (!isBelowConnectionShare(request, *endpoint) || !hasCapacity
        || !registry.admitsRequest(*endpoint, now)
        || lacksMemory(request, registry, *endpoint, now))
        return Eligibility::Full;
    return isHealthy ? Eligibility::Candidate : Eligibility::Trial;
}

Placement::CandidateSets Placement::candidateSets(const PlacementRequest &request,
                                                  const EndpointRegistry &registry,
                                                  Base::MonoTime now) const
{
    CandidateSets sets;
    for (const EndpointPtr &endpoint : registry.endpoints(request.service)) {
        const Eligibility eligibility = eligibilityOf(request, endpoint, registry, now);
        if (eligibility == Eligibility::Excluded)
            continue;
        if (eligibility == Eligibility::Full) {
            sets.full.push_back(endpoint);
            continue;
        }
        sets.candidates.push_back({.endpoint = endpoint,
                                   .load = registry.load(*endpoint, now),
                                   .isTrial = eligibility == Eligibility::Trial});
    }
    return sets;
}

PlacementResult Placement::chooseByAffinity(const PlacementRequest &request, CandidateSets sets,
                                            const EndpointRegistry &registry,
                                            Base::MonoTime now) const
{
    const Routing::RendezvousCost order(*request.affinity);
    Candidates &candidates = sets.candidates;
    for (Candidate &candidate : candidates)
        candidate.cost = order.cost(candidate.endpoint->hash, 1);
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate &a, const Candidate &b) { return a.cost < b.cost; });
    const double mean = meanLoad(request, candidates, registry, now);
    const double limit = maximumLoad(request, mean, registry);
    const LatencySums speeds = latencySums(candidates, now);
    const EndpointPtr fullHome = firstFullBefore(candidates.front().cost, order, sets.full);
    PlacementReason reason = fullHome ? PlacementReason::HomeBusy : PlacementReason::Home;
    const double homeLoad = fullHome ? registry.load(*fullHome, now) : candidates.front().load;
    std::size_t toSkip = skippedEndpoints(request, homeLoad, mean, registry);
    // Most prompts have one or two holders, too few to spread the overflow over.
    if (toSkip == 0) {
        if (const auto held = chooseHolder(request, candidates, mean, limit, speeds, now))
            return *held;
    }
    PlacementResult fallback; // First candidate that is skipped or lacks only cache memory.
    for (const Candidate &candidate : candidates) {
        if (candidate.load + 1 > limit) {
            reason = PlacementReason::HomeBusy;
            continue;
        }
        if (isSlow(request, *candidate.endpoint, speeds, now)) {
            reason = PlacementReason::HomeSlow;
            continue;
        }
        PlacementResult result{.endpoint = candidate.endpoint,
                               .reason = reason,
                               .load = candidate.load,
                               .maximumLoad = limit};
        const bool isSkipped = toSkip > 0;
        if (!isSkipped && hasMemory(request, *candidate.endpoint))
            return result;
        if (!fallback.endpoint)
            fallback = result;
        if (isSkipped)
            --toSkip;
        else
            reason = PlacementReason::HomeFilled;
    }
    if (fallback.endpoint)
        return fallback;
    const auto leastLoaded =
        std::min_element(candidates.begin(), candidates.end(),
                         [](const Candidate &a, const Candidate &b) { return a.load < b.load; });
    return {.endpoint = leastLoaded->endpoint,
            .reason = reason,
            .load = leastLoaded->load,
            .maximumLoad = limit};
}

/// Mean load of the candidates, including this request. Endpoints that get no requests because they
/// are drained or warming up count too: they belong to the service, and the bound limits the load
/// that the others take over from them.
double Placement::meanLoad(const PlacementRequest &request, const Candidates &candidates,
                           const EndpointRegistry &registry, Base::MonoTime now) const
{
    const double averageLoad =
        m_options.usesAverageLoad ? registry.averageLoad(request.service, now).value_or(0) : 0;
    double sum = 1;
    auto count = static_cast<double>(candidates.size());
    for (const Candidate &candidate : candidates) {
        const bool isKnown = registry.hasFreshReport(*candidate.endpoint, now)
            || registry.isWarmingUp(*candidate.endpoint, now);
        sum += isKnown ? candidate.load : std::max(candidate.load, averageLoad);
    }
    for (const EndpointPtr &endpoint : registry.endpoints(request.service)) {
        const bool isRelieved = endpoint->isDrained
            || (registry.isWarmingUp(*endpoint, now) && !registry.admitsRequest(*endpoint, now));
        if (!isRelieved)
            continue;
        sum += registry.load(*endpoint, now);
        ++count;
    }
    return sum / count;
}

std::optional<PlacementResult> Placement::chooseHolder(const PlacementRequest &request,
                                                       const Candidates &candidates,
                                                       double meanLoad, double homeLimit,
                                                       const LatencySums &speeds,
                                                       Base::MonoTime now) const
{
    if (!request.prompts)
        return std::nullopt;
    const PromptDirectory::Holders &holders = request.prompts->holders(*request.affinity);
    if (holders.empty())
        return std::nullopt;
    for (const Candidate &candidate : candidates) {
        const bool isHolder =
            std::any_of(holders.begin(), holders.end(), [&](const PromptDirectory::Holder &holder) {
                return holder.endpoint == candidate.endpoint->startHash;
            });
        if (!isHolder)
            continue;
        const bool isHome = &candidate == &candidates.front();
        const double limit = isHome
            ? homeLimit
            : m_options.holderBoundFactor * meanLoad + m_options.holderBoundSlack;
        if (candidate.load + 1 > limit || isSlow(request, *candidate.endpoint, speeds, now))
            continue;
        return PlacementResult{.endpoint = candidate.endpoint,
                               .reason = isHome ? PlacementReason::Home : PlacementReason::Holder,
                               .load = candidate.load,
                               .maximumLoad = limit};
    }
    return std::nullopt;
}

bool Placement::hasMemory(const PlacementRequest &request, const EndpointRecord &endpoint)
{
    return !request.prompts
        || request.prompts->find(*request.affinity, endpoint.startHash) != nullptr
        || request.prompts->hasMemory(endpoint.startHash, request.sharedTokens, request.memory);
}

/// In a large fleet the limit depends on the request, so that the overflow sets in gradually. All
/// routers compute the same limit for a request.
double Placement::maximumLoad(const PlacementRequest &request, double mean,
                              const EndpointRegistry &registry) const
{
    const double limit = bound().forMeanLoad(mean);
    if (!isLoadStale(registry))
        return limit;
    const bool isShort = request.sharedTokens < m_options.shortPrompt;
    const double first =
        (isShort ? m_options.shortPromptOverflow : m_options.longPromptOverflow).forMeanLoad(mean);
    return first < limit ? first + toFraction(request.requestHash) * (limit - first) : limit;
}

std::size_t Placement::skippedEndpoints(const PlacementRequest &request, double homeLoad,
                                        double mean, const EndpointRegistry &registry) const
{
    const double excess = homeLoad + 1 - bound().forMeanLoad(mean);
    if (excess <= 0 || !isLoadStale(registry))
        return 0;
    const double endpoints = std::min(m_options.maximumOverflowEndpoints,
                                      1 + m_options.overflowEndpointsPerRequest * excess);
    // Uses other bits of the hash than maximumLoad(), so that both choices are independent.
    return static_cast<std::size_t>(endpoints * toFraction(request.requestHash / fractionSteps));
}

/// The endpoint that earlier requests with this prompt were sent to: the first in the
/// rendezvous-hash order that is not new, unless that is the target itself. If the target was
/// chosen because the home is busy or slow, the home may be new, as requests with this prompt have
/// caused its load; but it must not be warming up.
EndpointPtr Placement::cacheSource(const PlacementRequest &request,
                                   const EndpointRegistry &registry, const PlacementResult &result,
                                   Base::MonoTime now) const
{
    const EndpointRecord &target = *result.endpoint;
    const bool isHomeLeft =
        result.reason == PlacementReason::HomeBusy || result.reason == PlacementReason::HomeSlow;
    const auto isHolder = [&](const EndpointRecord &endpoint) {
        const bool isLeftForLoad = isHomeLeft && !registry.isWarmingUp(endpoint, now);
        return isLeftForLoad || now - endpoint.knownSince >= m_options.newEndpointPeriod;
    };
    const Routing::RendezvousCost order(*request.affinity);
    const bool isTargetNew = now - target.knownSince < m_options.newEndpointPeriod;
    const double targetCost = order.cost(target.hash, 1);
    EndpointPtr source;
    double lowest = isTargetNew ? std::numeric_limits<double>::max() : targetCost;
    for (const EndpointPtr &endpoint : registry.endpoints(request.service)) {
        const bool isUsable = endpoint.get() != &target && !endpoint->isUnreachable
            && !endpoint->notice.isReplaced && isHolder(*endpoint)
            && registry.suspicion().state(endpoint->index) == Routing::Suspicion::State::Healthy;
        const double cost = isUsable ? order.cost(endpoint->hash, 1) : lowest;
        if (cost >= lowest)
            continue;
        lowest = cost;
        source = endpoint;
    }
    return source;
}

/// Mean of the measured latencies only.
double Placement::knownMeanLatency(const Candidates &candidates, Base::MonoTime now) const
{
    double sum = 0;
    double weight = 0;
    for (const Candidate &candidate : candidates) {
        sum += candidate.endpoint->latency.value(0, now, m_options.speedHalfLife);
        weight += candidate.endpoint->latency.weight(now, m_options.speedHalfLife);
    }
    return weight > 0 ? sum / weight : 0;
}

PlacementResult Placement::chooseByCost(const Candidates &candidates,
                                        const EndpointRegistry &registry, Base::MonoTime now) const
{
    // An endpoint without a measured latency is expected to be fast, so that it gets requests soon,
    // unless it has none because it refuses them.
    const double optimisticLatency =
        latencySums(candidates, now).latency / static_cast<double>(candidates.size());
    const double knownLatency = knownMeanLatency(candidates, now);
    PlacementResult best;
    double lowest = std::numeric_limits<double>::max();
    for (const Candidate &candidate : candidates) {
        const EndpointRecord &endpoint = *candidate.endpoint;
        const double slots = std::max(1, endpoint.info.slots);
        const double queues = std::max(1.0, (candidate.load + 1) / slots);
        const double attempts = registry.expectedAttempts(endpoint, now);
        const double expectedLatency = attempts > 1 ? knownLatency : optimisticLatency;
        const double slowdown = m_options.usesSlowdown ? endpoint.slowdown.factor(now) : 1;
        const double cost =
            (endpoint.latency.value(expectedLatency, now, m_options.speedHalfLife) * queues
             + 0.001 * candidate.load / slots)
            * attempts * slowdown;
        if (cost >= lowest)
            continue;
        lowest = cost;
        best = {.endpoint = candidate.endpoint,
                .reason = PlacementReason::LeastCost,
                .load = candidate.load};
    }
    return best;
}

PlacementResult Placement::chooseLastResort(const PlacementRequest &request,
                                            const EndpointRegistry &registry, Base::MonoTime now)
{
    PlacementResult result{.reason = PlacementReason::LastResort};
    for (const EndpointPtr &endpoint : registry.endpoints(request.service)) {
        if (!endpoint->isInService() || isExcluded(request, endpoint))
            continue;
        if (!endpoint->takesRequests(now)) {
            const Base::MonoTime until = endpoint->notice.backOffUntil;
            result.backOffUntil = std::min(result.backOffUntil.value_or(until), until);
            continue;
        }
        if (!registry.admitsRequest(*endpoint, now))
            continue;
        if (lacksMemory(request, registry, *endpoint, now)) {
            result.isFull = true;
            continue;
        }
        const bool isBetter = !result.endpoint
            || registry.suspicion().suspectedSince(endpoint->index)
                < registry.suspicion().suspectedSince(result.endpoint->index);
        if (isBetter)
            result.endpoint = endpoint;
    }
    result.isFull = result.isFull && !result.endpoint;
    return result;
}

Placement::LatencySums Placement::latencySums(const Candidates &candidates,
                                              Base::MonoTime now) const
{
    LatencySums sum;
    for (const Candidate &candidate : candidates) {
        sum.latency += candidate.endpoint->latency.value(0, now, m_options.speedHalfLife);
        sum.pause += candidate.endpoint->pause.value(0, now, m_options.speedHalfLife);
    }
    sum.count = candidates.size();
    return sum;
}

bool Placement::isSlow(const PlacementRequest &request, const EndpointRecord &endpoint,
                       const LatencySums &sum, Base::MonoTime now) const
{
    if (sum.count < 2)
        return false;
    const auto takesTooLong = [&](double value, double all, Base::Duration limit) {
        const double others = (all - value) / static_cast<double>(sum.count - 1);
        return limit > Base::Duration::zero() && value > m_options.slowFactor * others
            && value > m_options.slowShare * Base::toSeconds(limit);
    };
    const double pause = endpoint.pause.value(0, now, m_options.speedHalfLife);
    const double latency = endpoint.latency.value(0, now, m_options.speedHalfLife);
    return takesTooLong(pause, sum.pause, request.maxEventGap)
        || takesTooLong(latency, sum.latency, request.targetLatency);
}

} // namespace Lagoonbank::Gateway
