#define BOOST_TEST_MODULE tst_clientpool
#include "clientfixture.h"

#include <optional>
#include <vector>

using namespace Lagoonbank;
using namespace Lagoonbank::Http;
using Lagoonbank::Test::RawSocket;

// The reuse of a client's connections.

BOOST_AUTO_TEST_CASE(connectionIsReusedAfterCompleteAnswer)
{
    ClientFixture f;
    f.start(f.call());
    RawSocket first = f.acceptRequest();
    first.send(completeAnswer);
    f.finished(1);
    f.start(f.call());
    BOOST_REQUIRE(f.runUntil([&] { return first.receive().find("GET", 5) != std::string::npos; }));
    first.send(completeAnswer);
    f.finished(2);
    Call fresh = f.call();
    fresh.freshConnection = true;
    f.start(std::move(fresh));
    RawSocket second = f.acceptRequest();
}

BOOST_AUTO_TEST_CASE(connectionWithBytesAfterAnswerIsNotReused)
{
    for (const std::string_view answer :
         {"HTTP/1.1 204 No Content\r\n\r\nmore", "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nab",
          "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\nmore"}) {
        BOOST_TEST_CONTEXT(answer)
        {
            ClientFixture f;
            f.start(f.call());
            RawSocket first = f.acceptRequest();
            first.send(answer);
            BOOST_TEST(f.finished(1).end == CallEnd::Whole);
            f.start(f.call());
            int second = -1;
            BOOST_TEST(f.runUntil([&] { return (second = f.listener.accept()) >= 0; }));
            const RawSocket owner(second);
            BOOST_TEST(first.isEnded());
        }
    }
}

BOOST_AUTO_TEST_CASE(closedPooledConnectionIsNotReused)
{
    ClientFixture f;
    f.start(f.call());
    RawSocket first = f.acceptRequest();
    first.send(completeAnswer);
    f.finished(1);
    first.close();
    f.start(f.call());
    RawSocket second = f.acceptRequest();
    second.send(completeAnswer);
    BOOST_TEST(f.finished(2).end == CallEnd::Whole);
}

BOOST_AUTO_TEST_CASE(pooledConnectionResetDuringRequestIsBroken)
{
    ClientFixture f;
    f.start(f.call());
    RawSocket first = f.acceptRequest();
    first.send(completeAnswer);
    f.finished(1);
    f.start(f.call());
    first.reset();
    BOOST_TEST(f.finished(2).end == CallEnd::Broken);
    BOOST_TEST(f.results.back().mayHaveBeenSent);
    BOOST_TEST(f.results.back().status == 0);
}

/// A server at its connection limit accepts each new connection and resets it immediately.
BOOST_AUTO_TEST_CASE(resetBeforeSendingIsReportedAsNotSent)
{
    ClientFixture f;
    Call call = f.call("POST");
    call.freshConnection = true;
    call.settleTime = std::chrono::milliseconds(2);
    f.start(call);
    RawSocket first = f.accept();
    int iterations = 0;
    f.runUntil([&] { return ++iterations > 10; }); // Let the client notice that it is connected.
    first.reset();
    BOOST_TEST(f.finished(1).end == CallEnd::TurnedAway);
    BOOST_TEST(!f.results.back().mayHaveBeenSent);
    BOOST_TEST(f.sendingCalls == 0);
    f.start(call);
    RawSocket second = f.accept();
    BOOST_TEST(!second.has("POST"));
    BOOST_REQUIRE(f.runUntil([&] {
        f.clock.advance(std::chrono::milliseconds(1));
        return second.has("\r\n\r\n");
    }));
    second.send(completeAnswer);
    BOOST_TEST(f.finished(2).end == CallEnd::Whole);
    BOOST_TEST(f.sendingCalls == 1);
}

BOOST_AUTO_TEST_CASE(callLimitsKeptIdleConnections)
{
    ClientFixture f;
    Call call = f.call();
    call.maxIdle = 1;
    std::vector<RawSocket> servers;
    for (int i = 0; i < 3; ++i)
        f.start(call);
    for (int i = 0; i < 3; ++i) {
        servers.push_back(f.accept());
        BOOST_REQUIRE(f.runUntil([&] { return servers.back().has("\r\n\r\n"); }));
    }
    for (RawSocket &server : servers)
        server.send(completeAnswer);
    f.finished(3);
    int ended = 0;
    f.runUntil([&] {
        ended = 0;
        for (RawSocket &server : servers)
            ended += server.isEnded() ? 1 : 0;
        return ended >= 2;
    });
    BOOST_TEST(ended == 2);
}

BOOST_AUTO_TEST_CASE(idleConnectionsAreClosedAfterTheIdleTimeout)
{
    ClientFixture f;
    f.start(f.call());
    RawSocket server = f.acceptRequest();
    server.send(completeAnswer);
    f.finished(1);
    f.advance(std::chrono::seconds(4));
    BOOST_TEST(!server.isEnded());
    f.advance(std::chrono::seconds(1));
    BOOST_TEST(f.runUntil([&] { return server.isEnded(); }));
}
