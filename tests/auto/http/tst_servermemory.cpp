#define BOOST_TEST_MODULE tst_servermemory
#include "loopback.h"

#include "http/memorybudget.h"
#include "http/server.h"

#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

using namespace Lagoonbank;
using namespace Lagoonbank::Http;
using Lagoonbank::Test::RawSocket;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against callers that take the memory or the connections of a server from others.

namespace {

constexpr std::size_t bodyBytes = 100 * 1024;
/// Half of it has room for two of the largest requests and what is read at once.
constexpr std::size_t maxBytes = 2 * 2 * (bodyBytes + 32 * 1024);

struct Fixture : Test::PausedLoop
{
    explicit Fixture(std::size_t maxConnections = 100)
    {
        server = std::make_unique<Server>(Server::Options{
            .loop = &loop,
            .address = {"127.0.0.1", 0},
            .limits = {.headBytes = 16 * 1024, .bodyBytes = bodyBytes},
            .maxConnections = maxConnections,
            .memory = memory,
            .closedForLimit = [this](LimitedConnection kind) { closed.push_back(kind); }});
        server->setHandler([this](Request request, const std::shared_ptr<Responder> &responder) {
            if (answersAtOnce)
                responder->send(200, {}, request.body.substr(0, 2) + " received");
            requests.push_back(std::move(request));
            responders.push_back(responder);
        });
        BOOST_REQUIRE(server->listen());
    }
    RawSocket &connect() { return callers.emplace_back(server->address()); }
    RawSocket &post(std::size_t announced, std::size_t sent)
    {
        RawSocket &caller = connect();
        sendAll(caller,
                "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: " + std::to_string(announced)
                    + "\r\n\r\n" + std::string(sent, 'x'));
        return caller;
    }
    void sendAll(RawSocket &caller, std::string_view bytes)
    {
        constexpr std::size_t step = 8 * 1024;
        for (std::size_t at = 0; at < bytes.size(); at += step) {
            caller.send(bytes.substr(at, step));
            runIterations(2);
        }
    }
    bool isAnswered(RawSocket &caller, std::string_view text)
    {
        return runUntil([&] { return caller.has(text); });
    }

    std::shared_ptr<MemoryBudget> memory = std::make_shared<MemoryBudget>(
        MemoryBudget::Options{.maxBytes = maxBytes, .clock = &clock});
    std::vector<LimitedConnection> closed;
    std::unique_ptr<Server> server;
    bool answersAtOnce = true;
    std::vector<Request> requests;
    std::vector<std::shared_ptr<Responder>> responders;
    std::deque<RawSocket> callers;
};

} // namespace

BOOST_AUTO_TEST_CASE(bodyWithoutRoomIsRefusedAsNotRun)
{
    Fixture f;
    f.post(bodyBytes, bodyBytes - 1);
    f.post(bodyBytes, bodyBytes - 1);
    RawSocket &third = f.post(bodyBytes, bodyBytes - 1);
    BOOST_TEST(f.isAnswered(third, "HTTP/1.1 503"));
    BOOST_TEST(third.has("out_of_memory"));
    BOOST_TEST(third.has("\"ran\":\"no\""));
    BOOST_TEST(third.has("retry-after: 1\r\n"));
    BOOST_TEST(f.requests.empty());
}

BOOST_AUTO_TEST_CASE(smallBodyIsServedBesideLargeOnes)
{
    Fixture f;
    for (int i = 0; i < 4; ++i)
        f.post(bodyBytes, bodyBytes - 1);
    BOOST_TEST(f.isAnswered(f.post(1000, 1000), "xx received"));
}

BOOST_AUTO_TEST_CASE(stalledBodiesYieldToTheLargestRequest)
{
    Fixture f;
    RawSocket &first = f.post(bodyBytes, bodyBytes - 1);
    RawSocket &second = f.post(bodyBytes, bodyBytes - 1);
    f.advance(seconds(1));
    BOOST_TEST(f.isAnswered(f.post(bodyBytes, bodyBytes), "xx received"));
    BOOST_TEST((first.has("HTTP/1.1 503") != second.has("HTTP/1.1 503")));
}

