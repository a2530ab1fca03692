#include "fleetsync/fleetsync.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

namespace Lagoonbank::FleetSync {

namespace {

using Schema::SharedEndpoint;

constexpr std::uint32_t unknownAge = std::numeric_limits<std::uint32_t>::max();
/// Changes that one datagram carries; more are found out by the hash and pulled.
constexpr std::size_t mostNews = 8;

std::uint32_t ageNumber(std::optional<Base::Duration> age)
{
    if (!age)
        return unknownAge;
    const std::int64_t ms = Base::toMilliseconds(*age);
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(ms, 0, unknownAge - 1));
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
            .isDraining = endpoint.state == Fleet::EndpointState::Draining};
}

SharedEndpoint sharedGone(const Base::EndpointId &id, Base::LogOffset version)
{
    return {.id = id.value(), .version = version.value(), .isGone = true};
}

} // namespace

FleetSync::FleetSync(Options options)
    : m_options(std::move(options))
    , m_random(m_options.randomSeed)
{ }

FleetSync::~FleetSync()
{
    m_options.timers->cancel(m_timer);
}

void FleetSync::start()
{
    tick();
}

void FleetSync::leave()
{
    m_isLeaving = true;
    sendBeacons();
}

void FleetSync::addRouter(const std::string &id, const std::string &dataCentre,
                          const Runtime::SocketAddress &address)
{
    if (id == m_options.id)
        return;
    Peer &peer = m_peers[id];
    peer.id = id;
    if (peer.heardAt)
        return; // What it says itself is newer.
    peer.dataCentre = dataCentre;
    peer.address = address;
    sendTo(peer);
}

void FleetSync::receive(const std::string &fromIp, const Schema::FleetBeacon &beacon)
{
    if (beacon.router == m_options.id)
        return;
    Peer &peer = m_peers[beacon.router];
    const bool isNew = !peer.heardAt;
    peer.id = beacon.router;
    peer.dataCentre = beacon.dataCentre;
    peer.address = {fromIp, static_cast<std::uint16_t>(beacon.port)};
    peer.heardAt = now();
    peer.strength = beacon.strength;
    peer.isReading = beacon.isReading;
    peer.isLeaving = beacon.isLeaving;
    peer.isKnowing = beacon.knowledgeAgeMs != unknownAge;
    peer.knownAt = now() - std::chrono::milliseconds(peer.isKnowing ? beacon.knowledgeAgeMs : 0);
    peer.configuration = beacon.configuration;
    peer.endpoints = beacon.endpoints;
    for (const SharedEndpoint &news : beacon.news)
        learn(news);
    compare(peer);
    if (isNew)
        sendTo(peer);
}

/// What a peer knows beyond this router is pulled from it; where both know the same, this router
/// knows it as of the peer's time.
void FleetSync::compare(const Peer &peer)
{
    if (!peer.isKnowing)
        return;
    const bool isBehind = peer.configuration > m_configuration.revision.value();
    const bool isSame = peer.endpoints == m_options.directory->hash();
    if (isSame && !isBehind) {
        m_knownAt = std::max(m_knownAt.value_or(peer.knownAt), peer.knownAt);
        return;
    }
    const bool isFresher = !m_knownAt || peer.knownAt > *m_knownAt;
    if ((!isBehind && !isFresher) || now() - m_pulledAt < m_options.pullInterval)
        return;
    m_pulledAt = now();
    pull(peer.address, {.configuration = m_configuration.revision.value()});
}

Schema::FleetStateAnswer FleetSync::answer(const Schema::FleetStateRequest &request) const
{
    Schema::FleetStateAnswer state{.knowledgeAgeMs = ageNumber(knowledgeAge())};
    for (const auto &[id, entry] : m_options.directory->entries())
        state.endpoints.push_back(shared(entry));
    for (const Fleet::GoneEndpoint &gone : m_options.directory->gone())
        state.endpoints.push_back(sharedGone(gone.id, gone.version));
    if (m_configuration.revision.value() > request.configuration) {
        state.configurationOffset = m_configuration.offset.value();
        state.configuration = m_configuration.text;
    }
    return state;
}

void FleetSync::take(const Schema::FleetStateAnswer &state)
{
    for (const SharedEndpoint &endpoint : state.endpoints)
        learn(endpoint);
    if (state.knowledgeAgeMs != unknownAge) {
        const Base::MonoTime at = now() - std::chrono::milliseconds(state.knowledgeAgeMs);
        m_knownAt = std::max(m_knownAt.value_or(at), at);
    }
    if (!state.configuration.empty() && configurationLearnt) {
        configurationLearnt(
            {.offset = Base::LogOffset(state.configurationOffset), .text = state.configuration});
    }
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
         .state = shared.isDraining ? Fleet::EndpointState::Draining : Fleet::EndpointState::Ready},
        version);
}

void FleetSync::storeAnswered()
{
    m_knownAt = now();
}

