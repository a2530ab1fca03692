#define BOOST_TEST_MODULE tst_unreadrequests
#include "serverfixture.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace Lagoonbank;
using namespace Lagoonbank::Http;
using Lagoonbank::Test::get;
using Lagoonbank::Test::RawSocket;
using Fixture = Lagoonbank::Test::ServerFixture;

// What lies unread while the loop is behind: closes, ages of requests, connections beyond the most.

/// The loop stands still for a while with what callers did lying unread, on new connections and on
/// kept ones.
BOOST_AUTO_TEST_CASE(closeThatLiesUnreadIsFoundByALook)
{
    struct Row
    {
        std::string_view name;
        std::string_view bytes;
        bool halfCloseMeansDisconnect;
        bool resets;
        bool closesOnlyItsSide;
        bool isLeft;
    };
    const std::string two = std::string(get) + std::string(get);
    const Row rows[]{{"stays", get, true, false, false, false},
                     {"closes", get, true, false, true, true},
                     {"resets", get, true, true, false, true},
                     {"closes behind a second request", two, true, false, true, true},
                     {"closes its side and reads on", get, false, false, true, false},
                     {"resets where a close means nothing", get, false, true, false, true}};
    for (const Row &row : rows) {
        for (const bool isKept : {false, true}) {
            BOOST_TEST_CONTEXT(row.name << (isKept ? ", kept" : ", new"))
            {
                Fixture f(row.halfCloseMeansDisconnect);
                RawSocket caller = f.connect();
                if (isKept) {
                    caller.send("GET /first HTTP/1.1\r\nhost: a\r\n\r\n");
                    BOOST_REQUIRE(f.runUntil([&] { return caller.has("answer /first"); }));
                }
                const std::size_t before = f.responders.size();
                f.answersAtOnce = false;
                bool isFound = false;
                f.looked = [&](Responder &responder) {
                    responder.checkForDisconnect();
                    isFound = responder.isDisconnected();
                };
                caller.send(row.bytes);
                if (row.resets)
                    caller.reset();
                else if (row.closesOnlyItsSide)
                    caller.finishSending();
                f.runTurns(10);
                // A reset takes unread bytes with it, so that nothing may have come at all.
                const bool hasCome = f.responders.size() > before;
                BOOST_TEST((hasCome || row.resets));
                if (hasCome)
                    BOOST_TEST(isFound == row.isLeft);
                BOOST_TEST(f.gone == (hasCome && row.isLeft ? 1 : 0));
                f.looked = nullptr;
                f.expectStillServes();
            }
        }
    }
}

/// Callers that came on new connections during a stall of the loop and have left are not read.
BOOST_AUTO_TEST_CASE(callersThatLeftDuringAStallAreNotRead)
{
    for (const int stallMs : {50, 200, 600, 2000}) {
        BOOST_TEST_CONTEXT("stall of " << stallMs << " ms")
        {
            Fixture f(true);
            std::vector<RawSocket> callers;
            f.loop.post([&] {
                for (int i = 0; i < 40; ++i) {
                    callers.push_back(f.connect());
                    callers.back().send(get);
                    if (i % 2 == 0)
                        callers.back().close();
                }
                f.clock.advance(std::chrono::milliseconds(stallMs));
            });
            BOOST_TEST(f.runUntil([&] { return f.requests.size() == 20; }));
            f.runTurns(10);
            BOOST_TEST(f.requests.size() == 20U);
            BOOST_TEST(f.server->openConnections() == 20U);
        }
    }
}

/// On the machine's clock, as the kernel's measure is.
BOOST_AUTO_TEST_CASE(ageOfARequestCountsFromItsBytes)
{
    constexpr Base::Duration stall = std::chrono::milliseconds(80);
    Runtime::Loop loop;
    Server server({.loop = &loop, .address = {"127.0.0.1", 0}});
    std::vector<Base::Duration> ages;
    server.setHandler([&](const Request &request, const std::shared_ptr<Responder> &responder) {
        ages.push_back(loop.clock().now() - request.arrivedAt);
        responder->send(200, {}, "answer");
    });
    BOOST_REQUIRE(server.listen());
    std::optional<RawSocket> caller;
    const auto runUntilRead = [&](std::size_t count) {
        for (int turn = 0; turn < 1000 && ages.size() < count; ++turn)
            loop.runOnce(std::chrono::milliseconds(5));
        BOOST_REQUIRE_EQUAL(ages.size(), count);
    };
    const auto stallBehind = [&](const std::function<void()> &act) {
        loop.post([&, act] {
            act();
            std::this_thread::sleep_for(stall);
        });
    };
    stallBehind([&] {
        caller.emplace(server.address());
        caller->send(get);
    });
    runUntilRead(1);
    BOOST_TEST((ages.back() >= stall - std::chrono::milliseconds(10)));
    stallBehind([&] { caller->send(get); });
    runUntilRead(2);
    BOOST_TEST((ages.back() >= stall - std::chrono::milliseconds(10)));
    caller->send(get);
    runUntilRead(3);
    BOOST_TEST((ages.back() < stall / 2));
}

BOOST_AUTO_TEST_CASE(ageOfAPipelinedRequestCountsFromItsBytes)
{
    Fixture f;
    f.answersAtOnce = false;
    RawSocket caller = f.connect();
    caller.send(get);
    Responder &first = f.awaitRequest();
    caller.send(get);
    f.runTurns(5);
    f.advance(std::chrono::milliseconds(600));
    first.send(200, {}, "answer");
    f.awaitRequest(2);
    BOOST_TEST((f.clock.now() - f.requests.back().arrivedAt == std::chrono::milliseconds(600)));
}

