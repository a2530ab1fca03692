#include "routing/router.h"

#include <array>

namespace Lagoonbank::Routing {

Router::Router(const Options &options)
    : m_options(options)
    , m_loads(options.estimator)
    , m_suspicion(options.suspicion)
    , m_slowStart(options.slowStart)
    , m_placements(options.placements)
    , m_tokens(options.tokens)
    , m_selector(options.selector)
{ }

void Router::setPolicy(const Options &options)
{
    m_options.selector = options.selector;
    m_options.suspicion = options.suspicion;
    m_options.slowStart = options.slowStart;
    m_selector.setOptions(options.selector);
    m_suspicion.setOptions(options.suspicion);
    m_slowStart = SlowStart(options.slowStart);
}

EndpointIndex Router::upsert(const EndpointInfo &info, Base::MonoTime now)
{
    const bool added = m_table.find(info.id) == noEndpoint;
    const EndpointIndex endpoint = m_table.upsert(info);
    m_loads.resize(m_table.size());
    m_suspicion.resize(m_table.size());
    m_candidates.resize(m_table.size());
    if (added) {
        m_loads.reset(endpoint);
        m_suspicion.reset(endpoint);
    }
    updateCandidate(endpoint, now);
    return endpoint;
}

void Router::remove(const Base::EndpointId &id, Base::MonoTime now)
{
    const EndpointIndex endpoint = m_table.find(id);
    if (endpoint == noEndpoint)
        return;
    m_placements.dropEndpoint(m_table.hash(endpoint));
    m_table.remove(id);
    m_loads.reset(endpoint);
    updateCandidate(endpoint, now);
}

void Router::setState(EndpointIndex endpoint, EndpointState state, Base::MonoTime now)
{
    m_table.setState(endpoint, state);
    updateCandidate(endpoint, now);
}

bool Router::noteReport(EndpointIndex endpoint, const LoadReport &report, Base::WorkUnits capacity,
                        Base::MonoTime now)
{
    const Base::Incarnation before = m_loads.incarnation(endpoint);
    const bool known = m_loads.hasReport(endpoint);
    if (!m_loads.noteReport(endpoint, report, now))
        return false;
    if (capacity.value() > 0.0)
        m_table.setCapacity(endpoint, capacity);
    if (known && report.incarnation.value() > before.value()) {
        m_table.setColdSince(endpoint, now);
        m_placements.dropEndpoint(m_table.hash(endpoint));
    }
    updateCandidate(endpoint, now);
    return true;
}

void Router::notePeerInFlight(PeerIndex peer, EndpointIndex endpoint, Base::WorkUnits inFlight,
                              Base::MonoTime now)
{
    m_loads.notePeerInFlight(peer, endpoint, inFlight, now);
    updateLoad(endpoint);
}

void Router::removePeer(PeerIndex peer, Base::MonoTime now)
{
    m_loads.removePeer(peer, now);
    for (EndpointIndex endpoint = 0; endpoint < m_candidates.size(); ++endpoint)
        updateLoad(endpoint);
}

void Router::setPeersComplete(bool complete)
{
    if (!m_loads.setPeersComplete(complete))
        return;
    for (EndpointIndex endpoint = 0; endpoint < m_candidates.size(); ++endpoint)
        updateLoad(endpoint);
}

void Router::suspect(EndpointIndex endpoint, Base::MonoTime now)
{
    m_suspicion.suspect(endpoint, now);
    updateCandidate(endpoint, now);
}

void Router::noteCacheEvent(EndpointIndex endpoint, const CacheEvent &event)
{
    const std::uint64_t hash = m_table.hash(endpoint);
    if (event.kind == CacheEvent::Kind::Evicted) {
        // Stored as a placement with zero tokens, which overrides the caller's older token.
        const std::optional<Placement> known = m_placements.find(event.chatHash);
        if (!known || known->endpointHash == hash)
            m_placements.put(event.chatHash, {.endpointHash = hash, .cached = Base::Tokens(0)});
        return;
    }
    m_placements.put(event.chatHash, {.endpointHash = hash, .cached = event.tokens});
}

void Router::noteCacheGap(EndpointIndex endpoint)
{
    m_placements.dropEndpoint(m_table.hash(endpoint));
}

void Router::refresh(Base::MonoTime now)
{
    m_loads.refresh(m_table, now);
    for (EndpointIndex endpoint = 0; endpoint < m_candidates.size(); ++endpoint)
        updateCandidate(endpoint, now);
}

Decision Router::choose(const RouteRequest &request, const std::optional<Placement> &token)
{
    std::array<WarmEndpoint, 2> warm;
    std::size_t warmCount = 0;
    if (request.usesCache) {
        const std::optional<Placement> known = m_placements.find(request.chatHash);
        const bool evicted = known && token && known->cached.value() == 0
            && known->endpointHash == token->endpointHash;
        if (token && !evicted) {
            const EndpointIndex endpoint = m_table.findByHash(token->endpointHash);
            warm[warmCount++] = {.endpoint = endpoint, .cached = token->cached};
        }
        if (known && known->cached.value() > 0) {
            const EndpointIndex endpoint = m_table.findByHash(known->endpointHash);
            if (warmCount == 0 || warm[0].endpoint != endpoint)
                warm[warmCount++] = {.endpoint = endpoint, .cached = known->cached};
        }
    }
    return m_selector.choose(request, m_candidates, m_table.members(request.pool),
                             std::span(warm).first(warmCount));
}

SentRequest Router::noteSent(const Decision &decision, Base::MonoTime now)
{
    const bool trial = decision.reason == DecisionReason::Trial;
    const SentRequest sent{.work = m_loads.noteSent(decision.endpoint, decision.work, now),
                           .trial = trial};
    if (trial) {
        m_suspicion.noteTrialSent(decision.endpoint, now);
        updateCandidate(decision.endpoint, now);
    } else {
        updateLoad(decision.endpoint);
    }
    return sent;
}

void Router::noteProgress(SentRequest *sent, Base::WorkUnits done, Base::MonoTime now)
{
    m_loads.noteProgress(&sent->work, done, now);
    updateLoad(sent->work.endpoint);
}

void Router::noteEnded(SentRequest *sent, ExchangeResult result, Base::MonoTime now)
{
    const EndpointIndex endpoint = sent->work.endpoint;
    if (endpoint >= m_candidates.size())
        return;
    const bool current = m_loads.isCurrent(sent->work);
    m_loads.noteEnded(&sent->work, now);
    if (!current)
        return;
    m_suspicion.noteResult(endpoint, result, now);
    updateCandidate(endpoint, now);
}

void Router::noteCancelled(SentRequest *sent, Base::MonoTime now)
{
    const EndpointIndex endpoint = sent->work.endpoint;
    if (endpoint >= m_candidates.size())
        return;
    if (sent->trial && m_loads.isCurrent(sent->work))
        m_suspicion.noteTrialCancelled(endpoint);
    m_loads.noteEnded(&sent->work, now);
    updateCandidate(endpoint, now);
}

Placement Router::noteServed(std::uint64_t chatHash, EndpointIndex endpoint, Base::Tokens cached)
{
    const Placement placement{.endpointHash = m_table.hash(endpoint), .cached = cached};
    m_placements.put(chatHash, placement);
    return placement;
}

void Router::updateCandidate(EndpointIndex endpoint, Base::MonoTime now)
{
    Candidate &candidate = m_candidates[endpoint];
    candidate.use = Candidate::Use::No;
    candidate.load = m_loads.load(endpoint);
    if (!m_table.contains(endpoint))
        return;
    const EndpointInfo &info = m_table.info(endpoint);
    candidate.hash = m_table.hash(endpoint);
    candidate.weight = m_table.capacity(endpoint) * m_slowStart.share(info.coldSince, now);
    candidate.local = info.dataCentre == m_options.dataCentre;
    if (!m_table.isLive(endpoint))
        return;
    if (m_suspicion.state(endpoint) == Suspicion::State::Healthy)
        candidate.use = Candidate::Use::Yes;
    else if (m_suspicion.admitsTrial(endpoint, now))
        candidate.use = Candidate::Use::Trial;
}

void Router::updateLoad(EndpointIndex endpoint)
{
    if (endpoint < m_candidates.size())
        m_candidates[endpoint].load = m_loads.load(endpoint);
}

} // namespace Lagoonbank::Routing
