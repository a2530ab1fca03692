#include "gateway/streamdirectory.h"

#include "routing/rendezvous.h"

namespace Lagoonbank::Gateway {

StreamHash streamHash(std::string_view request)
{
    return StreamHash(Routing::stableHash(request));
}

Schema::SharedStream toShared(const StreamOrigin &origin)
{
    return {.stream = origin.stream.value(), .software = origin.software.value()};
}

StreamOrigin fromShared(const Schema::SharedStream &shared)
{
    return {.stream = StreamHash(shared.stream), .software = SoftwareHash(shared.software)};
}

void StreamDirectory::record(const StreamOrigin &origin, Base::MonoTime now)
{
    m_streams[origin.stream] = {.software = origin.software, .recordedAt = now};
    m_recordings.push_back({.stream = origin.stream, .at = now});
    while (m_recordings.size() > m_options.maxStreams
           || now - m_recordings.front().at >= m_options.lifetime) {
        forgetOldest();
    }
}

/// Forgets the oldest recording, and its stream unless that was recorded again.
void StreamDirectory::forgetOldest()
{
    const Recording oldest = m_recordings.front();
    m_recordings.pop_front();
    const auto entry = m_streams.find(oldest.stream);
    if (entry != m_streams.end() && entry->second.recordedAt == oldest.at)
        m_streams.erase(entry);
}

const StreamDirectory::Entry *StreamDirectory::find(StreamHash stream, Base::MonoTime now) const
{
    const auto entry = m_streams.find(stream);
    const bool isKnown =
        entry != m_streams.end() && now - entry->second.recordedAt < m_options.lifetime;
    return isKnown ? &entry->second : nullptr;
}

std::vector<StreamOrigin> StreamDirectory::latest(const std::set<SoftwareHash> &software,
                                                  Base::MonoTime now) const
{
    std::vector<StreamOrigin> streams;
    for (auto recording = m_recordings.rbegin(); recording != m_recordings.rend(); ++recording) {
        const auto entry = m_streams.find(recording->stream);
        const bool isCurrent =
            entry != m_streams.end() && entry->second.recordedAt == recording->at;
        const bool isExpired = now - recording->at >= m_options.lifetime;
        if (isCurrent && !isExpired && software.contains(entry->second.software))
            streams.push_back({.stream = recording->stream, .software = entry->second.software});
    }
    return streams;
}

} // namespace Lagoonbank::Gateway