BOOST_AUTO_TEST_CASE(completeRequestsOccupyMemoryUntilTheyAreAnswered)
{
    Fixture f;
    f.answersAtOnce = false;
    f.post(bodyBytes, bodyBytes);
    f.post(bodyBytes, bodyBytes);
    BOOST_REQUIRE(f.requests.size() == 2U);
    BOOST_TEST(f.memory->heldBytes(MemoryKind::Waiting) >= 2 * bodyBytes);
    f.advance(seconds(1));
    BOOST_TEST(f.isAnswered(f.post(bodyBytes, bodyBytes), "HTTP/1.1 503"));
    f.requests.clear();
    f.answersAtOnce = true;
    BOOST_TEST(f.isAnswered(f.post(bodyBytes, bodyBytes), "xx received"));
    BOOST_TEST(f.memory->heldBytes(MemoryKind::Arriving) == 0U);
}

BOOST_AUTO_TEST_CASE(chunksOfOneByteTakeNoMoreThanTheirBytes)
{
    Fixture f;
    RawSocket &caller = f.connect();
    f.sendAll(caller, "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n");
    std::string chunks;
    for (std::size_t i = 0; i < bodyBytes / 2; ++i)
        chunks += "1\r\nx\r\n";
    f.sendAll(caller, chunks);
    BOOST_TEST(f.memory->heldBytes(MemoryKind::Arriving) <= bodyBytes);
    f.sendAll(caller, "0\r\n\r\n");
    BOOST_TEST(f.isAnswered(caller, "xx received"));
    BOOST_TEST(f.requests.front().body.size() == bodyBytes / 2);
}

BOOST_AUTO_TEST_CASE(headWithoutItsEndCounts)
{
    Fixture f;
    RawSocket &caller = f.connect();
    f.sendAll(caller, "GET / HTTP/1.1\r\nhost: a\r\nx: " + std::string(12 * 1024, 'y'));
    BOOST_TEST(f.memory->heldBytes(MemoryKind::Arriving) >= 12 * 1024);
    f.sendAll(caller, "\r\n\r\n");
    BOOST_TEST(f.isAnswered(caller, " received"));
}

