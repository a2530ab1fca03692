#include "fleetsync/fleetsync.h"

#include "fleetsync/sharedendpoint.h"

#include <algorithm>

/// Pulls of a FleetSync from its peers and answers to theirs.

namespace Lagoonbank::FleetSync {

using Schema::SharedEndpoint;

namespace {

/// Consecutive pulls without an answer after which a router reads the store itself: it receives
/// beacons of the store reader over a link that is cut in the other direction.
constexpr int maxFailedPulls = 2;

} // namespace

/// Whether this router normally gets its state from this peer.
bool FleetSync::isRegularSource(const Peer &peer) const
{
    return m_peers.isLocal(peer) || (isFollowing() && isFollowable(peer));
}

/// Whether a pull of endpoints from this peer may return newer data and is worth its bytes.
bool FleetSync::shouldPullEndpoints(const Peer &peer) const
{
    if (m_freshness.asOf() && peer.stateAsOf <= *m_freshness.asOf())
        return false;
    // Traffic between data centres is expensive, and the leader of the own data centre sends the
    // same a moment later.
    const bool isStale = now() - m_freshness.asOf().value_or(m_startedAt) > m_options.maxLeaderAge;
    if (!isRegularSource(peer) && !isStale && !m_freshness.hasFailed())
        return false;
    if (!m_isReading)
        return true;
    if (m_freshness.readAt())
        return now() - *m_freshness.readAt() > m_options.recentReadAge;
    return m_freshness.hasFailed() || now() - m_readingSince > m_options.firstReadTimeout;
}

/// Whether to pull the configuration of this peer; \a isBehind says that it is newer than that of
/// this router. Another data centre is asked only if the newer configuration has not arrived from
/// the regular sources within `localSourceTimeout`.
bool FleetSync::shouldPullConfiguration(const Peer &peer, bool isBehind)
{
    if (!isBehind)
        return false;
    if (isRegularSource(peer))
        return true;
    if (!m_behindSince)
        m_behindSince = now();
    return now() - *m_behindSince > m_options.localSourceTimeout;
}

/// Compares the state of a peer with that of this router and pulls the difference. If both are the
/// same, the state of this router is as recent as that of the peer. Only one pull runs at a time:
/// two copies of a configuration of 880 KB block all answers on a link of 10 Mbit/s for 1.4 s.
void FleetSync::pullDifferences(const Peer &peer)
{
    if (!peer.hasState)
        return;
    const bool isBehind = peer.configuration > m_configuration.revision.value();
    const bool isSame = peer.endpoints == m_options.directory->hash();
    if (isSame && !isBehind) {
        recordStateAsOf(peer.stateAsOf);
        return;
    }
    if (isSuperseded(peer)) {
        requireStoreRead();
        return;
    }
    const bool pullsEndpoints = !isSame && !hadEmptyPull(peer) && shouldPullEndpoints(peer);
    if ((!shouldPullConfiguration(peer, isBehind) && !pullsEndpoints) || m_isPulling
        || now() - m_pulledAt < m_options.pullInterval)
        return;
    if (m_failedPulls >= maxFailedPulls && !m_isReading) {
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

/// Whether the pull in flight returns an outdated configuration over a slow link, so that a second
/// pull after it would be too late.
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

/// After maxFailedPulls failed pulls the router reads the store at once. The next beacon of the
/// peer, which would also cause the read, may come up to 0.5 s later.
void FleetSync::pullFailed()
{
    m_isPulling = false;
    const auto found = m_peers.peers().find(m_pulledFrom);
    if (m_failedPulls < maxFailedPulls || m_isReading || found == m_peers.peers().end())
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
            state.endpoints.push_back(toSharedRemoval(gone));
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
    const bool isUnchanged = m_options.directory->hash() == before;
    if (isUnchanged)
        handleEmptyPull();
    // Some of these entries may have expired in the store while it was unavailable.
    if (!m_freshness.asOf())
        m_options.directory->storeReturned();
    if (state.knowledgeAgeMs != unknownAge && !m_requiresStoreRead)
        recordStateAsOf(m_pulledAt - std::chrono::milliseconds(state.knowledgeAgeMs));
    if (!state.configuration.empty() && configurationPulled) {
        configurationPulled(
            {.offset = Base::LogOffset(state.configurationOffset), .packed = state.configuration});
    }
}

bool FleetSync::hadEmptyPull(const Peer &peer) const
{
    return peer.lastEmptyPull && peer.lastEmptyPull->ownHash == m_options.directory->hash()
        && peer.lastEmptyPull->peerHash == peer.endpoints
        && now() - peer.lastEmptyPull->endedAt < m_options.emptyPullInterval;
}

/// Handles an answer without new data although the two states differ: the peer lacks entries of
/// this router but has no record of their removal, for example because it has just started. Only a
/// read of the store can resolve this.
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
    if (shared.isGone) {
        if (const auto gone = fromSharedRemoval(shared))
            m_options.directory->remove(gone.value());
    } else if (auto entry = fromShared(shared)) {
        m_options.directory->put(std::move(entry.value()));
    }
}

} // namespace Lagoonbank::FleetSync
