#define BOOST_TEST_MODULE tst_server
#include "loopback.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

using namespace Lagoonbank;
using namespace Lagoonbank::Http;
using Lagoonbank::Test::PausedLoop;
using Lagoonbank::Test::RawSocket;
using std::string_literals::operator""s;

namespace {

struct Fixture : PausedLoop
{
    explicit Fixture(bool closeMeansLeft = false,
                     std::size_t maxConnections = std::numeric_limits<std::size_t>::max())
    {
        const Server::Limits limits{
            .headBytes = 2000, .bodyBytes = 1000, .requestTimeout = std::chrono::seconds(10)};
        server = std::make_unique<Server>(Server::Options{.loop = &loop,
                                                          .address = {"127.0.0.1", 0},
                                                          .limits = limits,
                                                          .closeMeansLeft = closeMeansLeft,
                                                          .maxConnections = maxConnections,
                                                          .leftUnread = [this] { ++leftUnread; }});
        server->setHandler([this](Request request, const std::shared_ptr<Responder> &responder) {
            requests.push_back(std::move(request));
            responders.push_back(responder);
            responder->setGone([this] { ++gone; });
            if (looked)
                looked(*responder);
            if (answersAtOnce)
                responder->send(200, {{"x-a", "b"}}, "answer " + requests.back().path);
        });
        BOOST_REQUIRE(server->listen());
    }

    RawSocket connect() { return RawSocket(server->address()); }
    Responder &awaitRequest(std::size_t count = 1)
    {
        BOOST_REQUIRE(runUntil([&] { return responders.size() >= count; }));
        return *responders.back();
    }
    /// The server still works after what the test did to it.
    void expectStillServes()
    {
        answersAtOnce = true;
        RawSocket next = connect();
        next.send("GET /next HTTP/1.1\r\nhost: a\r\n\r\n");
        BOOST_TEST(runUntil([&] { return next.has("answer /next"); }));
    }

    std::unique_ptr<Server> server;
    std::vector<Request> requests;
    std::vector<std::shared_ptr<Responder>> responders;
    int gone = 0;
    int leftUnread = 0;
    std::function<void(Responder &responder)> looked; ///< As each request is handed over.
    bool answersAtOnce = true;
};

constexpr std::string_view get = "GET /p?q=1 HTTP/1.1\r\nhost: a\r\nX-Thing: 7\r\n\r\n";

} // namespace

BOOST_AUTO_TEST_CASE(requestComesWholeAndIsAnswered)
{
    Fixture f;
    RawSocket caller = f.connect();
    caller.send("POST /p?q=1 HTTP/1.1\r\nhost: a\r\nX-Thing: 7\r\ncontent-length: 3\r\n\r\nab");
    f.runTurns(5);
    BOOST_TEST(f.requests.empty());
    caller.send("c");
    BOOST_REQUIRE(f.runUntil([&] { return caller.has("answer /p"); }));
    const Request &request = f.requests.at(0);
    BOOST_TEST(request.method == "POST");
    BOOST_TEST(request.path == "/p");
    BOOST_TEST(request.query == "q=1");
    BOOST_TEST(request.body == "abc");
    BOOST_TEST(request.headers.find("x-thing").value_or("") == "7");
    BOOST_TEST(request.peer.ip == "127.0.0.1");
    BOOST_TEST(caller.has("HTTP/1.1 200 OK\r\n"));
    BOOST_TEST(caller.has("x-a: b\r\n"));
    BOOST_TEST(caller.has("Content-Length: 9\r\n"));
    BOOST_TEST(f.gone == 0);
}

