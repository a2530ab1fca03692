#include "gateway/gateway.h"
#include "gateway/requestrun.h"

#include <algorithm>

// Crashes of endpoints, and what is quarantined for them.

namespace Lagoonbank::Gateway {

namespace {

constexpr std::string_view part = "gateway";

} // namespace

void Gateway::endpointCrashed(const CrashWatch::Report &report)
{
    if (!report.isUnrelated) {
        // The endpoint may restart under the same id before its store entry shows that.
        if (const EndpointPtr record = m_endpoints.findByStart(report.endpoint.startHash)) {
            record->hasCrashed = true;
            if (m_options.policy.reachability)
                m_reachability.reportUnreachable(record);
        }
        recordRequestCrashes(report);
    }
    if (m_options.partCrashesDetected && !report.parts.empty())
        m_options.partCrashesDetected(report.parts);
    m_partQuarantine.crashed(report.parts);
}

/// Records the crash for the requests that waited for their answers to begin.
void Gateway::recordRequestCrashes(const CrashWatch::Report &report)
{
    std::vector<RequestCrash> crashes;
    for (const RequestFingerprint request : report.requests) {
        crashes.push_back({.request = request, .endpoint = report.endpoint.startHash});
        m_options.log->request(
            part, "Endpoint terminated while processing a request.",
            {{"endpoint", report.endpoint.info.id.value()}, {"asks", toString(request)}});
    }
    // Requests that have crashed endpoints before are announced first, as they are the likelier
    // cause.
    std::stable_partition(crashes.begin(), crashes.end(), [this](const RequestCrash &crash) {
        return m_quarantine.hasCrashes(crash.request);
    });
    if (m_options.crashesDetected)
        m_options.crashesDetected(crashes);
    for (const RequestCrash &crash : crashes)
        recordCrash(crash);
}

void Gateway::recordCrash(const RequestCrash &crash)
{
    const Base::MonoTime now = m_options.loop->clock().now();
    if (!m_quarantine.crashed(crash, now))
        return;
    const QuarantinedRequest quarantined{.request = crash.request,
                                         .remaining = *m_quarantine.timeLeft(crash.request, now)};
    noteQuarantined(crash.request, "ends");
    if (m_options.requestQuarantined)
        m_options.requestQuarantined(quarantined);
}

std::optional<Base::Duration> Gateway::quarantineReceived(const QuarantinedRequest &quarantined)
{
    const Base::MonoTime now = m_options.loop->clock().now();
    if (!m_quarantine.quarantine(quarantined, now))
        return std::nullopt;
    noteQuarantined(quarantined.request, "told");
    return m_quarantine.timeLeft(quarantined.request, now);
}

void Gateway::noteQuarantined(RequestFingerprint request, std::string_view from)
{
    const Base::MonoTime now = m_options.loop->clock().now();
    m_options.log->event(
        part, "Request was quarantined.",
        {{"asks", toString(request)},
         {"from", from},
         {"for_ms", m_quarantine.timeLeft(request, now).value_or(Base::Duration::zero())}});
    const auto runs = m_runs; // A copy, as some runs end and remove themselves.
    for (const auto &run : runs)
        run->quarantined(request);
}

std::vector<QuarantinedRequest> Gateway::quarantined() const
{
    return m_quarantine.quarantined(m_options.loop->clock().now());
}

std::vector<RequestCrash> Gateway::requestCrashes() const
{
    return m_quarantine.crashes(m_options.loop->clock().now());
}

void Gateway::wirePartQuarantine()
{
    m_partQuarantine.ask = [this](const std::vector<PartQuestion> &questions) {
        for (const PartQuestion &question : questions)
            m_options.log->event(
                part, "A prompt part may crash endpoints; peers are asked.",
                {{"prompt_part", toString(question.part)}, {"first_crash_ms", question.within}});
        return !m_options.askAboutParts || m_options.askAboutParts(questions);
    };
    m_partQuarantine.decided = [this](const QuarantinedPart &quarantined,
                                      const PartEvidence::Suspect &suspect) {
        notePartQuarantined(quarantined.part, "ends", suspect.endpoints);
        if (m_options.partQuarantined)
            m_options.partQuarantined(quarantined);
    };
    m_partQuarantine.released = [this](PartHash released) {
        m_options.log->event(part, "Prompt part was released.",
                             {{"prompt_part", toString(released)}});
        if (m_options.partReleased)
            m_options.partReleased(released);
    };
}

std::optional<Base::Duration> Gateway::partQuarantineReceived(const QuarantinedPart &quarantined)
{
    const auto remaining = m_partQuarantine.quarantineReceived(quarantined);
    if (remaining)
        notePartQuarantined(quarantined.part, "told", 0);
    return remaining;
}

void Gateway::notePartQuarantined(PartHash quarantined, std::string_view from, std::size_t crashes)
{
    m_options.log->event(
        part, "Prompt part was quarantined.",
        {{"prompt_part", toString(quarantined)},
         {"from", from},
         {"crashes", crashes},
         {"for_ms", m_partQuarantine.timeLeft(quarantined).value_or(Base::Duration::zero())}});
    const auto runs = m_runs; // A copy, as some runs end and remove themselves.
    for (const auto &run : runs)
        run->partQuarantined(quarantined);
}

} // namespace Lagoonbank::Gateway
