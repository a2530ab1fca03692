#include "schema/textformat.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <numeric>

namespace Lagoonbank::Schema {

namespace {

constexpr std::size_t maxNameLength = 128;
constexpr std::size_t sha256Length = 64;
constexpr int maxPort = 65535;

bool isNameCharacter(char c)
{
    const bool isLetter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    const bool isDigit = c >= '0' && c <= '9';
    return isLetter || isDigit || c == '-' || c == '_' || c == '.';
}

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= maxNameLength
        && std::ranges::all_of(text, isNameCharacter);
}

bool isSha256(std::string_view text)
{
    return text.size() == sha256Length && std::ranges::all_of(text, [](char c) {
               return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
           });
}

bool isPort(std::string_view text)
{
    int port = -1;
    const char *end = text.data() + text.size();
    const std::from_chars_result result = std::from_chars(text.data(), end, port);
    return result.ec == std::errc() && result.ptr == end && port >= 0 && port <= maxPort;
}

bool isIp(int family, std::string_view text)
{
    in6_addr address{};
    return inet_pton(family, std::string(text).c_str(), &address) == 1;
}

bool isAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || !isPort(text.substr(colon + 1)))
        return false;
    const std::string_view host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        return isIp(AF_INET6, host.substr(1, host.size() - 2));
    return isIp(AF_INET, host);
}

std::size_t editDistance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> distances(b.size() + 1);
    std::iota(distances.begin(), distances.end(), 0);
    for (std::size_t i = 0; i < a.size(); ++i) {
        std::size_t diagonal = distances[0];
        distances[0] = i + 1;
        for (std::size_t j = 0; j < b.size(); ++j) {
            const std::size_t substituted = diagonal + (a[i] == b[j] ? 0 : 1);
            diagonal = distances[j + 1];
            distances[j + 1] = std::min({substituted, distances[j] + 1, distances[j + 1] + 1});
        }
    }
    return distances.back();
}

} // namespace

bool hasFormat(std::string_view text, TextFormat format)
{
    switch (format) {
    case TextFormat::Any:
        return true;
    case TextFormat::Name:
        return isName(text);
    case TextFormat::Address:
        return isAddress(text);
    case TextFormat::Sha256:
        return isSha256(text);
    case TextFormat::PathPrefix:
        return text.starts_with('/');
    }
    return false;
}

std::string_view describe(TextFormat format)
{
    switch (format) {
    case TextFormat::Any:
        break;
    case TextFormat::Name:
        return "a name; give 1 to 128 letters, digits, '-', '_' or '.'";
    case TextFormat::Address:
        return "an address; give ip:port, such as 127.0.0.1:8080 or [::1]:8080";
    case TextFormat::Sha256:
        return "a SHA-256 hash; give 64 lower-case hexadecimal digits";
    case TextFormat::PathPrefix:
        return "a path; give a text that begins with '/'";
    }
    return "a text; give a text";
}

std::optional<std::string_view> nearestName(std::string_view wrong,
                                            const std::vector<std::string_view> &names)
{
    constexpr std::size_t maxComparedLength = 64;
    if (wrong.size() > maxComparedLength)
        return std::nullopt;
    std::size_t smallestDistance = std::max<std::size_t>(1, wrong.size() / 3) + 1;
    std::optional<std::string_view> nearest;
    for (const std::string_view name : names) {
        const std::size_t distance = editDistance(wrong, name);
        if (distance < smallestDistance) {
            smallestDistance = distance;
            nearest = name;
        }
    }
    return nearest;
}

} // namespace Lagoonbank::Schema
