#pragma once

#include <charconv>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace Lagoonbank::Experiment::Internal {

/// Parts between \a separator; empty ones are left out.
std::vector<std::string_view> splitParts(std::string_view text, char separator);
/// Without white space at both ends.
std::string_view trimmed(std::string_view text);

/// The whole text as a number.
template<typename Number>
std::optional<Number> toNumber(std::string_view text)
{
    Number value{};
    const auto end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    if (result.ec != std::errc() || result.ptr != end)
        return std::nullopt;
    return value;
}

/// All parts as one text.
template<typename... Parts>
std::string joined(const Parts &...parts)
{
    std::ostringstream stream;
    (stream << ... << parts);
    return stream.str();
}

} // namespace Lagoonbank::Experiment::Internal
