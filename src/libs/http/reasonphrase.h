#pragma once

namespace Lagoonbank::Http::Internal {

/// Standard reason phrase of \a status, in static storage.
const char *reasonPhrase(int status);

} // namespace Lagoonbank::Http::Internal
