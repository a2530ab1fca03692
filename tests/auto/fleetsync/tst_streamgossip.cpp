#define BOOST_TEST_MODULE tst_streamgossip
#include <boost/test/unit_test.hpp>

#include "fleetsync/streamgossip.h"
#include "runtime/clock.h"
#include "schema/messagecodec.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

using namespace Lagoonbank;
using FleetSync::StreamGossip;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t software = 77;

/// Routers that keep the streams reported to them. Datagrams arrive at once, unless their receiver
/// has ended.
struct Routers
{
    explicit Routers(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            addresses.push_back({"10.0.0." + std::to_string(i), 7000});
        known.resize(count);
        sentBytes.resize(count);
        for (std::size_t i = 0; i < count; ++i)
            add(i);
    }
    /// The peers of a router that are leaving, or those that are not.
    std::vector<Runtime::SocketAddress> peersOf(std::size_t index, bool areLeaving = false) const
    {
        std::vector<Runtime::SocketAddress> peers;
        for (std::size_t i = 0; i < addresses.size() && !starting.contains(index); ++i) {
            if (i != index && leaving.contains(i) == areLeaving)
                peers.push_back(addresses[i]);
        }
        return peers;
    }
    /// A router ends and starts again, so that it knows nothing.
    void restart(std::size_t index) { known[index].clear(); }
    void add(std::size_t index)
    {
        silences.push_back(
            std::make_unique<FleetSync::PeerSilence>(FleetSync::PeerSilence::Options{&timers}));
        auto gossip = std::make_unique<StreamGossip>(
            StreamGossip::Options{.timers = &timers,
                                  .peers = [this, index] { return peersOf(index); },
                                  .leavingPeers = [this, index] { return peersOf(index, true); },
                                  .silence = silences[index].get(),
                                  .self = addresses[index]});
        silences[index]->probe = [this, index](const Runtime::SocketAddress &to) {
            routers[index]->send(to, {.asked = {0}});
        };
        silences[index]->answered = [this, index](const Runtime::SocketAddress &peer) {
            routers[index]->peerAnswered(peer);
        };
        silences[index]->fellSilent = [this, index](const Runtime::SocketAddress &peer) {
            routers[index]->peerFellSilent(peer);
        };
        gossip->send = [this, index](const Runtime::SocketAddress &to,
                                     const Schema::StreamUpdate &message) {
            constexpr std::size_t headers = 28;
            sentBytes[index] += headers + Schema::encodeMessage(message).value().size();
            const auto receiver = std::find(addresses.begin(), addresses.end(), to);
            const auto receiverIndex = static_cast<std::size_t>(receiver - addresses.begin());
            if (ended.contains(receiverIndex) || ended.contains(index))
                return;
            silences[receiverIndex]->heard(addresses[index]);
            routers[receiverIndex]->receive(addresses[index], message);
        };
        gossip->received = [this, index](const Schema::SharedStream &stream) {
            known[index][stream.stream] = stream.software;
        };
        gossip->find = [this, index](std::uint64_t stream) {
            const auto found = known[index].find(stream);
            return found == known[index].end() ? 0 : found->second;
        };
        routers.push_back(std::move(gossip));
    }
    void pass(Base::Duration duration)
    {
        for (auto left = duration; left > left.zero(); left -= milliseconds(1)) {
            clock.advance(milliseconds(1));
            timers.runDue();
        }
    }
    /// A stream begins at a router.
    void begin(std::size_t router, std::uint64_t stream)
    {
        known[router][stream] = software;
        routers[router]->report({.stream = stream, .software = software});
    }
    /// What a router learns of a stream that a caller resumes there, within this time.
    std::optional<std::uint64_t> ask(std::size_t router, std::uint64_t stream,
                                     Base::Duration within = milliseconds(1))
    {
        if (const std::uint64_t own = routers[router]->find(stream))
            return own;
        isAnswered = false;
        // The answer may come after this function has returned.
        const auto answer = std::make_shared<std::optional<std::uint64_t>>();
        routers[router]->ask(stream, [this, answer](std::optional<std::uint64_t> found) {
            isAnswered = true;
            *answer = found;
        });
        pass(within);
        return *answer;
    }

