#pragma once

#include <cstdint>
#include <string_view>

namespace Lagoonbank::Http {

/// How the end of a message's body is marked.
enum class Framing : std::uint8_t {
    Length, ///< A known number of bytes, 0 for an empty body.
    Chunked,
    Connection ///< Ends with an orderly close of the connection.
};

constexpr std::string_view toString(Framing framing)
{
    switch (framing) {
    case Framing::Length:
        return "length";
    case Framing::Chunked:
        return "chunked";
    case Framing::Connection:
        break;
    }
    return "connection";
}

} // namespace Lagoonbank::Http
