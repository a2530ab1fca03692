#include "http/messagesyntax.h"

#include <algorithm>
#include <charconv>
#include <vector>

namespace Lagoonbank::Http::Internal {

bool readNumber(std::string_view text, int base, std::uint64_t &number)
{
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number, base);
    return !text.empty() && error == std::errc() && stop == end;
}

bool readField(std::string_view line, Headers &headers)
{
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || headers.fields().size() >= maxHeaderFields)
        return false;
    const std::string_view name = line.substr(0, colon);
    const std::string_view value = trimmed(line.substr(colon + 1));
    if (!isSafeHeaderName(name) || !isSafeHeaderValue(value))
        return false;
    headers.add(name, value);
    return true;
}

bool readHeadLines(std::string_view head,
                   const std::function<bool(std::string_view line)> &readFirst, Headers &headers)
{
    bool isFirst = true;
    while (!head.empty()) {
        const std::size_t length = head.find(lineEnd);
        const std::string_view line = head.substr(0, length);
        head.remove_prefix(length + lineEnd.size());
        if (!(isFirst ? readFirst(line) : readField(line, headers)))
            return false;
        isFirst = false;
    }
    return true;
}

bool hasNoBody(int status)
{
    return status == 204 || status == 304;
}

bool containsToken(std::string_view value, std::string_view token)
{
    const std::vector<std::string_view> pieces = Base::split(value, ',');
    return std::any_of(pieces.begin(), pieces.end(),
                       [token](std::string_view piece) { return lowered(piece) == token; });
}

} // namespace Lagoonbank::Http::Internal
