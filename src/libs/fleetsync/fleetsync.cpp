#include "fleetsync/fleetsync.h"

#include "fleetsync/sharedendpoint.h"

#include <algorithm>
#include <utility>

namespace Lagoonbank::FleetSync {

namespace {

using Schema::SharedEndpoint;

/// Changes that one datagram carries; more are found out by the hash and pulled.
constexpr std::size_t mostNews = 8;
/// By which knowledge is newer than before if it comes from another read. Of one read several
/// leaders tell, with ages that differ by the ways.
constexpr Base::Duration leastAdvance = std::chrono::milliseconds(200);

} // namespace

FleetSync::FleetSync(Options options)
    : m_options(std::move(options))
    , m_peers({.id = m_options.id,
               .dataCentre = m_options.dataCentre,
               .strength = m_options.strength,
               .clock = &m_options.timers->clock(),
               .randomSeed = m_options.randomSeed})
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

/// Only routers of the own data centre are told at once; the others hear of this one by their
/// readers. A fleet that starts as a whole would else tell everybody of everybody.
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
    const Peer &peer = m_peers.note(fromIp, beacon, m_freshness.arrivalTime(), isNew);
    const auto knownBefore = m_freshness.at();
    applyDrains(beacon);
    for (const SharedEndpoint &news : beacon.news)
        apply(news);
    pullDifferences(peer);
    watchLeader(peer);
    const bool isNews = knownBefore && *m_freshness.at() - *knownBefore > leastAdvance;
    if (isFollowing() && isNews)
        pushState();
    if (isNew && !peer.isBeaconSent)
        sendTo(peer);
}

void FleetSync::storeRead()
{
    if (m_freshness.read(isReadOverdue()))
        m_options.directory->storeReturned();
    m_requiresStoreRead = m_requiresStoreRead && isBehind();
    m_hasFollowed = false;
    updateRole();
    if (m_isAnnouncing)
        sendBeacons();
    else if (m_isLeader)
        pushState();
}

/// The endpoints are read before a large configuration is.
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

/// What is known was true at \a at. A peer that the store has answered first tells of its return
/// before the own read does.
void FleetSync::advanceState(Base::MonoTime at)
{
    if (m_freshness.apply(at, isReadOverdue()))
        m_options.directory->storeReturned();
}

