#include "exchange/exchange.h"

#include "runtime/loop.h"

#include <algorithm>
#include <utility>

namespace Lagoonbank::Exchange {

using Errors::Error;
using Errors::ErrorKind;
using Errors::Ran;

namespace {

constexpr int statusOk = 200;
constexpr Base::Duration noClientTimeout = std::chrono::hours(24);

Error errorOfCallEnd(const Http::CallResult &result)
{
    const Ran ran = result.mayHaveBeenSent ? Ran::Unknown : Ran::No;
    switch (result.end) {
    case Http::CallEnd::NotConnected:
    case Http::CallEnd::TurnedAway:
        return {ErrorKind::EndpointUnreachable, {}, Ran::No};
    case Http::CallEnd::TimedOut:
        return {ErrorKind::EndpointTimeout, {}, ran};
    case Http::CallEnd::Whole:
    case Http::CallEnd::Broken:
    case Http::CallEnd::TooLarge:
        break;
    }
    return {ErrorKind::EndpointBroke, {}, ran};
}

} // namespace

Exchange::Exchange(Options options)
    : m_options(std::move(options))
{ }

Exchange::~Exchange() = default;

Base::MonoTime Exchange::now() const
{
    return m_options.loop->clock().now();
}

void Exchange::start()
{
    const auto self = shared_from_this();
    m_options.responder->setDisconnectHandler([self] { self->callerLeft(); });
    m_deadlineTimer = m_options.loop->timers().start(m_options.route.deadline - now(),
                                                     [self] { self->deadlinePassed(); });
    place();
}

void Exchange::place()
{
    const auto self = shared_from_this();
    CancelPlacement cancel = m_options.hooks.place(
        m_options.route, [self](Placement placement) { self->placed(std::move(placement)); });
    if (!m_target && !m_finished)
        m_cancelPlacement = std::move(cancel);
}

void Exchange::placed(Placement placement)
{
    m_cancelPlacement = nullptr;
    if (m_finished)
        return;
    if (auto *refusal = std::get_if<Refusal>(&placement)) {
        if (refusal->error.kind == ErrorKind::NoEndpoint && m_runCount > 0)
            refusal->error = lastRunError(); // All available endpoints have failed it.
        refusal->error.ran = anyAttemptRan();
        failRequest(std::move(*refusal));
        return;
    }
    m_target = std::get<Target>(std::move(placement));
    startAttempt(false);
}

void Exchange::startAttempt(bool resume)
{
    m_mayHaveSent = false;
    m_status = 0;
    m_loadHeader.clear();
    m_attemptTokens = 0;
    m_resumed = resume;
    ++(resume ? m_resumeCount : m_runCount);
    m_attemptStarted = now();
    m_lastProgress = m_attemptStarted;
    m_options.hooks.attemptStarted(*m_target);

    Http::Call call = makeCall(*m_target, resume);
    call.server = m_target->address;
    call.headers.add("x-request-id", m_options.request.value());
    call.connectTimeout = m_options.timeouts.connect;
    // An engine may send its head only together with its first token. watchProgress() applies a
    // timeout that takes the length of the prompt into account.
    call.headTimeout = noClientTimeout;
    call.progressTimeout = noClientTimeout;
    call.totalTimeout = noClientTimeout;

    const auto self = shared_from_this();
    m_call = m_options.client->start(
        std::move(call),
        {.sending = [self] { self->m_mayHaveSent = true; },
         .headReceived =
             [self](int status, const Http::Headers &headers) {
                 self->m_status = status;
                 self->noteProgress();
                 self->m_loadHeader = std::string(headers.find("x-load").value_or(""));
                 if (!self->m_loadHeader.empty())
                     self->m_options.hooks.loadReported(self->m_target->endpoint,
                                                        self->m_loadHeader);
                 const auto echo = headers.find("x-request-id");
                 if (echo && *echo != self->m_options.request.value()) {
                     self->failAttempt({ErrorKind::AnswerMismatch, {}, Ran::Unknown});
                     return;
                 }
                 self->onHead(status, headers);
             },
         .bodyReceived =
             [self](std::string_view piece) {
                 self->noteProgress();
                 self->onPiece(piece);
             },
         .finished = [self](Http::CallResult result) { self->callFinished(std::move(result)); }});
    watchProgress();
}

void Exchange::noteProgress()
{
    m_lastProgress = now();
}

void Exchange::setFirstToken()
{
    if (!m_result.firstTokenAt)
        m_result.firstTokenAt = now();
}

void Exchange::countAnswerTokens(std::int64_t count)
{
    const bool isFirst = m_attemptTokens == 0;
    m_attemptTokens += count;
    if (m_options.hooks.progressed)
        m_options.hooks.progressed(*m_target, Base::Tokens(count), isFirst);
    m_result.answerTokens += Base::Tokens(count);
}

void Exchange::setCachedTokens(Base::Tokens tokens)
{
    m_result.cachedTokens = tokens;
}

Base::Duration Exchange::stallTimeout() const
{
    const Timeouts &timeouts = m_options.timeouts;
    if (m_attemptTokens > 0)
        return timeouts.betweenTokens;
    // The time to the first token grows with the prompt and does not indicate a stalled connection.
    const auto uncached = std::max<std::int64_t>(
        0, m_options.route.promptTokens.value() - m_target->expectedCached.value());
    return timeouts.firstToken + timeouts.perPromptToken * uncached;
}

void Exchange::watchProgress()
{
    const Base::Duration wait = m_lastProgress + stallTimeout() - now();
    const auto self = shared_from_this();
    m_progressTimer = m_options.loop->timers().start(wait, [self] {
        self->m_progressTimer.reset();
        if (self->m_finished || !self->m_call)
            return;
        if (self->now() < self->m_lastProgress + self->stallTimeout()) {
            self->watchProgress();
            return;
        }
        self->failAttempt(
            {ErrorKind::EndpointTimeout, {}, self->m_mayHaveSent ? Ran::Unknown : Ran::No});
    });
}

void Exchange::callFinished(Http::CallResult result)
{
    m_call.reset();
    if (m_finished)
        return;
    if (result.end != Http::CallEnd::Whole) {
        failAttempt(errorOfCallEnd(result));
        return;
    }
    if (result.headers.find("x-ran") == "no") {
        failAttempt(
            {ErrorKind::EndpointRefused, "Status " + std::to_string(result.status) + ".", Ran::No});
        return;
    }
    onCallCompleted(std::move(result));
}

void Exchange::stopCall()
{
    if (m_call)
        m_options.client->cancel(*m_call);
    m_call.reset();
    if (m_progressTimer)
        m_options.loop->timers().cancel(*m_progressTimer);
    m_progressTimer.reset();
}

void Exchange::endAttempt(bool succeeded, Error error)
{
    stopCall();
    AttemptResult result{.endpoint = m_target->endpoint,
                         .ticket = m_target->ticket,
                         .started = m_attemptStarted,
                         .ended = now(),
                         .work = m_target->work,
                         .succeeded = succeeded,
                         .error = std::move(error),
                         .load = m_loadHeader,
                         .cachedTokens = m_result.cachedTokens,
                         .answerTokens = Base::Tokens(m_attemptTokens),
                         .resumed = m_resumed};
    if (!succeeded && result.error.ran != Ran::No)
        m_mayHaveRun = true;
    m_result.endpoint = m_target->endpoint;
    m_result.attempts.push_back(result);
    m_options.hooks.attemptEnded(result);
}

Retry::AttemptFailure Exchange::failureOf(const Error &error) const
{
    return {.kind = error.kind,
            .mayHaveBeenSent = error.ran != Ran::No || error.kind == ErrorKind::EndpointRefused,
            .provenNotRun = error.kind == ErrorKind::EndpointRefused,
            .headForwarded = hasBegun(),
            .tokensForwarded = keptTokens(),
            .wasResume = m_resumed};
}

Retry::RequestTraits Exchange::traits() const
{
    return {.idempotent = m_options.route.idempotent,
            .resumable = m_options.resumable,
            .earlierMayHaveRun = m_mayHaveRun,
            .attempts = m_runCount,
            .resumes = m_resumeCount,
            .deadline = {.answerBy = m_options.route.deadline}};
}

void Exchange::failAttempt(const Error &error)
{
    const auto self = shared_from_this();
    const Retry::AttemptFailure failure = failureOf(error);
    const Retry::RequestTraits before = traits();
    endAttempt(false, error);
    applyDecision(
        m_options.hooks.decide(m_options.route.workspace, m_target->endpoint, failure, before),
        error);
}

void Exchange::applyDecision(const Retry::RetryDecision &decision, const Error &error)
{
    if (decision.action == Retry::RetryAction::Fail) {
        if (decision.ran != Ran::No)
            cancelUpstream(*m_target);
        // After a refused resume, report the error that made the resume necessary.
        const Error cause = decision.kind == error.kind ? lastRunError() : Error{decision.kind};
        failRequest({.error = {cause.kind, cause.detail, decision.ran}});
        return;
    }
    const bool resume = decision.action == Retry::RetryAction::ResumeSameEndpoint;
    if (!resume) {
        // The engine may still be processing the request, but its answer is no longer needed.
        cancelUpstream(*m_target);
        m_options.route.avoid.push_back(m_target->endpoint);
    }
    const auto self = shared_from_this();
    m_retryTimer = m_options.loop->timers().start(decision.wait, [self, resume] {
        self->m_retryTimer.reset();
        if (self->m_finished)
            return;
        if (resume) {
            self->startAttempt(true);
            return;
        }
        self->m_target.reset();
        self->place();
    });
}

/// The error of the last attempt that was not a resume.
Error Exchange::lastRunError() const
{
    const auto run = std::find_if(m_result.attempts.rbegin(), m_result.attempts.rend(),
                                  [](const AttemptResult &attempt) { return !attempt.resumed; });
    return run == m_result.attempts.rend() ? Error{} : run->error;
}

Ran Exchange::anyAttemptRan() const
{
    return m_mayHaveRun ? Ran::Unknown : Ran::No;
}

Http::Headers Exchange::answerHeaders() const
{
    Http::Headers headers;
    headers.add("x-request-id", m_options.request.value());
    headers.add("x-endpoint", m_target->endpoint.value());
    if (!m_target->placementToken.empty())
        headers.add("x-placement", m_target->placementToken);
    return headers;
}

void Exchange::finishSuccess(int status)
{
    endAttempt(true, {});
    RequestResult end = std::move(m_result);
    end.succeeded = true;
    end.status = status;
    finish(std::move(end));
}

void Exchange::endBroken(const Refusal & /*refusal*/)
{
    m_options.responder->abort();
}

void Exchange::failRequest(Refusal refusal)
{
    RequestResult end = std::move(m_result);
    end.status = Errors::errorRow(refusal.error.kind).httpStatus;
    if (hasBegun()) {
        end.cutOff = true;
        end.status = statusOk;
        endBroken(refusal);
    } else if (!m_options.responder->isDisconnected()) {
        Http::Headers headers = refusalHeaders(refusal);
        headers.add("x-request-id", m_options.request.value());
        m_options.responder->send(end.status, headers, refusalBody(refusal, m_options.request));
    }
    end.refusal = std::move(refusal);
    finish(std::move(end));
}

void Exchange::callerLeft()
{
    if (m_finished)
        return;
    const bool isRunning = m_call.has_value();
    const bool mayHaveSent = m_mayHaveSent;
    if (isRunning) {
        const Error error{ErrorKind::CallerLeft, {}, mayHaveSent ? Ran::Unknown : Ran::No};
        endAttempt(false, error);
        if (mayHaveSent)
            cancelUpstream(*m_target);
    }
    RequestResult end = std::move(m_result);
    end.refusal = Refusal{.error = {ErrorKind::CallerLeft, {}, anyAttemptRan()}};
    end.cutOff = hasBegun();
    finish(std::move(end));
}

void Exchange::deadlinePassed()
{
    m_deadlineTimer.reset();
    if (m_finished)
        return;
    if (m_call) {
        endAttempt(false, {ErrorKind::DeadlinePassed, {}, m_mayHaveSent ? Ran::Unknown : Ran::No});
        cancelUpstream(*m_target);
    }
    failRequest({.error = {ErrorKind::DeadlinePassed, {}, anyAttemptRan()}});
}

void Exchange::finish(RequestResult end)
{
    m_finished = true;
    if (m_cancelPlacement)
        std::exchange(m_cancelPlacement, nullptr)();
    stopCall();
    Runtime::TimerQueue &timers = m_options.loop->timers();
    if (m_deadlineTimer)
        timers.cancel(*m_deadlineTimer);
    if (m_retryTimer)
        timers.cancel(*m_retryTimer);
    m_options.responder->setDisconnectHandler(nullptr);
    const auto finished = std::exchange(m_options.hooks.finished, nullptr);
    end.promptTokens = m_options.route.promptTokens;
    finished(std::move(end));
}

} // namespace Lagoonbank::Exchange