BOOST_AUTO_TEST_CASE(ageOfPipelinedRequestsCountsUntilTheLastOfThem)
{
    Fixture f;
    f.answersAtOnce = false;
    RawSocket caller = f.connect();
    caller.send(get);
    f.awaitRequest().send(200, {}, "answer");
    f.runTurns(5);
    caller.send(std::string(get) + std::string(get) + std::string(get));
    for (std::size_t count = 2; count <= 4; ++count) {
        Responder &responder = f.awaitRequest(count);
        const Base::Duration age = f.clock.now() - f.requests.back().arrivedAt;
        BOOST_TEST(Base::toMilliseconds(age) == 200 * static_cast<std::int64_t>(count - 2));
        f.advance(std::chrono::milliseconds(200));
        responder.send(200, {}, "answer");
    }
}

/// A connection may be opened long before its first request, and half a request long before the
/// rest.
BOOST_AUTO_TEST_CASE(ageOfARequestIsNotThatOfWhatCameBefore)
{
    Fixture f;
    f.answersAtOnce = false;
    RawSocket caller = f.connect();
    f.runTurns(5);
    f.advance(std::chrono::seconds(2));
    caller.send(get);
    f.awaitRequest();
    BOOST_TEST((f.clock.now() == f.requests.back().arrivedAt));
    caller.send(get.substr(0, 10));
    f.runTurns(5);
    f.advance(std::chrono::seconds(2));
    f.responders.back()->send(200, {}, "answer");
    f.runTurns(5);
    f.advance(std::chrono::seconds(1));
    caller.send(get.substr(10));
    f.awaitRequest(2);
    BOOST_TEST((f.clock.now() == f.requests.back().arrivedAt));
}

/// More callers than are looked at in a turn: all are accepted and wait here, where their age is
/// known and the loop knows that it is behind.
BOOST_AUTO_TEST_CASE(newConnectionsWaitWithTheirAgeKnown)
{
    Fixture f;
    f.answersAtOnce = false;
    std::vector<RawSocket> callers;
    for (int i = 0; i < 100; ++i) {
        callers.push_back(f.connect());
        callers.back().send(get);
    }
    Base::Duration behind{};
    Base::Duration oldest{};
    f.looked = [&](Responder &) {
        f.clock.advance(std::chrono::milliseconds(4));
        behind = std::max(behind, f.loop.lag().current());
        oldest = std::max(oldest, f.clock.now() - f.requests.back().arrivedAt);
    };
    BOOST_TEST(f.runUntil([&] { return f.requests.size() == 100; }));
    BOOST_TEST((behind >= std::chrono::milliseconds(250)));
    BOOST_TEST((oldest >= std::chrono::milliseconds(250)));
    f.looked = nullptr;
    f.expectStillServes();
}

/// Those that have left while they waited no longer count as open.
BOOST_AUTO_TEST_CASE(idleConnectionsStayWhenTheCrowdHasLeft)
{
    Fixture f(true, 20);
    RawSocket idle = f.connect();
    idle.send(get);
    BOOST_REQUIRE(f.runUntil([&] { return idle.has("answer /p"); }));
    std::vector<RawSocket> crowd;
    f.loop.post([&] {
        for (int i = 0; i < 60; ++i) {
            crowd.push_back(f.connect());
            crowd.back().send(get);
            crowd.back().close();
        }
        f.clock.advance(std::chrono::milliseconds(200));
    });
    f.runTurns(10);
    f.advance(std::chrono::seconds(1));
    BOOST_TEST(f.server->openConnections() == 1U);
    BOOST_TEST(!idle.isEnded());
    BOOST_TEST(f.disconnectedUnread == 60);
}

/// Callers that come on new connections each time leave the old ones idle.
BOOST_AUTO_TEST_CASE(idleConnectionsBeyondTheMostAreClosedOldestFirst)
{
    Fixture f(false, 10);
    std::vector<RawSocket> idle;
    for (int i = 0; i < 10; ++i) {
        idle.push_back(f.connect());
        idle.back().send(get);
        BOOST_REQUIRE(f.runUntil([&] { return idle.back().has("answer /p"); }));
        f.clock.advance(std::chrono::milliseconds(1));
    }
    f.advance(std::chrono::seconds(1));
    BOOST_TEST(f.server->openConnections() == 10U);
    BOOST_TEST(!idle.front().isEnded());
    f.answersAtOnce = false;
    std::vector<RawSocket> busy;
    for (int i = 0; i < 4; ++i) {
        busy.push_back(f.connect());
        busy.back().send(get);
    }
    f.awaitRequest(14);
    f.advance(std::chrono::seconds(1));
    for (std::size_t i = 0; i < idle.size(); ++i)
        BOOST_TEST(idle[i].isEnded() == (i < 4), "idle connection " << i);
    BOOST_TEST(f.server->openConnections() == 10U);
    BOOST_TEST(!busy.front().isEnded());
    // One more, and an answer ends its connection by itself.
    RawSocket last = f.connect();
    last.send(get);
    f.awaitRequest(15).send(200, {}, "answer");
    BOOST_TEST(f.runUntil([&] { return last.isEnded(); }));
    BOOST_TEST(last.has("Connection: close"));
    BOOST_TEST(f.gone == 0);
}
