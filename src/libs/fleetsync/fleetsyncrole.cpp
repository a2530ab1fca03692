#include "fleetsync/fleetsync.h"

#include <algorithm>

/// Who leads a data centre, and who reads the store.

namespace Lagoonbank::FleetSync {

namespace {

/// Past the moment at which a leader counts as failing.
constexpr Base::Duration readMargin = std::chrono::milliseconds(1);

} // namespace

/// The strongest living router of a data centre leads; where it knows nothing fresh, the next one
/// leads too. Whoever starts reads first, so that stronger ones make themselves known. A leader
/// reads the store unless it hears one of another data centre that goes before it.
void FleetSync::updateRole()
{
    // Until it knows anything a router reads, whoever else does; so it does while it waits for
    // entries to come back, or doubts some, as peers that do not would not tell.
    const bool mustRead =
        !m_freshness.at() || m_requiresStoreRead || m_options.directory->hasUnconfirmedEntries();
    const bool leads = mustRead || !(hasLeader() || expectsLeader());
    const bool reads = mustRead || (leads && !canFollow());
    m_isAnnouncing = m_isAnnouncing || (leads && !m_isLeader);
    const bool wasFollowing = isFollowing();
    m_isLeader = leads;
    if (reads == m_isReading)
        return;
    m_isReading = reads;
    m_hasFollowed = reads && wasFollowing;
    if (!reads)
        m_freshness.clearFailure();
    m_readingSince = now();
    if (roleChanged)
        roleChanged(reads);
}

bool FleetSync::hasLeader() const
{
    const auto &peers = m_peers.peers();
    return std::any_of(peers.begin(), peers.end(), [this](const auto &item) {
        const Peer &peer = item.second;
        return m_peers.isLocal(peer) && m_peers.isAlive(peer) && !peer.isLeaving && outranks(peer)
            && (isHealthyLeader(peer) || defersTo(peer));
    });
}

/// Hundreds of routers that start at once are 0.4 s at work on VMs with an eighth of a core to hear
/// each other; meanwhile each would read the store two or three times more.
bool FleetSync::expectsLeader() const
{
    const bool knowsAll = m_freshness.readAt() && m_configuration.revision > Base::Revision();
    if (!knowsAll || now() - m_startedAt >= m_options.leaderDiscoveryTime)
        return false;
    const auto &peers = m_peers.peers();
    return std::any_of(peers.begin(), peers.end(), [this](const auto &item) {
        const Peer &peer = item.second;
        const bool mayLive = !peer.lastBeaconAt || (m_peers.isAlive(peer) && !peer.isLeaving);
        return m_peers.isLocal(peer) && m_peers.isStronger(peer) && mayLive;
    });
}

bool FleetSync::isHealthyLeader(const Peer &peer) const
{
    return peer.isReading && !isFailing(peer);
}

/// While the store answers neither a leader nor its deputies, nor those of other data centres, the
/// rest of a large data centre would only ask in vain.
bool FleetSync::defersTo(const Peer &leader) const
{
    return leader.isLeading && !m_peers.isStandbyOf(leader)
        && m_peers.localPeers().size() >= m_options.minPeersToDefer
        && now() - leader.stateAsOf <= m_options.maxDeferAge;
}

/// Whether the peer goes before this router in leading and reading. What has missed nothing goes
/// before what has: a reader that waits for entries to come back tells late that an endpoint has
/// gone.
bool FleetSync::outranks(const Peer &peer) const
{
    const bool isWaiting = m_options.directory->isWaiting();
    return peer.isWaiting != isWaiting ? isWaiting : m_peers.isStronger(peer);
}

/// Such as go before itself only, so that no two leaders follow each other.
bool FleetSync::isFollowable(const Peer &peer) const
{
    return !m_peers.isLocal(peer) && peer.isReading && !peer.isLeaving && outranks(peer)
        && now() - peer.stateAsOf <= m_options.maxFollowedAge;
}

bool FleetSync::canFollow() const
{
    if (now() - *m_freshness.at() > m_options.maxFollowedAge)
        return false;
    const auto &peers = m_peers.peers();
    return std::any_of(peers.begin(), peers.end(),
                       [this](const auto &item) { return isFollowable(item.second); });
}

bool FleetSync::isFailing(const Peer &peer) const
{
    if (!peer.isReading || !peer.lastBeaconAt)
        return false;
    // Its deputies hear it often; others could not tell its silence from failed reads.
    const Base::MonoTime at = m_peers.isStandbyOf(peer) ? now() : *peer.lastBeaconAt;
    return at - peer.stateAsOf > m_options.maxLeaderAge;
}

/// Whoever takes a reader's place for a moment while the store is silent may hear of the store's
/// return before its own read fails; it has missed the store all the same.
bool FleetSync::isReadOverdue() const
{
    const bool isFirst = !m_freshness.readAt() || *m_freshness.readAt() < m_readingSince;
    return m_isReading && isFirst && now() - m_readingSince > m_options.storeAnswerTimeout;
}

/// Peers count on a leader by this, so one that reads has to have read since it began. What it
/// learns from them says nothing of its own reads.
bool FleetSync::leadsWithFreshState() const
{
    if (!m_isLeader || !m_freshness.at())
        return false;
    if (isFollowing() || m_hasFollowed)
        return now() - *m_freshness.at() <= m_options.maxLeaderAge;
    // Its followers read beyond that limit, and what it knows then may have come from them.
    return m_freshness.readAt() && *m_freshness.readAt() >= m_readingSince
        && now() - *m_freshness.readAt() <= m_options.maxFollowedAge;
}

/// A leaving endpoint has to be known in 2 s, of which 1.6 s go by until a leader counts as
/// failing. That leaves no time to wait for the next tick.
void FleetSync::watchLeader(const Peer &peer)
{
    if (isFollowing() && isFollowable(peer)) {
        m_options.timers->cancel(m_leaderTimer);
        m_leaderTimer = m_options.timers->start(m_options.maxFollowedAge
                                                    - (now() - *m_freshness.at()) + readMargin,
                                                [this] { updateRole(); });
        return;
    }
    if (!peer.isReading || !m_peers.isLocal(peer))
        return;
    m_options.timers->cancel(m_leaderTimer);
    Base::Duration limit = m_peers.beaconTimeout(peer);
    if (m_peers.isStandbyOf(peer))
        limit = std::min(limit, m_options.maxLeaderAge - (now() - peer.stateAsOf) + readMargin);
    m_leaderTimer = m_options.timers->start(limit, [this] { updateRole(); });
}

} // namespace Lagoonbank::FleetSync
