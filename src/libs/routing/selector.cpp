#include "routing/selector.h"

#include "routing/rendezvous.h"

#include <algorithm>
#include <limits>

namespace Lagoonbank::Routing {

namespace {

constexpr double noCost = std::numeric_limits<double>::infinity();

bool usable(const Candidate &candidate)
{
    return candidate.use == Candidate::Use::Yes;
}

PoolTotals totalsOf(std::span<const Candidate> candidates, std::span<const EndpointIndex> members)
{
    PoolTotals totals;
    for (const EndpointIndex index : members) {
        const Candidate &candidate = candidates[index];
        if (!usable(candidate))
            continue;
        totals.load += candidate.load;
        totals.capacity += candidate.weight;
    }
    return totals;
}

Base::Tokens cachedAt(std::span<const WarmEndpoint> warm, EndpointIndex endpoint)
{
    for (const WarmEndpoint &warmEndpoint : warm) {
        if (warmEndpoint.endpoint == endpoint)
            return warmEndpoint.cached;
    }
    return {};
}

} // namespace

std::string_view toString(DecisionReason reason)
{
    switch (reason) {
    case DecisionReason::Warm:
        return "warm";
    case DecisionReason::Home:
        return "home";
    case DecisionReason::Overflow:
        return "overflow";
    case DecisionReason::Trial:
        return "trial";
    case DecisionReason::Baseline:
        return "baseline";
    case DecisionReason::AllFull:
        return "all_full";
    case DecisionReason::WarmFull:
        return "warm_full";
    case DecisionReason::NoneUsable:
        return "none_usable";
    }
    return "none_usable";
}

bool TriedEndpoints::add(EndpointIndex endpoint)
{
    if (m_count == limit)
        return false;
    m_items[m_count++] = endpoint;
    return true;
}

bool TriedEndpoints::contains(EndpointIndex endpoint) const
{
    const auto end = m_items.begin() + static_cast<std::ptrdiff_t>(m_count);
    return std::find(m_items.begin(), end, endpoint) != end;
}

/// The best endpoints found so far in a pass over the pool, by cost in the chat's order.
struct Selector::Scan
{
    double homeCost = noCost; ///< Minimum over all usable endpoints, whatever their load.
    EndpointIndex home = noEndpoint;
    double firstCost = noCost; ///< Minimum over the usable endpoints below the bound.
    EndpointIndex first = noEndpoint;
    double secondCost = noCost;
    EndpointIndex second = noEndpoint;
    double trialCost = noCost;
    EndpointIndex trial = noEndpoint;

    void offer(EndpointIndex index, double cost)
    {
        if (cost < firstCost) {
            second = first;
            secondCost = firstCost;
            first = index;
            firstCost = cost;
            return;
        }
        second = index;
        secondCost = cost;
    }

