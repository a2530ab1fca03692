#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "errors/errorkind.h"
#include "http/headers.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Lagoonbank::Gateway {

/// A piece of a prompt that many requests may share.
struct PromptPart
{
    std::uint64_t id = 0;
    Base::Tokens tokens;
};

/// What a request for a model tells of its prompt.
struct Prompt
{
    std::string model;
    Base::Tokens promptTokens;
    Base::Tokens maxOutput;
    /// In the order of the prompt; the last one belongs to this request or its chat alone.
    std::vector<PromptPart> parts;
};

/// One call of a caller, as a front has decoded it.
struct CallerRequest
{
    Base::RequestId id; ///< Of this attempt of the caller.
    std::string method;
    std::string host;
    std::string path; ///< Without the query.
    std::string target; ///< Path and query, as they came.
    Http::Headers headers; ///< That go on to the endpoint as they are.
    std::string body;
    std::optional<std::string> key; ///< That names the caller's workspace.
    std::optional<Base::MonoTime> cameAt; ///< When its bytes came; when it was read if not given.
    std::optional<Base::Duration> patience; ///< How long the caller will wait, from its arrival.
    std::optional<std::uint64_t> resumeAfter; ///< The last event that the caller has of a stream.
    std::optional<Prompt> prompt;
};

/// Why a request is not answered by an endpoint.
struct Refusal
{
    Errors::ErrorKind kind = Errors::ErrorKind::Internal;
    Errors::Ran ran = Errors::Ran::No;
    std::optional<Base::Duration> retryAfter; ///< When the caller may come back.
};

} // namespace Lagoonbank::Gateway
