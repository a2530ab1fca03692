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

/// What a caller is told when a request is refused or fails.
struct Refusal
{
    Errors::Error error;
    std::optional<Base::Duration> retryAfter; ///< When asking again can help.
    std::string limit; ///< Name of the limit that refused it; empty if none did.
    std::string contractLine; ///< "file:line" of that limit.
};

/// The JSON body of a refusal; the same object ends a broken stream.
std::string refusalBody(const Refusal &refusal, const Base::RequestId &request);
/// Its headers besides X-Request-Id: content type and Retry-After in whole seconds, rounded up.
Http::Headers refusalHeaders(const Refusal &refusal);

/// Body of an unstreamed chat answer.
std::string completionBody(const Base::RequestId &request, const Base::ModelId &model,
                           std::string_view text, const StreamDone &done);
/// One event of a streamed chat answer that carries \a text.
std::string completionChunk(const Base::RequestId &request, const Base::ModelId &model,
                            std::string_view text);
/// The last events of a whole streamed chat answer.
std::string completionEnd(const Base::RequestId &request, const Base::ModelId &model,
                          const StreamDone &done);

} // namespace Lagoonbank::Exchange
