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

constexpr std::uint64_t leavingParts = 1024;

/// From 0 to 1, evenly; the same for a request on each router.
double partOf(std::uint64_t hash)
{
    return static_cast<double>(hash % leavingParts) / leavingParts;
}

bool isTried(const PlacementRequest &request, const EndpointPtr &endpoint)
{
    return std::find(request.tried.begin(), request.tried.end(), endpoint) != request.tried.end();
}

bool hasConnection(const PlacementRequest &request, const EndpointRecord &endpoint)
{
    return !request.connectionShare
        || static_cast<std::size_t>(std::max(0, endpoint.inFlight)) < *request.connectionShare;
}

/// An endpoint with requests that wait for a place has no more places than run now, however many it
/// names: its memory is taken.
bool hasRoom(const PlacementRequest &request, const EndpointRegistry &registry,
             const EndpointRecord &endpoint, Base::MonoTime now)
{
    const double effectiveSlots = registry.effectiveSlots(endpoint, now);
    const double usable = effectiveSlots * (1 + request.waitingPerSlot) * request.usableShare;
    return effectiveSlots <= 0 || registry.fleetLoad(endpoint, now) + 1 <= std::max(1.0, usable);
}

/// The first of the full endpoints, if it comes before \a cost in the order; else null.
EndpointPtr fullBefore(double cost, const Routing::RendezvousCost &order,
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
    CandidateSets choice = candidateSets(request, registry, now);
    const Candidates &candidates = choice.candidates;
    if (candidates.empty())
        return choice.full.empty() ? chooseLastResort(request, registry, now)
                                   : fullResult(choice, registry, now);
    double sum = 0;
    for (const Candidate &candidate : candidates)
        sum += candidate.load;
    const double mean = sum / static_cast<double>(candidates.size());
    const std::size_t count = candidates.size();
    PlacementResult place;
    const auto trial = std::find_if(candidates.begin(), candidates.end(),
                                    [](const Candidate &one) { return one.isTrial; });
    if (trial != candidates.end()) {
        place = {
            .endpoint = trial->endpoint, .reason = PlacementReason::Trial, .load = trial->load};
        registry.suspicion().noteTrialSent(trial->endpoint->index, now);
    } else if (request.affinity) {
        place = chooseByAffinity(request, std::move(choice), registry, now);
        place.cacheSource = cacheSource(request, registry, place, now);
    } else {
        place = chooseByCost(candidates, now);
    }
    place.meanLoad = mean;
    place.candidates = count;
    return place;
}

bool Placement::canPlace(const PlacementRequest &request, const EndpointRegistry &registry,
                         Base::MonoTime now) const
{
    return !candidateSets(request, registry, now).candidates.empty();
}

PlacementResult Placement::fullResult(const CandidateSets &choice, const EndpointRegistry &registry,
                                      Base::MonoTime now)
{
    double sum = 0;
    for (const EndpointPtr &endpoint : choice.full)
        sum += registry.fleetLoad(*endpoint, now);
    return {.meanLoad = sum / static_cast<double>(choice.full.size()),
            .candidates = choice.full.size(),
            .isFull = true};
}

/// The filters, one after the other: who is there, who is trusted or may prove itself, and who has
/// room.
Placement::Eligibility Placement::eligibilityOf(const PlacementRequest &request,
                                                const EndpointPtr &endpoint,
                                                const EndpointRegistry &registry,
                                                Base::MonoTime now)
{
    const bool isThere =
        endpoint->takesRequests(now) && now >= endpoint->fullUntil && !isTried(request, endpoint);
    if (!isThere)
        return Eligibility::Excluded;
    const bool isTrusted = !request.excludeSuspected
        || registry.suspicion().state(endpoint->index) == Routing::Suspicion::State::Trusted;
    const bool mayProveItself =
        request.mayRepeat && registry.suspicion().admitsTrial(endpoint->index, now);
    if (!isTrusted && !mayProveItself)
        return Eligibility::Excluded;
    const bool hasPlace = !request.checkCapacity || hasRoom(request, registry, *endpoint, now);
    if (!hasConnection(request, *endpoint) || !hasPlace || !registry.admitsRequest(*endpoint, now))
        return Eligibility::Full;
    return isTrusted ? Eligibility::Candidate : Eligibility::Trial;
}

Placement::CandidateSets Placement::candidateSets(const PlacementRequest &request,
                                                  const EndpointRegistry &registry,
                                                  Base::MonoTime now) const
{
    CandidateSets choice;
    for (const EndpointPtr &endpoint : registry.endpoints(request.service)) {
        const Eligibility standing = eligibilityOf(request, endpoint, registry, now);
        if (standing == Eligibility::Excluded)
            continue;
        if (standing == Eligibility::Full) {
            choice.full.push_back(endpoint);
            continue;
        }
        choice.candidates.push_back({.endpoint = endpoint,
                                     .load = registry.load(*endpoint, now),
                                     .isTrial = standing == Eligibility::Trial});
    }
    return choice;
}

