#include "fleetsync/fleetsync.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace Lagoonbank::FleetSync {

namespace {

using Schema::SharedEndpoint;

constexpr std::uint32_t unknownAge = std::numeric_limits<std::uint32_t>::max();
/// Changes that one datagram carries; more are found out by the hash and pulled.
constexpr std::size_t mostNews = 8;
/// Pulls in a row without an answer after which a router reads the store itself: it hears its
/// reader over a link that is cut in the other direction.
constexpr int mostFailedPulls = 2;
/// Past the moment at which a reader counts as failing.
constexpr Base::Duration readMargin = std::chrono::milliseconds(1);
/// Ticks are half a second apart, so a process that did nothing for so long stood still.
constexpr Base::Duration standstill = std::chrono::seconds(1);
/// In which a process that goes on reads what has come meanwhile.
constexpr Base::Duration backlogTime = std::chrono::milliseconds(100);

std::uint32_t ageNumber(std::optional<Base::Duration> age)
{
    if (!age)
        return unknownAge;
    const std::int64_t ms = Base::toMilliseconds(*age);
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(ms, 0, unknownAge - 1));
}

/// In whole milliseconds, as endpoints say it; 0 if one does not.
std::uint64_t startedAtMs(const Fleet::Endpoint &endpoint)
{
    if (!endpoint.startedAt)
        return 0;
    return static_cast<std::uint64_t>(Base::toMilliseconds(endpoint.startedAt->time_since_epoch()));
}

std::optional<Base::WallTime> startedAt(const SharedEndpoint &shared)
{
    if (shared.startedAtMs == 0)
        return std::nullopt;
    return Base::WallTime(std::chrono::milliseconds(shared.startedAtMs));
}

SharedEndpoint shared(const Fleet::EndpointDirectory::Entry &entry)
{
    const Fleet::Endpoint &endpoint = entry.endpoint;
    return {.id = endpoint.id.value(),
            .version = entry.version.value(),
            .service = endpoint.service.value(),
            .ip = endpoint.address.ip,
            .port = endpoint.address.port,
            .dataCentre = endpoint.dataCentre.value(),
            .software = endpoint.softwareVersion,
            .slots = static_cast<std::uint32_t>(std::max(0, endpoint.slots)),
            .isDraining = endpoint.state == Fleet::EndpointState::Draining,
            .startedAtMs = startedAtMs(endpoint)};
}

SharedEndpoint sharedGone(const Base::EndpointId &id, Base::LogOffset version)
{
    return {.id = id.value(), .version = version.value(), .isGone = true};
}

} // namespace

FleetSync::FleetSync(Options options)
    : m_options(std::move(options))
    , m_peers({.id = m_options.id,
               .dataCentre = m_options.dataCentre,
               .strength = m_options.strength,
               .clock = &m_options.timers->clock(),
               .randomSeed = m_options.randomSeed})
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
    m_activeAt = m_startedAt;
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
    const Peer &peer = m_peers.note(fromIp, beacon, arrivedAt(), isNew);
    for (const SharedEndpoint &news : beacon.news)
        learn(news);
    compare(peer);
    watch(peer);
    if (isNew && !peer.isTold)
        sendTo(peer);
}

/// Whether a pull of endpoints from this peer would tell anything new.
bool FleetSync::wantsEndpoints(const Peer &peer) const
{
    if (m_knownAt && peer.knownAt <= *m_knownAt)
        return false;
    // Bytes between data centres are dear, and the own reader tells the same a moment later.
    const bool isStale = now() - m_knownAt.value_or(m_startedAt) > m_options.readerAgeLimit;
    if (!m_peers.isLocal(peer) && !isStale && !m_hasStoreFailed)
        return false;
    if (!m_isReading)
        return true;
    if (m_storeReadAt)
        return now() - *m_storeReadAt > m_options.storeFreshness;
    return m_hasStoreFailed || now() - m_startedAt > m_options.firstReadTime;
}

