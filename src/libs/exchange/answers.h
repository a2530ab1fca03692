#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "errors/result.h"
#include "exchange/eventstream.h"
#include "http/headers.h"

#include <optional>
#include <string>
#include <string_view>

namespace Lagoonbank::Exchange {

/// An error that is reported to the caller when a request is refused or fails.
struct Refusal
{
    Errors::Error error;
    std::optional<Base::Duration> retryAfter; ///< Delay after which a retry can succeed, if any.
    std::string limit; ///< Name of the limit that was exceeded; empty if none was.
    std::string contractLine; ///< "file:line" where the contract sets that limit.
};

/// The JSON body of a refusal. A broken stream ends with the same object.
std::string refusalBody(const Refusal &refusal, const Base::RequestId &request);
/// The headers of a refusal besides X-Request-Id: content type and Retry-After in whole
/// seconds, rounded up.
Http::Headers refusalHeaders(const Refusal &refusal);

/// The body of a chat answer that is not streamed.
std::string completionBody(const Base::RequestId &request, const Base::ModelId &model,
                           std::string_view text, const StreamDone &done);
/// One event of a streamed chat answer, with \a text as its content.
std::string completionChunk(const Base::RequestId &request, const Base::ModelId &model,
                            std::string_view text);
/// The events that end a complete streamed chat answer.
std::string completionEnd(const Base::RequestId &request, const Base::ModelId &model,
                          const StreamDone &done);

} // namespace Lagoonbank::Exchange
