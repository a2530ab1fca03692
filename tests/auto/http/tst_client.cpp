#define BOOST_TEST_MODULE tst_client
#include "clientfixture.h"

#include <memory>
#include <optional>
#include <vector>

using namespace Lagoonbank;
using namespace Lagoonbank::Http;
using Lagoonbank::Test::RawListener;
using Lagoonbank::Test::RawSocket;

namespace {

struct AnswerCase
{
    std::string_view name;
    std::string_view method;
    std::string_view bytes;
    bool closesAfter;
    CallEnd end;
    std::string_view body;
};

constexpr AnswerCase answerCases[]{
    {"length", "GET", completeAnswer, false, CallEnd::Whole, "ok"},
    {"length, more follows", "GET", "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nab", false,
     CallEnd::Whole, "a"},
    {"length cut", "GET", "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nok", true, CallEnd::Broken,
     "ok"},
    {"head cut", "GET", "HTTP/1.1 200 OK\r\ncontent-le", true, CallEnd::Broken, ""},
    {"nothing", "GET", "", true, CallEnd::Broken, ""},
    {"chunked", "GET",
     "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n1;x=y\r\n!\r\n0\r\n\r\n",
     false, CallEnd::Whole, "ok!"},
    {"chunked with trailer", "GET",
     "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\na: b\r\n\r\n", false,
     CallEnd::Whole, "ok"},
    {"chunked, no last chunk", "GET",
     "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n", true, CallEnd::Broken,
     "ok"},
    {"chunked, cut in the last", "GET",
     "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", true, CallEnd::Broken,
     "ok"},
    {"chunked, bad size", "GET", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
     false, CallEnd::Broken, ""},
    {"chunk longer than its size", "GET",
     "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\nok\r\n", false, CallEnd::Broken,
     "o"},
    {"until close", "GET", "HTTP/1.1 200 OK\r\n\r\nok", true, CallEnd::Whole, "ok"},
    {"until close, HTTP/1.0", "GET", "HTTP/1.0 200 OK\r\n\r\nok", true, CallEnd::Whole, "ok"},
    {"no content", "GET", "HTTP/1.1 204 No Content\r\n\r\n", false, CallEnd::Whole, ""},
    {"to HEAD", "HEAD", "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n", false, CallEnd::Whole, ""},
    {"interim first", "GET",
     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", false,
     CallEnd::Whole, "ok"},
    {"two lengths", "GET", "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nok",
     false, CallEnd::Broken, ""},
    {"length and chunked", "GET",
     "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n", false,
     CallEnd::Broken, ""},
    {"bare carriage return in a field", "GET",
     "HTTP/1.1 200 OK\r\na: b\rc: d\r\ncontent-length: 2\r\n\r\nok", false, CallEnd::Broken, ""},
    {"folded field", "GET", "HTTP/1.1 200 OK\r\na: b\r\n c\r\ncontent-length: 0\r\n\r\n", false,
     CallEnd::Broken, ""},
    {"space in a field's name", "GET", "HTTP/1.1 200 OK\r\na : b\r\ncontent-length: 0\r\n\r\n",
     false, CallEnd::Broken, ""},
    {"not HTTP", "GET", "SSH-2.0-x\r\n\r\n", false, CallEnd::Broken, ""},
    {"switching protocols", "GET", "HTTP/1.1 101 Switching Protocols\r\n\r\n", false,
     CallEnd::Broken, ""},
};

} // namespace

BOOST_AUTO_TEST_CASE(framingDeterminesWhetherAnswerIsComplete)
{
    for (const AnswerCase &row : answerCases) {
        BOOST_TEST_CONTEXT(row.name)
        {
            ClientFixture f;
            f.start(f.call(std::string(row.method)));
            RawSocket server = f.acceptRequest();
            server.send(row.bytes);
            if (row.closesAfter)
                server.finishSending();
            const CallResult &result = f.finished();
            BOOST_TEST(result.end == row.end);
            BOOST_TEST(result.body == row.body);
            BOOST_TEST(result.mayHaveBeenSent);
            BOOST_TEST(f.sendingCalls == 1);
            BOOST_TEST(f.client.activeCalls() == 0U);
        }
    }
}