/// A newer configuration of another data centre is pulled only if the own one stays behind.
bool FleetSync::wantsConfiguration(const Peer &peer, bool isBehind)
{
    if (!isBehind)
        return false;
    if (m_peers.isLocal(peer))
        return true;
    if (!m_behindSince)
        m_behindSince = now();
    return now() - *m_behindSince > m_options.ownReaderTime;
}

/// What a peer knows beyond this router is pulled from it; where both know the same, this router
/// knows it as of the peer's time. One pull at a time: two copies of a configuration of 880 KB
/// together hold up all answers on a link of 10 Mbit/s for 1.4 s.
void FleetSync::compare(const Peer &peer)
{
    if (!peer.isKnowing)
        return;
    const bool isBehind = peer.configuration > m_configuration.revision.value();
    const bool isSame = peer.endpoints == m_options.directory->hash();
    if (isSame && !isBehind) {
        noteKnown(peer.knownAt);
        return;
    }
    const bool wantsMore = !isSame && !isFruitless(peer) && wantsEndpoints(peer);
    if ((!wantsConfiguration(peer, isBehind) && !wantsMore) || m_isPulling
        || now() - m_pulledAt < m_options.pullInterval)
        return;
    if (m_failedPulls >= mostFailedPulls && !m_isReading) {
        doubt();
        return;
    }
    m_pulledAt = now();
    m_isPulling = true;
    ++m_failedPulls;
    m_pulledFrom = peer.id;
    const Fleet::EndpointDigest &digest = m_options.directory->digest();
    pull(peer.address,
         {.configuration = m_configuration.revision.value(),
          .endpoints = std::vector<std::uint64_t>(digest.begin(), digest.end())});
}

Schema::FleetStateAnswer FleetSync::answer(const Schema::FleetStateRequest &request) const
{
    Schema::FleetStateAnswer state{.knowledgeAgeMs = ageNumber(knowledgeAge())};
    const Fleet::EndpointDigest &digest = m_options.directory->digest();
    const auto differs = [&](const Base::EndpointId &id) {
        const std::size_t bucket = Fleet::digestBucket(id);
        return bucket >= request.endpoints.size() || request.endpoints[bucket] != digest.at(bucket);
    };
    for (const auto &[id, entry] : m_options.directory->entries()) {
        if (differs(id))
            state.endpoints.push_back(shared(entry));
    }
    for (const Fleet::GoneEndpoint &gone : m_options.directory->gone()) {
        if (differs(gone.id))
            state.endpoints.push_back(sharedGone(gone.id, gone.version));
    }
    if (m_configuration.revision.value() > request.configuration) {
        state.configurationOffset = m_configuration.offset.value();
        state.configuration = m_configuration.packed;
    }
    return state;
}

void FleetSync::take(const Schema::FleetStateAnswer &state)
{
    m_failedPulls = 0;
    const std::uint64_t before = m_options.directory->hash();
    for (const SharedEndpoint &endpoint : state.endpoints)
        learn(endpoint);
    const bool isFruitless = m_options.directory->hash() == before;
    if (isFruitless)
        noteFruitless();
    // The store may have dropped some of them while it was away.
    if (!m_knownAt)
        m_options.directory->storeReturned();
    if (state.knowledgeAgeMs != unknownAge && !m_isDoubting)
        noteKnown(m_pulledAt - std::chrono::milliseconds(state.knowledgeAgeMs));
    if (!state.configuration.empty() && configurationLearnt) {
        configurationLearnt(
            {.offset = Base::LogOffset(state.configurationOffset), .packed = state.configuration});
    }
}

bool FleetSync::isFruitless(const Peer &peer) const
{
    return peer.fruitless && peer.fruitless->own == m_options.directory->hash()
        && peer.fruitless->peer == peer.endpoints
        && now() - peer.fruitless->at < m_options.fruitlessInterval;
}

/// The answer has told nothing new though the two differ: the peer lacks what this router has, and
/// does not know that it has gone, as a reader that has just started. Only the store can tell.
void FleetSync::noteFruitless()
{
    const auto found = m_peers.peers().find(m_pulledFrom);
    if (found == m_peers.peers().end())
        return;
    const Peer &peer = found->second;
    if (peer.endpoints == m_options.directory->hash())
        return;
    m_peers.setFruitless(peer, m_options.directory->hash());
    if (m_isReading || !peer.isReading || !m_peers.isLocal(peer))
        return;
    doubt();
}

