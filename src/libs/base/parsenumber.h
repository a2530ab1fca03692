#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace Lagoonbank::Base {

/// The whole of \a text as a decimal number that fits \a Number; nothing otherwise.
template<typename Number>
std::optional<Number> parseNumber(std::string_view text)
{
    Number number{};
    const char *const end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc() || rest != end)
        return std::nullopt;
    return number;
}

} // namespace Lagoonbank::Base
