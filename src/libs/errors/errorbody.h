#pragma once

#include "errors/errorkind.h"

#include <string>
#include <string_view>

namespace Lagoonbank::Errors {

/// JSON body of an error answer, `{"error": {...}}`; \a requestId may be empty.
std::string errorBody(ErrorKind kind, Ran ran, std::string_view requestId = {});

} // namespace Lagoonbank::Errors
