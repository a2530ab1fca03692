#include "fleetsync/fleetsync.h"

#include <algorithm>

/// Roles of a router: which routers lead their data centres, and which read the store.

namespace Lagoonbank::FleetSync {

namespace {

/// Added to the delay of m_leaderTimer, so that the leader already counts as failing when the timer
/// expires.
constexpr Base::Duration leaderTimerMargin = std::chrono::milliseconds(1);

} // namespace

/// Decides whether this router leads and whether it reads the store.
///
/// The strongest living router of a data centre leads. If its state is not fresh, the next
/// strongest leads as well. A starting router reads the store at first, while stronger ones
/// announce themselves. A leader reads the store unless it can follow a leader of another data
/// centre that outranks it.
void FleetSync::updateRole()
{
    // A router without any state reads the store, whether or not another router does. It also
    // reads while a difference persists after pulls, and while its directory holds unconfirmed
    // entries: peers that have no such entries would not report what became of them.
    const bool mustRead =
        !m_freshness.asOf() || m_requiresStoreRead || m_options.directory->hasUnconfirmedEntries();
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

/// Whether a stronger router of the data centre may still announce itself after the start of this
/// one. On VMs with an eighth of a core, hundreds of routers that start together need 0.4 s to
/// process each other's beacons; without this wait each would read the store two or three more
/// times meanwhile.
bool FleetSync::expectsLeader() const
{
    const bool hasReadAll = m_freshness.readAt() && m_configuration.revision > Base::Revision();
    if (!hasReadAll || now() - m_startedAt >= m_options.leaderDiscoveryTime)
        return false;
    const auto &peers = m_peers.peers();
    return std::any_of(peers.begin(), peers.end(), [this](const auto &item) {
        const Peer &peer = item.second;
        const bool mayBeAlive = !peer.lastBeaconAt || (m_peers.isAlive(peer) && !peer.isLeaving);
        return m_peers.isLocal(peer) && m_peers.isStronger(peer) && mayBeAlive;
    });
}

bool FleetSync::isHealthyLeader(const Peer &peer) const
{
    return peer.isReading && !isFailing(peer);
}

/// Whether this router leaves store reads to a leader whose state is not fresh. While the store
/// answers neither the leader nor its standbys nor those of other data centres, reads by the rest
/// of a large data centre would only fail as well.
bool FleetSync::defersTo(const Peer &leader) const
{
    return leader.isLeading && !m_peers.isStandbyOf(leader)
        && m_peers.localPeers().size() >= m_options.minPeersToDefer
        && now() - leader.stateAsOf <= m_options.maxDeferAge;
}

/// Whether the peer takes precedence over this router as leader and as store reader. A router that
/// removes dropped endpoints at once outranks one that defers their removal after an outage of the
/// store (`isWaiting`), as the latter reports the removal late.
bool FleetSync::outranks(const Peer &peer) const
{
    const bool isWaiting = m_options.directory->isWaiting();
    return peer.isWaiting != isWaiting ? isWaiting : m_peers.isStronger(peer);
}

/// Whether this router may follow the peer, that is, get its state from it instead of the store.
/// Only leaders that outrank this router are followed, so that no two leaders follow each other.
bool FleetSync::isFollowable(const Peer &peer) const
{
    return !m_peers.isLocal(peer) && peer.isReading && !peer.isLeaving && outranks(peer)
        && now() - peer.stateAsOf <= m_options.maxFollowedAge;
}

bool FleetSync::canFollow() const
{
    if (now() - *m_freshness.asOf() > m_options.maxFollowedAge)
        return false;
    const auto &peers = m_peers.peers();
    return std::any_of(peers.begin(), peers.end(),
                       [this](const auto &item) { return isFollowable(item.second); });
}

bool FleetSync::isFailing(const Peer &peer) const
{
    if (!peer.isReading || !peer.lastBeaconAt)
        return false;
    // Standbys get its beacons often enough to count the time since the last one. For others a
    // missing beacon does not show that reads fail.
    const Base::MonoTime checkedAt = m_peers.isStandbyOf(peer) ? now() : *peer.lastBeaconAt;
    return checkedAt - peer.stateAsOf > m_options.maxLeaderAge;
}

/// Whether the first read since this router began to read takes longer than the store usually
/// needs. A router that takes over reading while the store is unavailable may get a report of the
/// store's recovery before its own read fails; it has missed the outage all the same.
bool FleetSync::isReadOverdue() const
{
    const bool isFirst = !m_freshness.readAt() || *m_freshness.readAt() < m_readingSince;
    return m_isReading && isFirst && now() - m_readingSince > m_options.storeAnswerTimeout;
}

/// Whether peers can rely on this router as their leader. A store reader therefore has to have read
/// successfully since it began to read; state that it received from peers says nothing about its
/// own reads.
bool FleetSync::leadsWithFreshState() const
{
    if (!m_isLeader || !m_freshness.asOf())
        return false;
    if (isFollowing() || m_hasFollowed)
        return now() - *m_freshness.asOf() <= m_options.maxLeaderAge;
    // If the last read is older than maxFollowedAge, leaders that follow this one read the store
    // themselves and may have newer state.
    return m_freshness.readAt() && *m_freshness.readAt() >= m_readingSince
        && now() - *m_freshness.readAt() <= m_options.maxFollowedAge;
}

/// Restarts the timer that checks the role of this router when beacons of the leader stop. The
/// removal of an endpoint has to be propagated within 2 s, of which 1.6 s pass until a leader is
/// considered failing. That leaves no time to wait for the next tick.
void FleetSync::watchLeader(const Peer &peer)
{
    if (isFollowing() && isFollowable(peer)) {
        m_options.timers->cancel(m_leaderTimer);
        m_leaderTimer = m_options.timers->start(
            m_options.maxFollowedAge - (now() - *m_freshness.asOf()) + leaderTimerMargin,
            [this] { updateRole(); });
        return;
    }
    if (!peer.isReading || !m_peers.isLocal(peer))
        return;
    m_options.timers->cancel(m_leaderTimer);
    Base::Duration limit = m_peers.beaconTimeout(peer);
    if (m_peers.isStandbyOf(peer))
        limit =
            std::min(limit, m_options.maxLeaderAge - (now() - peer.stateAsOf) + leaderTimerMargin);
    m_leaderTimer = m_options.timers->start(limit, [this] { updateRole(); });
}

} // namespace Lagoonbank::FleetSync
