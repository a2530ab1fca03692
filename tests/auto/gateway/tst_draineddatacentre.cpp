/// The endpoints of a data centre that the operators drain get no new requests of any kind.
#define BOOST_TEST_MODULE tst_draineddatacentre
#include <boost/test/unit_test.hpp>

#include "auto/gateway/gatewayfixture.h"
#include "gateway/placement.h"

#include <string>

using namespace Lagoonbank;
using namespace Lagoonbank::Gateway;

namespace {

const Base::ServiceId service{"service"};
const Base::DataCentreId here{"here"};
const Base::DataCentreId there{"there"};
const Base::MonoTime start{std::chrono::hours(1)};

struct PlacementFixture
{
    /// Endpoints alternate between the two data centres.
    explicit PlacementFixture(int endpoints = 8)
    {
        for (int i = 0; i < endpoints; ++i)
            add("e" + std::to_string(i), i % 2 == 0 ? here : there);
    }
    void add(const std::string &id, const Base::DataCentreId &dataCentre)
    {
        Fleet::Endpoint endpoint{.id = Base::EndpointId(id), .service = service};
        endpoint.address = {"127.0.0.1", 80};
        endpoint.dataCentre = dataCentre;
        endpoint.slots = 6;
        registry.put(endpoint, now);
    }
    void suspect(int number)
    {
        const auto record = registry.find(Base::EndpointId("e" + std::to_string(number)));
        registry.suspicion().suspect(record->index, now);
    }
    PlacementResult choose(std::uint64_t affinity, bool mayRepeat = false)
    {
        return placement.choose({.service = service,
                                 .affinity = affinity,
                                 .targetLatency = std::chrono::milliseconds(300),
                                 .maxEventGap = std::chrono::milliseconds(250),
                                 .mayRepeat = mayRepeat},
                                registry, now);
    }
    /// Number of requests, one for each of 200 prompts, that are sent to the data centre.
    int chosenIn(const Base::DataCentreId &dataCentre, bool mayRepeat = false)
    {
        constexpr int prompts = 200;
        int count = 0;
        for (std::uint64_t prompt = 1; prompt <= prompts; ++prompt) {
            const PlacementResult result = choose(prompt * 7919, mayRepeat);
            count += result.endpoint && result.endpoint->info.dataCentre == dataCentre ? 1 : 0;
        }
        return count;
    }

    Base::MonoTime now = start;
    EndpointRegistry registry{{}};
    Placement placement{{}};
};

/// Two endpoints, each in a data centre of its own.
struct Fixture : GatewayFixture
{
    Fixture()
    {
        for (std::size_t i = 0; i < endpoints.size(); ++i) {
            gateway.endpoints().put({.id = Base::EndpointId("e" + std::to_string(i)),
                                     .service = service,
                                     .address = endpoints[i]->listener.address,
                                     .dataCentre = i == 0 ? here : there,
                                     .slots = 4},
                                    clock.now());
        }
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(promptsOfADrainedDataCentreGetOtherHomes)
{
    PlacementFixture f;
    BOOST_TEST(f.chosenIn(there) > 0);
    f.registry.setDrainedDataCentres({there}, f.now);
    BOOST_TEST(f.chosenIn(there) == 0);
    BOOST_TEST(f.chosenIn(here) == 200);
    f.registry.setDrainedDataCentres({}, f.now);
    BOOST_TEST(f.chosenIn(there) > 0);
}

BOOST_AUTO_TEST_CASE(endpointAddedDuringADrainGetsNoRequests)
{
    PlacementFixture f;
    f.registry.setDrainedDataCentres({there}, f.now);
    f.add("late", there);
    BOOST_TEST(f.chosenIn(there) == 0);
}

BOOST_AUTO_TEST_CASE(drainedEndpointsGetNoTrials)
{
    PlacementFixture f;
    for (int i = 1; i < 8; i += 2)
        f.suspect(i);
    f.now += std::chrono::seconds(10);
    f.registry.setDrainedDataCentres({there}, f.now);
    BOOST_TEST(f.chosenIn(there, true) == 0);
}

BOOST_AUTO_TEST_CASE(drainedEndpointsAreNoLastResort)
{
    PlacementFixture f;
    for (int i = 0; i < 8; ++i)
        f.suspect(i);
    f.registry.setDrainedDataCentres({here, there}, f.now);
    BOOST_TEST((f.choose(7919).endpoint == nullptr));
    f.registry.setDrainedDataCentres({there}, f.now);
    const PlacementResult result = f.choose(7919);
    BOOST_REQUIRE(result.endpoint);
    BOOST_TEST((result.endpoint->info.dataCentre == here));
}

BOOST_AUTO_TEST_CASE(requestIsRefusedAtOnceIfAllAreDrained)
{
    Fixture f;
    f.setRoute({.kind = Fleet::RouteKind::NonIdempotent,
                .timeout = std::chrono::seconds(2),
                .targetLatency = std::chrono::milliseconds(300)});
    f.gateway.setDrainedDataCentres({here, there});
    Test::RawSocket caller = f.call();
    BOOST_TEST(f.runUntil([&] { return caller.has("ran=no"); }));
    BOOST_TEST(caller.has("no_endpoint"));
    BOOST_TEST(f.requests() == 0U);
}

BOOST_AUTO_TEST_CASE(runningRequestsCompleteDuringADrain)
{
    Fixture f;
    f.setRoute({.kind = Fleet::RouteKind::NonIdempotent, .timeout = std::chrono::seconds(2)});
    f.gateway.setDrainedDataCentres({there});
    Test::RawSocket caller = f.call();
    FakeEndpoint &endpoint = f.awaitRequest();
    f.gateway.setDrainedDataCentres({here, there});
    endpoint.last().send("HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-length: 2\r\n\r\nok");
    BOOST_TEST(f.runUntil([&] { return caller.has("200 OK"); }));
}

BOOST_AUTO_TEST_CASE(retryGoesToAnotherDataCentre)
{
    Fixture f;
    f.setRoute({.kind = Fleet::RouteKind::Idempotent,
                .maxEndpoints = 2,
                .timeout = std::chrono::seconds(2),
                .targetLatency = std::chrono::milliseconds(300)});
    Test::RawSocket caller = f.call();
    FakeEndpoint &first = f.awaitRequest();
    const bool isHere = &first == f.endpoints[0].get();
    f.gateway.setDrainedDataCentres({isHere ? there : here});
    first.last().close();
    BOOST_TEST(f.runUntil([&] { return caller.has("\r\n\r\n"); }));
    const std::size_t elsewhere = f.endpoints[isHere ? 1 : 0]->requests();
    BOOST_TEST(elsewhere == 0U);
}
