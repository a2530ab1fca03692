#include "http/messagesyntax.h"

#include <charconv>

namespace Lagoonbank::Http::Internal {

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::string lowered(std::string_view text)
{
    std::string lower(text);
    for (char &c : lower) {
        if (c >= 'A' && c <= 'Z')
            c = static_cast<char>(c - 'A' + 'a');
    }
    return lower;
}

bool readNumber(std::string_view text, int base, std::uint64_t &number)
{
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number, base);
    return !text.empty() && error == std::errc() && stop == end;
}

bool readField(std::string_view line, Headers &headers)
{
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || headers.fields().size() >= maxFields)
        return false;
    const std::string_view name = line.substr(0, colon);
    const std::string_view value = trimmed(line.substr(colon + 1));
    if (!isSafeHeaderName(name) || !isSafeHeaderValue(value))
        return false;
    headers.add(name, value);
    return true;
}

bool holdsToken(std::string_view value, std::string_view token)
{
    while (!value.empty()) {
        const std::size_t comma = value.find(',');
        if (lowered(trimmed(value.substr(0, comma))) == token)
            return true;
        if (comma == std::string_view::npos)
            return false;
        value.remove_prefix(comma + 1);
    }
    return false;
}

} // namespace Lagoonbank::Http::Internal