BOOST_AUTO_TEST_CASE(unreadAnswersYieldToOtherAnswers)
{
    Fixture f;
    f.answersAtOnce = false;
    const int smallBuffer = 4096;
    std::vector<int> ends;
    for (int i = 0; i < 3; ++i) {
        RawSocket &caller = f.connect();
        setsockopt(caller.descriptor(), SOL_SOCKET, SO_RCVBUF, &smallBuffer, sizeof smallBuffer);
        caller.send("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
        BOOST_REQUIRE(f.runUntil([&] { return f.responders.size() == std::size_t(i) + 1; }));
        f.responders.back()->setDisconnectHandler([&ends, i] { ends.push_back(i); });
        f.responders.back()->begin(200, {});
        for (int piece = 0; piece < 1000 && f.responders.back()->queuedBytes() < 30 * 1024;
             ++piece) {
            f.responders.back()->write(std::string(8 * 1024, 'x'));
            f.runIterations(1);
        }
        f.advance(seconds(1));
        BOOST_TEST(f.memory->heldBytes(MemoryKind::Answers) <= maxBytes / 4);
    }
    BOOST_TEST(f.runUntil([&] { return !ends.empty(); }));
    BOOST_TEST(ends.front() == 0);
}

BOOST_AUTO_TEST_CASE(answerReportsWhenAllOfItIsSent)
{
    Fixture f;
    f.answersAtOnce = false;
    RawSocket &caller = f.connect();
    caller.send("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
    BOOST_REQUIRE(f.runUntil([&] { return !f.responders.empty(); }));
    int drained = 0;
    Responder &responder = *f.responders.front();
    responder.setDrainHandler([&] { ++drained; });
    responder.begin(200, {});
    std::size_t written = 0;
    while (responder.queuedBytes() == 0) {
        responder.write(std::string(4096, 'x'));
        written += 4096;
        f.runIterations(2);
    }
    const int before = drained;
    f.runIterations(10);
    BOOST_TEST(drained == before);
    BOOST_TEST(f.runUntil([&] { return caller.receive().size() > written; }));
    BOOST_TEST(f.runUntil([&] { return drained == before + 1; }));
    BOOST_TEST(responder.queuedBytes() == 0U);
}

/// Each byte is in time for the limit between two pieces.
BOOST_AUTO_TEST_CASE(drippingBodyIsRefused)
{
    Fixture f;
    RawSocket &caller = f.post(1000, 1);
    for (int i = 0; i < 76; ++i) {
        f.advance(milliseconds(250));
        caller.send("x");
        f.runIterations(2);
    }
    BOOST_TEST(!caller.isEnded());
    for (int i = 0; i < 8; ++i)
        f.advance(milliseconds(250));
    BOOST_TEST(f.isAnswered(caller, "HTTP/1.1 408"));
    BOOST_TEST(f.requests.empty());
}

/// 1,100 bytes a second.
BOOST_AUTO_TEST_CASE(slowBodyAboveTheLeastRateIsServed)
{
    Fixture f;
    RawSocket &caller = f.post(bodyBytes, 0);
    for (std::size_t sent = 0; sent < bodyBytes; sent += 275) {
        caller.send(std::string(std::min<std::size_t>(275, bodyBytes - sent), 'x'));
        f.advance(milliseconds(250));
    }
    BOOST_TEST(f.isAnswered(caller, "xx received"));
}

BOOST_AUTO_TEST_CASE(connectionsWithoutARequestAreClosedFirst)
{
    Fixture f(4);
    RawSocket &idle = f.post(10, 10);
    BOOST_REQUIRE(f.isAnswered(idle, "received"));
    for (int i = 0; i < 4; ++i) {
        f.advance(seconds(1));
        f.connect();
    }
    f.advance(seconds(1));
    BOOST_TEST(f.runUntil([&] { return f.callers.at(1).isEnded(); }));
    BOOST_TEST(!idle.isEnded());
    BOOST_TEST(!f.callers.at(2).isEnded());
    BOOST_TEST((f.closed == std::vector{LimitedConnection::WithoutRequest}));
}

BOOST_AUTO_TEST_CASE(connectionsNeverExceedTwiceTheirLimit)
{
    Fixture f(4);
    for (int i = 0; i < 40; ++i) {
        f.connect();
        f.runIterations(2);
        BOOST_TEST(f.server->openConnections() <= 4 * Server::connectionExcessFactor);
    }
    BOOST_TEST(f.isAnswered(f.post(10, 10), "received"));
}

/// Guards against callers that hold all connections with requests that do not come to their end.
BOOST_AUTO_TEST_CASE(incompleteRequestsYieldToNewConnections)
{
    Fixture f(4);
    for (int i = 0; i < 8; ++i)
        f.post(100, 10);
    BOOST_TEST(f.isAnswered(f.post(10, 10), "received"));
    BOOST_TEST(f.callers.front().isEnded());
}

/// Connections with requests are not closed for new ones.
BOOST_AUTO_TEST_CASE(newConnectionIsClosedUnreadIfNoOtherMayBe)
{
    Fixture f(4);
    f.answersAtOnce = false;
    for (int i = 0; i < 8; ++i)
        f.post(10, 10);
    BOOST_REQUIRE(f.runUntil([&] { return f.responders.size() == 8; }));
    RawSocket &refused = f.connect();
    BOOST_TEST(f.runUntil([&] { return refused.isEnded(); }));
    for (const auto &responder : f.responders)
        responder->send(200, {}, "late");
    for (int i = 0; i < 8; ++i)
        BOOST_TEST(f.isAnswered(f.callers.at(static_cast<std::size_t>(i)), "late"));
}

BOOST_AUTO_TEST_CASE(http2IsRefusedUnlessEnabled)
{
    Fixture f;
    RawSocket &caller = f.connect();
    caller.send("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
    BOOST_TEST(f.isAnswered(caller, "HTTP/1.1 400"));
    BOOST_TEST(f.runUntil([&] { return caller.isEnded(); }));
}

BOOST_AUTO_TEST_CASE(eachHttp2ConnectionOccupiesItsShare)
{
    Test::PausedLoop f;
    const auto memory = std::make_shared<MemoryBudget>(MemoryBudget::Options{
        .maxBytes = 2 * Server::maxHttp2Requests * Server::maxHttp2RequestBytes,
        .clock = &f.clock});
    Server server({.loop = &f.loop, .address = {"127.0.0.1", 0}, .memory = memory, .http2 = true});
    BOOST_REQUIRE(server.listen());
    const std::string preface("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\4\0\0\0\0\0", 33);
    RawSocket first(server.address());
    first.send(preface);
    BOOST_TEST(f.runUntil([&] { return !first.receive().empty(); }));
    RawSocket second(server.address());
    second.send(preface);
    BOOST_TEST(f.runUntil([&] { return second.isEnded(); }));
    BOOST_TEST(second.receive().empty());
    BOOST_TEST(!first.isEnded());
}
