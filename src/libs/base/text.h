#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Lagoonbank::Base {

/// Returns \a text without leading and trailing spaces and tabs.
inline std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

/// Returns \a text with the ASCII letters in lower case.
inline std::string lowered(std::string_view text)
{
    std::string lower(text);
    for (char &c : lower) {
        if (c >= 'A' && c <= 'Z')
            c = static_cast<char>(c - 'A' + 'a');
    }
    return lower;
}

/// Lets \a text hold \a bytes without more memory than that. std::string::reserve() would double
/// the memory of a string that is not empty.
inline void reserveExactly(std::string &text, std::size_t bytes)
{
    if (bytes <= text.capacity())
        return;
    std::string larger;
    larger.reserve(bytes);
    larger += text;
    text.swap(larger);
}

/// Splits \a text at \a separator and trims the parts; an empty text has one empty part.
inline std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    while (true) {
        const std::size_t end = text.find(separator);
        parts.push_back(trimmed(text.substr(0, end)));
        if (end == std::string_view::npos)
            return parts;
        text.remove_prefix(end + 1);
    }
}

} // namespace Lagoonbank::Base
