#include "exchange/serviceexchange.h"

#include <utility>

namespace Lagoonbank::Exchange {

using Errors::ErrorKind;
using Errors::Ran;

ServiceExchange::ServiceExchange(Options options, ServiceCall call, Answered answered)
    : Exchange(std::move(options))
    , m_call(std::move(call))
    , m_answered(std::move(answered))
{ }

Http::Call ServiceExchange::makeCall(const Target & /*target*/, bool /*resume*/)
{
    m_body.clear();
    Http::Call call;
    call.method = m_call.method;
    call.target = m_call.target;
    call.body = m_call.body;
    call.headers.add("x-workspace", options().route.workspace.value());
    if (!m_call.contentType.empty())
        call.headers.add("content-type", m_call.contentType);
    if (m_call.key)
        call.headers.add("idempotency-key", m_call.key->value());
    // A pooled connection may have been closed unnoticed. The call would then fail without it being
    // known whether it was executed.
    call.freshConnection = !options().route.idempotent;
    return call;
}

void ServiceExchange::onHead(int /*status*/, const Http::Headers & /*headers*/) { }

void ServiceExchange::onPiece(std::string_view piece)
{
    m_body.append(piece);
}

void ServiceExchange::onCallCompleted(Http::CallResult result)
{
    const auto self = shared_from_this();
    if (!result.headers.find("x-request-id")) {
        failAttempt({ErrorKind::AnswerMismatch, "The answer names no request.", Ran::Unknown});
        return;
    }
    ServiceAnswer answer{.status = result.status,
                         .contentType =
                             std::string(result.headers.find("content-type").value_or("")),
                         .body = std::move(m_body)};
    if (m_answered)
        m_answered(answer);
    Http::Headers headers = answerHeaders();
    if (!answer.contentType.empty())
        headers.add("content-type", answer.contentType);
    options().responder->send(answer.status, headers, std::move(answer.body));
    finishSuccess(answer.status);
}

} // namespace Lagoonbank::Exchange