    EndpointIndex lessLoaded(std::span<const Candidate> candidates) const
    {
        if (second == noEndpoint)
            return first;
        const Candidate &a = candidates[first];
        const Candidate &b = candidates[second];
        return b.load * a.weight < a.load * b.weight ? second : first;
    }
};

Decision Selector::choose(const RouteRequest &request, std::span<const Candidate> candidates,
                          std::span<const EndpointIndex> members,
                          std::span<const WarmEndpoint> warm)
{
    if (m_options.policy == Policy::Bounded)
        return chooseBounded(request, candidates, members, warm);

    EndpointIndex endpoint = noEndpoint;
    switch (m_options.policy) {
    case Policy::RoundRobin:
        endpoint = nextRoundRobin(request, candidates, members);
        break;
    case Policy::LeastLoad:
        endpoint = leastLoaded(request, candidates, members);
        break;
    case Policy::TwoChoices:
        endpoint = lessLoadedOfTwo(request, candidates, members);
        break;
    case Policy::Rendezvous:
    case Policy::Bounded:
        endpoint = firstInOrder(request, candidates, members);
        break;
    }
    if (endpoint == noEndpoint)
        return {};
    return sendTo(request, endpoint, cachedAt(warm, endpoint), DecisionReason::Baseline);
}

double Selector::workOf(const RouteRequest &request, Base::Tokens cached) const
{
    const std::int64_t uncached =
        std::max<std::int64_t>(request.promptTokens.value() - cached.value(), 0);
    const auto output = static_cast<double>(request.expectedOutput.value());
    return std::max(static_cast<double>(uncached) + m_options.outputWeight * output, 1.0);
}

Decision Selector::chooseBounded(const RouteRequest &request, std::span<const Candidate> candidates,
                                 std::span<const EndpointIndex> members,
                                 std::span<const WarmEndpoint> warm)
{
    const PoolTotals totals = totalsOf(candidates, members);
    Base::Tokens cached;
    const EndpointIndex warmEndpoint = chooseWarm(request, candidates, warm, totals, &cached);
    if (warmEndpoint != noEndpoint)
        return sendTo(request, warmEndpoint, cached, DecisionReason::Warm);
    if (shouldWaitForWarm(request, candidates, warm)) {
        return {.outcome = Outcome::Wait,
                .reason = DecisionReason::WarmFull,
                .refusal = Errors::ErrorKind::Overloaded};
    }

    const bool localFirst = !request.usesCache && m_options.preferLocalServices;
    Scan scan;
    if (localFirst)
        scan = scanBounded(request, candidates, members, totals, true);
    if (scan.first == noEndpoint)
        scan = scanBounded(request, candidates, members, totals, false);

    if (scan.trial != noEndpoint && request.repeatable && scan.trialCost < scan.homeCost)
        return sendTo(request, scan.trial, {}, DecisionReason::Trial);
    if (scan.home == noEndpoint)
        return {};
    const EndpointIndex chosen = chooseCold(request, candidates, totals, scan);
    if (chosen == noEndpoint) {
        return {.outcome = Outcome::Wait,
                .reason = DecisionReason::AllFull,
                .refusal = Errors::ErrorKind::Overloaded};
    }
    const bool leavesWarm = !warm.empty() && warm.front().endpoint != chosen;
    const DecisionReason reason =
        chosen == scan.home && !leavesWarm ? DecisionReason::Home : DecisionReason::Overflow;
    return sendTo(request, chosen, cachedAt(warm, chosen), reason);
}

EndpointIndex Selector::chooseCold(const RouteRequest &request,
                                   std::span<const Candidate> candidates, const PoolTotals &totals,
                                   const Scan &scan) const
{
    // The prefix of a chat without a token is probably cached at its home endpoint.
    const Candidate &home = candidates[scan.home];
    const bool homeAdmits = m_bound.admitsPreferred(home.load, home.weight, workOf(request, {}),
                                                    totals, request.priority);
    if (request.usesCache && homeAdmits)
        return scan.home;
    return m_options.overflowCandidateCount > 1 ? scan.lessLoaded(candidates) : scan.first;
}

Selector::Scan Selector::scanBounded(const RouteRequest &request,
                                     std::span<const Candidate> candidates,
                                     std::span<const EndpointIndex> members,
                                     const PoolTotals &totals, bool localOnly) const
{
    const RendezvousCost order(request.chatHash);
    const double work = workOf(request, {});
    Scan scan;
    for (const EndpointIndex index : members) {
        const Candidate &candidate = candidates[index];
        if (candidate.use == Candidate::Use::No || request.tried.contains(index))
            continue;
        if (localOnly && !candidate.local)
            continue;
        if (candidate.use == Candidate::Use::Trial) {
            if (order.improves(candidate.hash, candidate.weight, &scan.trialCost))
                scan.trial = index;
            continue;
        }
        // The home endpoint costs no more than the second endpoint below the bound, so that one
        // comparison with the cost of the latter excludes most endpoints.
        double limit = scan.secondCost;
        if (!order.improves(candidate.hash, candidate.weight, &limit))
            continue;
        if (limit < scan.homeCost) {
            scan.homeCost = limit;
            scan.home = index;
        }
        if (m_bound.admitsOverflow(candidate.load, candidate.weight, work, totals,
                                   request.priority))
            scan.offer(index, limit);
    }
    return scan;
}

EndpointIndex Selector::chooseWarm(const RouteRequest &request,
                                   std::span<const Candidate> candidates,
                                   std::span<const WarmEndpoint> warm, const PoolTotals &totals,
                                   Base::Tokens *cached) const
{
    for (const WarmEndpoint &warmEndpoint : warm) {
        if (warmEndpoint.endpoint >= candidates.size() || warmEndpoint.cached.value() <= 0)
            continue;
        const Candidate &candidate = candidates[warmEndpoint.endpoint];
        if (!usable(candidate) || request.tried.contains(warmEndpoint.endpoint))
            continue;
        const double work = workOf(request, warmEndpoint.cached);
        if (!m_bound.admitsPreferred(candidate.load, candidate.weight, work, totals,
                                     request.priority))
            continue;
        *cached = warmEndpoint.cached;
        return warmEndpoint.endpoint;
    }
    return noEndpoint;
}

bool Selector::shouldWaitForWarm(const RouteRequest &request, std::span<const Candidate> candidates,
                                 std::span<const WarmEndpoint> warm) const
{
    for (const WarmEndpoint &warmEndpoint : warm) {
        if (warmEndpoint.endpoint >= candidates.size()
            || !usable(candidates[warmEndpoint.endpoint]))
            continue;
        if (request.tried.contains(warmEndpoint.endpoint))
            continue;
        const Base::Duration worthwhile =
            m_options.warmWaitPerThousandTokens * warmEndpoint.cached.value() / 1000;
        if (request.waited < std::min(worthwhile, m_options.maximumWarmWait))
            return true;
    }
    return false;
}

EndpointIndex Selector::nextRoundRobin(const RouteRequest &request,
                                       std::span<const Candidate> candidates,
                                       std::span<const EndpointIndex> members)
{
    for (std::size_t step = 0; step < members.size(); ++step) {
        const EndpointIndex index = members[m_selectionCounter++ % members.size()];
        if (usable(candidates[index]) && !request.tried.contains(index))
            return index;
    }
    return noEndpoint;
}

EndpointIndex Selector::leastLoaded(const RouteRequest &request,
                                    std::span<const Candidate> candidates,
                                    std::span<const EndpointIndex> members) const
{
    EndpointIndex best = noEndpoint;
    double bestRatio = noCost;
    for (const EndpointIndex index : members) {
        const Candidate &candidate = candidates[index];
        if (!usable(candidate) || request.tried.contains(index))
            continue;
        const double ratio = candidate.load / candidate.weight;
        const bool earlier = best != noEndpoint && ratio == bestRatio
            && mixHashes(request.chatHash, candidate.hash)
                < mixHashes(request.chatHash, candidates[best].hash);
        if (ratio < bestRatio || earlier) {
            best = index;
            bestRatio = ratio;
        }
    }
    return best;
}

EndpointIndex Selector::lessLoadedOfTwo(const RouteRequest &request,
                                        std::span<const Candidate> candidates,
                                        std::span<const EndpointIndex> members)
{
    // The counter gives each decision a new random order, whose first two endpoints are the pair.
    const RendezvousCost order(mixHashes(request.chatHash, ++m_selectionCounter));
    Scan scan;
    for (const EndpointIndex index : members) {
        const Candidate &candidate = candidates[index];
        if (!usable(candidate) || request.tried.contains(index))
            continue;
        double limit = scan.secondCost;
        if (order.improves(candidate.hash, candidate.weight, &limit))
            scan.offer(index, limit);
    }
    return scan.lessLoaded(candidates);
}

EndpointIndex Selector::firstInOrder(const RouteRequest &request,
                                     std::span<const Candidate> candidates,
                                     std::span<const EndpointIndex> members) const
{
    const RendezvousCost order(request.chatHash);
    EndpointIndex best = noEndpoint;
    double cost = noCost;
    for (const EndpointIndex index : members) {
        const Candidate &candidate = candidates[index];
        if (!usable(candidate) || request.tried.contains(index))
            continue;
        if (order.improves(candidate.hash, candidate.weight, &cost))
            best = index;
    }
    return best;
}

Decision Selector::sendTo(const RouteRequest &request, EndpointIndex endpoint, Base::Tokens cached,
                          DecisionReason reason) const
{
    return {.outcome = Outcome::Send,
            .endpoint = endpoint,
            .expectedCached = cached,
            .work = Base::WorkUnits(workOf(request, cached)),
            .reason = reason};
}

} // namespace Lagoonbank::Routing
