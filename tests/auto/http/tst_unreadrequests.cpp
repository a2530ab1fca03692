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

// Disconnects and requests that arrive while the event loop is blocked, and the connection limit.

/// A caller disconnects right after its request, so that the event loop has not read the disconnect
/// when it reads the request, on a new or a reused connection.
BOOST_AUTO_TEST_CASE(unreadDisconnectIsDetected)
{
    struct Row
    {
        std::string_view name;
        std::string_view bytes;
        bool halfCloseMeansDisconnect;
        bool resets;
        bool halfCloses;
        bool isDisconnected;
    };
    const std::string two = std::string(get) + std::string(get);
    const Row rows[]{
        {"stays", get, true, false, false, false},
        {"closes", get, true, false, true, true},
        {"resets", get, true, true, false, true},
        {"closes after a second request", two, true, false, true, true},
        {"half-closes and continues to read", get, false, false, true, false},
        {"resets, and a half-close is not a disconnect", get, false, true, false, true}};
    for (const Row &row : rows) {
        for (const bool isReused : {false, true}) {
            BOOST_TEST_CONTEXT(row.name << (isReused ? ", reused" : ", new"))
            {
                Fixture f(row.halfCloseMeansDisconnect);
                RawSocket caller = f.connect();
                if (isReused) {
                    caller.send("GET /first HTTP/1.1\r\nhost: a\r\n\r\n");
                    BOOST_REQUIRE(f.runUntil([&] { return caller.has("answer /first"); }));
                }
                const std::size_t before = f.responders.size();
                f.answersAtOnce = false;
                bool isDetected = false;
                f.requestHook = [&](Responder &responder) {
                    responder.checkForDisconnect();
                    isDetected = responder.isDisconnected();
                };
                caller.send(row.bytes);
                if (row.resets)
                    caller.reset();
                else if (row.halfCloses)
                    caller.finishSending();
                f.runIterations(10);
                // A reset discards unread bytes, so the request may not have been received at all.
                const bool isReceived = f.responders.size() > before;
                BOOST_TEST((isReceived || row.resets));
                if (isReceived)
                    BOOST_TEST(isDetected == row.isDisconnected);
                BOOST_TEST(f.disconnects == (isReceived && row.isDisconnected ? 1 : 0));
                f.requestHook = nullptr;
                f.expectStillServes();
            }
        }
    }
}

/// Callers that connect and disconnect while the event loop is blocked are not read.
BOOST_AUTO_TEST_CASE(callersDisconnectedDuringStallAreNotRead)
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
            f.runIterations(10);
            BOOST_TEST(f.requests.size() == 20U);
            BOOST_TEST(f.server->openConnections() == 20U);
        }
    }
}

/// Uses the system's clock, as the kernel measures the age of the bytes.
BOOST_AUTO_TEST_CASE(requestAgeIsMeasuredFromArrival)
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
        for (int iteration = 0; iteration < 1000 && ages.size() < count; ++iteration)
            loop.runOnce(std::chrono::milliseconds(5));
        BOOST_REQUIRE_EQUAL(ages.size(), count);
    };
    const auto blockLoopAfter = [&](const std::function<void()> &action) {
        loop.post([&, action] {
            action();
            std::this_thread::sleep_for(stall);
        });
    };
    blockLoopAfter([&] {
        caller.emplace(server.address());
        caller->send(get);
    });
    runUntilRead(1);
    BOOST_TEST((ages.back() >= stall - std::chrono::milliseconds(10)));
    blockLoopAfter([&] { caller->send(get); });
    runUntilRead(2);
    BOOST_TEST((ages.back() >= stall - std::chrono::milliseconds(10)));
    caller->send(get);
    runUntilRead(3);
    BOOST_TEST((ages.back() < stall / 2));
}

BOOST_AUTO_TEST_CASE(pipelinedRequestAgeIsMeasuredFromArrival)
{
    Fixture f;
    f.answersAtOnce = false;
    RawSocket caller = f.connect();
    caller.send(get);
    Responder &first = f.awaitRequest();
    caller.send(get);
    f.runIterations(5);
    f.advance(std::chrono::milliseconds(600));
    first.send(200, {}, "answer");
    f.awaitRequest(2);
    BOOST_TEST((f.clock.now() - f.requests.back().arrivedAt == std::chrono::milliseconds(600)));
}

