#pragma once

#include "auto/gateway/gatewayfixture.h"

#include <memory>
#include <string>
#include <vector>

/// A router that can connect to none of its endpoints, and its peers.
struct Partition : GatewayFixture
{
    explicit Partition(RouteKind kind = RouteKind::Idempotent, int peerCount = 2)
    {
        setRoute({.name = "r",
                  .kind = kind,
                  .maxEndpoints = 2,
                  .timeout = std::chrono::milliseconds(800),
                  .targetLatency = std::chrono::milliseconds(400)});
        setUnreachable(true);
        std::vector<Lagoonbank::Gateway::PeerRouter> known;
        for (int i = 0; i < peerCount; ++i) {
            peers.push_back(std::make_unique<FakeEndpoint>());
            known.push_back({.id = Lagoonbank::Base::VmId("router-" + std::to_string(i)),
                             .dataCentre = Lagoonbank::Base::DataCentreId("dc"),
                             .address = peers.back()->listener.address});
        }
        gateway.setPeerRouters(known);
    }
    void setUnreachable(bool isUnreachable)
    {
        for (std::size_t i = 0; i < endpoints.size(); ++i)
            record(i).isUnreachable = isUnreachable;
    }
    Lagoonbank::Gateway::EndpointRecord &record(std::size_t index)
    {
        return *gateway.endpoints().find(Lagoonbank::Base::EndpointId("e" + std::to_string(index)));
    }
    std::size_t relayed()
    {
        std::size_t count = 0;
        for (const auto &peer : peers)
            count += peer->requests();
        return count;
    }
    /// Waits until \a count requests have been relayed. Returns the peer that got the last one.
    FakeEndpoint &awaitRelayed(std::size_t count = 1)
    {
        FakeEndpoint *last = nullptr;
        std::vector<std::size_t> before;
        for (const auto &peer : peers)
            before.push_back(peer->requests());
        BOOST_REQUIRE(runUntil([&] {
            clock.advance(std::chrono::milliseconds(1));
            return relayed() >= count;
        }));
        for (std::size_t i = 0; i < peers.size(); ++i) {
            const bool hasLast = peers[i]->requests() > before[i] || (count == 1 && !last);
            if (hasLast && peers[i]->requests() > 0)
                last = peers[i].get();
        }
        BOOST_REQUIRE(last);
        return *last;
    }

    std::vector<std::unique_ptr<FakeEndpoint>> peers;
};
