#pragma once

#include "base/ids.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Lagoonbank::Standins {

/// The first 8 hexadecimal digits of XXH3 (64 bits) of the request id.
std::string shortHash(const Base::RequestId &requestId);
/// Text of token \a index in the answer to the request with the short hash \a requestHash, in the
/// form "<hash>-<index> ".
std::string tokenText(std::string_view requestHash, std::int64_t index);

} // namespace Lagoonbank::Standins
