#pragma once

#include "errors/result.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace Lagoonbank::Schema {

/// In zlib's format. At its quickest level a text of 4,200 routes becomes a thirteenth as
/// long.
std::string compress(std::string_view text);

/// The reverse; BadMessage for what is not whole or is longer than \a mostBytes.
Errors::Result<std::string> decompress(std::string_view packed, std::size_t mostBytes);

} // namespace Lagoonbank::Schema
