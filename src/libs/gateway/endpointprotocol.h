#pragma once

#include "fleet/endpoint.h"
#include "gateway/callerrequest.h"
#include "http/client.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <vector>

namespace Lagoonbank::Gateway {

/// Load of an endpoint, as reported by itself.
struct LoadReport
{
    int running = 0;
    int waiting = 0;
    int slots = 0; ///< Maximum number of running requests.
    /// Current duration of work on the endpoint's machine as a multiple of the usual one: 1 is as
    /// usual. Unset if the endpoint does not report it.
    std::optional<double> slowdown;
};

/// A request together with the endpoint that it is sent to.
struct Send
{
    const CallerRequest *request = nullptr;
    const Fleet::Endpoint *endpoint = nullptr;
    Base::WorkspaceId workspace; ///< Empty for an anonymous request.
    Base::Duration timeLeft{}; ///< The endpoint may stop processing after this time.
    int priority = 0; ///< 0 is the most urgent.
    std::optional<std::uint64_t> resumeAfter; ///< Id of the last event that the caller has.
    /// Another endpoint whose cache holds parts of the prompt, which can be copied from there. Null
    /// if there is none.
    const Fleet::Endpoint *cacheSource = nullptr;
    /// For a relayed request: endpoints to which it was sent before.
    int earlierEndpoints = 0;
    /// For a relayed request: the version at which its stream must go on. Unset if any will do.
    std::optional<SoftwareHash> software;
};

/// Information in the head of an endpoint's answer beyond status and headers.
struct HeadFacts
{
    bool isOwn = false; ///< The answer is one to this request, not to another.
    bool isNotRun = false; ///< The request did not run and never will.
    bool isOtherEndpoint = false; ///< The address is in use by another endpoint now.
    std::optional<LoadReport> load;
    bool isLeaving = false; ///< The endpoint accepts no new requests any more.
    bool isWarmingUp = false; ///< The endpoint is cold and can handle few requests yet.
    /// Time for which this router must send the endpoint no request.
    std::optional<Base::Duration> backOffTime;
    /// For the answer of a peer: the endpoint that produced it; empty if none did.
    Base::EndpointId endpoint;
    /// For the answer of a peer: version of that endpoint's software. Unset if the peer does not
    /// tell.
    std::optional<SoftwareHash> software;
    RelayRefusal peerRefusal; ///< For the refusal of a peer.
    /// Names of the endpoint's headers whose values could not be decoded. They refer to constants.
    std::vector<std::string_view> undecodable;
};

/// Encodes requests to endpoints and decodes their answers. Provided by an adapter.
struct EndpointProtocol
{
    std::function<Http::Call(const Send &send)> makeCall;
    std::function<HeadFacts(const CallerRequest &request, int status, const Http::Headers &headers)>
        readHead;
};

/// The protocol between two routers of a fleet, one of which relays a request to the other.
struct RelayProtocol
{
    EndpointProtocol peer; ///< Calls to a peer and the heads of its answers.
    /// Adds the endpoint to the head of an answer to a relayed request.
    std::function<void(Http::Headers &headers, const Base::EndpointId &endpoint,
                       SoftwareHash software)>
        addEndpoint;
    /// Returns the head of a peer's answer without what is meant for this router only.
    std::function<Http::Headers(const Http::Headers &headers)> headersForCaller;
};

} // namespace Lagoonbank::Gateway
