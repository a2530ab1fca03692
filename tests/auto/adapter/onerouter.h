#pragma once

#include "auto/adapter/keyedstore.h"
#include "platform/routerprocess.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// An endpoint that answers all requests at once, with a status and headers set by the test.
struct Engine
{
    Lagoonbank::Test::RawListener listener;
    std::vector<std::unique_ptr<Lagoonbank::Test::RawSocket>> connections;
    std::string status = "200 OK";
    std::string extraHeaders;
    std::string framedBody = "Content-Length: 2\r\n\r\nok"; ///< With the end of the head.
    std::optional<std::size_t> cutAfter; ///< Bytes after which answers end early.
    bool resets = false; ///< Answers that end early end with a reset.
    int requests = 0;

    std::string answer(const std::string &id) const
    {
        return "HTTP/1.1 " + status + "\r\nLagoonbank-Attempt-Id: " + id + "\r\n" + extraHeaders
            + "Lagoonbank-Server-Seal: 3e\r\nConnection: close\r\n" + framedBody;
    }
    void work(const std::string &id)
    {
        for (int fd = listener.accept(); fd >= 0; fd = listener.accept())
            connections.push_back(std::make_unique<Lagoonbank::Test::RawSocket>(fd));
        std::erase_if(connections, [](const auto &one) { return one->isEnded(); });
        for (const auto &connection : connections) {
            if (!connection->has("attempt-id: " + id + "\r\n") || !connection->has("\r\n\r\n"))
                continue;
            ++requests;
            const std::string bytes = answer(id);
            connection->send(std::string_view(bytes).substr(0, cutAfter.value_or(bytes.size())));
            if (cutAfter && resets)
                connection->reset();
            else
                connection->finishSending();
        }
        std::erase_if(connections,
                      [&](const auto &one) { return one->has("attempt-id: " + id + "\r\n"); });
    }
};

/// A router with a store and with endpoints of service s.
struct OneRouter : Lagoonbank::Test::PausedLoop
{
    explicit OneRouter(std::size_t engineCount)
    {
        store.writeRoute();
        for (std::size_t i = 0; i < engineCount; ++i) {
            engines.push_back(std::make_unique<Engine>());
            write(i);
        }
        settings.vm = Lagoonbank::Base::VmId("edge-0");
        settings.dataCentre = Lagoonbank::Base::DataCentreId("dc0");
        settings.listenAddress = Lagoonbank::Test::freeAddress();
        settings.readyAddress = Lagoonbank::Test::freeAddress();
        settings.peerAddress = Lagoonbank::Test::freeAddress();
        settings.storeAddress = Lagoonbank::Runtime::toString(store.server.address());
        router = std::make_unique<Lagoonbank::Platform::RouterProcess>(loop, settings);
        BOOST_REQUIRE(router->start());
        pass(std::chrono::seconds(1));
    }
    /// Writes the entry of an engine.
    void write(std::size_t index, const KeyedStore::EndpointEntry &entry = {})
    {
        store.writeEndpoint("i-" + std::to_string(index), engines[index]->listener.address, entry);
    }
    std::string call(const std::string &path = "/p/1")
    {
        const std::string id = "a" + std::to_string(++calls);
        Lagoonbank::Test::RawSocket caller(
            Lagoonbank::Runtime::parseSocketAddress(settings.listenAddress).value());
        caller.send("GET " + path + " HTTP/1.1\r\nhost: h\r\nlagoonbank-attempt-id: " + id
                    + "\r\n\r\n");
        BOOST_REQUIRE(runUntil([&] {
            clock.advance(std::chrono::milliseconds(1));
            for (const auto &engine : engines)
                engine->work(id);
            return caller.has("\r\n\r\n");
        }));
        return caller.receive();
    }
    /// Sends calls until this endpoint has answered one.
    void reach(const Engine &engine)
    {
        const int before = engine.requests;
        for (int i = 0; i < 20 && engine.requests == before; ++i)
            call();
        BOOST_REQUIRE(engine.requests > before);
    }
    /// Sends \a count calls and returns how many of them reach the endpoint.
    int reaching(const Engine &engine, int count)
    {
        const int before = engine.requests;
        for (int i = 0; i < count; ++i)
            call();
        return engine.requests - before;
    }

    KeyedStore store{loop};
    std::vector<std::unique_ptr<Engine>> engines;
    Lagoonbank::Schema::GatewaySettings settings;
    std::unique_ptr<Lagoonbank::Platform::RouterProcess> router;
    int calls = 0;
};

/// Whether an answer as received by a caller contains the text.
inline bool has(const std::string &answer, std::string_view text)
{
    return answer.find(text) != std::string::npos;
}
