#pragma once

#include "auto/adapter/keyedstore.h"
#include "platform/routerprocess.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Lagoonbank::Test {

/// Several routers with a store, in front of endpoints that crash when they begin to answer certain
/// requests.
struct RouterFleet : PausedLoop
{
    /// An endpoint of service s.
    struct Engine
    {
        std::string id;
        RawListener listener;
        std::vector<std::unique_ptr<RawSocket>> connections;
    };

    explicit RouterFleet(int routerCount, const std::string &routeKind = "idempotent")
    {
        store.writeRoute(7, "/p/", routeKind);
        for (int i = 0; i < engineCount; ++i)
            addEngine();
        for (int i = 0; i < routerCount; ++i)
            start(i);
        BOOST_REQUIRE(isReady());
    }
    void addEngine()
    {
        engines.push_back(std::make_unique<Engine>());
        engines.back()->id = "i-" + std::to_string(++lastEngine);
        store.writeEndpoint(engines.back()->id, engines.back()->listener.address, {});
    }
    /// Removes the entries of crashed endpoints from the store, which does so after a while.
    void expireCrashed()
    {
        for (const std::string &id : std::exchange(crashedIds, {}))
            store.write("keyed.servers", id, {});
    }
    void start(int index)
    {
        Schema::GatewaySettings &settings = settingsOf[index];
        settings.vm = Base::VmId("edge-" + std::to_string(index));
        settings.dataCentre = Base::DataCentreId("dc0");
        settings.listenAddress = freeAddress();
        settings.readyAddress = freeAddress();
        settings.peerAddress = freeAddress();
        settings.storeAddress = Runtime::toString(store.server.address());
        run(index);
    }
    /// Kills a router and starts it again at the same addresses.
    void restart(int index)
    {
        routers.at(index).reset();
        run(index);
    }
    bool isReady()
    {
        pass(std::chrono::seconds(1));
        for (const auto &[index, settings] : settingsOf) {
            RawSocket balancer(Runtime::parseSocketAddress(settings.readyAddress).value());
            balancer.send("GET /v1/readiness HTTP/1.1\r\nhost: a\r\n\r\n");
            if (!runUntil([&] { return balancer.has("HTTP/1.1 200"); }))
                return false;
        }
        return true;
    }
    /// Sends one attempt through a router and returns the answer.
    std::string attempt(int router, const std::string &path = "/p/1",
                        const std::string &headers = {})
    {
        RawSocket caller(Runtime::parseSocketAddress(settingsOf.at(router).listenAddress).value());
        caller.send("GET " + path + " HTTP/1.1\r\nhost: h\r\nlagoonbank-attempt-id: a"
                    + std::to_string(++attempts) + "\r\n" + headers + "\r\n");
        BOOST_REQUIRE(runUntil([&] {
            clock.advance(std::chrono::milliseconds(1));
            runEngines();
            return caller.has("\r\n\r\n");
        }));
        pass(afterAttempt);
        return caller.receive();
    }

    static constexpr int engineCount = 24;
    /// Time that passes after each attempt. Crashes are detected and shared within 200 ms.
    Base::Duration afterAttempt = std::chrono::milliseconds(200);
    /// Whether a request crashes the endpoint that begins to answer it. The others are answered.
    std::function<bool(const std::string &request)> crashesOn = [](const std::string &) {
        return true;
    };
    KeyedStore store{loop};
    std::vector<std::unique_ptr<Engine>> engines;
    std::map<int, Schema::GatewaySettings> settingsOf;
    std::map<int, std::unique_ptr<Platform::RouterProcess>> routers;
    std::vector<std::string> crashedIds;
    int lastEngine = 0;
    int attempts = 0;
    int crashes = 0;

private:
    void run(int index)
    {
        routers[index] = std::make_unique<Platform::RouterProcess>(loop, settingsOf.at(index));
        BOOST_REQUIRE(routers[index]->start());
    }
    void runEngines()
    {
        crashes += static_cast<int>(std::erase_if(engines, [this](const auto &engine) {
            const bool hasCrashed = !work(*engine);
            if (hasCrashed)
                crashedIds.push_back(engine->id);
            return hasCrashed;
        }));
    }
    /// Answers the requests that have arrived at an endpoint. False if it has crashed.
    bool work(Engine &engine)
    {
        for (int fd = engine.listener.accept(); fd >= 0; fd = engine.listener.accept())
            engine.connections.push_back(std::make_unique<RawSocket>(fd));
        std::erase_if(engine.connections, [](const auto &one) { return one->isEnded(); });
        for (const auto &connection : engine.connections) {
            if (!connection->has("\r\n\r\n"))
                continue;
            if (crashesOn(connection->receive()))
                return false;
            answer(*connection);
        }
        std::erase_if(engine.connections, [](const auto &one) { return one->has("\r\n\r\n"); });
        return true;
    }
    static void answer(RawSocket &connection)
    {
        const std::string &request = connection.receive();
        const std::string name = "attempt-id: ";
        const std::size_t begin = request.find(name) + name.size();
        const std::string id = request.substr(begin, request.find('\r', begin) - begin);
        connection.send("HTTP/1.1 200 OK\r\nLagoonbank-Attempt-Id: " + id
                        + "\r\nLagoonbank-Server-Seal: 3e\r\nConnection: close\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n"
                          "d\r\nid: 1\ndata:\n\n\r\nd\r\nid: 2\ndata:\n\n\r\n0\r\n\r\n");
        connection.finishSending();
    }
};

} // namespace Lagoonbank::Test
