#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace Lagoonbank::Base {

/// Parses all of \a text as a decimal number; nullopt if it is none or does not fit \a Number.
template<typename Number>
std::optional<Number> parseNumber(std::string_view text)
{
    Number number{};
    const char *const end = text.data() + text.size();
    const auto [parsedEnd, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc() || parsedEnd != end)
        return std::nullopt;
    return number;
}

} // namespace Lagoonbank::Base
