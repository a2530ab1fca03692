#include "gateway/streamversionlookup.h"

#include <utility>

namespace Lagoonbank::Gateway {

std::string_view toString(StreamVersionSource source)
{
    switch (source) {
    case StreamVersionSource::Record:
        return "record";
    case StreamVersionSource::Store:
        return "store";
    case StreamVersionSource::Peer:
        return "peer";
    case StreamVersionSource::OnlyVersion:
        return "only_version";
    case StreamVersionSource::Nobody:
        break;
    }
    return "nobody";
}

StreamVersionLookup::StreamVersionLookup(Options options)
    : m_options(std::move(options))
    , m_isAlive(std::make_shared<bool>(true))
{ }

StreamVersionLookup::~StreamVersionLookup()
{
    for (const auto &[id, lookup] : m_lookups)
        cancelTimers(lookup);
}

void StreamVersionLookup::find(const Base::ServiceId &service, std::optional<StreamHash> stream,
                               Found found)
{
    if (const auto record = stream ? m_options.findRecord(*stream) : std::nullopt) {
        found(*record);
        return;
    }
    const LookupId id = ++m_lastId;
    m_lookups.emplace(id,
                      Lookup{.service = service,
                             .stream = stream,
                             .found = std::move(found),
                             .startedAt = m_options.timers->clock().now()});
    if (m_options.isMixed(service) || !m_options.store.refreshVersions)
        m_lookups.at(id).isCurrent = true;
    else
        refreshVersions(id);
    proceed(id);
}

void StreamVersionLookup::refreshVersions(LookupId id)
{
    Lookup &lookup = m_lookups.at(id);
    lookup.areVersionsAsked = true;
    lookup.isCurrent.reset();
    if (!lookup.arePeersAsked) {
        lookup.peerTimer = m_options.timers->start(areVersionsFailing() ? Base::Duration::zero()
                                                                        : m_options.peerDelay,
                                                   [this, id] { askPeers(id); });
    }
    startStoreTimer(id, areVersionsFailing());
    m_options.store.refreshVersions(storeAnswered(id));
}

void StreamVersionLookup::refreshStreams(LookupId id)
{
    Lookup &lookup = m_lookups.at(id);
    lookup.areStreamsAsked = true;
    lookup.isCurrent.reset();
    startStoreTimer(id, areStreamsFailing());
    m_options.store.refreshStreams(storeAnswered(id));
}

StreamVersionStore::Refreshed StreamVersionLookup::storeAnswered(LookupId id)
{
    return [this, id, isAlive = std::weak_ptr<bool>(m_isAlive)](bool isCurrent) {
        if (!isAlive.expired())
            storeRead(id, isCurrent);
    };
}

void StreamVersionLookup::startStoreTimer(LookupId id, bool isStoreFailing)
{
    m_lookups.at(id).storeTimer = m_options.timers->start(
        isStoreFailing ? m_options.failingStoreTimeout : m_options.storeTimeout,
        [this, id] { storeRead(id, false); });
}

void StreamVersionLookup::storeRead(LookupId id, bool isCurrent)
{
    const auto found = m_lookups.find(id);
    if (found == m_lookups.end() || found->second.isCurrent)
        return;
    found->second.isCurrent = isCurrent;
    m_options.timers->cancel(found->second.storeTimer);
    proceed(id);
}

void StreamVersionLookup::askPeers(LookupId id)
{
    Lookup &lookup = m_lookups.at(id);
    if (std::exchange(lookup.arePeersAsked, true))
        return;
    if (!lookup.stream || !m_options.askPeers) {
        peersAnswered(id, std::nullopt);
        return;
    }
    m_options.askPeers(
        *lookup.stream,
        [this, id, isAlive = std::weak_ptr<bool>(m_isAlive)](std::optional<SoftwareHash> software) {
            if (!isAlive.expired())
                peersAnswered(id, software);
        });
}

void StreamVersionLookup::peersAnswered(LookupId id, std::optional<SoftwareHash> software)
{
    const auto found = m_lookups.find(id);
    if (found == m_lookups.end())
        return;
    found->second.havePeersAnswered = true;
    if (software) {
        finish(id,
               {.software = software,
                .source = StreamVersionSource::Peer,
                .asOf = m_options.timers->clock().now()});
        return;
    }
    proceed(id);
}

void StreamVersionLookup::proceed(LookupId id)
{
    const Lookup &lookup = m_lookups.at(id);
    if (!lookup.isCurrent)
        return; // The store has not answered yet.
    if (lookup.areStreamsAsked) {
        finish(id, storedVersion(lookup));
        return;
    }
    if (!m_options.isMixed(lookup.service) && *lookup.isCurrent) {
        // The service may have counted as mixed when the request came, and no longer does.
        if (!lookup.areVersionsAsked && m_options.store.refreshVersions)
            refreshVersions(id);
        else
            finish(id, onlyVersion(lookup));
        return;
    }
    if (!lookup.arePeersAsked)
        askPeers(id);
    else if (lookup.havePeersAnswered && *lookup.isCurrent && lookup.stream && areStreamsReadable())
        refreshStreams(id);
    else if (lookup.havePeersAnswered)
        finish(id, {.mayBeKnownLater = !*lookup.isCurrent});
}

StreamVersion StreamVersionLookup::onlyVersion(const Lookup &lookup) const
{
    const auto only = m_options.onlyVersion(lookup.service);
    return {.software = only,
            .source = only ? StreamVersionSource::OnlyVersion : StreamVersionSource::Nobody,
            .asOf = lookup.startedAt,
            .mayBeKnownLater = !only};
}

/// The version after the streams in the store were read, or after that has failed.
StreamVersion StreamVersionLookup::storedVersion(const Lookup &lookup) const
{
    std::optional<StreamVersion> record = m_options.findRecord(*lookup.stream);
    if (!record)
        return {.mayBeKnownLater = !*lookup.isCurrent};
    record->source = StreamVersionSource::Store;
    return *record;
}

void StreamVersionLookup::finish(LookupId id, const StreamVersion &version)
{
    auto lookup = m_lookups.extract(id);
    cancelTimers(lookup.mapped());
    lookup.mapped().found(version);
}

void StreamVersionLookup::cancelTimers(const Lookup &lookup)
{
    m_options.timers->cancel(lookup.peerTimer);
    m_options.timers->cancel(lookup.storeTimer);
}

} // namespace Lagoonbank::Gateway
