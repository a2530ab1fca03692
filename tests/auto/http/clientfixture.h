#pragma once

#include "loopback.h"

#include <array>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Lagoonbank::Http {

inline std::ostream &operator<<(std::ostream &stream, CallEnd end)
{
    constexpr std::array names{"Whole",    "NotConnected", "TurnedAway",
                               "TimedOut", "Broken",       "TooLarge"};
    return stream << names.at(static_cast<std::size_t>(end));
}

} // namespace Lagoonbank::Http

/// A client, and a server whose answers are written by the test.
struct ClientFixture : Lagoonbank::Test::PausedLoop
{
    ClientFixture()
        : client({.loop = &loop})
    { }

    Lagoonbank::Http::Call call(std::string method = "GET")
    {
        return {.server = listener.address, .method = std::move(method), .target = "/x?y=1"};
    }
    Lagoonbank::Http::Hooks hooks()
    {
        return {.sending = [this] { ++sendingCalls; },
                .finished =
                    [this](Lagoonbank::Http::CallResult result) {
                        results.push_back(std::move(result));
                    }};
    }
    Lagoonbank::Http::CallId start(Lagoonbank::Http::Call given)
    {
        return client.start(std::move(given), hooks());
    }
    Lagoonbank::Test::RawSocket accept()
    {
        int fd = -1;
        BOOST_REQUIRE(runUntil([&] { return (fd = listener.accept()) >= 0; }));
        return Lagoonbank::Test::RawSocket(fd);
    }
    /// Accepts a connection and waits for the head of the request on it.
    Lagoonbank::Test::RawSocket acceptRequest()
    {
        Lagoonbank::Test::RawSocket server = accept();
        BOOST_REQUIRE(runUntil([&] { return server.has("\r\n\r\n"); }));
        return server;
    }
    const Lagoonbank::Http::CallResult &finished(std::size_t count = 1)
    {
        BOOST_REQUIRE(runUntil([&] { return results.size() >= count; }));
        return results.back();
    }

    Lagoonbank::Test::RawListener listener;
    Lagoonbank::Http::Client client;
    std::vector<Lagoonbank::Http::CallResult> results;
    int sendingCalls = 0;
};

constexpr std::string_view completeAnswer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
