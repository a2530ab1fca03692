#include "http/h2oresponder.h"

#include "http/reasonphrase.h"

#include <cstdint>
#include <utility>

namespace Lagoonbank::Http::Internal {

namespace {

/// Whether the field is written by the connection layer.
bool belongsToConnection(std::string_view name)
{
    return name == "content-length" || name == "connection" || name == "transfer-encoding"
        || name == "keep-alive" || name == "date" || name == "server";
}

} // namespace

H2oResponder::H2oResponder(h2o_req_t *request, std::shared_ptr<MemoryBudget> memory)
    : m_request(request)
    , m_memory(std::move(memory), MemoryKind::Answers)
{
    m_generator.super.proceed = proceed;
    m_generator.super.stop = stop;
    m_generator.owner = this;
}

void H2oResponder::send(int status, const Headers &headers, std::string body)
{
    if (!m_request || m_state != State::Waiting)
        return;
    m_inFlight = std::move(body);
    if (!takeMemory()) {
        abort();
        return;
    }
    const bool isHead = h2o_memis(m_request->method.base, m_request->method.len, "HEAD", 4) != 0;
    startResponse(status, headers, m_inFlight.size());
    m_state = State::Ended;
    h2o_iovec_t buffer = h2o_iovec_init(m_inFlight.data(), m_inFlight.size());
    h2o_send(m_request, &buffer, isHead || m_inFlight.empty() ? 0 : 1, H2O_SEND_STATE_FINAL);
}

void H2oResponder::begin(int status, const Headers &headers)
{
    if (!m_request || m_state != State::Waiting)
        return;
    m_state = State::Streaming;
    startResponse(status, headers, SIZE_MAX);
}

void H2oResponder::write(std::string_view piece)
{
    if (!m_request || m_state != State::Streaming || m_isEndQueued || m_isAborted || piece.empty())
        return;
    m_queued += piece;
    if (!m_isSending)
        sendQueued();
    if (!takeMemory())
        abort();
}

void H2oResponder::end()
{
    if (!m_request || m_state != State::Streaming || m_isEndQueued || m_isAborted)
        return;
    m_isEndQueued = true;
    if (!m_isSending)
        sendQueued();
}

void H2oResponder::abort()
{
    if (!m_request || m_state == State::Ended || m_isAborted)
        return;
    m_isAborted = true;
    m_disconnectHandler = nullptr;
    m_queued = {};
    if (m_isSending)
        return; // proceed() or detach() follows and ends the answer.
    if (m_state == State::Waiting)
        startResponse(500, {}, SIZE_MAX);
    m_state = State::Ended;
    h2o_send(m_request, nullptr, 0, H2O_SEND_STATE_ERROR);
}

void H2oResponder::setDisconnectHandler(std::function<void()> handler)
{
    m_disconnectHandler = std::move(handler);
    if (m_isDisconnected)
        reportDisconnect();
}

void H2oResponder::detach()
{
    m_request = nullptr;
    if (m_state == State::Ended || m_isAborted)
        return;
    m_isDisconnected = true;
    reportDisconnect();
}

void H2oResponder::proceed(h2o_generator_t *generator, h2o_req_t * /*request*/)
{
    H2oResponder *self = reinterpret_cast<Generator *>(generator)->owner;
    self->m_isSending = false;
    self->m_inFlight = {};
    static_cast<void>(self->takeMemory());
    if (!self->m_request || self->m_state != State::Streaming)
        return;
    if (self->m_isAborted) {
        self->m_state = State::Ended;
        h2o_send(self->m_request, nullptr, 0, H2O_SEND_STATE_ERROR);
        return;
    }
    if (!self->m_queued.empty() || self->m_isEndQueued)
        self->sendQueued();
    else if (self->m_drainHandler)
        self->m_drainHandler();
}

void H2oResponder::stop(h2o_generator_t *generator, h2o_req_t * /*request*/)
{
    reinterpret_cast<Generator *>(generator)->owner->detach();
}

void H2oResponder::startResponse(int status, const Headers &headers, std::size_t contentLength)
{
    h2o_req_t *request = m_request;
    request->res.status = status;
    request->res.reason = reasonPhrase(status);
    request->res.content_length = contentLength;
    for (const Header &field : headers.fields()) {
        if (belongsToConnection(field.name) || !isSafeHeaderName(field.name)
            || !isSafeHeaderValue(field.value)) {
            continue;
        }
        const h2o_iovec_t name = h2o_strdup(&request->pool, field.name.data(), field.name.size());
        const h2o_iovec_t value =
            h2o_strdup(&request->pool, field.value.data(), field.value.size());
        h2o_add_header_by_str(&request->pool, &request->res.headers, name.base, name.len, 1,
                              nullptr, value.base, value.len);
    }
    h2o_start_response(request, &m_generator.super);
}

void H2oResponder::sendQueued()
{
    m_inFlight = std::exchange(m_queued, {});
    m_isSending = true;
    if (m_isEndQueued)
        m_state = State::Ended;
    h2o_iovec_t buffer = h2o_iovec_init(m_inFlight.data(), m_inFlight.size());
    h2o_send(m_request, &buffer, m_inFlight.empty() ? 0 : 1,
             m_isEndQueued ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
}

void H2oResponder::reportDisconnect()
{
    const auto handler = std::exchange(m_disconnectHandler, nullptr);
    if (handler)
        handler();
}

} // namespace Lagoonbank::Http::Internal
