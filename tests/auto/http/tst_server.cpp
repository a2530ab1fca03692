#define BOOST_TEST_MODULE tst_server
#include "serverfixture.h"

#include <memory>

using namespace Lagoonbank;
using namespace Lagoonbank::Http;
using Lagoonbank::Test::get;
using Lagoonbank::Test::RawSocket;
using Fixture = Lagoonbank::Test::ServerFixture;
using std::string_literals::operator""s;

BOOST_AUTO_TEST_CASE(completeRequestIsAnswered)
{
    Fixture f;
    RawSocket caller = f.connect();
    caller.send("POST /p?q=1 HTTP/1.1\r\nhost: a\r\nX-Thing: 7\r\ncontent-length: 3\r\n\r\nab");
    f.runIterations(5);
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
    BOOST_TEST(f.disconnects == 0);
}

BOOST_AUTO_TEST_CASE(malformedRequestsAreRefusedAndNextIsServed)
{
    struct Row
    {
        std::string_view name;
        std::string bytes;
        std::string_view status;
        std::string_view kind; ///< Not checked if empty.
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

BOOST_AUTO_TEST_CASE(slowSendersAreRefused)
{
    for (const std::string_view sent :
         {"G",
          "GET / HTTP/1.1\r\nhost:", "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\na"}) {
        BOOST_TEST_CONTEXT(sent)
        {
            Fixture f;
            RawSocket caller = f.connect();
            caller.send(sent);
            f.runIterations(5);
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

BOOST_AUTO_TEST_CASE(idleConnectionsAreClosedAfterIdleTimeout)
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

BOOST_AUTO_TEST_CASE(longAnswersDoNotTimeOut)
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

BOOST_AUTO_TEST_CASE(streamedAnswerArrivesPieceByPiece)
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
    BOOST_TEST(f.disconnects == 0);
    caller.send(get);
    f.awaitRequest(2).send(200, {}, "second");
    BOOST_TEST(f.runUntil([&] { return caller.has("second"); }));
}

BOOST_AUTO_TEST_CASE(abortedAnswersAreVisiblyIncomplete)
{
    struct Row
    {
        std::string_view name;
        std::string_view version;
        bool begins;
        bool awaitsPiece;
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
            if (row.awaitsPiece)
                BOOST_REQUIRE(f.runUntil([&] { return caller.has("piece"); }));
            responder.abort();
            responder.write("never");
            BOOST_TEST(f.runUntil([&] { return caller.isEnded(); }));
            BOOST_TEST(!caller.has("\r\n0\r\n"));
            BOOST_TEST(!caller.has("never"));
            BOOST_TEST(caller.has("HTTP/1.1 200") == row.begins);
            BOOST_TEST(caller.isReset() == row.isReset);
            BOOST_TEST(f.disconnects == 0);
            f.expectStillServes();
        }
    }
}

BOOST_AUTO_TEST_CASE(callerDisconnectIsDetected)
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
            f.runIterations(3);
            if (!row.resets)
                responder.write("more");
            BOOST_TEST(f.runUntil([&] {
                f.clock.advance(std::chrono::milliseconds(50));
                return f.disconnects > 0;
            }));
            BOOST_TEST(f.disconnects == 1);
            BOOST_TEST(responder.isDisconnected());
            responder.write("into the void");
            responder.end();
            BOOST_TEST(f.runUntil([&] { return f.server->openConnections() == 0; }));
            BOOST_TEST(f.disconnects == 1);
            f.expectStillServes();
        }
    }
}

BOOST_AUTO_TEST_CASE(closeBeforeAnswerIsDetectedImmediately)
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
            // The clock does not advance, so no timer is involved.
            BOOST_TEST(f.runUntil([&] { return f.disconnects == 1; }));
            BOOST_TEST(responder.isDisconnected());
            BOOST_TEST(f.server->openConnections() == 0U);
            f.expectStillServes();
        }
    }
}

