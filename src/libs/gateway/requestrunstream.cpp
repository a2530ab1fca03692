#include "gateway/requestrun.h"

#include <algorithm>

// Software versions of resumed streams.

namespace Lagoonbank::Gateway {

namespace {

constexpr std::string_view part = "gateway";

} // namespace

SoftwareHash RequestRun::onlySoftware() const
{
    const SoftwareVersions &versions = m_gateway.m_endpoints.softwareVersions();
    return versions.only(m_service, m_timers.clock().now()).value_or(SoftwareHash());
}

bool RequestRun::isCallerResuming() const
{
    return (m_request.resumeAfter || m_request.unreadableEventId)
        && m_route->kind == Fleet::RouteKind::Stream;
}

StreamHash RequestRun::stream() const
{
    const bool isResumed = isCallerResuming() && m_request.resumes;
    return streamHash(isResumed ? m_request.resumes->value() : m_request.id.value());
}

std::optional<StreamOrigin> RequestRun::streamOrigin() const
{
    const bool isKnown = m_software && *m_software != SoftwareHash();
    if (!m_hasStreamBegun || !isKnown || !m_route->mayRepeat())
        return std::nullopt;
    return StreamOrigin{.stream = stream(), .software = *m_software};
}

SoftwareHash RequestRun::answeringSoftware() const
{
    const Attempt &attempt = *m_attempt;
    if (attempt.isRelayed)
        return attempt.software;
    const EndpointPtr current = m_gateway.m_endpoints.find(attempt.endpoint->info.id);
    if (!current) // Its entry was removed, but it goes on with its requests.
        return attempt.software;
    if (attempt.software == SoftwareHash())
        return current->certainSoftware();
    const bool isOtherStart = current != attempt.endpoint;
    const auto &doubt = current->softwareDoubt;
    const bool isDoubtedSince = doubt && doubt->since >= attempt.startedAt;
    return isOtherStart || isDoubtedSince ? SoftwareHash() : attempt.software;
}

void RequestRun::streamBegan()
{
    if (const auto origin = streamOrigin()) {
        m_gateway.streamBegan(m_service, *origin);
        return;
    }
    const bool wasUncertain = m_attempt->software == SoftwareHash();
    const EndpointPtr endpoint = m_gateway.m_endpoints.find(m_attempt->endpoint->info.id);
    if (wasUncertain && endpoint && !m_attempt->isRelayed && m_route->mayRepeat())
        m_gateway.uncertainStreamBegan(*endpoint, stream());
}

void RequestRun::softwareConfirmed(SoftwareHash software, const std::vector<StreamHash> &streams)
{
    const bool isUncertain = m_hasStreamBegun && m_software == SoftwareHash();
    if (isUncertain && std::find(streams.begin(), streams.end(), stream()) != streams.end())
        m_software = software;
}

/// Places the request once it is known at which version the stream goes on that the caller resumes.
/// Refuses it if that cannot be known.
void RequestRun::findSoftware()
{
    const std::optional<StreamHash> named =
        m_request.resumes ? std::optional(stream()) : std::nullopt;
    m_gateway.m_streamVersions.find(m_service, named,
                                    [weak = weak_from_this()](const StreamVersion &version) {
                                        if (const auto self = weak.lock())
                                            self->softwareFound(version);
                                    });
}

void RequestRun::softwareFound(const StreamVersion &version)
{
    if (m_isEnded)
        return;
    if (!version.software) {
        refuseUnknownStream(version.mayBeKnownLater);
        return;
    }
    m_software = version.software;
    const Base::MonoTime now = m_timers.clock().now();
    m_gateway.m_options.metrics->resumedStreams(version.source).increment();
    m_gateway.m_options.log->request(
        part, "The software version of a resumed stream is known.",
        {{"request", m_request.id.value()},
         {"resumes", m_request.resumes ? m_request.resumes->value() : std::string_view()},
         {"service", m_service.value()},
         {"from", toString(version.source)},
         {"from_age_ms", now - version.asOf},
         {"knowledge_age_ms", m_gateway.knowledgeAgeMs()},
         {"waited_ms", now - m_arrivedAt}});
    place();
}

/// A time to come back is given if the version may be known later. Otherwise no router will know
/// it.
void RequestRun::refuseUnknownStream(bool mayBeKnownLater)
{
    m_gateway.m_options.metrics->unknownStreams.increment();
    m_gateway.m_options.log->request(
        part, "The software version of a resumed stream is unknown.",
        {{"request", m_request.id.value()},
         {"resumes", m_request.resumes ? m_request.resumes->value() : std::string_view()},
         {"service", m_service.value()},
         {"streams_known", m_gateway.m_streams.size()},
         {"is_mixed", m_gateway.isMixed(m_service)},
         {"history_known", m_gateway.m_isSoftwareHistoryKnown},
         {"known_later", mayBeKnownLater},
         {"knowledge_age_ms", m_gateway.knowledgeAgeMs()},
         {"waited_ms", m_timers.clock().now() - m_arrivedAt}});
    const bool isRetried = mayBeKnownLater || !m_gateway.m_isSoftwareHistoryKnown;
    refuse(Errors::ErrorKind::NoEndpoint, Errors::Ran::No,
           isRetried ? std::optional(m_gateway.m_options.timeouts.retryAfter) : std::nullopt);
}

} // namespace Lagoonbank::Gateway