    std::vector<Runtime::SocketAddress> addresses;
    Runtime::ManualClock clock;
    Runtime::TimerQueue timers{clock};
    std::vector<std::unique_ptr<FleetSync::PeerSilence>> silences;
    std::vector<std::unique_ptr<StreamGossip>> routers;
    std::vector<std::map<std::uint64_t, std::uint64_t>> known; ///< By router and stream.
    std::vector<std::size_t> sentBytes; ///< By router.
    std::set<std::size_t> ended;
    std::set<std::size_t> leaving; ///< Routers that are shutting down and still answer.
    std::set<std::size_t> starting; ///< Routers that don't know their peers yet.
    bool isAnswered = false;
};

} // namespace

/// Guards against streams that no other router can resume when the one that began them ends.
BOOST_AUTO_TEST_CASE(everyRouterLearnsTheVersionOfAStreamOfAnEndedRouter)
{
    for (const std::size_t count : {2U, 6U, 24U, 300U}) {
        BOOST_TEST_CONTEXT(count << " routers")
        {
            Routers f(count);
            constexpr std::uint64_t streams = 20;
            for (std::uint64_t stream = 1; stream <= streams; ++stream)
                f.begin(0, stream * 7919);
            f.pass(milliseconds(10));
            f.ended.insert(0);
            for (std::uint64_t stream = 1; stream <= streams; ++stream) {
                const std::size_t router = 1 + stream % (count - 1);
                BOOST_TEST((f.ask(router, stream * 7919) == software));
            }
        }
    }
}

/// Guards against streams that cannot be resumed when most routers end at the same moment: half of
/// those of the routers that ended have to be known by one that is left.
BOOST_AUTO_TEST_CASE(mostStreamsAreKnownAfterMostRoutersHaveEnded)
{
    for (const std::size_t count : {6U, 24U}) {
        BOOST_TEST_CONTEXT(count << " routers")
        {
            Routers f(count);
            constexpr std::uint64_t streams = 200;
            const std::size_t left = count * 2 / 5;
            for (std::uint64_t stream = 1; stream <= streams; ++stream)
                f.begin(left + stream % (count - left), stream * 7919);
            f.pass(milliseconds(10));
            for (std::size_t router = left; router < count; ++router)
                f.ended.insert(router);
            std::uint64_t found = 0;
            for (std::uint64_t stream = 1; stream <= streams; ++stream)
                found += f.ask(0, stream * 7919, milliseconds(60)) == software ? 1 : 0;
            BOOST_TEST(found >= streams / 2);
        }
    }
}

/// Guards against streams that cannot be resumed as the router that began them, which still serves,
/// did not know its peers then.
BOOST_AUTO_TEST_CASE(streamOfARouterThatHasJustStartedIsFound)
{
    Routers f(6);
    f.starting.insert(0);
    for (std::uint64_t stream = 1; stream <= 20; ++stream)
        f.begin(0, stream * 7919);
    f.pass(milliseconds(10));
    f.starting.clear();
    for (std::uint64_t stream = 1; stream <= 20; ++stream)
        BOOST_TEST((f.ask(1 + stream % 5, stream * 7919) == software));
}

/// Guards against requests that wait for an answer that cannot come.
BOOST_AUTO_TEST_CASE(questionEndsOnceAllAskedRoutersDenyTheStream)
{
    Routers f(6);
    BOOST_TEST(!f.ask(0, 5));
    BOOST_TEST(f.isAnswered);
    Routers alone(1);
    BOOST_TEST(!alone.ask(0, 5));
    BOOST_TEST(alone.isAnswered);
}

/// Guards against requests that wait for routers that have ended.
BOOST_AUTO_TEST_CASE(questionEndsIfAnswersAreLost)
{
    Routers f(6);
    for (std::size_t router = 1; router < 6; ++router)
        f.ended.insert(router);
    BOOST_TEST(!f.ask(0, 5, milliseconds(40)));
    BOOST_TEST(!f.isAnswered);
    bool isAnswered = false;
    f.routers[0]->ask(5, [&](std::optional<std::uint64_t>) { isAnswered = true; });
    f.pass(milliseconds(15));
    BOOST_TEST(isAnswered);
}

