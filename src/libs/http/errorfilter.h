#pragma once

#include "base/units.h"
#include "errors/errorkind.h"

#include <h2o.h>

#include <optional>
#include <string>

namespace Lagoonbank::Http::Internal {

/// Gives answers that h2o generates itself, such as for a body that is too large, the JSON body of
/// the matching error kind.
void installErrorFilter(h2o_pathconf_t *path);
/// Marks \a request as answered by the handler, so that the filter leaves its answer unchanged.
void markAsHandled(h2o_req_t *request);
/// Complete HTTP/1.1 answer for \a kind, including the head, that closes the connection. \a
/// retryAfter is rounded up to seconds.
std::string rawErrorAnswer(Errors::ErrorKind kind, const std::string &requestId,
                           std::optional<Base::Duration> retryAfter = std::nullopt);

} // namespace Lagoonbank::Http::Internal
