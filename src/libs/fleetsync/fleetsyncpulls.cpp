#include "fleetsync/fleetsync.h"

#include "fleetsync/sharedendpoint.h"

#include <algorithm>

/// What a FleetSync asks its peers for and tells them when they ask.

namespace Lagoonbank::FleetSync {

using Schema::SharedEndpoint;

namespace {

/// Pulls in a row without an answer after which a router reads the store itself: it hears its
/// reader over a link that is cut in the other direction.
constexpr int mostFailedPulls = 2;

} // namespace

/// Whether this router goes by what the peer tells.
bool FleetSync::isSource(const Peer &peer) const
{
    return m_peers.isLocal(peer) || (isFollowing() && isFollowable(peer));
}

/// Whether a pull of endpoints from this peer would tell anything new.
bool FleetSync::shouldPullEndpoints(const Peer &peer) const
{
    if (m_freshness.at() && peer.stateAsOf <= *m_freshness.at())
        return false;
    // Bytes between data centres are dear, and the own reader tells the same a moment later.
    const bool isStale = now() - m_freshness.at().value_or(m_startedAt) > m_options.maxLeaderAge;
    if (!isSource(peer) && !isStale && !m_freshness.hasFailed())
        return false;
    if (!m_isReading)
        return true;
    if (m_freshness.readAt())
        return now() - *m_freshness.readAt() > m_options.recentReadAge;
    return m_freshness.hasFailed() || now() - m_readingSince > m_options.firstReadTimeout;
}

/// A newer configuration of another data centre is pulled only if the own one stays behind.
bool FleetSync::shouldPullConfiguration(const Peer &peer, bool isBehind)
{
    if (!isBehind)
        return false;
    if (isSource(peer))
        return true;
    if (!m_behindSince)
        m_behindSince = now();
    return now() - *m_behindSince > m_options.localSourceTimeout;
}

/// What a peer knows beyond this router is pulled from it; where both know the same, this router
/// knows it as of the peer's time. One pull at a time: two copies of a configuration of 880 KB
/// together hold up all answers on a link of 10 Mbit/s for 1.4 s.
void FleetSync::pullDifferences(const Peer &peer)
{
    if (!peer.hasState)
        return;
    const bool isBehind = peer.configuration > m_configuration.revision.value();
    const bool isSame = peer.endpoints == m_options.directory->hash();
    if (isSame && !isBehind) {
        advanceState(peer.stateAsOf);
        return;
    }
    if (isSuperseded(peer)) {
        requireStoreRead();
        return;
    }
    const bool wantsMore = !isSame && !hadEmptyPull(peer) && shouldPullEndpoints(peer);
    if ((!shouldPullConfiguration(peer, isBehind) && !wantsMore) || m_isPulling
        || now() - m_pulledAt < m_options.pullInterval)
        return;
    if (m_failedPulls >= mostFailedPulls && !m_isReading) {
        requireStoreRead();
        return;
    }
    m_pulledAt = now();
    m_isPulling = true;
    ++m_failedPulls;
    m_pulledFrom = peer.id;
    m_pulledConfiguration = peer.configuration;
    if (isFollowing())
        m_pullTimer =
            m_options.timers->start(m_options.followedPullTimeout, [this] { pullTimedOut(); });
    const Fleet::EndpointDigest &digest = m_options.directory->digest();
    pull(peer.address,
         {.configuration = m_configuration.revision.value(),
          .endpoints = std::vector<std::uint64_t>(digest.begin(), digest.end())});
}

/// What the pull under way brings is old already, and the link that brings it is slow: a second
/// pull behind it would come too late.
bool FleetSync::isSuperseded(const Peer &peer) const
{
    return m_isPulling && !m_isReading && peer.id == m_pulledFrom
        && peer.configuration > m_pulledConfiguration
        && now() - m_pulledAt > m_options.supersededPullTimeout;
}

void FleetSync::pullTimedOut()
{
    if (m_isPulling && isFollowing())
        requireStoreRead();
}

/// The last one that is tried before the store is read decides at once; the peer's next beacon
/// would come up to 0.5 s later.
void FleetSync::pullFailed()
{
    m_isPulling = false;
    const auto found = m_peers.peers().find(m_pulledFrom);
    if (m_failedPulls < mostFailedPulls || m_isReading || found == m_peers.peers().end())
        return;
    const Peer &peer = found->second;
    const bool isBehind = peer.configuration > m_configuration.revision.value();
    if (isBehind || peer.endpoints != m_options.directory->hash())
        requireStoreRead();
}

Schema::FleetStateAnswer FleetSync::answer(const Schema::FleetStateRequest &request) const
{
    Schema::FleetStateAnswer state{.knowledgeAgeMs = encodeAge(stateAge())};
    const Fleet::EndpointDigest &digest = m_options.directory->digest();
    const auto differs = [&](const Base::EndpointId &id) {
        const std::size_t bucket = Fleet::digestBucket(id);
        return bucket >= request.endpoints.size() || request.endpoints[bucket] != digest.at(bucket);
    };
    for (const auto &[id, entry] : m_options.directory->entries()) {
        if (differs(id))
            state.endpoints.push_back(toShared(entry));
    }
    for (const Fleet::GoneEndpoint &gone : m_options.directory->gone()) {
        if (differs(gone.id))
            state.endpoints.push_back(toSharedRemoval(gone.id, gone.version));
    }
    if (m_configuration.revision.value() > request.configuration) {
        state.configurationOffset = m_configuration.offset.value();
        state.configuration = m_configuration.packed;
    }
    return state;
}

void FleetSync::pullSucceeded(const Schema::FleetStateAnswer &state)
{
    m_isPulling = false;
    m_failedPulls = 0;
    const std::uint64_t before = m_options.directory->hash();
    for (const SharedEndpoint &endpoint : state.endpoints)
        apply(endpoint);
    const bool hadEmptyPull = m_options.directory->hash() == before;
    if (hadEmptyPull)
        handleEmptyPull();
    // The store may have dropped some of them while it was away.
    if (!m_freshness.at())
        m_options.directory->storeReturned();
    if (state.knowledgeAgeMs != unknownAge && !m_requiresStoreRead)
        advanceState(m_pulledAt - std::chrono::milliseconds(state.knowledgeAgeMs));
    if (!state.configuration.empty() && configurationPulled) {
        configurationPulled(
            {.offset = Base::LogOffset(state.configurationOffset), .packed = state.configuration});
    }
}

bool FleetSync::hadEmptyPull(const Peer &peer) const
{
    return peer.lastEmptyPull && peer.lastEmptyPull->own == m_options.directory->hash()
        && peer.lastEmptyPull->peer == peer.endpoints
        && now() - peer.lastEmptyPull->at < m_options.emptyPullInterval;
}

/// The answer has told nothing new though the two differ: the peer lacks what this router has, and
/// does not know that it has gone, as a reader that has just started. Only the store can tell.
void FleetSync::handleEmptyPull()
{
    const auto found = m_peers.peers().find(m_pulledFrom);
    if (found == m_peers.peers().end())
        return;
    const Peer &peer = found->second;
    if (peer.endpoints == m_options.directory->hash())
        return;
    m_peers.setEmptyPull(peer, m_options.directory->hash());
    if (!peer.isReading || (!m_peers.isLocal(peer) && !isFollowing()))
        return;
    requireStoreRead();
}

void FleetSync::requireStoreRead()
{
    m_failedPulls = 0;
    m_requiresStoreRead = true;
    updateRole();
}

void FleetSync::apply(const SharedEndpoint &shared)
{
    const Base::EndpointId id(shared.id);
    const Base::LogOffset version(shared.version);
    if (shared.isGone) {
        m_options.directory->remove(id, version);
        return;
    }
    m_options.directory->put(fromShared(shared), version, shared.isConfirmed);
}

} // namespace Lagoonbank::FleetSync