BOOST_AUTO_TEST_CASE(badRequestsAreRefusedAndTheNextIsServed)
{
    struct Row
    {
        std::string_view name;
        std::string bytes;
        std::string_view status;
        std::string_view kind; ///< Empty where only the status tells.
    };
    const Row rows[]{
        {"not HTTP", "nonsense\r\n\r\n", "HTTP/1.1 400", ""},
        {"control character in a field", "GET / HTTP/1.1\r\nhost: a\r\na: b\x01\r\n\r\n",
         "HTTP/1.1 400", ""},
        {"null in a field", "GET / HTTP/1.1\r\nhost: a\r\na: b"s + '\0' + "c\r\n\r\n",
         "HTTP/1.1 400", ""},
        {"folded field", "GET / HTTP/1.1\r\nhost: a\r\na: b\r\n c\r\n\r\n", "HTTP/1.1 400", ""},
        {"length not a number", "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: x\r\n\r\n",
         "HTTP/1.1 400", ""},
        {"bad chunk", "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
         "HTTP/1.1 400", "bad_request"},
        {"two unlike lengths",
         "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\ncontent-length: 5\r\n\r\nab",
         "HTTP/1.1 400", "bad_request"},
        {"two like lengths",
         "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\ncontent-length: 2\r\n\r\nab",
         "HTTP/1.1 400", "bad_request"},
        {"list of lengths", "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2, 2\r\n\r\nab",
         "HTTP/1.1 400", "bad_request"},
        {"signed length", "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: +2\r\n\r\nab",
         "HTTP/1.1 400", "bad_request"},
        {"length beside chunks",
         "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n"
         "0\r\n\r\nGET /smuggled HTTP/1.1\r\nhost: a\r\n\r\n",
         "HTTP/1.1 400", "bad_request"},
        {"nested codings",
         "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
         "HTTP/1.1 400", "bad_request"},
        {"unknown coding",
         "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: xchunked\r\n\r\n0\r\n\r\n",
         "HTTP/1.1 400", "bad_request"},
        {"coding twice",
         "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\ntransfer-encoding: chunked"
         "\r\n\r\n0\r\n\r\n",
         "HTTP/1.1 400", "bad_request"},
        {"HTTP/1.0 with chunks",
         "POST / HTTP/1.0\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
         "HTTP/1.1 400", "bad_request"},
        {"bare line feeds", "GET / HTTP/1.1\nhost: a\n\n", "HTTP/1.1 400", "bad_request"},
        {"one bare line feed", "GET / HTTP/1.1\r\nhost: a\nx: y\r\n\r\n", "HTTP/1.1 400",
         "bad_request"},
        {"no host", "GET / HTTP/1.1\r\n\r\n", "HTTP/1.1 400", "bad_request"},
        {"two hosts", "GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n", "HTTP/1.1 400",
         "bad_request"},
        {"space before the colon", "GET / HTTP/1.1\r\nhost : a\r\n\r\n", "HTTP/1.1 400",
         "bad_request"},
        {"space in the target", "GET /a b HTTP/1.1\r\nhost: a\r\n\r\n", "HTTP/1.1 400",
         "bad_request"},
        {"unknown version", "GET / HTTP/1.2\r\nhost: a\r\n\r\n", "HTTP/1.1 400", "bad_request"},
        {"head too large", "GET / HTTP/1.1\r\nhost: a\r\nx: " + std::string(2000, 'x') + "\r\n\r\n",
         "HTTP/1.1 431", "head_too_large"},
        {"length too large", "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1001\r\n\r\n",
         "HTTP/1.1 413", "body_too_large"},
        {"chunks too large",
         "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3e9\r\n"
             + std::string(1001, 'x') + "\r\n",
         "HTTP/1.1 413", "body_too_large"},
    };
    for (const Row &row : rows) {
        BOOST_TEST_CONTEXT(row.name)
        {
            Fixture f;
            RawSocket caller = f.connect();
            caller.send(row.bytes);
            BOOST_TEST(f.runUntil([&] { return caller.isEnded(); }));
            BOOST_TEST(caller.receive().substr(0, row.status.size()) == row.status);
            if (!row.kind.empty())
                BOOST_TEST(caller.has("\"kind\":\"" + std::string(row.kind) + "\""));
            BOOST_TEST(f.requests.empty());
            f.expectStillServes();
        }
    }
}

