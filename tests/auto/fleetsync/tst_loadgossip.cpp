#define BOOST_TEST_MODULE tst_loadgossip
#include <boost/test/unit_test.hpp>

#include "fleetsync/loadgossip.h"
#include "gateway/loadsharing.h"
#include "runtime/clock.h"
#include "schema/messagecodec.h"

#include <set>
#include <string>

using namespace Lagoonbank;
using namespace Lagoonbank::FleetSync;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct Fixture
{
    explicit Fixture(int peerCount = 300)
    {
        for (int i = 0; i < peerCount; ++i)
            peers.push_back({"10.0.0." + std::to_string(i), 7000});
        gossip.send = [this](const Runtime::SocketAddress &to, const Schema::LoadUpdate &message) {
            constexpr std::size_t headers = 28;
            ++datagrams;
            bytes += headers + Schema::encodeMessage(message).value().size();
            receivers.insert(to.ip);
        };
        gossip.latest = [this] { return localLoads; };
    }
    void pass(Base::Duration duration)
    {
        for (auto left = duration; left > left.zero(); left -= milliseconds(10)) {
            clock.advance(milliseconds(10));
            timers.runDue();
        }
    }

    std::vector<Runtime::SocketAddress> peers;
    std::size_t datagrams = 0;
    std::size_t bytes = 0;
    std::set<std::string> receivers;
    Schema::LoadUpdate localLoads;
    Runtime::ManualClock clock;
    Runtime::TimerQueue timers{clock};
    LoadGossip gossip{{.timers = &timers, .peers = [this] { return peers; }}};
};

} // namespace

/// The control traffic of a router is limited to 5,000 bytes a second in all, however large the
/// fleet.
BOOST_AUTO_TEST_CASE(routerKeepsToByteLimitInLargeFleet)
{
    Fixture f;
    f.localLoads.averageLoads.resize(2);
    f.localLoads.loads.resize(Gateway::LoadSharing::Options().maximumLoads);
    f.gossip.start();
    f.pass(seconds(10));
    BOOST_TEST(f.bytes / 10 < 1500U);
    BOOST_TEST(f.datagrams > 40U);
    BOOST_TEST(f.receivers.size() > 30U); // Different peers each time.
}

BOOST_AUTO_TEST_CASE(messagesAreRareWhileLoadsAreAverage)
{
    Fixture f;
    f.gossip.start();
    f.pass(seconds(5));
    BOOST_TEST(f.datagrams == 0U); // There are no loads to send.
    f.localLoads.averageLoads.resize(1);
    f.pass(seconds(10));
    BOOST_TEST(f.datagrams >= 9U);
    BOOST_TEST(f.datagrams <= 11U);
    f.localLoads.loads.resize(1);
    f.datagrams = 0;
    f.pass(milliseconds(210));
    BOOST_TEST(f.datagrams >= 1U);
}

BOOST_AUTO_TEST_CASE(routerWithoutPeersSendsNothing)
{
    Fixture f(0);
    f.localLoads.averageLoads.resize(1);
    f.localLoads.loads.resize(1);
    f.gossip.start();
    f.pass(seconds(2));
    BOOST_TEST(f.datagrams == 0U);
}

BOOST_AUTO_TEST_CASE(receivedLoadsArePassedOnWithTheirDelay)
{
    Fixture f;
    Base::Duration receivedDelay{};
    f.gossip.received = [&](const Schema::LoadUpdate &, Base::Duration delay) {
        receivedDelay = delay;
    };
    f.gossip.receive({}, milliseconds(700));
    BOOST_TEST((receivedDelay == milliseconds(700)));
}
