#pragma once

#include <charconv>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Lagoonbank::Test {

/// An answer of the router that looks whole to a caller.
struct WholeAnswer
{
    int status = 0;
    std::string body;
};

/// Reads the bytes that a caller of HTTP/1.1 has received. Unset if the answer is not whole.
inline std::optional<WholeAnswer> readWholeAnswer(std::string_view bytes)
{
    const std::size_t headEnd = bytes.find("\r\n\r\n");
    if (headEnd == std::string_view::npos || bytes.size() < 12)
        return std::nullopt;
    const std::string_view head = bytes.substr(0, headEnd + 2);
    std::string_view rest = bytes.substr(headEnd + 4);
    const auto number = [](std::string_view text, int base) {
        std::size_t value = 0;
        std::from_chars(text.data(), text.data() + text.size(), value, base);
        return value;
    };
    WholeAnswer answer{.status = static_cast<int>(number(bytes.substr(9, 3), 10)), .body = {}};
    constexpr std::string_view lengthField = "Content-Length: ";
    if (const std::size_t at = head.find(lengthField); at != std::string_view::npos) {
        const std::size_t length = number(head.substr(at + lengthField.size()), 10);
        answer.body = rest;
        return rest.size() == length ? std::optional(answer) : std::nullopt;
    }
    for (std::size_t lineEnd = 0; (lineEnd = rest.find("\r\n")) != std::string_view::npos;) {
        const std::size_t size = number(rest.substr(0, lineEnd), 16);
        rest.remove_prefix(lineEnd + 2);
        if (size == 0)
            return rest == "\r\n" ? std::optional(answer) : std::nullopt;
        if (rest.size() < size + 2)
            return std::nullopt;
        answer.body += rest.substr(0, size);
        rest.remove_prefix(size + 2);
    }
    return std::nullopt;
}

} // namespace Lagoonbank::Test