/// Guards against control traffic beyond what a router may cause: 200 streams begin in a second,
/// and as many are asked for.
BOOST_AUTO_TEST_CASE(trafficStaysWithinTheBudget)
{
    Routers f(24);
    constexpr int duration = 30;
    for (int second = 0; second < duration; ++second) {
        for (std::uint64_t i = 0; i < 200; ++i) {
            const std::uint64_t stream = static_cast<std::uint64_t>(second) * 1000 + i;
            f.begin(0, stream * 7919);
            f.routers[0]->ask(stream * 104729 + 1, [](std::optional<std::uint64_t>) {});
            f.pass(milliseconds(5));
        }
    }
    const StreamGossip::Options options;
    const double bursts = options.burstBytes + options.questionBurstBytes;
    const double perSecond = options.bytesPerSecond + options.questionBytesPerSecond;
    BOOST_TEST(static_cast<double>(f.sentBytes[0]) <= bursts + perSecond * duration);
    BOOST_TEST(f.routers[0]->dropped() > 0U);
}

/// Guards against streams that cannot be resumed as their routers have used up their budget for
/// telling of others: more streams begin than may be told of, and then a router ends.
BOOST_AUTO_TEST_CASE(beginningStreamsDoNotKeepOthersFromBeingResumed)
{
    Routers f(24);
    constexpr std::uint64_t streams = 100;
    for (std::uint64_t stream = 1; stream <= streams; ++stream)
        f.begin(0, stream * 7919);
    f.pass(milliseconds(10));
    for (std::uint64_t i = 0; i < 4000; ++i) {
        f.routers[1]->report({.stream = i * 104729 + 1, .software = software});
        f.pass(milliseconds(1));
    }
    BOOST_REQUIRE(f.routers[1]->dropped() > 0U);
    f.ended.insert(0);
    std::uint64_t found = 0;
    for (std::uint64_t stream = 1; stream <= streams; ++stream)
        found += f.ask(1, stream * 7919) == software ? 1 : 0;
    BOOST_TEST(found == streams);
}

/// Guards against streams that fewer routers know than intended as the one that began them counts
/// as one of their holders, and against streams that are told to others than holders and writers.
BOOST_AUTO_TEST_CASE(threeRoutersBesideTheOwnAndTheWritersKnowAStream)
{
    Routers f(6);
    const FleetSync::RouterRanking ranking(f.addresses[0], f.peersOf(0));
    for (std::uint64_t stream = 7919; stream <= 50U * 7919; stream += 7919) {
        f.begin(0, stream);
        f.pass(milliseconds(1));
        const auto holders = ranking.firstPeers(stream, 3);
        for (std::size_t router = 1; router < f.routers.size(); ++router) {
            const bool isHolder =
                std::count(holders.begin(), holders.end(), f.addresses[router]) > 0;
            const bool isWriter = f.routers[router]->isWriter(0);
            BOOST_TEST(f.known[router].contains(stream) == (isHolder || isWriter));
        }
        BOOST_TEST(f.known[0].contains(stream));
    }
    const auto writers = std::count_if(f.routers.begin(), f.routers.end(),
                                       [](const auto &router) { return router->isWriter(0); });
    BOOST_TEST(writers == 2);
}

/// Guards against streams that nobody is told of as all other routers are shutting down; these
/// still serve the callers that resume them.
BOOST_AUTO_TEST_CASE(streamIsKnownIfAllOtherRoutersAreLeaving)
{
    Routers f(6);
    f.leaving = {1, 2, 3, 4, 5};
    for (std::uint64_t stream = 1; stream <= 20; ++stream)
        f.begin(0, stream * 7919);
    f.pass(milliseconds(10));
    f.ended.insert(0);
    for (std::uint64_t stream = 1; stream <= 20; ++stream)
        BOOST_TEST((f.ask(1 + stream % 5, stream * 7919) == software));
}

/// Guards against streams that are unknown after a planned restart of all routers in turn: the
/// routers that were told of them have restarted when the one that serves them ends.
BOOST_AUTO_TEST_CASE(stoppingRouterHandsOverItsStreams)
{
    for (const std::size_t count : {2U, 6U, 24U, 300U}) {
        BOOST_TEST_CONTEXT(count << " routers")
        {
            Routers f(count);
            constexpr std::uint64_t streams = 200;
            std::vector<Schema::SharedStream> inProgress;
            for (std::uint64_t stream = 1; stream <= streams; ++stream) {
                f.begin(0, stream * 7919);
                inProgress.push_back({.stream = stream * 7919, .software = software});
            }
            f.pass(milliseconds(10));
            for (std::size_t router = 1; router < count; ++router)
                f.restart(router);
            f.routers[0]->handOver(inProgress);
            f.ended.insert(0);
            for (std::uint64_t stream = 1; stream <= streams; ++stream) {
                const std::size_t router = 1 + stream % (count - 1);
                BOOST_TEST((f.ask(router, stream * 7919) == software));
            }
        }
    }
}

