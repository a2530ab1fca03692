#pragma once

#include "fleet/route.h"

#include <chrono>
#include <sstream>
#include <string>
#include <string_view>

namespace Lagoonbank::Test {

/// A stream route that allows pauses of 250 ms between events.
inline Fleet::Route streamRoute(bool isResumable)
{
    return {.kind = Fleet::RouteKind::Stream,
            .maxEndpoints = 2,
            .timeout = std::chrono::seconds(10),
            .targetLatency = std::chrono::milliseconds(300),
            .maxEventGap = std::chrono::milliseconds(250),
            .isResumable = isResumable};
}

/// Head of the answer to the first request of a test.
constexpr std::string_view streamHead =
    "HTTP/1.1 200 OK\r\nx-id: r1\r\ntransfer-encoding: chunked\r\n\r\n";
constexpr std::string_view streamEnd = "0\r\n\r\n";
/// Head of an answer whose end is marked by the end of the connection only.
constexpr std::string_view unframedHead = "HTTP/1.1 200 OK\r\nx-id: r1\r\n\r\n";

inline std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
}

inline std::string chunk(std::string_view bytes)
{
    std::ostringstream text;
    text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return text.str();
}

} // namespace Lagoonbank::Test
