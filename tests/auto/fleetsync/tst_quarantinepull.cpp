#define BOOST_TEST_MODULE tst_quarantinepull
#include <boost/test/unit_test.hpp>

#include "fleetsync/quarantinepull.h"
#include "runtime/clock.h"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace Lagoonbank;
using FleetSync::QuarantinePull;
using std::chrono::milliseconds;
using Source = QuarantinePull::Source;

namespace {

const Errors::Result<Schema::QuarantineAnswer> complete = Schema::QuarantineAnswer{
    .isComplete = true, .quarantinedRequests = {{.request = 7, .leftMs = 1000}}};
const Errors::Result<Schema::QuarantineAnswer> starting = Schema::QuarantineAnswer{};
const Errors::Result<Schema::QuarantineAnswer> unreachable =
    Errors::makeError(Errors::ErrorKind::EndpointBroke, "no connection");

/// A router that starts, and the requests that it has sent to peers.
struct StartingRouter
{
    explicit StartingRouter(std::size_t peerCount)
    {
        addPeers(peerCount);
        pull.ask = [this](const Runtime::SocketAddress &, QuarantinePull::Answered answered) {
            requests.push_back(std::move(answered));
        };
        pull.readStore = [this] { ++storeReads; };
        pull.received = [this](const Schema::QuarantineAnswer &answer) {
            quarantined += answer.quarantinedRequests.size();
        };
        pull.finished = [this](Source source) {
            BOOST_TEST(!finishedBy.has_value());
            finishedBy = source;
        };
    }
    void addPeers(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            peers.push_back({"10.0.0." + std::to_string(peers.size() + 1), 7000});
    }
    /// Answers the oldest requests, all of them by default.
    void answer(const Errors::Result<Schema::QuarantineAnswer> &answer, std::size_t count = 100)
    {
        count = std::min(count, requests.size());
        for (std::size_t i = 0; i < count; ++i) {
            const auto answered = std::move(requests.front());
            requests.erase(requests.begin());
            answered(answer);
        }
    }
    void pass(Base::Duration duration)
    {
        for (Base::Duration passed{}; passed < duration; passed += milliseconds(5)) {
            clock.advance(milliseconds(5));
            timers.runDue();
        }
    }

    Runtime::ManualClock clock;
    Runtime::TimerQueue timers{clock};
    std::vector<Runtime::SocketAddress> peers;
    bool arePeersKnown = true;
    QuarantinePull pull{{.timers = &timers,
                         .peers = [this] { return peers; },
                         .arePeersKnown = [this] { return arePeersKnown; },
                         .self = {"10.0.1.1", 7000}}};
    std::vector<QuarantinePull::Answered> requests;
    int storeReads = 0;
    std::size_t quarantined = 0;
    std::optional<Source> finishedBy;
};

} // namespace

/// Failure: a router waits for slow or dead peers although another one has answered.
BOOST_AUTO_TEST_CASE(oneCompleteAnswerSuffices)
{
    StartingRouter router(20);
    router.pull.start();
    BOOST_TEST(router.requests.size() == 3U);
    router.answer(unreachable, 1);
    router.answer(complete, 1);
    BOOST_TEST(router.pull.isFinished());
    BOOST_TEST((router.finishedBy == Source::Peer));
    BOOST_TEST(router.quarantined == 1U);
    router.answer(starting);
    router.pass(milliseconds(2000));
    BOOST_TEST(router.storeReads == 0);
}

/// Failure: a router that starts beside others takes their empty answers for those of a fleet
/// without quarantines.
BOOST_AUTO_TEST_CASE(storeIsReadIfAllPeersAreStarting)
{
    StartingRouter router(20);
    router.pull.start();
    for (int round = 0; round < 3; ++round) {
        BOOST_TEST(router.requests.size() == 3U);
        router.answer(round == 1 ? unreachable : starting);
    }
    BOOST_TEST(router.requests.empty());
    BOOST_TEST(router.storeReads == 1);
    BOOST_TEST(router.pull.needsStore());
    BOOST_TEST(!router.pull.isFinished());
    router.pull.storeRead();
    BOOST_TEST((router.finishedBy == Source::Store));
    BOOST_TEST(!router.pull.needsStore());
}

/// Failure: the only router of a fleet waits for peers until the timeout.
BOOST_AUTO_TEST_CASE(storeIsReadAtOnceWithoutPeers)
{
    StartingRouter router(0);
    router.pull.start();
    BOOST_TEST(router.storeReads == 1);
}

/// Failure: a router that has not yet read which routers there are takes itself for the only one.
BOOST_AUTO_TEST_CASE(peersAreAwaitedUntilTheyAreKnown)
{
    StartingRouter router(0);
    router.arePeersKnown = false;
    router.pull.start();
    router.pass(milliseconds(100));
    BOOST_TEST(router.storeReads == 0);
    router.addPeers(2);
    router.pass(milliseconds(20));
    BOOST_TEST(router.requests.size() == 2U);
    router.answer(complete, 1);
    BOOST_TEST((router.finishedBy == Source::Peer));
}

/// Failure: while the store is away and no peer answers, a router takes no requests at all.
BOOST_AUTO_TEST_CASE(requestsAreTakenAfterTheTimeout)
{
    StartingRouter router(2);
    router.pull.start();
    router.answer(unreachable);
    BOOST_TEST(router.storeReads == 1);
    router.pass(milliseconds(950));
    BOOST_TEST(!router.pull.isFinished());
    router.pass(milliseconds(100));
    BOOST_TEST((router.finishedBy == Source::None));
    router.pull.storeRead();
    router.answer(complete);
}