/// Guards against a router that starts and is asked for streams that it was told of before, and
/// against pulls of all streams of a large fleet.
BOOST_AUTO_TEST_CASE(startingRouterGetsTheStreamsThatItIsAskedFor)
{
    constexpr std::uint64_t streams = 300;
    std::vector<Schema::SharedStream> all;
    for (std::uint64_t stream = 1; stream <= streams; ++stream)
        all.push_back({.stream = stream * 7919, .software = software});
    for (const std::size_t count : {6U, 300U}) {
        BOOST_TEST_CONTEXT(count << " routers")
        {
            Routers f(count);
            for (const auto &stream : f.routers[0]->streamsFor(f.addresses[1], all))
                f.known[1][stream.stream] = stream.software;
            // Only the other router knows the streams.
            std::size_t found = 0;
            for (std::uint64_t stream = 1; stream <= streams; ++stream)
                found += f.ask(2, stream * 7919) == software ? 1 : 0;
            BOOST_TEST(found == f.known[1].size());
            BOOST_TEST((count > 6 || found == streams));
            BOOST_TEST((count == 6 || found < streams / 10));
        }
    }
}

/// Guards against streams that are told to routers that have left for good: these stay registered,
/// and a router that is killed tells nobody. Half of the streams of a router that ends have to be
/// known by those that are left.
BOOST_AUTO_TEST_CASE(routersThatHaveLeftAreNoHolders)
{
    struct Fleet
    {
        std::size_t registered;
        std::size_t living;
    };
    for (const Fleet &fleet : {Fleet{10, 2}, Fleet{24, 4}, Fleet{300, 60}, Fleet{300, 20}}) {
        BOOST_TEST_CONTEXT(fleet.living << " of " << fleet.registered << " routers")
        {
            Routers f(fleet.registered);
            for (std::size_t router = fleet.living; router < fleet.registered; ++router)
                f.ended.insert(router);
            constexpr std::uint64_t streams = 100;
            for (std::uint64_t stream = 1; stream <= streams; ++stream) {
                f.begin(0, stream * 7919);
                f.pass(milliseconds(10));
            }
            f.pass(milliseconds(500));
            f.ended.insert(0);
            std::uint64_t found = 0;
            for (std::uint64_t stream = 1; stream <= streams; ++stream) {
                const std::size_t router = 1 + stream % (fleet.living - 1);
                found += f.ask(router, stream * 7919, milliseconds(160)) == software ? 1 : 0;
            }
            BOOST_TEST(found >= streams / 2);
            BOOST_TEST((fleet.living > 2 || found == streams));
        }
    }
}

/// Guards against routers that are never told of streams again after a moment of silence.
BOOST_AUTO_TEST_CASE(routerThatReturnsIsHolderAgain)
{
    Routers f(2);
    f.ended.insert(1);
    f.begin(0, 1);
    f.pass(milliseconds(60));
    BOOST_TEST(f.silences[0]->isSilent(f.addresses[1]));
    f.ended.clear();
    BOOST_TEST((f.ask(1, 1) == software)); // Router 0 hears it again.
    f.begin(0, 2);
    f.pass(milliseconds(1));
    BOOST_TEST(f.known[1].contains(2));
}

/// Guards against control traffic for routers that have left for good.
BOOST_AUTO_TEST_CASE(silentRoutersAreProbedLessAndLess)
{
    Routers f(10);
    for (std::size_t router = 1; router < 10; ++router)
        f.ended.insert(router);
    std::uint64_t stream = 0;
    const auto beginFor = [&](seconds duration) {
        const std::size_t before = f.sentBytes[0];
        for (auto left = duration; left > left.zero(); --left) {
            f.begin(0, ++stream * 7919);
            f.pass(seconds(1));
        }
        return f.sentBytes[0] - before;
    };
    const std::size_t first = beginFor(seconds(60));
    beginFor(seconds(600));
    const std::size_t last = beginFor(seconds(60));
    BOOST_TEST(last < first / 2);
}
