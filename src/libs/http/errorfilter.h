#pragma once

#include "errors/errorkind.h"

#include <h2o.h>

#include <string>

namespace Lagoonbank::Http::Internal {

/// Gives the answers that h2o makes itself (a body too large, say) the JSON body of the closed
/// error list.
void installErrorFilter(h2o_pathconf_t *path);
/// Tells the filter that our handler answers this request.
void markAsHandled(h2o_req_t *request);
/// A whole HTTP/1.1 answer for \a kind that closes the connection.
std::string rawErrorAnswer(Errors::ErrorKind kind, const std::string &requestId);

} // namespace Lagoonbank::Http::Internal
