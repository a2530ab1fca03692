#include "fleetsync/fleetsync.h"

#include "fleetsync/messagelimits.h"
#include "fleetsync/sharedendpoint.h"
#include "routing/rendezvous.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <utility>

namespace Lagoonbank::FleetSync {

namespace {

using Schema::SharedEndpoint;

/// Maximum number of changes in one datagram; more are detected by the hash and pulled.
constexpr std::size_t maxChangesPerDatagram = 8;
/// If the time up to which the state reflects the store advances by more than this, the state comes
/// from a new read of the store. Smaller differences arise when several leaders pass on the same
/// read, with ages that differ by their transit times.
constexpr Base::Duration minAdvanceOfNewRead = std::chrono::milliseconds(200);

} // namespace

FleetSync::FleetSync(Options options)
    : m_options(std::move(options))
    , m_peers({.id = m_options.id,
               .dataCentre = m_options.dataCentre,
               .strength = m_options.strength,
               .clock = &m_options.timers->clock(),
               .randomSeed = m_options.randomSeed})
    , m_drains({.timers = m_options.timers})
    , m_freshness({.clock = &m_options.timers->clock()})
{
    m_drains.changed = [this](const auto &before, const auto &current) {
        if (drainsChanged)
            drainsChanged(before, current);
        notifyPeers([](const Peer &) { return true; });
    };
}

FleetSync::~FleetSync()
{
    m_options.timers->cancel(m_startTimer);
    m_options.timers->cancel(m_pullTimer);
    m_options.timers->cancel(m_timer);
    m_options.timers->cancel(m_leaderTimer);
    if (m_changesTimer)
        m_options.timers->cancel(*m_changesTimer);
}

void FleetSync::start()
{
    m_startedAt = now();
    m_freshness.arrivalTime();
    m_readingSince = m_startedAt;
    m_startTimer = m_options.timers->start(m_options.leaderDiscoveryTime, [this] { updateRole(); });
    tick();
}

void FleetSync::allRoutersAdded()
{
    updateRole();
}

void FleetSync::leave()
{
    m_isLeaving = true;
    sendBeacons();
}

/// Sends a beacon at once only to routers of the own data centre; between data centres only leaders
/// exchange beacons. Otherwise every router of a fleet that starts as a whole would send beacons to
/// every other one.
void FleetSync::addRouter(const std::string &id, const std::string &dataCentre,
                          const Runtime::SocketAddress &address, std::uint32_t strength)
{
    const Peer *peer = m_peers.add(id, dataCentre, address, strength);
    if (peer && m_peers.isLocal(*peer))
        sendTo(*peer);
}

void FleetSync::receive(const std::string &fromIp, const Schema::FleetBeacon &beacon)
{
    if (beacon.router == m_options.id)
        return;
    bool isNew = false;
    const Peer &peer = m_peers.receive(fromIp, beacon, m_freshness.arrivalTime(), isNew);
    const auto asOfBefore = m_freshness.asOf();
    if (beacon.storeEra)
        setStoreEra(Base::LogEra(*beacon.storeEra));
    applyDrains(beacon);
    for (const SharedEndpoint &change : beacon.changes)
        apply(change);
    pullDifferences(peer);
    watchLeader(peer);
    const bool isNewer = asOfBefore && *m_freshness.asOf() - *asOfBefore > minAdvanceOfNewRead;
    if (isFollowing() && isNewer)
        pushState();
    if (isNew && !peer.isBeaconSent)
        sendTo(peer);
}

void FleetSync::storeRead()
{
    if (m_freshness.readSucceeded(isReadOverdue()))
        m_options.directory->storeReturned();
    m_options.directory->storeRead();
    m_requiresStoreRead = m_requiresStoreRead && isBehind();
    m_hasFollowed = false;
    updateRole();
    if (m_isAnnouncing)
        sendBeacons();
    else if (m_isLeader)
        pushState();
}

/// A read of the endpoints ends before that of a large configuration, so a router with fresh
/// endpoints may still have an old configuration.
bool FleetSync::isBehind() const
{
    const auto &peers = m_peers.peers();
    return std::any_of(peers.begin(), peers.end(), [this](const auto &item) {
        return item.second.configuration > m_configuration.revision.value();
    });
}

void FleetSync::storeFailed()
{
    m_freshness.readFailed();
    m_options.directory->storeFailed();
}

/// Records that the state reflects the store up to \a asOf, as a peer has reported. A peer that the
/// store answers first reports its recovery before this router's own read succeeds.
void FleetSync::recordStateAsOf(Base::MonoTime asOf)
{
    if (m_freshness.advanceTo(asOf, isReadOverdue()))
        m_options.directory->storeReturned();
}

void FleetSync::storeReturned()
{
    if (!m_freshness.asOf() && m_options.directory->entries().empty())
        return; // No entry can have expired.
    if (!m_freshness.asOf() || m_options.directory->holdsRemovals()
        || m_freshness.mayHaveExpired(now(), isReadOverdue()))
        m_options.directory->storeReturned();
}

void FleetSync::setStoreEra(Base::LogEra era)
{
    if (m_storeEra && era <= *m_storeEra)
        return;
    const std::optional<Base::LogEra> before = std::exchange(m_storeEra, era);
    if (before) {
        m_freshness.storeRestored();
        m_options.directory->storeRestored();
        m_drains.storeRestored();
    }
    if (storeEraChanged)
        storeEraChanged(before, era);
}

void FleetSync::setConfiguration(StoredConfiguration configuration)
{
    if (configuration.revision <= m_configuration.revision)
        return;
    m_configuration = std::move(configuration);
    m_behindSince.reset();
    updateRole();
    notifyPeers(
        [this](const Peer &peer) { return peer.configuration < m_configuration.revision.value(); });
}

/// Sends a beacon to those peers for which \a isBehind is true: all of the own data centre and
/// living ones of others. Changes by operators have to be in force within seconds, so the leader
/// does not wait for its next tick.
void FleetSync::notifyPeers(const std::function<bool(const Peer &)> &isBehind)
{
    if (!m_isLeader)
        return;
    for (const auto &[id, peer] : m_peers.peers()) {
        const bool isReceiver = m_peers.isLocal(peer) || m_peers.isAlive(peer);
        if (isReceiver && isBehind(peer))
            sendTo(peer);
    }
    // Repeated at the next tick: one of 50 routers may miss the beacon, or its pull may fail, and
    // it would not get another beacon from its leader for 3 s.
    m_isAnnouncing = true;
}

void FleetSync::applyDrains(const Schema::FleetBeacon &beacon)
{
    Fleet::DataCentreDrains::Set drained;
    for (const std::string &dataCentre : beacon.drained)
        drained.insert(Base::DataCentreId(dataCentre));
    m_drains.replace(std::move(drained), Base::LogOffset(beacon.drainsAsOf));
}

/// Collects the changes of one read of the store into one message. A router whose state is old,
/// such as one that has just been resumed after a suspension, sends no changes: entries that are
/// missing in its state may have been written again meanwhile.
void FleetSync::endpointChanged(const Fleet::EndpointDirectory::Entry &entry, bool isGone)
{
    const auto age = stateAge();
    if (!m_isLeader || !age || *age > m_options.maxLeaderAge)
        return;
    if (m_changes.size() <= maxChangesPerDatagram) {
        m_changes.push_back(isGone ? toSharedRemoval({.id = entry.endpoint.id,
                                                      .version = entry.version,
                                                      .startedAt = entry.endpoint.startedAt,
                                                      .sequence = entry.sequence})
                                   : toShared(entry));
    }
    if (!m_changesTimer)
        m_changesTimer = m_options.timers->start(Base::Duration::zero(), [this] { sendChanges(); });
}

/// If there are more changes than fit into a datagram, none is sent: the peers detect the
/// difference by the hash and pull it.
void FleetSync::sendChanges()
{
    m_changesTimer.reset();
    std::vector<SharedEndpoint> changes = std::exchange(m_changes, {});
    if (changes.size() > maxChangesPerDatagram)
        changes.clear();
    for (const auto &[id, peer] : m_peers.peers()) {
        // A leader of another data centre that reads the store gets the changes from there, unless
        // its reads fail.
        const bool isStale = now() - peer.stateAsOf > m_options.maxLeaderAge;
        const bool isFollower = m_isReading && peer.isReading && !outranks(peer);
        if (m_peers.isLocal(peer) || ((isStale || isFollower) && m_peers.isAlive(peer)))
            sendTo(peer, changes);
    }
}

std::optional<Base::Duration> FleetSync::stateAge() const
{
    if (!m_freshness.asOf())
        return std::nullopt;
    return now() - *m_freshness.asOf();
}

std::vector<const Peer *> FleetSync::stayingPeers() const
{
    std::vector<const Peer *> staying;
    for (const auto &[id, peer] : m_peers.peers()) {
        if (!peer.isLeaving)
            staying.push_back(&peer);
    }
    return staying;
}

std::vector<Runtime::SocketAddress> FleetSync::peerAddresses() const
{
    std::vector<Runtime::SocketAddress> addresses;
    for (const Peer *peer : stayingPeers())
        addresses.push_back(peer->address);
    return addresses;
}

std::vector<Runtime::SocketAddress> FleetSync::leavingPeerAddresses() const
{
    std::vector<Runtime::SocketAddress> addresses;
    for (const auto &[id, peer] : m_peers.peers()) {
        if (peer.isLeaving)
            addresses.push_back(peer.address);
    }
    return addresses;
}

std::vector<std::string> FleetSync::peerIds() const
{
    std::vector<std::string> ids;
    for (const auto &[id, peer] : m_peers.peers()) {
        if (!peer.isLeaving || m_peers.isAlive(peer))
            ids.push_back(id);
    }
    return ids;
}

std::vector<const Peer *> FleetSync::relayPeers() const
{
    std::vector<const Peer *> peers = stayingPeers();
    const std::size_t count = std::min(peers.size(), m_options.maxRelayPeers);
    const std::uint64_t self = Routing::stableHash(m_options.id);
    const auto order = [self](const Peer *peer) {
        return Routing::mixHashes(self, Routing::stableHash(peer->id));
    };
    std::partial_sort(peers.begin(), peers.begin() + static_cast<std::ptrdiff_t>(count),
                      peers.end(),
                      [&order](const Peer *a, const Peer *b) { return order(a) < order(b); });
    peers.resize(count);
    return peers;
}

void FleetSync::tick()
{
    m_freshness.arrivalTime();
    updateRole();
    sendBeacons();
    m_timer = m_options.timers->start(m_peers.beaconInterval(), [this] { tick(); });
}

void FleetSync::sendBeacons()
{
    for (const Peer *peer : beaconPeers())
        sendTo(*peer);
}

/// Sends the state at once to the peers with frequent beacons, so that delays do not add up on the
/// way from the store reader through other leaders to their standbys.
void FleetSync::pushState()
{
    m_pushedAt = now();
    for (const Peer *peer : peersWithFrequentBeacons())
        sendTo(*peer);
}

bool FleetSync::isStandby(const Peer &peer) const
{
    const std::vector<std::string> standbys = m_peers.standbys();
    return std::find(standbys.begin(), standbys.end(), peer.id) != standbys.end();
}

/// Peers that get a beacon at every tick: for a leader its standbys and some leaders of other data
/// centres (more of them if it is the store reader), for a standby its leader.
std::vector<const Peer *> FleetSync::peersWithFrequentBeacons()
{
    if (!m_isLeader && !m_peers.isStandby())
        return {};
    const std::vector<std::string> standbys = m_peers.standbys();
    const auto isStandby = [&standbys](const Peer &peer) {
        return std::find(standbys.begin(), standbys.end(), peer.id) != standbys.end();
    };
    std::vector<const Peer *> chosen;
    for (const Peer *peer : m_peers.localPeers()) {
        // Every router may have led for a moment after its start, and most have sent nothing since,
        // so isLeading alone does not count.
        if (m_isLeader ? isStandby(*peer) : peer->isLeading && m_peers.isAlive(*peer))
            chosen.push_back(peer);
    }
    if (m_isLeader) {
        for (const Peer *contact : m_peers.contacts(m_isReading))
            chosen.push_back(contact);
    }
    return chosen;
}

/// Peers that get a beacon at this tick. Besides those with frequent beacons, a leader sends
/// beacons to the rest of its data centre at a longer interval, and these peers send theirs to the
/// leader.
std::vector<const Peer *> FleetSync::beaconPeers()
{
    if (m_isAnnouncing && leadsWithFreshState()) {
        m_isAnnouncing = false;
        return m_peers.localPeers();
    }
    const bool isLocalDue = m_isLeaving || now() - m_localBeaconsAt >= m_peers.localInterval();
    std::vector<const Peer *> chosen;
    if (m_isLeaving || now() - m_pushedAt >= m_peers.beaconInterval())
        chosen = peersWithFrequentBeacons();
    std::vector<const Peer *> silentPeers;
    for (const Peer *peer : m_peers.localPeers()) {
        const bool isChosen = std::find(chosen.begin(), chosen.end(), peer) != chosen.end();
        const bool isReceiver = m_isLeader || m_isLeaving || peer->isLeading;
        if (!isChosen && isLocalDue && isReceiver && m_peers.isAlive(*peer))
            chosen.push_back(peer);
        else if (!m_peers.isAlive(*peer))
            silentPeers.push_back(peer);
    }
    if (isLocalDue) {
        m_localBeaconsAt = now();
        // A random silent peer gets a beacon too, so that it answers if it is back.
        if (const Peer *peer = m_peers.randomPeer(silentPeers))
            chosen.push_back(peer);
    }
    return chosen;
}

void FleetSync::sendTo(const Peer &peer, const std::vector<SharedEndpoint> &changes)
{
    if (!send)
        return;
    Schema::FleetBeacon message = beacon();
    message.changes = changes;
    // A beacon names only the standby that it is sent to: two names are a third of a beacon.
    if (m_isLeader && isStandby(peer))
        message.standbys = {peer.id};
    m_peers.setBeaconSent(peer);
    send(peer.address, message);
}

Schema::FleetBeacon FleetSync::beacon() const
{
    std::vector<std::string> drained;
    for (const Base::DataCentreId &dataCentre : m_drains.current())
        drained.push_back(dataCentre.value());
    if (drained.size() > MessageLimits::drainedDataCentres) {
        // A larger list would make the beacon fail. Names without any endpoint have no effect.
        absl::flat_hash_set<std::string> inUse;
        for (const auto &[id, entry] : m_options.directory->entries())
            inUse.insert(entry.endpoint.dataCentre.value());
        std::stable_partition(drained.begin(), drained.end(),
                              [&inUse](const std::string &name) { return inUse.contains(name); });
        drained.resize(MessageLimits::drainedDataCentres);
    }
    std::optional<std::uint32_t> storeEra;
    if (m_storeEra)
        storeEra = static_cast<std::uint32_t>(m_storeEra->value());
    return {.router = m_options.id,
            .dataCentre = m_options.dataCentre,
            .port = m_options.port,
            .strength = m_options.strength,
            .isLeading = m_isLeader,
            .isReading = leadsWithFreshState(),
            .isWaiting = m_options.directory->isWaiting(),
            .knowledgeAgeMs = encodeAge(stateAge()),
            .configuration = m_configuration.revision.value(),
            .endpoints = m_options.directory->hash(),
            .isLeaving = m_isLeaving,
            .storeEra = storeEra,
            .drainsAsOf = m_drains.asOf().value(),
            .drained = std::move(drained)};
}

} // namespace Lagoonbank::FleetSync