BOOST_AUTO_TEST_CASE(agesOfPipelinedRequestsGrowUntilProcessed)
{
    Fixture f;
    f.answersAtOnce = false;
    RawSocket caller = f.connect();
    caller.send(get);
    f.awaitRequest().send(200, {}, "answer");
    f.runIterations(5);
    caller.send(std::string(get) + std::string(get) + std::string(get));
    for (std::size_t count = 2; count <= 4; ++count) {
        Responder &responder = f.awaitRequest(count);
        const Base::Duration age = f.clock.now() - f.requests.back().arrivedAt;
        BOOST_TEST(Base::toMilliseconds(age) == 200 * static_cast<std::int64_t>(count - 2));
        f.advance(std::chrono::milliseconds(200));
        responder.send(200, {}, "answer");
    }
}

/// Neither the time before the first request of a connection nor that between the first and the
/// last bytes of a request counts.
BOOST_AUTO_TEST_CASE(requestAgeExcludesEarlierTimeOfConnection)
{
    Fixture f;
    f.answersAtOnce = false;
    RawSocket caller = f.connect();
    f.runIterations(5);
    f.advance(std::chrono::seconds(2));
    caller.send(get);
    f.awaitRequest();
    BOOST_TEST((f.clock.now() == f.requests.back().arrivedAt));
    caller.send(get.substr(0, 10));
    f.runIterations(5);
    f.advance(std::chrono::seconds(2));
    f.responders.back()->send(200, {}, "answer");
    f.runIterations(5);
    f.advance(std::chrono::seconds(1));
    caller.send(get.substr(10));
    f.awaitRequest(2);
    BOOST_TEST((f.clock.now() == f.requests.back().arrivedAt));
}

/// More callers connect than are started in one iteration of the event loop. All are accepted, and
/// their waiting time counts for the age of their requests and for the lag of the loop.
BOOST_AUTO_TEST_CASE(requestAgeIncludesTimeAsPendingConnection)
{
    Fixture f;
    f.answersAtOnce = false;
    std::vector<RawSocket> callers;
    for (int i = 0; i < 100; ++i) {
        callers.push_back(f.connect());
        callers.back().send(get);
    }
    Base::Duration lag{};
    Base::Duration oldest{};
    f.requestHook = [&](Responder &) {
        f.clock.advance(std::chrono::milliseconds(4));
        lag = std::max(lag, f.loop.lag().current());
        oldest = std::max(oldest, f.clock.now() - f.requests.back().arrivedAt);
    };
    BOOST_TEST(f.runUntil([&] { return f.requests.size() == 100; }));
    BOOST_TEST((lag >= std::chrono::milliseconds(250)));
    BOOST_TEST((oldest >= std::chrono::milliseconds(250)));
    f.requestHook = nullptr;
    f.expectStillServes();
}

/// Pending connections whose callers have disconnected must not cause idle connections to be
/// closed.
BOOST_AUTO_TEST_CASE(disconnectedCallersDoNotCountAsOpen)
{
    Fixture f(true, 20);
    RawSocket idle = f.connect();
    idle.send(get);
    BOOST_REQUIRE(f.runUntil([&] { return idle.has("answer /p"); }));
    std::vector<RawSocket> burst;
    f.loop.post([&] {
        for (int i = 0; i < 60; ++i) {
            burst.push_back(f.connect());
            burst.back().send(get);
            burst.back().close();
        }
        f.clock.advance(std::chrono::milliseconds(200));
    });
    f.runIterations(10);
    f.advance(std::chrono::seconds(1));
    BOOST_TEST(f.server->openConnections() == 1U);
    BOOST_TEST(!idle.isEnded());
    BOOST_TEST(f.disconnectedUnread == 60);
}

/// Callers that open a new connection for each request leave the old ones idle.
BOOST_AUTO_TEST_CASE(idleConnectionsOverLimitAreClosedOldestFirst)
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
    // With one more connection, an answer closes its connection.
    RawSocket last = f.connect();
    last.send(get);
    f.awaitRequest(15).send(200, {}, "answer");
    BOOST_TEST(f.runUntil([&] { return last.isEnded(); }));
    BOOST_TEST(last.has("Connection: close"));
    BOOST_TEST(f.disconnects == 0);
}