void FleetSync::storeReturned()
{
    if (!m_freshness.at() && m_options.directory->entries().empty())
        return; // Nothing can have lapsed.
    if (!m_freshness.at() || m_options.directory->holdsRemovals()
        || m_freshness.mayHaveExpired(now(), isReadOverdue()))
        m_options.directory->storeReturned();
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

/// What the operators have changed has to be in force within seconds, so that a leader does not
/// wait for its next beacon.
void FleetSync::notifyPeers(const std::function<bool(const Peer &)> &isBehind)
{
    if (!m_isLeader)
        return;
    for (const auto &[id, peer] : m_peers.peers()) {
        const bool isHearer = m_peers.isLocal(peer) || m_peers.isAlive(peer);
        if (isHearer && isBehind(peer))
            sendTo(peer);
    }
    // And once more at the next tick: of 50 hearers one may miss it, or its pull may fail, and it
    // would not hear its leader for 3 s.
    m_isAnnouncing = true;
}

void FleetSync::applyDrains(const Schema::FleetBeacon &beacon)
{
    Fleet::DataCentreDrains::Set drained;
    for (const std::string &dataCentre : beacon.drained)
        drained.insert(Base::DataCentreId(dataCentre));
    m_drains.replace(std::move(drained), Base::LogOffset(beacon.drainsAsOf));
}

/// Changes that one read of the store brings go out together. What a router thinks that has just
/// gone on after a standstill is no news: entries that it has waited for may have come back.
void FleetSync::endpointChanged(const Fleet::EndpointDirectory::Entry &entry, bool isGone)
{
    const auto age = stateAge();
    if (!m_isLeader || !age || *age > m_options.maxLeaderAge)
        return;
    if (m_changes.size() <= mostNews) {
        m_changes.push_back(isGone ? toSharedRemoval(entry.endpoint.id, entry.version)
                                   : toShared(entry));
    }
    if (!m_changesTimer)
        m_changesTimer = m_options.timers->start(Base::Duration::zero(), [this] { sendChanges(); });
}

/// Of more changes than a datagram carries the peers hear by the hash alone, and pull them.
void FleetSync::sendChanges()
{
    m_changesTimer.reset();
    std::vector<SharedEndpoint> news = std::exchange(m_changes, {});
    if (news.size() > mostNews)
        news.clear();
    for (const auto &[id, peer] : m_peers.peers()) {
        // A leader of another data centre that reads the store hears it from there, unless that
        // turns it away.
        const bool isStale = now() - peer.stateAsOf > m_options.maxLeaderAge;
        const bool isFollower = m_isReading && peer.isReading && !outranks(peer);
        if (m_peers.isLocal(peer) || ((isStale || isFollower) && m_peers.isAlive(peer)))
            sendTo(peer, news);
    }
}

std::optional<Base::Duration> FleetSync::stateAge() const
{
    if (!m_freshness.at())
        return std::nullopt;
    return now() - *m_freshness.at();
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

std::vector<std::string> FleetSync::peerIds() const
{
    std::vector<std::string> ids;
    for (const Peer *peer : stayingPeers())
        ids.push_back(peer->id);
    return ids;
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

/// What a leader knows is passed on at once, so that ages do not add up on the way from the reader
/// to the deputies of other leaders.
void FleetSync::pushState()
{
    m_pushedAt = now();
    for (const Peer *peer : frequentPeers())
        sendTo(*peer);
}

bool FleetSync::isStandby(const Peer &peer) const
{
    const std::vector<std::string> standbys = m_peers.standbys();
    return std::find(standbys.begin(), standbys.end(), peer.id) != standbys.end();
}

/// Those that a router talks to each time: a leader to its deputies and to leaders elsewhere, the
/// reader to all of these; deputies to their leader.
std::vector<const Peer *> FleetSync::frequentPeers()
{
    if (!m_isLeader && !m_peers.isStandby())
        return {};
    const std::vector<std::string> standbys = m_peers.standbys();
    const auto isStandby = [&standbys](const Peer &peer) {
        return std::find(standbys.begin(), standbys.end(), peer.id) != standbys.end();
    };
    std::vector<const Peer *> chosen;
    for (const Peer *peer : m_peers.localPeers()) {
        // Each that started may have led for a moment, and most have not been heard since.
        if (m_isLeader ? isStandby(*peer) : peer->isLeading && m_peers.isAlive(*peer))
            chosen.push_back(peer);
    }
    if (m_isLeader) {
        for (const Peer *contact : m_peers.contacts(m_isReading))
            chosen.push_back(contact);
    }
    return chosen;
}

/// A leader talks to the rest of its data centre seldom; the others talk to their leader.
std::vector<const Peer *> FleetSync::beaconPeers()
{
    if (m_isAnnouncing && leadsWithFreshState()) {
        m_isAnnouncing = false;
        return m_peers.localPeers();
    }
    const bool isLocalDue = m_isLeaving || now() - m_localBeaconsAt >= m_peers.localInterval();
    std::vector<const Peer *> chosen;
    if (m_isLeaving || now() - m_pushedAt >= m_peers.beaconInterval())
        chosen = frequentPeers();
    std::vector<const Peer *> silent;
    for (const Peer *peer : m_peers.localPeers()) {
        const bool isChosen = std::find(chosen.begin(), chosen.end(), peer) != chosen.end();
        const bool isHearer = m_isLeader || m_isLeaving || peer->isLeading;
        if (!isChosen && isLocalDue && isHearer && m_peers.isAlive(*peer))
            chosen.push_back(peer);
        else if (!m_peers.isAlive(*peer))
            silent.push_back(peer);
    }
    if (isLocalDue) {
        m_localBeaconsAt = now();
        // One that is silent is asked now and then whether it is back.
        if (const Peer *peer = m_peers.randomPeer(silent))
            chosen.push_back(peer);
    }
    return chosen;
}

void FleetSync::sendTo(const Peer &peer, const std::vector<SharedEndpoint> &news)
{
    if (!send)
        return;
    Schema::FleetBeacon message = beacon();
    message.news = news;
    // Each is told of itself alone: two names are a third of a beacon.
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
            .drainsAsOf = m_drains.asOf().value(),
            .drained = std::move(drained)};
}

} // namespace Lagoonbank::FleetSync
