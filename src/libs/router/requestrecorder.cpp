#include "router/requestrecorder.h"

#include "timeline/outcome.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace Lagoonbank::Router {

using Timeline::EventType;
using Timeline::OutcomeKind;

namespace {

std::int64_t wallMs(Base::WallTime wall)
{
    return Base::toMilliseconds(wall.time_since_epoch());
}

std::string resultName(const Exchange::AttemptResult &result)
{
    return result.succeeded ? "whole" : std::string(Errors::toString(result.error.kind));
}

} // namespace

RequestRecorder::RequestRecorder(const Options &options)
    : m_options(options)
    , m_ring(options.ringSize)
{ }

void RequestRecorder::record(EventType type, const RequestInfo &info,
                             const Base::EndpointId &endpoint, std::string detail)
{
    m_options.events->record(type,
                             {.request = info.id,
                              .workspace = info.workspace,
                              .endpoint = endpoint,
                              .detail = std::move(detail)},
                             m_options.clock->wallNow());
}

void RequestRecorder::started(const RequestInfo &info)
{
    m_options.metrics->requests.increment();
    m_options.metrics->inFlight.add(1);
    m_ring.started({.request = info.id,
                    .workspace = info.workspace,
                    .key = info.key,
                    .isModelCall = info.service.empty(),
                    .idempotent = info.idempotent,
                    .startedWallMs = wallMs(m_options.clock->wallNow())},
                   info.started);
}

void RequestRecorder::attemptStarted(const RequestInfo &info, const Exchange::Target &target)
{
    m_ring.attemptStarted(info.id, target.endpoint, m_options.clock->now());
    record(EventType::AttemptStarted, info, target.endpoint, {});
}

void RequestRecorder::attemptEnded(const RequestInfo &info, const Exchange::AttemptResult &result)
{
    std::string name = resultName(result);
    if (!result.succeeded)
        m_options.metrics->registry.counter("lagoonbank_retries_total", {{"kind", name}})
            .increment();
    m_ring.attemptEnded(info.id, name, m_options.clock->now());
    record(EventType::AttemptEnded, info, result.endpoint, std::move(name));
}

Timeline::OutcomeEnd RequestRecorder::toOutcomeEnd(const Exchange::RequestResult &end)
{
    Timeline::OutcomeEnd out{
        .kind = OutcomeKind::Whole, .ran = Errors::Ran::Yes, .status = end.status};
    if (!end.refusal)
        return out;
    out.kind = Timeline::outcomeKind(end.refusal->error.ran, end.cutOff);
    out.cause = end.refusal->error.kind;
    out.ran = end.refusal->error.ran;
    out.limit = end.refusal->limit;
    out.source = end.refusal->contractLine;
    return out;
}

void RequestRecorder::ended(const RequestInfo &info, const Exchange::RequestResult &end)
{
    RouterMetrics &metrics = *m_options.metrics;
    const Base::MonoTime now = m_options.clock->now();
    metrics.inFlight.add(-1);
    metrics.duration.observe(Base::toSeconds(now - info.started));
    if (end.firstTokenAt)
        metrics.firstToken.observe(Base::toSeconds(*end.firstTokenAt - info.started));
    if (end.succeeded) {
        metrics.promptTokens.increment(static_cast<double>(end.promptTokens.value()));
        metrics.cachedTokens.increment(static_cast<double>(end.cachedTokens.value()));
        metrics.answerTokens.increment(static_cast<double>(end.answerTokens.value()));
    }
    const Timeline::OutcomeEnd outcome = toOutcomeEnd(end);
    m_ring.ended(info.id, outcome, now);
    countOutcome(outcome.kind);
    if (outcome.cause)
        countRefusal(*outcome.cause);
    const bool isRefused = outcome.kind == OutcomeKind::Refused;
    record(isRefused ? EventType::RequestRefused : EventType::RequestEnded, info, end.endpoint,
           std::string(outcome.cause ? Errors::toString(*outcome.cause) : "whole"));
    if (!info.idempotent)
        appendOutcome(info);
}

void RequestRecorder::countRefusal(Errors::ErrorKind kind)
{
    auto found = m_refusals.find(kind);
    if (found == m_refusals.end()) {
        const Metrics::Labels labels{{"kind", std::string(Errors::toString(kind))}};
        found =
            m_refusals
                .emplace(kind,
                         m_options.metrics->registry.counter("lagoonbank_refusals_total", labels))
                .first;
    }
    found->second.increment();
}

void RequestRecorder::countOutcome(OutcomeKind kind)
{
    auto found = m_outcomes.find(kind);
    if (found == m_outcomes.end()) {
        const Metrics::Labels labels{{"outcome", std::string(Schema::toString(kind))}};
        found =
            m_outcomes
                .emplace(kind,
                         m_options.metrics->registry.counter("lagoonbank_outcomes_total", labels))
                .first;
    }
    found->second.increment();
}

void RequestRecorder::appendOutcome(const RequestInfo &info)
{
    const Timeline::Outcome *outcome = m_ring.find(info.id);
    if (!outcome || !m_options.outcomes)
        return;
    m_options.outcomes->add(
        {.id = "outcome " + info.id.value(), .data = Timeline::toJson(*outcome).dump()},
        [](const PlatformClient::AppendOutcome &) {});
}

} // namespace Lagoonbank::Router