void FleetSync::setConfiguration(StoredConfiguration configuration)
{
    if (configuration.revision <= m_configuration.revision)
        return;
    m_configuration = std::move(configuration);
    if (!m_isReading)
        return;
    for (const auto &[id, peer] : m_peers) {
        if (isAlive(peer) && peer.configuration < m_configuration.revision.value())
            sendTo(peer);
    }
}

void FleetSync::endpointChanged(const Fleet::EndpointDirectory::Entry &entry, bool isGone)
{
    if (!m_isReading)
        return;
    const SharedEndpoint news =
        isGone ? sharedGone(entry.endpoint.id, entry.version) : shared(entry);
    for (const auto &[id, peer] : m_peers) {
        // A reader of another data centre hears it from the store, unless that turns it away.
        const bool isLocal = peer.dataCentre == m_options.dataCentre;
        const bool isStale = now() - peer.knownAt > m_options.readerTimeout;
        if (isAlive(peer) && (isLocal || isStale))
            sendTo(peer, {news});
    }
}

std::optional<Base::Duration> FleetSync::knowledgeAge() const
{
    if (!m_knownAt)
        return std::nullopt;
    return now() - *m_knownAt;
}

void FleetSync::tick()
{
    checkDuty();
    sendBeacons();
    m_timer = m_options.timers->start(m_options.beaconInterval, [this] { tick(); });
}

/// The strongest living router of a data centre reads; where the store does not answer it, the
/// next one reads too.
void FleetSync::checkDuty()
{
    const bool isOther = std::any_of(m_peers.begin(), m_peers.end(), [this](const auto &item) {
        const Peer &peer = item.second;
        return peer.dataCentre == m_options.dataCentre && isAlive(peer) && !peer.isLeaving
            && isStronger(peer) && !isFailing(peer);
    });
    // Until it knows anything a router reads, whoever else does.
    const bool reads = !isOther || !m_knownAt;
    if (reads == m_isReading)
        return;
    m_isReading = reads;
    if (dutyChanged)
        dutyChanged(reads);
}

bool FleetSync::isAlive(const Peer &peer) const
{
    return peer.heardAt && now() - *peer.heardAt < m_options.peerTimeout;
}

bool FleetSync::isStronger(const Peer &peer) const
{
    if (peer.strength != m_options.strength)
        return peer.strength > m_options.strength;
    return peer.id < m_options.id;
}

bool FleetSync::isFailing(const Peer &peer) const
{
    return peer.isReading && now() - peer.knownAt > m_options.readerTimeout;
}

void FleetSync::sendBeacons()
{
    for (const Peer *peer : beaconPeers())
        sendTo(*peer);
}

/// A reader is heard by its whole data centre and by one router of each other; the others are heard
/// by the readers of theirs alone.
std::vector<const Peer *> FleetSync::beaconPeers()
{
    std::vector<const Peer *> chosen;
    std::set<std::string> others;
    std::vector<const Peer *> silent;
    for (const auto &[id, peer] : m_peers) {
        if (peer.dataCentre != m_options.dataCentre)
            others.insert(peer.dataCentre);
        else if (isAlive(peer) && (m_isReading || m_isLeaving || peer.isReading))
            chosen.push_back(&peer);
        else if (!isAlive(peer))
            silent.push_back(&peer);
    }
    // One that is silent is asked now and then whether it is back.
    if (!silent.empty())
        chosen.push_back(silent[m_random() % silent.size()]);
    if (!m_isReading)
        return chosen;
    for (const std::string &dataCentre : others) {
        if (const Peer *contact = contactIn(dataCentre))
            chosen.push_back(contact);
    }
    return chosen;
}

/// The reader of another data centre, or any of its routers while none is known.
const Peer *FleetSync::contactIn(const std::string &dataCentre)
{
    std::vector<const Peer *> readers;
    std::vector<const Peer *> others;
    for (const auto &[id, peer] : m_peers) {
        if (peer.dataCentre != dataCentre)
            continue;
        const bool isReader = isAlive(peer) && peer.isReading;
        (isReader ? readers : others).push_back(&peer);
    }
    const std::vector<const Peer *> &from = readers.empty() ? others : readers;
    return from.empty() ? nullptr : from[m_random() % from.size()];
}

void FleetSync::sendTo(const Peer &peer, std::vector<SharedEndpoint> news)
{
    if (!send)
        return;
    Schema::FleetBeacon message = beacon();
    news.resize(std::min(news.size(), mostNews));
    message.news = std::move(news);
    send(peer.address, message);
}

Schema::FleetBeacon FleetSync::beacon() const
{
    return {.router = m_options.id,
            .dataCentre = m_options.dataCentre,
            .port = m_options.port,
            .strength = m_options.strength,
            .isReading = m_isReading,
            .knowledgeAgeMs = ageNumber(knowledgeAge()),
            .configuration = m_configuration.revision.value(),
            .endpoints = m_options.directory->hash(),
            .isLeaving = m_isLeaving};
}

} // namespace Lagoonbank::FleetSync