BOOST_AUTO_TEST_CASE(bytesAfterRequestAreParsedAsNextRequest)
{
    Fixture f;
    RawSocket caller = f.connect();
    caller.send("GET /1 HTTP/1.1\r\nhost: a\r\n\r\nnonsense\r\n\r\n");
    BOOST_TEST(f.runUntil([&] { return caller.isEnded(); }));
    BOOST_TEST(caller.receive().find("answer /1") < caller.receive().find("HTTP/1.1 400"));
    BOOST_TEST(caller.has("HTTP/1.1 400"));
    BOOST_TEST(f.requests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(expectContinueIsAnswered)
{
    Fixture f;
    RawSocket caller = f.connect();
    caller.send("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\nexpect: 100-continue\r\n\r\n");
    BOOST_REQUIRE(f.runUntil([&] { return caller.has("HTTP/1.1 100 Continue\r\n\r\n"); }));
    caller.send("abc");
    BOOST_REQUIRE(f.runUntil([&] { return caller.has("answer /"); }));
    BOOST_TEST(f.requests.at(0).body == "abc");
}

BOOST_AUTO_TEST_CASE(http10RequestIsServed)
{
    Fixture f;
    RawSocket caller = f.connect();
    caller.send("GET /old HTTP/1.0\r\n\r\n");
    BOOST_TEST(f.runUntil([&] { return caller.isEnded(); }));
    BOOST_TEST(caller.has("Connection: close\r\n"));
    BOOST_TEST(caller.has("answer /old"));
}

BOOST_AUTO_TEST_CASE(drainingServerClosesConnectionsAfterAnswer)
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

BOOST_AUTO_TEST_CASE(stoppedServerAnswersUnreadRequest)
{
    Fixture f;
    RawSocket kept = f.connect();
    kept.send(get);
    BOOST_REQUIRE(f.runUntil([&] { return kept.has("answer"); }));
    const std::size_t before = kept.receive().size();
    kept.send(get); // Arrives but is not read yet.
    f.server->stopAccepting();
    BOOST_TEST(f.runUntil([&] { return kept.isEnded(); }));
    BOOST_TEST(kept.receive().find("answer", before) != std::string::npos);
}

BOOST_AUTO_TEST_CASE(halfClosedCallerReceivesAnswer)
{
    for (const bool streams : {false, true}) {
        Fixture f;
        f.answersAtOnce = false;
        RawSocket caller = f.connect();
        caller.send(get);
        caller.finishSending();
        Responder &responder = f.awaitRequest();
        f.runIterations(5);
        f.advance(std::chrono::seconds(1));
        BOOST_TEST(f.disconnects == 0);
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
        BOOST_TEST(f.disconnects == 0);
    }
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

BOOST_AUTO_TEST_CASE(largeAnswerToSlowReaderIsComplete)
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
    f.runIterations(5);
    BOOST_TEST(responder.queuedBytes() > 0U);
    responder.end();
    BOOST_TEST(f.runUntil([&] { return caller.receive().size() > 16 * block.size(); }));
    BOOST_TEST(f.runUntil([&] { return caller.receive().ends_with("0\r\n\r\n"); }));
    BOOST_TEST(responder.queuedBytes() == 0U);
}

BOOST_AUTO_TEST_CASE(stoppedServerFinishesOpenRequests)
{
    Fixture f;
    f.answersAtOnce = false;
    RawSocket caller = f.connect();
    RawSocket idle = f.connect();
    caller.send(get);
    Responder &responder = f.awaitRequest();
    f.server->stopAccepting();
    f.runIterations(3);
    responder.send(200, {}, "last");
    BOOST_TEST(f.runUntil([&] { return caller.has("last"); }));
    BOOST_TEST(f.runUntil([&] { return caller.isEnded(); }));
    BOOST_TEST(f.runUntil([&] { return idle.isEnded(); }));
    BOOST_TEST(f.server->openConnections() == 0U);
}

BOOST_AUTO_TEST_CASE(serversSharingContextStopIndependently)
{
    Test::PausedLoop loop;
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

BOOST_AUTO_TEST_CASE(destroyedServerClosesConnections)
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