PlacementResult Placement::chooseByAffinity(const PlacementRequest &request, CandidateSets choice,
                                            const EndpointRegistry &registry,
                                            Base::MonoTime now) const
{
    const Routing::RendezvousCost order(*request.affinity);
    Candidates &candidates = choice.candidates;
    for (Candidate &candidate : candidates)
        candidate.cost = order.cost(candidate.endpoint->hash, 1);
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate &a, const Candidate &b) { return a.cost < b.cost; });
    const double mean = meanLoad(request, candidates, registry, now);
    const double most = maximumLoad(request, mean, registry);
    const LatencySums speeds = latencySums(candidates, now);
    const EndpointPtr fullHome = fullBefore(candidates.front().cost, order, choice.full);
    PlacementReason reason = fullHome ? PlacementReason::HomeBusy : PlacementReason::Home;
    const double homeLoad = fullHome ? registry.load(*fullHome, now) : candidates.front().load;
    std::size_t toPass = skippedEndpoints(request, homeLoad, mean, registry);
    if (toPass == 0) { // Holders are one or two; what is spread goes beyond them.
        if (const auto held = chooseHolder(request, candidates, mean, most, speeds, now))
            return *held;
    }
    PlacementResult second; // The first one that is passed over, or has everything but memory.
    for (const Candidate &candidate : candidates) {
        if (candidate.load + 1 > most) {
            reason = PlacementReason::HomeBusy;
            continue;
        }
        if (isSlow(request, *candidate.endpoint, speeds, now)) {
            reason = PlacementReason::HomeSlow;
            continue;
        }
        PlacementResult place{.endpoint = candidate.endpoint,
                              .reason = reason,
                              .load = candidate.load,
                              .maximumLoad = most};
        const bool isPassedOver = toPass > 0;
        if (!isPassedOver && hasMemory(request, *candidate.endpoint))
            return place;
        if (!second.endpoint)
            second = place;
        if (isPassedOver)
            --toPass;
        else
            reason = PlacementReason::HomeFilled;
    }
    if (second.endpoint)
        return second;
    const auto least =
        std::min_element(candidates.begin(), candidates.end(),
                         [](const Candidate &a, const Candidate &b) { return a.load < b.load; });
    return {
        .endpoint = least->endpoint, .reason = reason, .load = least->load, .maximumLoad = most};
}

/// Of the candidates with the request itself, and of endpoints that are spared on purpose: they are
/// part of the service, and what the others get for them is what the bound is there for.
double Placement::meanLoad(const PlacementRequest &request, const Candidates &candidates,
                           const EndpointRegistry &registry, Base::MonoTime now) const
{
    const double usual =
        m_options.usesAverageLoad ? registry.usualLoad(request.service, now).value_or(0) : 0;
    double sum = 1;
    auto count = static_cast<double>(candidates.size());
    for (const Candidate &candidate : candidates) {
        const bool isKnown = registry.hasFreshReport(*candidate.endpoint, now)
            || registry.isWarmingUp(*candidate.endpoint, now);
        sum += isKnown ? candidate.load : std::max(candidate.load, usual);
    }
    for (const EndpointPtr &endpoint : registry.endpoints(request.service)) {
        const bool isSpared = endpoint->isDrained
            || (registry.isWarmingUp(*endpoint, now) && !registry.admitsRequest(*endpoint, now));
        if (!isSpared)
            continue;
        sum += registry.load(*endpoint, now);
        ++count;
    }
    return sum / count;
}

std::optional<PlacementResult> Placement::chooseHolder(const PlacementRequest &request,
                                                       const Candidates &candidates,
                                                       double meanLoad, double mostAtHome,
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
            std::any_of(holders.begin(), holders.end(), [&](const PromptDirectory::Holder &one) {
                return one.endpoint == candidate.endpoint->startHash;
            });
        if (!isHolder)
            continue;
        const bool isHome = &candidate == &candidates.front();
        const double most = isHome
            ? mostAtHome
            : m_options.holderBoundFactor * meanLoad + m_options.holderBoundSlack;
        if (candidate.load + 1 > most || isSlow(request, *candidate.endpoint, speeds, now))
            continue;
        return PlacementResult{.endpoint = candidate.endpoint,
                               .reason = isHome ? PlacementReason::Home : PlacementReason::Holder,
                               .load = candidate.load,
                               .maximumLoad = most};
    }
    return std::nullopt;
}

