#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "errors/result.h"
#include "http/server.h"

#include <optional>
#include <string>

namespace Lagoonbank::Exchange {

/// A caller's chat completion request, read and checked.
struct ModelCall
{
    Base::ModelId model;
    Base::ChatId chat; ///< Empty for a call that belongs to no chat.
    std::string prompt; ///< Roles and contents of the messages, joined by newlines.
    Base::Tokens promptTokens; ///< Runs of characters between white space.
    Base::Tokens maxTokens;
    bool stream = false;
    std::string priority; ///< Name of a priority of the contract; empty for its default.
};

/// Reads the body of POST /v1/chat/completions; BadRequest says what is wrong and what would be
/// right.
Errors::Result<ModelCall> readModelCall(const Http::Request &request);

/// The caller's X-Deadline-Ms; BadRequest if it is no whole number from 1 to a day.
Errors::Result<std::optional<Base::Duration>> readDeadline(const Http::Headers &headers);

/// The key of an "Authorization: Bearer <key>" header; MissingKey if there is none.
Errors::Result<std::string> readBearerKey(const Http::Headers &headers);

/// The Idempotency-Key header, if there is one; BadRequest if it is empty or longer than 200
/// characters.
Errors::Result<std::optional<Base::IdempotencyKey>>
readIdempotencyKey(const Http::Headers &headers);

} // namespace Lagoonbank::Exchange
