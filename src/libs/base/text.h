#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Lagoonbank::Base {

/// Without spaces and tabs at both ends.
inline std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

/// With the letters A to Z as small ones.
inline std::string lowered(std::string_view text)
{
    std::string lower(text);
    for (char &c : lower) {
        if (c >= 'A' && c <= 'Z')
            c = static_cast<char>(c - 'A' + 'a');
    }
    return lower;
}

/// The pieces of \a text between separators, trimmed; one piece for an empty text.
inline std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> pieces;
    while (true) {
        const std::size_t end = text.find(separator);
        pieces.push_back(trimmed(text.substr(0, end)));
        if (end == std::string_view::npos)
            return pieces;
        text.remove_prefix(end + 1);
    }
}

} // namespace Lagoonbank::Base
