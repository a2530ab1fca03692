#define BOOST_TEST_MODULE tst_slowcaller
#include "auto/gateway/gatewayfixture.h"
#include "auto/gateway/streamanswers.h"
#include "auto/gateway/wholeanswer.h"

#include <cerrno>
#include <cstddef>
#include <string>
#include <string_view>

using namespace Lagoonbank;
using Lagoonbank::Test::chunk;
using Lagoonbank::Test::RawSocket;
using Lagoonbank::Test::readWholeAnswer;
using Lagoonbank::Test::streamHead;
using Lagoonbank::Test::streamRoute;
using std::chrono::milliseconds;

// Guards against events that are dropped, doubled or reordered while a caller reads so slowly that
// the router stops to read its stream again and again, against broken-off streams that look whole
// to it once it reads on, and against a router that reads on for a caller that reads nothing.

namespace {

constexpr int eventCount = 480;
constexpr std::size_t eventBytes = 32 * 1024;

/// All events have 15 MB, more than the system's socket buffers hold.
std::string longEvent(int id)
{
    return "id: " + std::to_string(id) + "\ndata: " + std::string(eventBytes, 'x') + "\n\n";
}

std::string longEvents(int first, int last)
{
    std::string events;
    for (int id = first; id <= last; ++id)
        events += longEvent(id);
    return events;
}

/// A caller that reads only when the router has stopped to read its stream.
struct SlowCaller : GatewayFixture
{
    explicit SlowCaller(std::string_view version = "1.1")
        : caller(server.address())
    {
        setRoute(streamRoute(true));
        caller.send("GET /x HTTP/" + std::string(version) + "\r\nhost: a\r\n\r\n");
        first = &awaitRequest();
        send(first->last(), streamHead);
    }
    /// Sends as much as the router reads; returns the number of bytes.
    std::size_t sendUntilStopped(RawSocket &socket, std::string_view bytes)
    {
        constexpr int idleIterations = 50;
        std::size_t sent = 0;
        for (int idle = 0; idle < idleIterations && sent < bytes.size(); ++idle) {
            const ssize_t size =
                ::send(socket.descriptor(), bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            BOOST_REQUIRE((size >= 0 || errno == EAGAIN));
            if (size > 0) {
                sent += static_cast<std::size_t>(size);
                idle = 0;
            }
            loop.runOnce(milliseconds(0));
        }
        return sent;
    }
    /// Sends all; the caller reads whenever the router has stopped to read.
    void send(RawSocket &socket, std::string_view bytes)
    {
        while (!bytes.empty()) {
            const std::size_t sent = sendUntilStopped(socket, bytes);
            bytes.remove_prefix(sent);
            if (!bytes.empty()) {
                caller.receive();
                ++stops;
            }
        }
    }
    /// Sends events, in chunks that end inside of events.
    void sendEvents(RawSocket &socket, int from, int to)
    {
        constexpr std::size_t step = eventBytes * 5 / 2;
        const std::string events = longEvents(from, to);
        for (std::size_t at = 0; at < events.size(); at += step)
            send(socket, chunk(std::string_view(events).substr(at, step)));
    }
    /// Waits until the router has read what the endpoint has sent.
    void settleReads()
    {
        for (int iteration = 0; iteration < 50; ++iteration) {
            caller.receive();
            runIterations(1);
        }
    }
    std::string receiveAll()
    {
        BOOST_REQUIRE(runUntil([&] {
            const std::string &bytes = caller.receive();
            return caller.isEnded() || bytes.ends_with("\r\n0\r\n\r\n");
        }));
        return caller.receive();
    }

    RawSocket caller;
    FakeEndpoint *first = nullptr;
    int stops = 0; ///< How often the router had stopped to read.
};

/// The events in the chunks of an answer that was broken off.
std::string receivedEvents(const std::string &answer)
{
    const auto whole = readWholeAnswer(answer + "0\r\n\r\n");
    BOOST_TEST_REQUIRE(whole.has_value());
    return whole->body;
}

} // namespace

BOOST_AUTO_TEST_CASE(longStreamToSlowCallerGoesOnAtAnotherEndpoint)
{
    SlowCaller f;
    constexpr int half = eventCount / 2;
    f.sendEvents(f.first->last(), 1, half);
    f.send(f.first->last(), chunk(longEvent(half + 1).substr(0, eventBytes / 2)));
    f.settleReads();
    f.first->last().close();
    FakeEndpoint &second = f.awaitRequest();
    BOOST_TEST(second.last().has("x-resume: " + std::to_string(half) + "\r\n"));
    f.send(second.last(), streamHead);
    f.sendEvents(second.last(), half, eventCount); // Repeats the last event.
    f.send(second.last(), "0\r\n\r\n");
    f.settleReads();
    const auto whole = readWholeAnswer(f.receiveAll());
    BOOST_TEST_REQUIRE(whole.has_value());
    BOOST_TEST((whole->body == longEvents(1, eventCount)));
    BOOST_TEST(f.stops > 0);
}

BOOST_AUTO_TEST_CASE(streamIsNotReadForACallerThatReadsNothing)
{
    SlowCaller f;
    const std::string events = chunk(longEvents(1, eventCount));
    const std::size_t sent = f.sendUntilStopped(f.first->last(), events);
    // What the system's buffers of two connections and the router's queue hold.
    BOOST_TEST(sent < events.size() / 2);
    f.pass(milliseconds(3000));
    BOOST_TEST(f.requests() == 1U);
    BOOST_TEST(!f.caller.isEnded());
    f.send(f.first->last(), std::string_view(events).substr(sent));
    f.send(f.first->last(), "0\r\n\r\n");
    const auto whole = readWholeAnswer(f.receiveAll());
    BOOST_TEST_REQUIRE(whole.has_value());
    BOOST_TEST((whole->body == longEvents(1, eventCount)));
}

/// The answer is given up for the size of one of its events, and no other endpoint is left.
BOOST_AUTO_TEST_CASE(longStreamToSlowCallerThatIsGivenUpIsBrokenOff)
{
    for (const bool isHttp10 : {false, true}) {
        BOOST_TEST_CONTEXT("HTTP/1.0: " << isHttp10)
        {
            SlowCaller f(isHttp10 ? "1.0" : "1.1");
            f.sendEvents(f.first->last(), 1, eventCount);
            f.send(f.first->last(), chunk("data: " + std::string(1100 * 1024, 'x')));
            f.settleReads();
            FakeEndpoint &second = f.awaitRequest();
            f.send(second.last(), "HTTP/1.1 500 Failed\r\nx-id: r1\r\ncontent-length: 0\r\n\r\n");
            f.settleReads();
            const std::string answer = f.receiveAll();
            BOOST_TEST(f.caller.isEnded());
            if (isHttp10) {
                BOOST_TEST(f.caller.isReset());
            } else {
                BOOST_TEST(!readWholeAnswer(answer).has_value());
                BOOST_TEST((receivedEvents(answer) == longEvents(1, eventCount)));
            }
        }
    }
}

/// Guards against endpoints that work on for a caller that has left with most of the answer queued.
BOOST_AUTO_TEST_CASE(callerThatLeavesWhileTheStreamIsQueuedEndsTheRequest)
{
    SlowCaller f;
    f.sendUntilStopped(f.first->last(), chunk(longEvents(1, eventCount)));
    f.caller.reset();
    BOOST_TEST(f.runUntil([&] { return f.first->last().isEnded(); }));
    BOOST_TEST(f.requests() == 1U);
}