BOOST_AUTO_TEST_CASE(slowSendersAreCut)
{
    for (const std::string_view sent :
         {"G",
          "GET / HTTP/1.1\r\nhost:", "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\na"}) {
        BOOST_TEST_CONTEXT(sent)
        {
            Fixture f;
            RawSocket caller = f.connect();
            caller.send(sent);
            f.runTurns(5);
            for (int i = 0; i < 36; ++i)
                f.advance(std::chrono::milliseconds(250));
            BOOST_TEST(!caller.isEnded());
            for (int i = 0; i < 8; ++i)
                f.advance(std::chrono::milliseconds(250));
            BOOST_TEST(f.runUntil([&] { return caller.isEnded(); }));
            BOOST_TEST(caller.has("HTTP/1.1 408"));
            BOOST_TEST(caller.has("slow_sender"));
            BOOST_TEST(f.requests.empty());
            f.expectStillServes();
        }
    }
}

BOOST_AUTO_TEST_CASE(idleConnectionsStayAWhile)
{
    Fixture f;
    RawSocket caller = f.connect();
    caller.send(get);
    BOOST_REQUIRE(f.runUntil([&] { return caller.has("answer"); }));
    for (int i = 0; i < 118; ++i)
        f.advance(std::chrono::milliseconds(500));
    BOOST_TEST(!caller.isEnded());
    for (int i = 0; i < 4; ++i)
        f.advance(std::chrono::milliseconds(500));
    BOOST_TEST(f.runUntil([&] { return caller.isEnded(); }));
    BOOST_TEST(f.server->openConnections() == 0U);
}

BOOST_AUTO_TEST_CASE(longAnswersAreNotCutAsSlow)
{
    Fixture f;
    f.answersAtOnce = false;
    RawSocket caller = f.connect();
    caller.send(get);
    Responder &responder = f.awaitRequest();
    for (int i = 0; i < 200; ++i)
        f.advance(std::chrono::seconds(1));
    responder.send(200, {}, "late");
    BOOST_TEST(f.runUntil([&] { return caller.has("late"); }));
}

BOOST_AUTO_TEST_CASE(answerHeadersCannotBeInjected)
{
    Fixture f;
    f.answersAtOnce = false;
    RawSocket caller = f.connect();
    caller.send(get);
    f.awaitRequest().send(200, {{"a", "b\r\nc: d"}, {"e\r\nf", "g"}, {"h", "i"}}, "body");
    BOOST_REQUIRE(f.runUntil([&] { return caller.has("body"); }));
    BOOST_TEST(!caller.has("c: d"));
    BOOST_TEST(!caller.has("f: g"));
    BOOST_TEST(caller.has("h: i\r\n"));
}

BOOST_AUTO_TEST_CASE(streamComesPieceByPiece)
{
    Fixture f;
    f.answersAtOnce = false;
    RawSocket caller = f.connect();
    caller.send(get);
    Responder &responder = f.awaitRequest();
    responder.begin(200, {{"content-type", "text/event-stream"}});
    responder.write("one");
    BOOST_TEST(f.runUntil([&] { return caller.has("one"); }));
    responder.write("two");
    BOOST_TEST(f.runUntil([&] { return caller.has("two"); }));
    responder.write("three");
    responder.end();
    responder.write("never");
    BOOST_TEST(f.runUntil([&] { return caller.has("\r\n0\r\n\r\n"); }));
    BOOST_TEST(!caller.has("never"));
    BOOST_TEST(f.gone == 0);
    caller.send(get);
    f.awaitRequest(2).send(200, {}, "second");
    BOOST_TEST(f.runUntil([&] { return caller.has("second"); }));
}

BOOST_AUTO_TEST_CASE(abortedAnswersAreSeenAsCut)
{
    struct Row
    {
        std::string_view name;
        std::string_view version;
        bool begins;
        bool lets;
        bool isReset;
    };
    const Row rows[]{{"before the head", "1.1", false, false, false},
                     {"at once after the head", "1.1", true, false, false},
                     {"after a piece", "1.1", true, true, false},
                     {"after a piece, HTTP/1.0", "1.0", true, true, true}};
    for (const Row &row : rows) {
        BOOST_TEST_CONTEXT(row.name)
        {
            Fixture f;
            f.answersAtOnce = false;
            RawSocket caller = f.connect();
            caller.send("GET / HTTP/" + std::string(row.version) + "\r\nhost: a\r\n\r\n");
            Responder &responder = f.awaitRequest();
            if (row.begins) {
                responder.begin(200, {});
                responder.write("piece");
            }
            if (row.lets)
                BOOST_REQUIRE(f.runUntil([&] { return caller.has("piece"); }));
            responder.abort();
            responder.write("never");
            BOOST_TEST(f.runUntil([&] { return caller.isEnded(); }));
            BOOST_TEST(!caller.has("\r\n0\r\n"));
            BOOST_TEST(!caller.has("never"));
            BOOST_TEST(caller.has("HTTP/1.1 200") == row.begins);
            BOOST_TEST(caller.isReset() == row.isReset);
            BOOST_TEST(f.gone == 0);
            f.expectStillServes();
        }
    }
}

