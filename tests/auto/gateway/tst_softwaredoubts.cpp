#define BOOST_TEST_MODULE tst_softwaredoubts
#include "auto/gateway/gatewayfixture.h"
#include "auto/gateway/streamanswers.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

using namespace Lagoonbank;
using Lagoonbank::Test::chunk;
using Lagoonbank::Test::event;
using Lagoonbank::Test::RawListener;
using Lagoonbank::Test::RawSocket;
using Lagoonbank::Test::streamEnd;
using Lagoonbank::Test::streamHead;
using Lagoonbank::Test::streamRoute;
using std::chrono::milliseconds;

// Guards against streams with events of two software versions as an endpoint starts again under its
// id and address, at another version, and its entry says so only later.

namespace {

/// Endpoints of one version.
struct Fixture : GatewayFixture
{
    explicit Fixture(int endpointCount)
        : GatewayFixture(endpointCount)
    {
        for (std::size_t i = 0; i < endpoints.size(); ++i)
            putEndpoint(i, "v1");
        setRoute(streamRoute(true));
    }
    /// Closes all connections and the port of an endpoint.
    void kill(std::size_t index)
    {
        address = endpoints[index]->listener.address;
        handledRequests.erase(endpoints[index].get());
        endpoints[index].reset();
    }
    /// Starts the endpoint again that was killed last.
    void restart(std::size_t index)
    {
        endpoints[index].reset(
            new FakeEndpoint{.listener = RawListener(address.port), .connections = {}});
    }
    /// Lets the time pass in which the router finds out that an endpoint accepts connections.
    void awaitReachability() { pass(milliseconds(600)); }
    Gateway::EndpointRecord &record(std::size_t index)
    {
        return *gateway.endpoints().find(Base::EndpointId("e" + std::to_string(index)));
    }
    Gateway::SoftwareHash version(const std::string &name)
    {
        Fleet::Endpoint endpoint = record(0).info;
        endpoint.softwareVersion = name;
        return Gateway::softwareHash(endpoint);
    }
    bool isCertain(std::size_t index) { return !record(index).softwareDoubt; }

    Runtime::SocketAddress address; ///< Of the endpoint that was killed last.
};

/// A stream whose endpoint has ended for good, and another endpoint that has started again.
struct BrokenStream : Fixture
{
    BrokenStream()
        : Fixture(2)
    {
        caller.emplace(call());
        FakeEndpoint &serving = awaitRequest();
        const std::size_t first = endpoints[0].get() == &serving ? 0 : 1;
        other = 1 - first;
        serving.last().send(std::string(streamHead) + chunk(event(1) + event(2)));
        BOOST_REQUIRE(runUntil([&] { return caller->has("e2"); }));
        kill(other);
        serving.last().close();
        BOOST_REQUIRE(runUntil([&] { return record(other).isUnreachable; }));
        restart(other);
        awaitReachability();
        BOOST_REQUIRE(!record(other).isUnreachable);
    }