void FleetSync::doubt()
{
    m_failedPulls = 0;
    m_isDoubting = true;
    checkDuty();
}

void FleetSync::learn(const SharedEndpoint &shared)
{
    const Base::EndpointId id(shared.id);
    const Base::LogOffset version(shared.version);
    if (shared.isGone) {
        m_options.directory->remove(id, version);
        return;
    }
    m_options.directory->put(
        {.id = id,
         .service = Base::ServiceId(shared.service),
         .address = {shared.ip, static_cast<std::uint16_t>(shared.port)},
         .dataCentre = Base::DataCentreId(shared.dataCentre),
         .softwareVersion = shared.software,
         .slots = static_cast<int>(shared.slots),
         .state = shared.isDraining ? Fleet::EndpointState::Draining : Fleet::EndpointState::Ready,
         .startedAt = startedAt(shared)},
        version);
}

void FleetSync::storeRead()
{
    noteKnown(arrivedAt());
    m_storeReadAt = m_knownAt;
    m_hasStoreFailed = false;
    m_isDoubting = false;
}

void FleetSync::storeFailed()
{
    m_hasStoreFailed = true;
    m_options.directory->storeLeft();
}

/// When a message that is read now may have come. Those that came while the process stood still
/// have waited in its sockets, and what they call new is as old as that.
Base::MonoTime FleetSync::arrivedAt()
{
    if (now() - m_activeAt > standstill) {
        m_stoodStillAt = m_activeAt;
        m_backlogUntil = now() + backlogTime;
    }
    m_activeAt = now();
    return now() < m_backlogUntil ? m_stoodStillAt : now();
}

/// Whether the store, of which nothing was known until \a at, may have been away for so long that
/// entries have lapsed. Outages count as one if endpoints had no time to write in between.
bool FleetSync::mayHaveLapsed(Base::MonoTime at)
{
    // Without a failed read of its own a router may just have lost its reader.
    if (!m_hasStoreFailed)
        return at - *m_knownAt > m_options.shortestLapse;
    if (at - *m_knownAt <= m_options.longestReadGap)
        return false;
    if (*m_knownAt - m_thereSince >= m_options.writeTime)
        m_awaySince = *m_knownAt;
    m_thereSince = at;
    return at - m_awaySince > m_options.shortestLapse;
}

/// What is known was true at \a at. If nobody knew for long, entries may have lapsed meanwhile; a
/// peer that the store has answered first tells of its return before the own read does.
void FleetSync::noteKnown(Base::MonoTime at)
{
    if (m_knownAt && mayHaveLapsed(at))
        m_options.directory->storeReturned();
    m_knownAt = std::max(m_knownAt.value_or(at), at);
}

void FleetSync::storeReturned()
{
    if (!m_knownAt && m_options.directory->entries().empty())
        return; // Nothing can have lapsed.
    if (!m_knownAt || m_options.directory->isHeld() || mayHaveLapsed(now()))
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
    if (!m_isReading || !m_storeReadAt)
        return;
    if (m_news.size() <= mostNews) {
        m_news.push_back(isGone ? sharedGone(entry.endpoint.id, entry.version) : shared(entry));
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
    if (!m_knownAt)
        return std::nullopt;
    return now() - *m_knownAt;
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
    arrivedAt();
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
    const bool reads = !isOther || !m_knownAt || m_isDoubting || m_options.directory->hasMissing();
    if (reads == m_isReading)
        return;
    m_isReading = reads;
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

/// Peers count on a reader by this, so it has to have read since it became one. What it learns from
/// them says nothing of its own reads.
bool FleetSync::readsWell() const
{
    return m_isReading && m_storeReadAt && *m_storeReadAt >= m_readingSince
        && now() - *m_storeReadAt <= m_options.readerAgeLimit;
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
