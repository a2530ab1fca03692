#include "fleetsync/fleetsync.h"

#include "fleetsync/sharedendpoint.h"

#include <algorithm>
#include <utility>

namespace Lagoonbank::FleetSync {

namespace {

using Schema::SharedEndpoint;

/// Changes that one datagram carries; more are found out by the hash and pulled.
constexpr std::size_t mostNews = 8;
/// Past the moment at which a reader counts as failing.
constexpr Base::Duration readMargin = std::chrono::milliseconds(1);

} // namespace

FleetSync::FleetSync(Options options)
    : m_options(std::move(options))
    , m_peers({.id = m_options.id,
               .dataCentre = m_options.dataCentre,
               .strength = m_options.strength,
               .clock = &m_options.timers->clock(),
               .randomSeed = m_options.randomSeed})
    , m_knowledge({.clock = &m_options.timers->clock()})
{ }

FleetSync::~FleetSync()
{
    m_options.timers->cancel(m_timer);
    m_options.timers->cancel(m_silenceTimer);
    if (m_newsTimer)
        m_options.timers->cancel(*m_newsTimer);
}

void FleetSync::start()
{
    m_startedAt = now();
    m_knowledge.arrivedAt();
    m_readingSince = m_startedAt;
    tick();
}

void FleetSync::leave()
{
    m_isLeaving = true;
    sendBeacons();
}

/// Only routers of the own data centre are told at once; the others hear of this one by their
/// readers. A fleet that starts as a whole would else tell everybody of everybody.
void FleetSync::addRouter(const std::string &id, const std::string &dataCentre,
                          const Runtime::SocketAddress &address)
{
    const Peer *peer = m_peers.add(id, dataCentre, address);
    if (peer && m_peers.isLocal(*peer))
        sendTo(*peer);
}

void FleetSync::receive(const std::string &fromIp, const Schema::FleetBeacon &beacon)
{
    if (beacon.router == m_options.id)
        return;
    bool isNew = false;
    const Peer &peer = m_peers.note(fromIp, beacon, m_knowledge.arrivedAt(), isNew);
    for (const SharedEndpoint &news : beacon.news)
        learn(news);
    compare(peer);
    watch(peer);
    if (isNew && !peer.isTold)
        sendTo(peer);
}

void FleetSync::storeRead()
{
    if (m_knowledge.read(isUnanswered()))
        m_options.directory->storeReturned();
    m_isDoubting = false;
}

void FleetSync::storeFailed()
{
    m_knowledge.readFailed();
    m_options.directory->storeLeft();
}

/// What is known was true at \a at. A peer that the store has answered first tells of its return
/// before the own read does.
void FleetSync::noteKnown(Base::MonoTime at)
{
    if (m_knowledge.learn(at, isUnanswered()))
        m_options.directory->storeReturned();
}

void FleetSync::storeReturned()
{
    if (!m_knowledge.at() && m_options.directory->entries().empty())
        return; // Nothing can have lapsed.
    if (!m_knowledge.at() || m_options.directory->isHeld()
        || m_knowledge.mayHaveLapsed(now(), isUnanswered()))
        m_options.directory->storeReturned();
}

void FleetSync::setConfiguration(StoredConfiguration configuration)
{
    if (configuration.revision <= m_configuration.revision)
        return;
    m_configuration = std::move(configuration);
    m_behindSince.reset();
    if (!m_isReading)
        return;
    for (const auto &[id, peer] : m_peers.peers()) {
        const bool isHearer = m_peers.isLocal(peer) || m_peers.isAlive(peer);
        if (isHearer && peer.configuration < m_configuration.revision.value())
            sendTo(peer);
    }
}

/// Changes that one read of the store brings go out together.
void FleetSync::endpointChanged(const Fleet::EndpointDirectory::Entry &entry, bool isGone)
{
    if (!m_isReading || !m_knowledge.readAt())
        return;
    if (m_news.size() <= mostNews) {
        m_news.push_back(isGone ? sharedGone(entry.endpoint.id, entry.version) : toShared(entry));
    }
    if (!m_newsTimer)
        m_newsTimer = m_options.timers->start(Base::Duration::zero(), [this] { sendNews(); });
}

/// Of more changes than a datagram carries the peers hear by the hash alone, and pull them.
void FleetSync::sendNews()
{
    m_newsTimer.reset();
    std::vector<SharedEndpoint> news = std::exchange(m_news, {});
    if (news.size() > mostNews)
        news.clear();
    for (const auto &[id, peer] : m_peers.peers()) {
        // A reader of another data centre hears it from the store, unless that turns it away.
        const bool isStale = now() - peer.knownAt > m_options.readerAgeLimit;
        if (m_peers.isLocal(peer) || (isStale && m_peers.isAlive(peer)))
            sendTo(peer, news);
    }
}

std::optional<Base::Duration> FleetSync::knowledgeAge() const
{
    if (!m_knowledge.at())
        return std::nullopt;
    return now() - *m_knowledge.at();
}

std::vector<Runtime::SocketAddress> FleetSync::peerAddresses() const
{
    std::vector<Runtime::SocketAddress> addresses;
    for (const auto &[id, peer] : m_peers.peers()) {
        if (!peer.isLeaving)
            addresses.push_back(peer.address);
    }
    return addresses;
}

void FleetSync::tick()
{
    m_knowledge.arrivedAt();
    checkDuty();
    sendBeacons();
    m_timer = m_options.timers->start(m_peers.beaconInterval(), [this] { tick(); });
}

/// The strongest living router of a data centre reads; where the store does not answer it, the
/// next one reads too. Whoever starts reads first, so that stronger ones make themselves known.
void FleetSync::checkDuty()
{
    const auto &peers = m_peers.peers();
    const bool isOther = std::any_of(peers.begin(), peers.end(), [this](const auto &item) {
        const Peer &peer = item.second;
        return m_peers.isLocal(peer) && peer.isReading && m_peers.isAlive(peer) && !peer.isLeaving
            && m_peers.isStronger(peer) && !isFailing(peer);
    });
    // Until it knows anything a router reads, whoever else does; so it does while it waits for
    // entries to come back, as peers that have not missed them would not tell.
    const bool reads =
        !isOther || !m_knowledge.at() || m_isDoubting || m_options.directory->hasMissing();
    if (reads == m_isReading)
        return;
    m_isReading = reads;
    if (!reads)
        m_knowledge.forgetFailure();
    m_readingSince = now();
    m_isAnnouncing = reads;
    if (dutyChanged)
        dutyChanged(reads);
}

bool FleetSync::isFailing(const Peer &peer) const
{
    if (!peer.isReading || !peer.heardAt)
        return false;
    // Its deputies hear it often; others could not tell its silence from failed reads.
    const Base::MonoTime at = m_peers.isDeputyOf(peer) ? now() : *peer.heardAt;
    return at - peer.knownAt > m_options.readerAgeLimit;
}

/// Whoever takes a reader's place for a moment while the store is silent may hear of the store's
/// return before its own read fails; it has missed the store all the same.
bool FleetSync::isUnanswered() const
{
    const bool isFirst = !m_knowledge.readAt() || *m_knowledge.readAt() < m_readingSince;
    return m_isReading && isFirst && now() - m_readingSince > m_options.answerTime;
}

/// Peers count on a reader by this, so it has to have read since it became one. What it learns from
/// them says nothing of its own reads.
bool FleetSync::readsWell() const
{
    return m_isReading && m_knowledge.readAt() && *m_knowledge.readAt() >= m_readingSince
        && now() - *m_knowledge.readAt() <= m_options.readerAgeLimit;
}

/// A leaving endpoint has to be known in 2 s, of which 1.6 s go by until a reader counts as
/// failing. That leaves no time to wait for the next tick.
void FleetSync::watch(const Peer &peer)
{
    if (!peer.isReading || !m_peers.isLocal(peer))
        return;
    m_options.timers->cancel(m_silenceTimer);
    Base::Duration limit = m_peers.silenceLimit(peer);
    if (m_peers.isDeputyOf(peer))
        limit = std::min(limit, m_options.readerAgeLimit - (now() - peer.knownAt) + readMargin);
    m_silenceTimer = m_options.timers->start(limit, [this] { checkDuty(); });
}

void FleetSync::sendBeacons()
{
    for (const Peer *peer : beaconPeers())
        sendTo(*peer);
}

/// A reader talks to its deputies and to readers elsewhere each time, to the rest of its data
/// centre seldom; the others talk to their reader, deputies each time.
std::vector<const Peer *> FleetSync::beaconPeers()
{
    if (std::exchange(m_isAnnouncing, false))
        return m_peers.local();
    const bool isLocalDue = m_isLeaving || now() - m_localBeaconsAt >= m_peers.localInterval();
    const bool isDeputy = m_peers.isDeputy();
    const std::vector<std::string> deputies =
        m_isReading ? m_peers.deputies() : std::vector<std::string>();
    std::vector<const Peer *> chosen;
    std::vector<const Peer *> silent;
    for (const Peer *peer : m_peers.local()) {
        const bool isOften = m_isReading
            ? std::find(deputies.begin(), deputies.end(), peer->id) != deputies.end()
            : isDeputy && peer->isReading;
        const bool isHearer = m_isReading || m_isLeaving || peer->isReading;
        if (isOften || (isLocalDue && isHearer && m_peers.isAlive(*peer)))
            chosen.push_back(peer);
        else if (!m_peers.isAlive(*peer))
            silent.push_back(peer);
    }
    if (isLocalDue) {
        m_localBeaconsAt = now();
        // One that is silent is asked now and then whether it is back.
        if (const Peer *peer = m_peers.anyOf(silent))
            chosen.push_back(peer);
    }
    if (m_isReading) {
        for (const Peer *contact : m_peers.contacts())
            chosen.push_back(contact);
    }
    return chosen;
}

void FleetSync::sendTo(const Peer &peer, const std::vector<SharedEndpoint> &news)
{
    if (!send)
        return;
    Schema::FleetBeacon message = beacon();
    message.news = news;
    m_peers.setTold(peer);
    send(peer.address, message);
}

Schema::FleetBeacon FleetSync::beacon() const
{
    return {.router = m_options.id,
            .dataCentre = m_options.dataCentre,
            .port = m_options.port,
            .strength = m_options.strength,
            .isReading = readsWell(),
            .knowledgeAgeMs = ageNumber(knowledgeAge()),
            .configuration = m_configuration.revision.value(),
            .endpoints = m_options.directory->hash(),
            .isLeaving = m_isLeaving,
            .deputies = m_isReading ? m_peers.deputies() : std::vector<std::string>()};
}

} // namespace Lagoonbank::FleetSync
