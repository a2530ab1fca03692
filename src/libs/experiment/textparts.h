#pragma once

#include <charconv>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace Lagoonbank::Experiment::Internal {

/// Splits \a text at each \a separator; empty parts are skipped.
std::vector<std::string_view> splitParts(std::string_view text, char separator);
/// \a text without leading and trailing white space.
std::string_view trimmed(std::string_view text);

/// Parses \a text as a number; no value if anything else follows or precedes it.
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

/// Concatenates the values with the stream operator.
template<typename... Parts>
std::string joined(const Parts &...parts)
{
    std::ostringstream stream;
    (stream << ... << parts);
    return stream.str();
}

} // namespace Lagoonbank::Experiment::Internal
