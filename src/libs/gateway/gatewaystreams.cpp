#include "gateway/gateway.h"

#include "gateway/requestrun.h"

#include <algorithm>
#include <iterator>
#include <utility>

// Software versions of streams, which callers may resume at any router.

namespace Lagoonbank::Gateway {

void Gateway::streamBegan(const Base::ServiceId &service, const StreamOrigin &origin)
{
    const Base::MonoTime now = m_options.loop->clock().now();
    m_streams.record(origin, now);
    if (m_options.streamsBegan && isMixed(service))
        m_options.streamsBegan({origin});
}

StreamVersionLookup::Options Gateway::streamVersionOptions()
{
    const Runtime::Clock &clock = m_options.loop->clock();
    return {.timers = &m_options.loop->timers(),
            .findRecord = [this, &clock](StreamHash stream) -> std::optional<StreamVersion> {
                const StreamDirectory::Entry *entry = m_streams.find(stream, clock.now());
                if (!entry)
                    return std::nullopt;
                return StreamVersion{.software = entry->software,
                                     .source = StreamVersionSource::Record,
                                     .asOf = entry->recordedAt};
            },
            .isMixed = [this](const Base::ServiceId &service) { return isMixed(service); },
            .onlyVersion =
                [this, &clock](const Base::ServiceId &service) {
                    return m_endpoints.softwareVersions().only(service, clock.now());
                },
            .askPeers = m_options.askForStream
                ? [this](StreamHash stream, auto answered) {
                      m_options.metrics->askedStreams.increment();
                      m_options.askForStream(stream, std::move(answered));
                  }
                : decltype(m_options.askForStream)(),
            .store = m_options.streamVersionStore};
}

bool Gateway::isMixed(const Base::ServiceId &service) const
{
    return !m_isSoftwareHistoryKnown
        || m_endpoints.softwareVersions().isMixed(service, m_options.loop->clock().now());
}

void Gateway::streamReceived(const StreamOrigin &origin)
{
    m_streams.record(origin, m_options.loop->clock().now());
}

std::optional<SoftwareHash> Gateway::findStream(StreamHash stream) const
{
    const StreamDirectory::Entry *entry = m_streams.find(stream, m_options.loop->clock().now());
    return entry ? std::optional(entry->software) : std::nullopt;
}

std::vector<SoftwareUse> Gateway::softwareUses() const
{
    return m_endpoints.softwareVersions().uses(m_options.loop->clock().now());
}

bool Gateway::hasSoftware(SoftwareHash software) const
{
    return m_endpoints.softwareVersions().isKnown(software, m_options.loop->clock().now());
}

void Gateway::softwareUsesReceived(const std::vector<SoftwareUse> &uses)
{
    m_endpoints.mergeSoftware(uses, m_options.loop->clock().now());
}

std::vector<StreamOrigin> Gateway::latestStreams() const
{
    const Base::MonoTime now = m_options.loop->clock().now();
    return m_streams.latest(m_endpoints.softwareVersions().mixedSoftware(now), now);
}

std::vector<StreamOrigin> Gateway::streamsInProgress() const
{
    return streamsInProgress(
        m_endpoints.softwareVersions().mixedServices(m_options.loop->clock().now()));
}

std::vector<StreamOrigin>
Gateway::streamsInProgress(const std::set<Base::ServiceId> &services) const
{
    std::vector<StreamOrigin> streams;
    for (const auto &run : m_runs) {
        if (!services.contains(run->service()))
            continue;
        if (const auto origin = run->streamOrigin())
            streams.push_back(*origin);
    }
    return streams;
}

void Gateway::announceStreams()
{
    const std::set<Base::ServiceId> mixed =
        m_endpoints.softwareVersions().mixedServices(m_options.loop->clock().now());
    if (mixed == m_mixedServices)
        return;
    const std::set<Base::ServiceId> before = std::exchange(m_mixedServices, mixed);
    std::set<Base::ServiceId> newlyMixed;
    std::set_difference(mixed.begin(), mixed.end(), before.begin(), before.end(),
                        std::inserter(newlyMixed, newlyMixed.end()));
    const std::vector<StreamOrigin> streams = streamsInProgress(newlyMixed);
    if (m_options.streamsBegan && !streams.empty())
        m_options.streamsBegan(streams);
}

} // namespace Lagoonbank::Gateway
