#pragma once

#include "loopback.h"

#include "http/server.h"

#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

namespace Lagoonbank::Test {

/// A server on a manual clock that records the requests it receives.
struct ServerFixture : PausedLoop
{
    explicit ServerFixture(bool halfCloseMeansDisconnect = false,
                           std::size_t maxConnections = std::numeric_limits<std::size_t>::max())
    {
        const Http::Server::Limits limits{
            .headBytes = 2000, .bodyBytes = 1000, .requestTimeout = std::chrono::seconds(10)};
        server = std::make_unique<Http::Server>(
            Http::Server::Options{.loop = &loop,
                                  .address = {"127.0.0.1", 0},
                                  .limits = limits,
                                  .halfCloseMeansDisconnect = halfCloseMeansDisconnect,
                                  .maxConnections = maxConnections,
                                  .disconnectedUnread = [this] { ++disconnectedUnread; }});
        server->setHandler(
            [this](Http::Request request, const std::shared_ptr<Http::Responder> &responder) {
                requests.push_back(std::move(request));
                responders.push_back(responder);
                responder->setDisconnectHandler([this] { ++disconnects; });
                if (requestHook)
                    requestHook(*responder);
                if (answersAtOnce)
                    responder->send(200, {{"x-a", "b"}}, "answer " + requests.back().path);
            });
        BOOST_REQUIRE(server->listen());
    }

    RawSocket connect() { return RawSocket(server->address()); }
    Http::Responder &awaitRequest(std::size_t count = 1)
    {
        BOOST_REQUIRE(runUntil([&] { return responders.size() >= count; }));
        return *responders.back();
    }
    /// Checks that the server still answers requests.
    void expectStillServes()
    {
        answersAtOnce = true;
        RawSocket next = connect();
        next.send("GET /next HTTP/1.1\r\nhost: a\r\n\r\n");
        BOOST_TEST(runUntil([&] { return next.has("answer /next"); }));
    }

    std::unique_ptr<Http::Server> server;
    std::vector<Http::Request> requests;
    std::vector<std::shared_ptr<Http::Responder>> responders;
    int disconnects = 0;
    int disconnectedUnread = 0;
    std::function<void(Http::Responder &responder)> requestHook; ///< Called for each request.
    bool answersAtOnce = true;
};

constexpr std::string_view get = "GET /p?q=1 HTTP/1.1\r\nhost: a\r\nX-Thing: 7\r\n\r\n";

} // namespace Lagoonbank::Test