    std::optional<RawSocket> caller;
    std::size_t other = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(streamDoesNotGoOnAtARestartedEndpoint)
{
    BrokenStream f;
    BOOST_TEST(!f.isCertain(f.other));
    BOOST_TEST(f.endpoints[f.other]->requests() == 0U);
    BOOST_TEST(!f.caller->isEnded());
    f.putEndpoint(f.other, "v2");
    BOOST_TEST(f.isCertain(f.other));
    f.awaitReachability();
    BOOST_TEST(f.endpoints[f.other]->requests() == 0U);
    BOOST_TEST(f.caller->isEnded());
    BOOST_TEST(!f.caller->has("\r\n0\r\n\r\n"));
}

/// The endpoint was unreachable, but its process has lived on.
BOOST_AUTO_TEST_CASE(streamGoesOnAtAnEndpointThatWritesItsEntryAgain)
{
    BrokenStream f;
    for (int i = 0; i < 2; ++i) {
        BOOST_TEST(f.endpoints[f.other]->requests() == 0U);
        f.gateway.endpoints().entryRenewed(f.record(f.other).info.id, f.clock.now());
        f.pass(milliseconds(500));
    }
    BOOST_TEST(f.isCertain(f.other));
    BOOST_REQUIRE(f.runUntil([&] { return f.endpoints[f.other]->requests() == 1U; }));
    BOOST_TEST(f.endpoints[f.other]->last().has("x-resume: 2"));
    f.endpoints[f.other]->last().send(std::string(streamHead) + chunk(event(3))
                                      + std::string(streamEnd));
    BOOST_TEST(f.runUntil([&] { return f.caller->has("\r\n0\r\n\r\n"); }));
}

BOOST_AUTO_TEST_CASE(streamsThatBeginAtARestartedEndpointAreOfItsNewVersion)
{
    Fixture f(1);
    f.kill(0);
    f.endpoints.clear();
    RawSocket refused = f.call();
    BOOST_REQUIRE(f.runUntil([&] { return refused.has("503"); }));
    f.endpoints.resize(1);
    f.restart(0);
    f.awaitReachability();
    RawSocket caller = f.call();
    FakeEndpoint &endpoint = f.awaitRequest();
    endpoint.last().send("HTTP/1.1 200 OK\r\nx-id: r2\r\ntransfer-encoding: chunked\r\n\r\n"
                         + chunk(event(1)));
    BOOST_REQUIRE(f.runUntil([&] { return caller.has("e1"); }));
    const Gateway::StreamHash stream = Gateway::streamHash("r2");
    BOOST_TEST(!f.gateway.findStream(stream).has_value());
    f.putEndpoint(0, "v2");
    BOOST_TEST_REQUIRE(f.gateway.findStream(stream).has_value());
    BOOST_TEST((*f.gateway.findStream(stream) == f.version("v2")));
}

/// A peer that is cut off from an endpoint takes it for ended, as does one whose answers broke off.
BOOST_AUTO_TEST_CASE(whatAPeerReportsIsCheckedFirst)
{
    for (const bool hasEnded : {false, true}) {
        BOOST_TEST_CONTEXT("ended: " << hasEnded)
        {
            Fixture f(1);
            if (hasEnded)
                f.kill(0);
            f.gateway.endpointEndReceived(f.record(0).startHash, milliseconds(6));
            f.runIterations(20);
            BOOST_TEST(f.isCertain(0) == !hasEnded);
        }
    }
}

/// Guards against an endpoint that starts again unnoticed, as it was idle.
BOOST_AUTO_TEST_CASE(endOfTheLastIdleConnectionIsChecked)
{
    for (const bool hasEnded : {false, true}) {
        BOOST_TEST_CONTEXT("ended: " << hasEnded)
        {
            Fixture f(1);
            RawSocket caller = f.call();
            FakeEndpoint &endpoint = f.awaitRequest();
            endpoint.last().send(std::string(streamHead) + chunk(event(1))
                                 + std::string(streamEnd));
            BOOST_REQUIRE(f.runUntil([&] { return caller.has("\r\n0\r\n\r\n"); }));
            if (hasEnded)
                f.kill(0);
            else
                endpoint.last().close();
            f.runIterations(20);
            BOOST_TEST(f.isCertain(0) == !hasEnded);
        }
    }
}

/// Guards against a stream of an unknown version that goes on at an endpoint whose version is not
/// known either.
BOOST_AUTO_TEST_CASE(streamWithoutACertainVersionGoesOnNowhere)
{
    Fixture f(2);
    const Base::MonoTime now = f.clock.now();
    for (const std::size_t index : {0U, 1U})
        Gateway::EndpointRegistry::doubtSoftware(f.record(index), now);
    RawSocket caller = f.call();
    FakeEndpoint &endpoint = f.awaitRequest();
    endpoint.last().send(std::string(streamHead) + chunk(event(1)));
    BOOST_REQUIRE(f.runUntil([&] { return caller.has("e1"); }));
    endpoint.last().close();
    BOOST_TEST(f.runUntil([&] { return caller.isEnded(); }));
    BOOST_TEST(f.requests() == 1U);
}

/// Guards against an entry from before the last sign that ends the doubt.
BOOST_AUTO_TEST_CASE(furtherSignsBeginTheDoubtAnew)
{
    Fixture f(1);
    Gateway::EndpointRecord &record = f.record(0);
    Gateway::EndpointRegistry::doubtSoftware(record, f.clock.now());
    f.gateway.endpoints().entryRenewed(record.info.id, f.clock.now());
    f.pass(milliseconds(600));
    f.kill(0);
    f.gateway.endpointEndReceived(record.startHash, milliseconds(6));
    f.runIterations(20);
    f.gateway.endpoints().entryRenewed(record.info.id, f.clock.now());
    BOOST_TEST(!f.isCertain(0));
}

/// Guards against an endpoint that started again unnoticed: a request on a connection that another
/// process had accepted is reset.
BOOST_AUTO_TEST_CASE(resetOfAReusedConnectionWithoutAnAnswerLeavesADoubt)
{
    Fixture f(1);
    RawSocket first = f.call();
    FakeEndpoint &endpoint = f.awaitRequest();
    endpoint.last().send(std::string(streamHead) + chunk(event(1)) + std::string(streamEnd));
    BOOST_REQUIRE(f.runUntil([&] { return first.has("\r\n0\r\n\r\n"); }));
    const std::size_t length = endpoint.last().receive().size();
    RawSocket second = f.call();
    BOOST_REQUIRE(f.runUntil([&] { return endpoint.last().receive().size() > length; }));
    endpoint.last().reset();
    f.runIterations(20);
    BOOST_TEST(!f.isCertain(0));
}
