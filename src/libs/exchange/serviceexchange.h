#pragma once

#include "exchange/exchange.h"

namespace Lagoonbank::Exchange {

/// A call of a plain service as it is sent to the endpoint.
struct ServiceCall
{
    std::string method;
    std::string target; ///< The path after the service's name, with the query.
    Http::SharedBody body;
    std::string contentType;
    std::optional<Base::IdempotencyKey> key;
};

/// The complete answer of a service.
struct ServiceAnswer
{
    int status = 0;
    std::string contentType;
    std::string body;
};

/// Processes a call of a plain service. The answer is sent to the caller only when it is complete.
class ServiceExchange final : public Exchange
{
public:
    /// Called with the complete answer before it is sent to the caller, so that it can be recorded.
    using Answered = std::function<void(const ServiceAnswer &answer)>;

    ServiceExchange(Options options, ServiceCall call, Answered answered);

protected:
    Http::Call makeCall(const Target &target, bool resume) override;
    void onHead(int status, const Http::Headers &headers) override;
    void onPiece(std::string_view piece) override;
    void onCallCompleted(Http::CallResult result) override;

private:
    ServiceCall m_call;
    Answered m_answered;
    std::string m_body;
};

} // namespace Lagoonbank::Exchange
