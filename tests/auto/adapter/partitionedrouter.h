#pragma once

#include "auto/adapter/onerouter.h"
#include "auto/gateway/wholeanswer.h"

#include <array>
#include <memory>
#include <string>

/// Two routers of one fleet, the first of which, or both, can connect to no endpoint. Each reads a
/// store of its own; the entries are the same but for the endpoints' addresses, at which nothing
/// listens for a partitioned router.
struct PartitionedRouter : Lagoonbank::Test::PausedLoop
{
    static constexpr std::size_t engineCount = 3;

    explicit PartitionedRouter(bool isPeerPartitioned = false)
    {
        for (std::size_t i = 0; i < routers.size(); ++i) {
            settings[i].vm = Lagoonbank::Base::VmId("edge-" + std::to_string(i));
            settings[i].dataCentre = Lagoonbank::Base::DataCentreId("dc0");
            settings[i].listenAddress = Lagoonbank::Test::freeAddress();
            settings[i].readyAddress = Lagoonbank::Test::freeAddress();
            settings[i].peerAddress = Lagoonbank::Test::freeAddress();
            settings[i].storeAddress = Lagoonbank::Runtime::toString(stores[i].server.address());
        }
        for (KeyedStore &store : stores) {
            store.writeRoute();
            for (const Lagoonbank::Schema::GatewaySettings &router : settings) {
                store.write("keyed.lagoonbank-routers", router.vm.value(),
                            "dc0 " + router.peerAddress + " 0");
            }
        }
        for (std::size_t i = 0; i < engineCount; ++i) {
            const std::string id = "i-" + std::to_string(i);
            const auto closed =
                Lagoonbank::Runtime::parseSocketAddress(Lagoonbank::Test::freeAddress()).value();
            stores[0].writeEndpoint(id, closed, {});
            stores[1].writeEndpoint(id, isPeerPartitioned ? closed : engines[i].listener.address,
                                    {});
        }
        for (std::size_t i = 0; i < routers.size(); ++i) {
            routers[i] = std::make_unique<Lagoonbank::Platform::RouterProcess>(loop, settings[i]);
            BOOST_REQUIRE(routers[i]->start());
        }
        pass(std::chrono::seconds(2));
    }
    /// Whether the caller has a whole answer, or will get no more of it.
    static bool isReceived(Lagoonbank::Test::RawSocket &caller)
    {
        return caller.isEnded() || Lagoonbank::Test::readWholeAnswer(caller.receive());
    }
    /// Sends a request to a router and returns the answer.
    std::string call(std::size_t router, const std::string &headers = {})
    {
        const std::string id = "a" + std::to_string(++calls);
        Lagoonbank::Test::RawSocket caller(
            Lagoonbank::Runtime::parseSocketAddress(settings[router].listenAddress).value());
        caller.send("GET /p/" + std::to_string(calls)
                    + " HTTP/1.1\r\nhost: h\r\nlagoonbank-attempt-id: " + id + "\r\n" + headers
                    + "\r\n");
        BOOST_REQUIRE(runUntil([&] {
            clock.advance(std::chrono::milliseconds(1));
            for (Engine &engine : engines)
                engine.work(id);
            return isReceived(caller);
        }));
        return caller.receive();
    }

    std::array<KeyedStore, 2> stores{KeyedStore(loop), KeyedStore(loop)};
    std::array<Engine, engineCount> engines;
    std::array<Lagoonbank::Schema::GatewaySettings, 2> settings;
    std::array<std::unique_ptr<Lagoonbank::Platform::RouterProcess>, 2> routers;
    int calls = 0;
};
