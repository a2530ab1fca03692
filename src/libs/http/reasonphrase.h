#pragma once

namespace Lagoonbank::Http::Internal {

/// The standard reason phrase of \a status; static storage.
const char *reasonPhrase(int status);

} // namespace Lagoonbank::Http::Internal
