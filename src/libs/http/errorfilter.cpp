#include "http/errorfilter.h"

#include "errors/errorbody.h"
#include "http/h2oserver.h"
#include "http/reasonphrase.h"

#include <chrono>
#include <string_view>

namespace Lagoonbank::Http::Internal {

namespace {

/// Per-request variable of h2o that marks requests answered by the handler.
constexpr std::string_view handledVariable = "lagoonbank-handled";

struct ErrorStream
{
    h2o_ostream_t super;
    h2o_iovec_t body;
};

Errors::ErrorKind kindOf(int status)
{
    switch (status) {
    case 413:
        return Errors::ErrorKind::BodyTooLarge;
    case 404:
        return Errors::ErrorKind::NotFound;
    case 405:
        return Errors::ErrorKind::MethodNotAllowed;
    default:
        return status < 500 ? Errors::ErrorKind::BadRequest : Errors::ErrorKind::Internal;
    }
}

void sendBody(h2o_ostream_t *stream, h2o_req_t *request, h2o_iovec_t * /*buffers*/,
              std::size_t /*count*/, h2o_send_state_t state)
{
    auto *self = reinterpret_cast<ErrorStream *>(stream);
    h2o_ostream_send_next(stream, request, &self->body, 1, state);
}

void setUpStream(h2o_filter_t * /*filter*/, h2o_req_t *request, h2o_ostream_t **slot)
{
    const bool isHandled =
        h2o_req_getenv(request, handledVariable.data(), handledVariable.size(), 0) != nullptr;
    if (!isHandled && request->res.status >= 400) {
        const Errors::ErrorKind kind = kindOf(request->res.status);
        const std::string id = H2oServer::refusedRequestId(request, kind);
        const std::string body = Errors::errorBody(kind, Errors::errorRow(kind).ran, id);
        auto *stream =
            reinterpret_cast<ErrorStream *>(h2o_add_ostream(request, sizeof(ErrorStream), slot));
        stream->super.do_send = sendBody;
        stream->body = h2o_strdup(&request->pool, body.data(), body.size());
        slot = &stream->super.next;
        request->res.content_length = body.size();
        h2o_set_header(&request->pool, &request->res.headers, H2O_TOKEN_CONTENT_TYPE,
                       H2O_STRLIT("application/json"), 1);
        if (!id.empty()) {
            const h2o_iovec_t value = h2o_strdup(&request->pool, id.data(), id.size());
            h2o_add_header_by_str(&request->pool, &request->res.headers, H2O_STRLIT("x-request-id"),
                                  1, nullptr, value.base, value.len);
        }
    }
    h2o_setup_next_ostream(request, slot);
}

} // namespace

void installErrorFilter(h2o_pathconf_t *path)
{
    h2o_filter_t *filter = h2o_create_filter(path, sizeof(h2o_filter_t));
    filter->on_setup_ostream = setUpStream;
}

void markAsHandled(h2o_req_t *request)
{
    h2o_req_getenv(request, handledVariable.data(), handledVariable.size(), 1);
}

std::string rawErrorAnswer(Errors::ErrorKind kind, const std::string &requestId,
                           std::optional<Base::Duration> retryAfter)
{
    const Errors::ErrorRow &row = Errors::errorRow(kind);
    const std::string body = Errors::errorBody(kind, row.ran, requestId);
    std::string answer = "HTTP/1.1 " + std::to_string(row.httpStatus) + " "
        + reasonPhrase(row.httpStatus) + "\r\nconnection: close\r\ncontent-type: application/json"
        + "\r\ncontent-length: " + std::to_string(body.size());
    if (retryAfter)
        answer += "\r\nretry-after: "
            + std::to_string(std::chrono::ceil<std::chrono::seconds>(*retryAfter).count());
    if (!requestId.empty())
        answer += "\r\nx-request-id: " + requestId;
    answer += "\r\n\r\n";
    answer += body;
    return answer;
}

} // namespace Lagoonbank::Http::Internal
