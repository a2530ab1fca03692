#pragma once

#include "fleet/endpoint.h"
#include "gateway/callerrequest.h"
#include "http/client.h"

#include <cstdint>
#include <functional>
#include <optional>

namespace Lagoonbank::Gateway {

/// What an endpoint says of its work.
struct LoadReport
{
    int running = 0;
    int waiting = 0;
    int slots = 0; ///< That can run at once.
};

/// One request on its way to one endpoint.
struct Send
{
    const CallerRequest *request = nullptr;
    const Fleet::Endpoint *endpoint = nullptr;
    Base::WorkspaceId workspace; ///< Empty for an anonymous request.
    Base::Duration timeLeft{}; ///< After which the endpoint may stop.
    int priority = 0; ///< 0 is most urgent.
    std::optional<std::uint64_t> resumeAfter; ///< The last event that the caller has.
    /// Another endpoint that holds parts of the prompt in its cache, to be copied from there; null
    /// for none.
    const Fleet::Endpoint *cacheSource = nullptr;
};

/// What the head of an endpoint's answer says beyond HTTP.
struct HeadFacts
{
    bool isOwn = false; ///< It answers this request and not another one.
    bool isNotRun = false; ///< The endpoint proves that the request did not run and never will.
    bool isOtherEndpoint = false; ///< Another endpoint has the address now.
    std::optional<LoadReport> load;
    bool isLeaving = false; ///< The endpoint says that it takes no new requests any more.
    bool isWarmingUp = false; ///< The endpoint says that it bears few requests yet.
    std::optional<Base::Duration> backOffTime; ///< For which it wants nothing from this router.
};

/// How endpoints are spoken to; an adapter provides it.
struct EndpointProtocol
{
    std::function<Http::Call(const Send &send)> makeCall;
    std::function<HeadFacts(const CallerRequest &request, int status, const Http::Headers &headers)>
        readHead;
};

} // namespace Lagoonbank::Gateway
