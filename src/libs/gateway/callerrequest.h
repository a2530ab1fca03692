#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "errors/errorkind.h"
#include "gateway/softwareversions.h"
#include "http/headers.h"
#include "http/memorybudget.h"
#include "http/sharedbody.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Lagoonbank::Gateway {

/// A section of a prompt that many requests may share.
struct PromptPart
{
    std::uint64_t id = 0;
    Base::Tokens tokens;
};

/// Metadata of the prompt of a model request.
struct Prompt
{
    std::string model;
    Base::Tokens promptTokens;
    Base::Tokens maxOutput;
    /// Sections in prompt order. The last one is specific to this request or its chat.
    std::vector<PromptPart> parts;
};

/// What a router knows of a request that a peer relayed to it, as the peer cannot reach the
/// endpoints.
struct Relay
{
    int endpoints = 0; ///< Endpoints to which the peer had sent the request before.
    /// The version at which the stream that the request resumes must go on. Unset if the peer does
    /// not know it.
    std::optional<SoftwareHash> software;
};

/// A request of a caller, as decoded by the ingress.
struct CallerRequest
{
    Base::RequestId id; ///< Identifies this attempt of the caller.
    std::string method;
    std::string host;
    std::string path; ///< Without the query.
    std::string target; ///< Path and query, unmodified.
    Http::Headers headers; ///< Forwarded to the endpoint unchanged.
    Http::SharedBody body;
    std::shared_ptr<Http::MemoryUse> memory; ///< Of the body and the headers.
    std::optional<std::string> key; ///< Identifies the caller's workspace.
    /// When the bytes of the request arrived. If unset, the time at which it was read is used.
    std::optional<Base::MonoTime> arrivedAt;
    std::optional<Base::Duration> remainingTimeout; ///< Caller's timeout, counted from arrival.
    std::optional<std::uint64_t> resumeAfter; ///< Id of the last stream event that the caller has.
    /// The same if it is not a number. It is passed on unchanged.
    std::optional<std::string> unreadableEventId;
    /// The request that began the stream, if this one resumes it.
    std::optional<Base::RequestId> resumes;
    std::optional<Prompt> prompt;
    std::optional<Relay> relay; ///< Set if a peer relayed the request.
};

/// What a refusal tells the peer that relayed the request.
struct RelayRefusal
{
    int sends = 0; ///< Number of endpoints that received the request.
    /// This router reaches no endpoint of the service either, or few that are full.
    bool hasNoEndpoint = false;
    /// Ids of some routers that reach endpoints of the service; empty if none are known.
    std::vector<std::string> reachingPeers;
};

/// The reason why a request is refused instead of answered by an endpoint.
struct Refusal
{
    Errors::ErrorKind kind = Errors::ErrorKind::Internal;
    Errors::Ran ran = Errors::Ran::No;
    std::optional<Base::Duration> retryAfter; ///< Time after which the caller may retry.
    std::optional<RelayRefusal> forPeer; ///< Set if a peer relayed the request.
};

} // namespace Lagoonbank::Gateway
