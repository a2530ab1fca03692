#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace Lagoonbank::Standins {

/// The first \a digits (16 at most) hexadecimal digits of XXH3 (64 bits) of \a text.
std::string hexHash(std::string_view text, std::size_t digits);

} // namespace Lagoonbank::Standins