BOOST_AUTO_TEST_CASE(callerThatLeavesIsNoticed)
{
    struct Row
    {
        std::string_view name;
        bool streams;
        bool resets;
    };
    const Row rows[]{{"reset before the head", false, true},
                     {"reset in the stream", true, true},
                     {"closed in the stream", true, false}};
    for (const Row &row : rows) {
        BOOST_TEST_CONTEXT(row.name)
        {
            Fixture f;
            f.answersAtOnce = false;
            RawSocket caller = f.connect();
            caller.send(get);
            Responder &responder = f.awaitRequest();
            if (row.streams) {
                responder.begin(200, {});
                responder.write("piece");
                BOOST_REQUIRE(f.runUntil([&] { return caller.has("piece"); }));
            }
            if (row.resets)
                caller.reset();
            else
                caller.close();
            f.runTurns(3);
            if (!row.resets)
                responder.write("more");
            BOOST_TEST(f.runUntil([&] {
                f.clock.advance(std::chrono::milliseconds(50));
                return f.gone > 0;
            }));
            BOOST_TEST(f.gone == 1);
            BOOST_TEST(responder.isGone());
            responder.write("into the void");
            responder.end();
            BOOST_TEST(f.runUntil([&] { return f.server->openConnections() == 0; }));
            BOOST_TEST(f.gone == 1);
            f.expectStillServes();
        }
    }
}

BOOST_AUTO_TEST_CASE(callerThatClosesBeforeItsAnswerIsNoticedAtOnce)
{
    for (const bool resets : {false, true}) {
        BOOST_TEST_CONTEXT(resets)
        {
            Fixture f(true);
            f.answersAtOnce = false;
            RawSocket caller = f.connect();
            caller.send(get);
            const Responder &responder = f.awaitRequest();
            if (resets)
                caller.reset();
            else
                caller.close();
            // The clock stands still: no timer is needed for it.
            BOOST_TEST(f.runUntil([&] { return f.gone == 1; }));
            BOOST_TEST(responder.isGone());
            BOOST_TEST(f.server->openConnections() == 0U);
            f.expectStillServes();
        }
    }
}