BOOST_AUTO_TEST_CASE(answersAreParsedTheSameByteByByte)
{
    for (const AnswerCase &row : answerCases) {
        BOOST_TEST_CONTEXT(row.name)
        {
            ClientFixture f;
            f.start(f.call(std::string(row.method)));
            RawSocket server = f.acceptRequest();
            for (std::size_t i = 0; i < row.bytes.size() && f.results.empty(); ++i) {
                server.send(row.bytes.substr(i, 1));
                f.loop.runOnce(std::chrono::milliseconds(1));
            }
            if (row.closesAfter)
                server.finishSending();
            BOOST_TEST(f.finished().end == row.end);
            BOOST_TEST(f.finished().body == row.body);
        }
    }
}

BOOST_AUTO_TEST_CASE(resetWhileReadingUntilCloseIsBroken)
{
    ClientFixture f;
    f.start(f.call());
    RawSocket server = f.acceptRequest();
    server.send("HTTP/1.1 200 OK\r\n\r\nok");
    server.reset();
    BOOST_TEST(f.finished().end == CallEnd::Broken);
}

/// Guards against a reset that completes an answer: the system reports the error of the connection
/// to the write of the request's rest, and a read after that finds the end of the input.
BOOST_AUTO_TEST_CASE(resetDuringWriteDoesNotCompleteAnswer)
{
    ClientFixture f;
    Call call = f.call("POST");
    call.body = std::string(16 * 1024 * 1024, 'x'); // Exceeds the socket buffers.
    f.start(std::move(call));
    RawSocket server = f.accept();
    f.runIterations(5);
    server.send("HTTP/1.1 200 OK\r\n\r\nok");
    f.runIterations(5);
    server.reset();
    BOOST_TEST(f.finished().end == CallEnd::Broken);
}

/// Guards against requests that reach their server long after they were given up: the system goes
/// on sending what a connection that is closed in order still holds, also once a partition has
/// ended.
BOOST_AUTO_TEST_CASE(cancelledRequestIsNotSentOn)
{
    ClientFixture f;
    Call call = f.call("POST");
    call.body = std::string(16 * 1024 * 1024, 'x'); // Exceeds the socket buffers.
    const CallId id = f.start(std::move(call));
    RawSocket server = f.accept();
    f.runIterations(5);
    f.client.cancel(id);
    BOOST_TEST(f.runUntil([&] { return server.isEnded(); }));
    BOOST_TEST(server.isReset());
}

