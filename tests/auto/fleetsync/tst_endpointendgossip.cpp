#define BOOST_TEST_MODULE tst_endpointendgossip
#include <boost/test/unit_test.hpp>

#include "fleetsync/endpointendgossip.h"
#include "runtime/clock.h"

#include <cstddef>
#include <cstdint>
#include <vector>

using namespace Lagoonbank;
using FleetSync::EndpointEndGossip;
using std::chrono::milliseconds;

namespace {

struct Fixture
{
    explicit Fixture(std::size_t peerCount)
    {
        for (std::size_t i = 0; i < peerCount; ++i)
            peers.push_back({"127.0.0.1", static_cast<std::uint16_t>(i + 1)});
        gossip.send = [this](const auto &, const Schema::EndpointEndUpdate &message) {
            sent.push_back(message);
        };
        gossip.received = [this](std::uint64_t startHash, Base::Duration) {
            received.push_back(startHash);
        };
    }

    void pass(Base::Duration duration)
    {
        clock.advance(duration);
        timers.runDue();
    }

    std::vector<Runtime::SocketAddress> peers;
    std::vector<Schema::EndpointEndUpdate> sent;
    std::vector<std::uint64_t> received;
    Runtime::ManualClock clock;
    Runtime::TimerQueue timers{clock};
    EndpointEndGossip gossip{{.timers = &timers, .peers = [this] { return peers; }}};
};

} // namespace

BOOST_AUTO_TEST_CASE(allPeersAreToldOnce)
{
    Fixture f(5);
    for (int i = 0; i < 3; ++i) {
        f.gossip.report(7, milliseconds(6));
        f.pass(milliseconds(2));
    }
    BOOST_TEST(f.sent.size() == 5U);
    BOOST_TEST(f.sent.front().ended.front().endpoint == 7U);
    BOOST_TEST(f.sent.front().ended.front().ageMs == 8U); // When it is sent.
    f.pass(milliseconds(200));
    f.gossip.report(7, milliseconds(6));
    f.pass(milliseconds(2));
    BOOST_TEST(f.sent.size() == 10U);
}

/// Guards against a router that does not tell what it has noticed, as a peer that is cut off from
/// the endpoint has told the same in error just before.
BOOST_AUTO_TEST_CASE(reportOfAPeerDoesNotSilenceOthers)
{
    Fixture f(5);
    const Schema::EndpointEndUpdate message{.ended = {{.endpoint = 7, .ageMs = 6}}};
    f.gossip.receive(message);
    f.gossip.receive(message);
    BOOST_TEST(f.received == std::vector<std::uint64_t>{7}, boost::test_tools::per_element());
    f.gossip.report(7, milliseconds(6));
    f.pass(milliseconds(2));
    BOOST_TEST(f.sent.size() == 5U);
}

/// Guards against a datagram for each of many endpoints that end at once.
BOOST_AUTO_TEST_CASE(endpointsThatEndTogetherAreReportedTogether)
{
    Fixture f(5);
    for (std::uint64_t endpoint = 1; endpoint <= 8; ++endpoint)
        f.gossip.report(endpoint, {});
    f.pass(milliseconds(2));
    BOOST_TEST(f.sent.size() == 5U);
    BOOST_TEST(f.sent.front().ended.size() == 8U);
}

/// Guards against reports that fill small links as endpoints end one after another in a large
/// fleet.
BOOST_AUTO_TEST_CASE(reportsStayWithinTheBudget)
{
    constexpr std::size_t peerCount = 299;
    Fixture f(peerCount);
    f.gossip.report(1, {});
    f.pass(milliseconds(2));
    BOOST_TEST(f.sent.size() == peerCount);
    for (std::uint64_t endpoint = 2; endpoint <= 60; ++endpoint) {
        f.gossip.report(endpoint, {});
        f.pass(milliseconds(2));
    }
    BOOST_TEST(f.sent.size() < 2 * peerCount);
    BOOST_TEST(f.sent.size() + f.gossip.dropped() == 60 * peerCount);
}
