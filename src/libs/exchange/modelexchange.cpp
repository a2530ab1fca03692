#include "exchange/modelexchange.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace Lagoonbank::Exchange {

using Errors::ErrorKind;
using Errors::Ran;
using Json = nlohmann::json;

namespace {

constexpr int statusOk = 200;

std::string dump(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

ModelExchange::ModelExchange(Options options, ModelCall call)
    : Exchange(std::move(options))
    , m_call(std::move(call))
{ }

Http::Call ModelExchange::makeCall(const Target & /*target*/, bool resume)
{
    m_reader = {};
    m_isStream = false;
    m_isMalformed = false;
    m_done.reset();

    Json body{{"request_id", request().value()}, {"from", m_nextIndex}};
    if (!resume) {
        const RouteQuery &route = options().route;
        body["workspace"] = route.workspace.value();
        body["chat"] = m_call.chat.value();
        body["model"] = m_call.model.value();
        body["prompt"] = m_call.prompt;
        body["max_tokens"] = m_call.maxTokens.value();
        body["priority"] = route.priority;
    }
    Http::Call call;
    call.method = "POST";
    call.target = resume ? "/v1/resume" : "/v1/generate";
    call.headers.add("content-type", "application/json");
    call.body = dump(body);
    return call;
}

void ModelExchange::onHead(int status, const Http::Headers & /*headers*/)
{
    m_isStream = status == statusOk;
}

void ModelExchange::onPiece(std::string_view piece)
{
    if (!m_isStream)
        return;
    const std::int64_t before = m_nextIndex;
    const bool isReadable = m_reader.read(piece, [this](const StreamEvent &event) {
        if (!m_isMalformed && !m_done)
            onEvent(event);
    });
    if (m_nextIndex > before)
        countAnswerTokens(m_nextIndex - before);
    if (!isReadable || m_isMalformed) {
        failAttempt({ErrorKind::EndpointBroke, "The stream is malformed.", Ran::Unknown});
        return;
    }
    forward();
    if (m_done)
        sendAnswer();
}

void ModelExchange::onEvent(const StreamEvent &event)
{
    if (event.done) {
        const bool isWhole = event.done->tokens.value() == m_nextIndex;
        const bool isOwn = event.done->requestId == request().value();
        m_isMalformed = !isWhole || !isOwn;
        if (!m_isMalformed)
            m_done = event.done;
        return;
    }
    if (*event.index < m_nextIndex)
        return; // A resumed stream may start before the requested offset.
    if (*event.index > m_nextIndex) {
        m_isMalformed = true;
        return;
    }
    ++m_nextIndex;
    m_text += event.text;
    if (m_call.stream)
        m_unsent += event.text;
}

void ModelExchange::forward()
{
    if (m_nextIndex > 0)
        setFirstToken();
    if (m_unsent.empty())
        return;
    if (!m_begun) {
        Http::Headers headers = answerHeaders();
        headers.add("content-type", "text/event-stream");
        headers.add("cache-control", "no-cache");
        options().responder->begin(statusOk, headers);
        m_begun = true;
    }
    options().responder->write(completionChunk(request(), m_call.model, m_unsent));
    m_unsent.clear();
}

void ModelExchange::sendAnswer()
{
    const auto self = shared_from_this();
    setCachedTokens(m_done->cachedTokens);
    if (!m_done->load.empty())
        options().hooks.loadReported(target().endpoint, m_done->load);
    const std::shared_ptr<Http::Responder> &responder = options().responder;
    if (m_call.stream && m_begun) {
        responder->write(completionEnd(request(), m_call.model, *m_done));
        responder->end();
    } else {
        Http::Headers headers = answerHeaders();
        headers.add("content-type", "application/json");
        responder->send(statusOk, headers,
                        completionBody(request(), m_call.model, m_text, *m_done));
    }
    finishSuccess(statusOk);
}

void ModelExchange::onCallCompleted(Http::CallResult result)
{
    const std::string detail = result.status == statusOk
        ? "The stream ended before its last event."
        : "Status " + std::to_string(result.status) + ".";
    failAttempt({ErrorKind::EndpointBroke, detail, Ran::Unknown});
}

void ModelExchange::endBroken(const Refusal &refusal)
{
    options().responder->write("data: " + refusalBody(refusal, request()) + "\n\n");
    options().responder->abort();
}

void ModelExchange::cancelUpstream(const Target &target)
{
    Http::Call call;
    call.server = target.address;
    call.method = "POST";
    call.target = "/v1/cancel";
    call.headers.add("content-type", "application/json");
    call.body = dump({{"request_id", request().value()}});
    call.headTimeout = std::chrono::seconds(2);
    options().client->start(std::move(call), {.finished = [](const Http::CallResult &) {}});
}

} // namespace Lagoonbank::Exchange