/// Guards against servers that miss a cancellation: a reset that is lost is not repeated, an
/// orderly close is. Once the server has answered, nothing of the request is left to be sent.
BOOST_AUTO_TEST_CASE(cancelledCallWithAnAnswerIsClosedInOrder)
{
    ClientFixture f;
    const CallId id = f.start(f.call());
    RawSocket server = f.acceptRequest();
    server.send("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
    f.runIterations(5);
    f.client.cancel(id);
    BOOST_TEST(f.runUntil([&] { return server.isEnded(); }));
    BOOST_TEST(!server.isReset());
}

BOOST_AUTO_TEST_CASE(answerBeforeRequestIsSentIsRead)
{
    ClientFixture f;
    Call call = f.call("POST");
    call.body = std::string(16 * 1024 * 1024, 'x'); // Exceeds the socket buffers.
    f.start(std::move(call));
    RawSocket server = f.accept();
    f.runIterations(5);
    server.send("HTTP/1.1 413 Content Too Large\r\ncontent-length: 2\r\n\r\nno");
    const CallResult &result = f.finished();
    BOOST_TEST(result.end == CallEnd::Whole);
    BOOST_TEST(result.status == 413);
    BOOST_TEST(result.body == "no");
    BOOST_TEST(f.runUntil([&] { return server.isEnded(); }));
}

BOOST_AUTO_TEST_CASE(endlessHeadIsBroken)
{
    ClientFixture f;
    f.start(f.call());
    RawSocket server = f.acceptRequest();
    server.send("HTTP/1.1 200 OK\r\na: ");
    const std::string part(1000, 'x');
    for (int sent = 0; sent < 1000 && f.results.empty(); ++sent) {
        server.send(part);
        f.runIterations(1);
    }
    BOOST_REQUIRE(!f.results.empty());
    BOOST_TEST(f.results.back().end == CallEnd::Broken);
}

BOOST_AUTO_TEST_CASE(requestIsWrittenCompletely)
{
    ClientFixture f;
    Call call = f.call("POST");
    call.body = "{}";
    call.headers.add("x-request-id", "r1");
    call.headers.add("content-length", "99");
    f.start(std::move(call));
    RawSocket server = f.accept();
    BOOST_REQUIRE(f.runUntil([&] { return server.has("{}"); }));
    BOOST_TEST(server.receive()
               == "POST /x?y=1 HTTP/1.1\r\nhost: " + toString(f.listener.address)
                   + "\r\nx-request-id: r1\r\ncontent-length: 2\r\n\r\n{}");
}

BOOST_AUTO_TEST_CASE(headersCannotBeInjected)
{
    const std::vector<std::function<void(Call &)>> attacks{
        [](Call &call) { call.headers.add("a", "b\r\nc: d"); },
        [](Call &call) { call.headers.add("a", "b\nc: d"); },
        [](Call &call) { call.headers.add("a\r\nb", "c"); },
        [](Call &call) { call.headers.add("a", std::string("b\0", 2)); },
        [](Call &call) { call.target = "/ HTTP/1.1\r\na: b\r\n\r\n"; },
        [](Call &call) { call.target = "/a b"; },
        [](Call &call) { call.method = "GET /"; },
    };
    for (const auto &attack : attacks) {
        ClientFixture f;
        Call call = f.call();
        attack(call);
        f.start(std::move(call));
        BOOST_TEST(f.results.empty()); // Never from within start().
        const CallResult &result = f.finished();
        BOOST_TEST(result.end == CallEnd::NotConnected);
        BOOST_TEST(!result.mayHaveBeenSent);
        BOOST_TEST(f.sendingCalls == 0);
        BOOST_TEST(f.listener.accept() == -1);
    }
}

BOOST_AUTO_TEST_CASE(refusedConnectionIsNotConnected)
{
    ClientFixture f;
    Call call = f.call();
    {
        const RawListener closedListener;
        call.server = closedListener.address;
    }
    f.start(std::move(call));
    BOOST_TEST(f.results.empty());
    const CallResult &result = f.finished();
    BOOST_TEST(result.end == CallEnd::NotConnected);
    BOOST_TEST(!result.mayHaveBeenSent);
    BOOST_TEST(f.sendingCalls == 0);
}

BOOST_AUTO_TEST_CASE(silentServersTimeOutAndConnectionsAreNotReused)
{
    struct Row
    {
        std::string_view name;
        std::string_view sent;
        Base::Duration beforeTimeout;
        Base::Duration remaining;
        int status;
    };
    const Row rows[]{
        {"no head", "", std::chrono::seconds(9), std::chrono::seconds(1), 0},
        {"half a head", "HTTP/1.1 200", std::chrono::seconds(9), std::chrono::seconds(1), 0},
        {"no body", "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n", std::chrono::seconds(4),
         std::chrono::seconds(1), 200},
        {"half a body", "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\no", std::chrono::seconds(4),
         std::chrono::seconds(1), 200},
    };
    for (const Row &row : rows) {
        BOOST_TEST_CONTEXT(row.name)
        {
            ClientFixture f;
            Call call = f.call();
            call.headTimeout = std::chrono::seconds(10);
            call.progressTimeout = std::chrono::seconds(5);
            f.start(std::move(call));
            RawSocket server = f.acceptRequest();
            server.send(row.sent);
            f.runIterations(5);
            f.advance(row.beforeTimeout);
            BOOST_TEST(f.results.empty());
            f.advance(row.remaining);
            const CallResult &result = f.finished();
            BOOST_TEST(result.end == CallEnd::TimedOut);
            BOOST_TEST(result.mayHaveBeenSent);
            BOOST_TEST(result.status == row.status);
            f.start(f.call());
            RawSocket second = f.accept();
            BOOST_TEST(f.runUntil([&] { return second.has("\r\n\r\n"); }));
            BOOST_TEST(server.isEnded());
        }
    }
}

BOOST_AUTO_TEST_CASE(progressPostponesOnlyTheProgressDeadline)
{
    ClientFixture f;
    Call call = f.call();
    call.progressTimeout = std::chrono::seconds(5);
    call.totalTimeout = std::chrono::seconds(13);
    f.start(std::move(call));
    RawSocket server = f.acceptRequest();
    server.send("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n");
    for (int i = 0; i < 3; ++i) {
        server.send("x");
        f.runIterations(5);
        f.advance(std::chrono::seconds(4));
        BOOST_TEST(f.results.empty());
    }
    server.send("x");
    f.runIterations(5);
    f.advance(std::chrono::seconds(1));
    BOOST_TEST(f.finished().end == CallEnd::TimedOut);
    BOOST_TEST(f.results.back().body == "xxxx");
}

BOOST_AUTO_TEST_CASE(tooLargeAnswerEndsTheCall)
{
    ClientFixture f;
    Call call = f.call();
    call.maxBodyBytes = 1;
    f.start(std::move(call));
    RawSocket server = f.acceptRequest();
    server.send(completeAnswer);
    BOOST_TEST(f.finished().end == CallEnd::TooLarge);
    BOOST_TEST(f.runUntil([&] { return server.isEnded(); }));
}

BOOST_AUTO_TEST_CASE(cancelClosesConnectionAndCallsNoHook)
{
    ClientFixture f;
    const CallId id = f.start(f.call());
    RawSocket server = f.acceptRequest();
    f.client.cancel(id);
    BOOST_TEST(f.client.activeCalls() == 0U);
    BOOST_TEST(f.runUntil([&] { return server.isEnded(); }));
    f.advance(std::chrono::hours(1));
    BOOST_TEST(f.results.empty());
}

BOOST_AUTO_TEST_CASE(cancelFromAnyHookIsSafe)
{
    for (const std::string_view hook : {"leaving", "head", "piece"}) {
        BOOST_TEST_CONTEXT(hook)
        {
            ClientFixture f;
            CallId id;
            int cancels = 0;
            const auto cancel = [&](std::string_view hookName) {
                if (hookName != hook)
                    return;
                ++cancels;
                f.client.cancel(id);
            };
            Hooks hooks = f.hooks();
            hooks.sending = [&] { cancel("leaving"); };
            hooks.headReceived = [&](int, const Headers &) { cancel("head"); };
            hooks.bodyReceived = [&](std::string_view) { cancel("piece"); };
            id = f.client.start(f.call(), std::move(hooks));
            RawSocket server = f.accept();
            if (hook != "leaving") {
                BOOST_REQUIRE(f.runUntil([&] { return server.has("\r\n\r\n"); }));
                server.send(completeAnswer);
            }
            BOOST_TEST(f.runUntil([&] { return cancels == 1; }));
            BOOST_TEST(f.runUntil([&] { return server.isEnded(); }));
            BOOST_TEST(f.results.empty());
        }
    }
}

BOOST_AUTO_TEST_CASE(bodyPiecesAreForwardedAsReceived)
{
    ClientFixture f;
    std::string pieces;
    Hooks hooks = f.hooks();
    hooks.bodyReceived = [&](std::string_view piece) { pieces += piece; };
    f.client.start(f.call(), std::move(hooks));
    RawSocket server = f.acceptRequest();
    server.send("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n");
    BOOST_TEST(f.runUntil([&] { return pieces == "ab"; }));
    server.send("1\r\nc\r\n0\r\n\r\n");
    const CallResult &result = f.finished();
    BOOST_TEST(result.end == CallEnd::Whole);
    BOOST_TEST(result.body.empty());
    BOOST_TEST(pieces == "abc");
}

/// Guards against a server that seems to go on after it has closed its connections.
BOOST_AUTO_TEST_CASE(openConnectionIsFoundUntilTheServerClosesIt)
{
    for (const bool isIdle : {false, true}) {
        BOOST_TEST_CONTEXT("idle: " << isIdle)
        {
            ClientFixture f;
            f.start(f.call());
            RawSocket server = f.acceptRequest();
            const Base::MonoTime establishedAt = f.clock.now();
            if (isIdle) {
                server.send(completeAnswer);
                f.finished();
            }
            const Base::MonoTime later = establishedAt + std::chrono::milliseconds(1);
            BOOST_TEST(f.client.openConnections(f.listener.address, later) == 1U);
            BOOST_TEST(f.client.openConnections(f.listener.address, establishedAt) == 0U);
            BOOST_TEST(f.client.openConnections({"127.0.0.1", 1}, later) == 0U);
            server.close();
            BOOST_TEST(f.client.openConnections(f.listener.address, later) == 0U);
        }
    }
}

BOOST_AUTO_TEST_CASE(serverThatClosesAHeldConnectionIsNotReachable)
{
    constexpr std::chrono::milliseconds holdTime{2};
    for (const bool isClosed : {false, true}) {
        BOOST_TEST_CONTEXT("closed: " << isClosed)
        {
            ClientFixture f;
            std::optional<bool> result;
            f.client.checkReachable(
                f.listener.address, std::chrono::seconds(1),
                [&](bool isReachable) { result = isReachable; }, holdTime);
            RawSocket server = f.accept();
            f.runIterations(5);
            BOOST_TEST(!result.has_value());
            if (isClosed)
                server.close();
            else
                f.clock.advance(holdTime);
            BOOST_REQUIRE(f.runUntil([&] { return result.has_value(); }));
            BOOST_TEST(*result == !isClosed);
        }
    }
}
