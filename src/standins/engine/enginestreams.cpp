#include "standins/engine/enginestreams.h"

#include "standins/engine/tokentext.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace Lagoonbank::Standins {

namespace {

constexpr std::int64_t defaultTokensBeforeFault = 1;

/// The fault that stops the stream after some of its tokens; null if there is none.
const Fault *stoppingFault(const RequestFaults &faults)
{
    for (const FaultKind kind :
         std::array{FaultKind::CrashMidStream, FaultKind::Cut, FaultKind::Silent}) {
        if (const Fault *fault = faults.find(kind))
            return fault;
    }
    return nullptr;
}

} // namespace

EngineStreams::EngineStreams(Options options)
    : m_options(std::move(options))
{ }

void EngineStreams::open(const Stream &stream)
{
    auto open = std::make_shared<OpenStream>();
    static_cast<Stream &>(*open) = stream;
    open->tokenHash = shortHash(stream.contentId);
    open->nextToken = stream.from;
    const Fault *late = stream.faults.find(FaultKind::Late);
    if (!late) {
        begin(open);
        return;
    }
    ++m_delayedAnswers;
    m_options.timers->start(late->delay, [this, open] {
        --m_delayedAnswers;
        begin(open);
    });
}

void EngineStreams::begin(const OpenStreamPtr &stream)
{
    if (!stream->faults.has(FaultKind::CrashAfterRequest)) {
        stream->responder->begin(httpOk,
                                 {{"content-type", "text/event-stream"},
                                  {"x-request-id", stream->reportedId.value()},
                                  {"x-load", loadHeader(m_options.load())}});
    }
    if (pump(*stream))
        m_streams[stream->run].push_back(stream);
}

void EngineStreams::progress(RunNumber run)
{
    const auto found = m_streams.find(run);
    if (found == m_streams.end())
        return;
    std::vector<OpenStreamPtr> streams = std::move(found->second);
    m_streams.erase(found);
    std::erase_if(streams, [this](const OpenStreamPtr &stream) { return !pump(*stream); });
    if (!streams.empty())
        m_streams[run] = std::move(streams);
}

bool EngineStreams::pump(OpenStream &stream)
{
    if (stream.responder->isDisconnected())
        return false;
    const std::optional<RunProgress> run = m_options.model->progressOf(stream.run);
    if (!run) {
        stream.responder->abort();
        return false;
    }
    if (stream.faults.has(FaultKind::CrashAfterRequest))
        return abortAfterRun(stream, *run);
    const Fault *fault = stoppingFault(stream.faults);
    std::int64_t end = run->produced.value();
    const bool stops =
        fault && end >= stream.from + fault->afterTokens.value_or(defaultTokensBeforeFault);
    if (stops)
        end = stream.from + fault->afterTokens.value_or(defaultTokensBeforeFault);
    writeTokens(stream, end);
    if (stops) {
        stopAtFault(stream, *fault);
        return false;
    }
    if (run->state == RunState::Running)
        return true;
    finish(stream, *run);
    return false;
}

bool EngineStreams::abortAfterRun(OpenStream &stream, const RunProgress &run)
{
    if (run.state == RunState::Running)
        return true;
    stream.responder->abort();
    crashUnlessKept(stream, *stream.faults.find(FaultKind::CrashAfterRequest));
    return false;
}

void EngineStreams::writeTokens(OpenStream &stream, std::int64_t end)
{
    std::string events;
    for (; stream.nextToken < end; ++stream.nextToken) {
        events += "data: {\"i\": ";
        events += std::to_string(stream.nextToken);
        events += ", \"t\": \"";
        events += tokenText(stream.tokenHash, stream.nextToken);
        events += "\"}\n\n";
    }
    if (!events.empty())
        stream.responder->write(events);
}

void EngineStreams::stopAtFault(OpenStream &stream, const Fault &fault)
{
    if (fault.kind == FaultKind::Silent) {
        m_unanswered.add(stream.responder);
        return;
    }
    if (fault.kind == FaultKind::Cut) {
        stream.responder->end();
        return;
    }
    abortAfterDelay(*m_options.timers, stream.responder);
    crashUnlessKept(stream, fault);
}

void EngineStreams::finish(OpenStream &stream, const RunProgress &run)
{
    if (run.state != RunState::Whole) {
        stream.responder->abort();
        return;
    }
    stream.responder->write(lastEvent(stream, run));
    const Fault *fault = stream.faults.find(FaultKind::CrashAfterAnswer);
    if (!fault) {
        stream.responder->end();
        return;
    }
    abortAfterDelay(*m_options.timers, stream.responder);
    crashUnlessKept(stream, *fault);
}

void EngineStreams::crashUnlessKept(const OpenStream &stream, const Fault &fault)
{
    if (!fault.keepRun)
        m_options.model->crash(stream.run);
}

std::string EngineStreams::lastEvent(const OpenStream &stream, const RunProgress &run) const
{
    const LoadFigures load = m_options.load();
    const nlohmann::json event{{"done", true},
                               {"n", run.produced.value()},
                               {"prompt_tokens", run.promptTokens.value()},
                               {"cached_tokens", run.cachedTokens.value()},
                               {"request_id", stream.reportedId.value()},
                               {"load",
                                {{"work", std::llround(load.work)},
                                 {"age_ms", Base::toMilliseconds(load.age)},
                                 {"running", load.running},
                                 {"queued", load.queued},
                                 {"capacity", std::llround(load.capacity)}}}};
    return "data: " + event.dump() + "\n\n";
}

} // namespace Lagoonbank::Standins