BOOST_AUTO_TEST_CASE(bytesBehindARequestAreTheNextRequest)
{
    Fixture f;
    RawSocket caller = f.connect();
    caller.send("GET /1 HTTP/1.1\r\nhost: a\r\n\r\nnonsense\r\n\r\n");
    BOOST_TEST(f.runUntil([&] { return caller.isEnded(); }));
    BOOST_TEST(caller.receive().find("answer /1") < caller.receive().find("HTTP/1.1 400"));
    BOOST_TEST(caller.has("HTTP/1.1 400"));
    BOOST_TEST(f.requests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(callerThatWaitsForLeaveToSendGetsIt)
{
    Fixture f;
    RawSocket caller = f.connect();
    caller.send("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\nexpect: 100-continue\r\n\r\n");
    BOOST_REQUIRE(f.runUntil([&] { return caller.has("HTTP/1.1 100 Continue\r\n\r\n"); }));
    caller.send("abc");
    BOOST_REQUIRE(f.runUntil([&] { return caller.has("answer /"); }));
    BOOST_TEST(f.requests.at(0).body == "abc");
}

BOOST_AUTO_TEST_CASE(callerOfHttp10IsServed)
{
    Fixture f;
    RawSocket caller = f.connect();
    caller.send("GET /old HTTP/1.0\r\n\r\n");
    BOOST_TEST(f.runUntil([&] { return caller.isEnded(); }));
    BOOST_TEST(caller.has("Connection: close\r\n"));
    BOOST_TEST(caller.has("answer /old"));
}

BOOST_AUTO_TEST_CASE(drainingServerServesAndEndsEachConnection)
{
    Fixture f;
    RawSocket kept = f.connect();
    kept.send(get);
    BOOST_REQUIRE(f.runUntil([&] { return kept.has("answer"); }));
    f.server->startDraining();
    f.advance(std::chrono::seconds(5));
    BOOST_TEST(!kept.isEnded());
    for (RawSocket *caller : {&kept}) {
        caller->send(get);
        BOOST_TEST(f.runUntil([&] { return caller->has("Connection: close"); }));
        BOOST_TEST(f.runUntil([&] { return caller->isEnded(); }));
    }
    RawSocket fresh = f.connect();
    fresh.send(get);
    BOOST_TEST(f.runUntil([&] { return fresh.has("Connection: close"); }));
    BOOST_TEST(f.runUntil([&] { return fresh.isEnded(); }));
    BOOST_TEST(fresh.has("answer"));
}

BOOST_AUTO_TEST_CASE(stoppedServerAnswersARequestThatCameAsItClosed)
{
    Fixture f;
    RawSocket kept = f.connect();
    kept.send(get);
    BOOST_REQUIRE(f.runUntil([&] { return kept.has("answer"); }));
    const std::size_t before = kept.receive().size();
    kept.send(get); // Arrived, and not yet read.
    f.server->stopAccepting();
    BOOST_TEST(f.runUntil([&] { return kept.isEnded(); }));
    BOOST_TEST(kept.receive().find("answer", before) != std::string::npos);
}

BOOST_AUTO_TEST_CASE(halfClosedCallerGetsItsAnswer)
{
    for (const bool streams : {false, true}) {
        Fixture f;
        f.answersAtOnce = false;
        RawSocket caller = f.connect();
        caller.send(get);
        caller.finishSending();
        Responder &responder = f.awaitRequest();
        f.runTurns(5);
        f.advance(std::chrono::seconds(1));
        BOOST_TEST(f.gone == 0);
        if (streams) {
            responder.begin(200, {});
            responder.write("the whole ");
            f.advance(std::chrono::seconds(1));
            responder.write("answer");
            responder.end();
            BOOST_TEST(f.runUntil([&] { return caller.has("0\r\n\r\n"); }));
        } else {
            responder.send(200, {}, "the whole answer");
        }
        BOOST_TEST(f.runUntil([&] { return caller.has("answer"); }));
        BOOST_TEST(f.runUntil([&] { return caller.isEnded(); }));
        BOOST_TEST(f.gone == 0);
    }
}

/// The loop stands still for a while with what callers did lying unread, on new connections and on
/// kept ones.
BOOST_AUTO_TEST_CASE(closeThatLiesUnreadIsFoundByALook)
{
    struct Row
    {
        std::string_view name;
        std::string_view bytes;
        bool closeMeansLeft;
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
                Fixture f(row.closeMeansLeft);
                RawSocket caller = f.connect();
                if (isKept) {
                    caller.send("GET /first HTTP/1.1\r\nhost: a\r\n\r\n");
                    BOOST_REQUIRE(f.runUntil([&] { return caller.has("answer /first"); }));
                }
                const std::size_t before = f.responders.size();
                f.answersAtOnce = false;
                bool isFound = false;
                f.looked = [&](Responder &responder) {
                    responder.lookForClose();
                    isFound = responder.isGone();
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
        ages.push_back(loop.clock().now() - request.cameAt);
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
    BOOST_TEST((f.clock.now() - f.requests.back().cameAt == std::chrono::milliseconds(600)));
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
        const Base::Duration age = f.clock.now() - f.requests.back().cameAt;
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
    BOOST_TEST((f.clock.now() == f.requests.back().cameAt));
    caller.send(get.substr(0, 10));
    f.runTurns(5);
    f.advance(std::chrono::seconds(2));
    f.responders.back()->send(200, {}, "answer");
    f.runTurns(5);
    f.advance(std::chrono::seconds(1));
    caller.send(get.substr(10));
    f.awaitRequest(2);
    BOOST_TEST((f.clock.now() == f.requests.back().cameAt));
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
        behind = std::max(behind, f.loop.lag().behind());
        oldest = std::max(oldest, f.clock.now() - f.requests.back().cameAt);
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
    BOOST_TEST(f.leftUnread == 60);
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

BOOST_AUTO_TEST_CASE(pipelinedRequestsAreAnsweredInOrder)
{
    Fixture f;
    RawSocket caller = f.connect();
    caller.send("GET /1 HTTP/1.1\r\nhost: a\r\n\r\nGET /2 HTTP/1.1\r\nhost: a\r\n\r\n"
                "GET /3 HTTP/1.1\r\nhost: a\r\n\r\n");
    BOOST_TEST(f.runUntil([&] { return caller.has("answer /3"); }));
    const std::string &all = caller.receive();
    BOOST_TEST(all.find("answer /1") < all.find("answer /2"));
    BOOST_TEST(all.find("answer /2") < all.find("answer /3"));
}

BOOST_AUTO_TEST_CASE(largeAnswerToASlowReaderComesWhole)
{
    Fixture f;
    f.answersAtOnce = false;
    RawSocket caller = f.connect();
    caller.send(get);
    Responder &responder = f.awaitRequest();
    responder.begin(200, {});
    const std::string block(1024 * 1024, 'x');
    for (int i = 0; i < 16; ++i)
        responder.write(block);
    f.runTurns(5);
    BOOST_TEST(responder.queuedBytes() > 0U);
    responder.end();
    BOOST_TEST(f.runUntil([&] { return caller.receive().size() > 16 * block.size(); }));
    BOOST_TEST(f.runUntil([&] { return caller.receive().ends_with("0\r\n\r\n"); }));
    BOOST_TEST(responder.queuedBytes() == 0U);
}

BOOST_AUTO_TEST_CASE(stoppedServerFinishesWhatIsOpen)
{
    Fixture f;
    f.answersAtOnce = false;
    RawSocket caller = f.connect();
    RawSocket idle = f.connect();
    caller.send(get);
    Responder &responder = f.awaitRequest();
    f.server->stopAccepting();
    f.runTurns(3);
    responder.send(200, {}, "last");
    BOOST_TEST(f.runUntil([&] { return caller.has("last"); }));
    BOOST_TEST(f.runUntil([&] { return caller.isEnded(); }));
    BOOST_TEST(f.runUntil([&] { return idle.isEnded(); }));
    BOOST_TEST(f.server->openConnections() == 0U);
}

BOOST_AUTO_TEST_CASE(serversThatShareAContextStopAlone)
{
    PausedLoop loop;
    const auto make = [&](const std::string &name) {
        auto server = std::make_unique<Server>(Server::Options{
            .loop = &loop.loop, .address = {"127.0.0.1", 0}, .sharesContext = true});
        server->setHandler([name](const Request &, const std::shared_ptr<Responder> &responder) {
            responder->send(200, {}, name);
        });
        BOOST_REQUIRE(server->listen());
        return server;
    };
    auto first = make("first");
    const auto second = make("second");
    RawSocket toFirst(first->address());
    RawSocket toSecond(second->address());
    toFirst.send(get);
    toSecond.send(get);
    BOOST_TEST(loop.runUntil([&] { return toFirst.has("first") && toSecond.has("second"); }));
    first->stopAccepting();
    BOOST_TEST(loop.runUntil([&] { return toFirst.isEnded(); }));
    first.reset();
    const std::size_t before = toSecond.receive().size();
    toSecond.send("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
    BOOST_TEST(loop.runUntil(
        [&] { return toSecond.receive().find("second", before) != std::string::npos; }));
    BOOST_TEST(!toSecond.has("Connection: close"));
}

BOOST_AUTO_TEST_CASE(destroyedServerBreaksOffItsConnections)
{
    Fixture f;
    f.answersAtOnce = false;
    RawSocket caller = f.connect();
    caller.send(get);
    Responder &responder = f.awaitRequest();
    responder.begin(200, {});
    f.server.reset();
    responder.write("never");
    BOOST_TEST(f.runUntil([&] { return caller.isEnded(); }));
    BOOST_TEST(!caller.has("never"));
}
