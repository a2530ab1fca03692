#define BOOST_TEST_MODULE tst_peerreach
#include <boost/test/unit_test.hpp>

#include "gateway/peerreach.h"

using namespace Lagoonbank;
using Gateway::PeerReach;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Base::EndpointId peer("edge-1");
const Base::MonoTime start{seconds(100)};

int spendTrials(PeerReach &reach)
{
    int count = 0;
    for (; reach.mayTry(); ++count)
        reach.relayed(true);
    return count;
}

} // namespace

/// Guards against relays without end while no peer reaches the endpoints.
BOOST_AUTO_TEST_CASE(trialsAreLimitedWhileNoPeerReachesTheEndpoints)
{
    PeerReach reach({.maxTrials = 5, .trialsPerSecond = 2});
    reach.beginChoice(false, start);
    BOOST_TEST(spendTrials(reach) == 5);
    reach.beginChoice(false, start + milliseconds(400));
    BOOST_TEST(spendTrials(reach) == 0);
    reach.beginChoice(false, start + milliseconds(500));
    BOOST_TEST(spendTrials(reach) == 1);
}

/// Guards against trials that take more than their share of the relays.
BOOST_AUTO_TEST_CASE(trialsAreAShareOfRelaysOnceAPeerReachesTheEndpoints)
{
    PeerReach reach({.maxTrials = 5, .trialsPerRelay = 0.04});
    reach.beginChoice(true, start);
    spendTrials(reach);
    int trials = 0;
    for (int i = 0; i < 1000; ++i) {
        reach.beginChoice(true, start + i * milliseconds(100));
        reach.relayed(false);
        trials += spendTrials(reach);
    }
    BOOST_TEST(trials <= 40);
    BOOST_TEST(trials >= 39);
}

/// Guards against knowledge of an earlier partition.
BOOST_AUTO_TEST_CASE(knowledgeEndsWithThePartition)
{
    PeerReach reach({.lifetime = seconds(5)});
    reach.beginChoice(false, start);
    reach.refused(peer, start);
    reach.beginChoice(false, start + seconds(4));
    BOOST_TEST(toString(reach.state(peer)) == "cut_off");
    reach.beginChoice(false, start + seconds(10));
    BOOST_TEST(toString(reach.state(peer)) == "unknown");
}

/// Guards against late word of other peers, which praise one that has lost its endpoints since.
BOOST_AUTO_TEST_CASE(ownRefusalPrecedesTheWordOfOthers)
{
    PeerReach reach({.refusalPrecedence = seconds(2)});
    reach.told(peer, start);
    BOOST_TEST(toString(reach.state(peer)) == "reaches");
    reach.refused(peer, start + seconds(1));
    reach.told(peer, start + seconds(2));
    BOOST_TEST(toString(reach.state(peer)) == "cut_off");
    reach.told(peer, start + seconds(3));
    BOOST_TEST(toString(reach.state(peer)) == "reaches");
}
