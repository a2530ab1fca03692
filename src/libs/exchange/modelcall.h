#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "errors/result.h"
#include "http/server.h"

#include <optional>
#include <string>

namespace Lagoonbank::Exchange {

/// A caller's chat completion request, parsed and validated.
struct ModelCall
{
    Base::ModelId model;
    Base::ChatId chat; ///< Empty for a call that belongs to no chat.
    std::string prompt; ///< Roles and contents of the messages, joined by newlines.
    Base::Tokens promptTokens; ///< Number of words separated by white space.
    Base::Tokens maxTokens;
    bool stream = false;
    std::string priority; ///< Name of a priority of the contract; empty for its default.
};

/// Parses the body of POST /v1/chat/completions. Fails with BadRequest, which describes the error
/// and how to correct it.
Errors::Result<ModelCall> readModelCall(const Http::Request &request);

/// The caller's X-Deadline-Ms header, if there is one. Fails with BadRequest if it is not an
/// integer from 1 to the milliseconds of one day.
Errors::Result<std::optional<Base::Duration>> readDeadline(const Http::Headers &headers);

/// The key of an "Authorization: Bearer <key>" header. Fails with MissingKey if there is none.
Errors::Result<std::string> readBearerKey(const Http::Headers &headers);

/// The Idempotency-Key header, if there is one. Fails with BadRequest if it is empty or longer than
/// 200 characters.
Errors::Result<std::optional<Base::IdempotencyKey>>
readIdempotencyKey(const Http::Headers &headers);

} // namespace Lagoonbank::Exchange