bool Placement::hasMemory(const PlacementRequest &request, const EndpointRecord &endpoint)
{
    return !request.prompts
        || request.prompts->find(*request.affinity, endpoint.startHash) != nullptr
        || request.prompts->hasMemory(endpoint.startHash, request.sharedTokens, request.memory);
}

/// Among many routers the part of the requests that leaves is the same on each.
double Placement::maximumLoad(const PlacementRequest &request, double mean,
                              const EndpointRegistry &registry) const
{
    const double most = bound().at(mean);
    if (!isLoadStale(registry))
        return most;
    const bool isShort = request.sharedTokens < m_options.shortPrompt;
    const double first =
        (isShort ? m_options.shortPromptOverflow : m_options.longPromptOverflow).at(mean);
    return first < most ? first + partOf(request.requestHash) * (most - first) : most;
}

std::size_t Placement::skippedEndpoints(const PlacementRequest &request, double homeLoad,
                                        double mean, const EndpointRegistry &registry) const
{
    const double excess = homeLoad + 1 - bound().at(mean);
    if (excess <= 0 || !isLoadStale(registry))
        return 0;
    const double endpoints = std::min(m_options.maximumOverflowEndpoints,
                                      1 + m_options.overflowEndpointsPerRequest * excess);
    // Independent of the part by which a request leaves its home.
    return static_cast<std::size_t>(endpoints * partOf(request.requestHash / leavingParts));
}

/// The endpoint where requests with this prompt went before: the first in their order that has been
/// there for long, unless that is the target itself. A home that is passed over need not be there
/// for long, as such requests are what it is busy with, unless it is cold.
EndpointPtr Placement::cacheSource(const PlacementRequest &request,
                                   const EndpointRegistry &registry, const PlacementResult &place,
                                   Base::MonoTime now) const
{
    const EndpointRecord &target = *place.endpoint;
    const bool isPassedOver =
        place.reason == PlacementReason::HomeBusy || place.reason == PlacementReason::HomeSlow;
    const auto isHolder = [&](const EndpointRecord &endpoint) {
        const bool isLeftForLoad = isPassedOver && !registry.isWarmingUp(endpoint, now);
        return isLeftForLoad || now - endpoint.knownSince >= m_options.newEndpointPeriod;
    };
    const Routing::RendezvousCost order(*request.affinity);
    const bool isTargetNew = now - target.knownSince < m_options.newEndpointPeriod;
    const double targetCost = order.cost(target.hash, 1);
    EndpointPtr source;
    double least = isTargetNew ? std::numeric_limits<double>::max() : targetCost;
    for (const EndpointPtr &endpoint : registry.endpoints(request.service)) {
        const bool isUsable = endpoint.get() != &target && !endpoint->isUnreachable
            && !endpoint->notice.isReplaced && isHolder(*endpoint)
            && registry.suspicion().state(endpoint->index) == Routing::Suspicion::State::Trusted;
        const double cost = isUsable ? order.cost(endpoint->hash, 1) : least;
        if (cost >= least)
            continue;
        least = cost;
        source = endpoint;
    }
    return source;
}

PlacementResult Placement::chooseByCost(const Candidates &candidates, Base::MonoTime now) const
{
    const double usual =
        latencySums(candidates, now).latency / static_cast<double>(candidates.size());
    PlacementResult best;
    double least = std::numeric_limits<double>::max();
    for (const Candidate &candidate : candidates) {
        const EndpointRecord &endpoint = *candidate.endpoint;
        const double slots = std::max(1, endpoint.info.slots);
        const double queues = std::max(1.0, (candidate.load + 1) / slots);
        const double cost = endpoint.latency.value(usual, now, m_options.speedHalfLife) * queues
            + 0.001 * candidate.load / slots;
        if (cost >= least)
            continue;
        least = cost;
        best = {.endpoint = candidate.endpoint,
                .reason = PlacementReason::LeastCost,
                .load = candidate.load};
    }
    return best;
}

PlacementResult Placement::chooseLastResort(const PlacementRequest &request,
                                            const EndpointRegistry &registry, Base::MonoTime now)
{
    PlacementResult place{.reason = PlacementReason::LastResort};
    for (const EndpointPtr &endpoint : registry.endpoints(request.service)) {
        if (!endpoint->isInService() || isTried(request, endpoint))
            continue;
        if (!endpoint->takesRequests(now)) {
            const Base::MonoTime until = endpoint->notice.backOffUntil;
            place.backOffUntil = std::min(place.backOffUntil.value_or(until), until);
            continue;
        }
        if (!registry.admitsRequest(*endpoint, now))
            continue;
        const bool isBetter = !place.endpoint
            || registry.suspicion().suspectedSince(endpoint->index)
                < registry.suspicion().suspectedSince(place.endpoint->index);
        if (isBetter)
            place.endpoint = endpoint;
    }
    return place;
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
