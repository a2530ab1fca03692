#define BOOST_TEST_MODULE tst_loop
#include "runtime/clock.h"
#include "runtime/loop.h"
#include "runtime/udpsocket.h"

#include <boost/test/unit_test.hpp>

#include <unistd.h>

#include <array>
#include <csignal>
#include <string>
#include <vector>

using namespace Lagoonbank;
using namespace Lagoonbank::Runtime;

namespace {

constexpr Base::Duration longWait = std::chrono::seconds(30);

struct Fixture
{
    bool runUntil(const std::function<bool()> &condition)
    {
        for (int turn = 0; turn < 1000 && !condition(); ++turn)
            loop.runOnce(std::chrono::milliseconds(5));
        return condition();
    }

    ManualClock clock;
    Loop loop{Loop::Options{.clock = &clock}};
};

struct Pipe
{
    Pipe() { BOOST_REQUIRE_EQUAL(pipe(ends.data()), 0); }
    ~Pipe()
    {
        close(ends[0]);
        close(ends[1]);
    }
    void put() const { BOOST_REQUIRE_EQUAL(write(ends[1], "x", 1), 1); }
    void take() const
    {
        char byte = 0;
        BOOST_REQUIRE_EQUAL(read(ends[0], &byte, 1), 1);
    }
    std::array<int, 2> ends{};
};

} // namespace

BOOST_FIXTURE_TEST_CASE(timersFireOnTheLoopsClockInOrder, Fixture)
{
    std::vector<int> fired;
    loop.timers().start(std::chrono::seconds(2), [&] { fired.push_back(2); });
    loop.timers().start(std::chrono::seconds(1), [&] { fired.push_back(1); });
    const TimerId cancelled =
        loop.timers().start(std::chrono::seconds(1), [&] { fired.push_back(3); });
    loop.timers().cancel(cancelled);
    loop.runOnce(Base::Duration::zero());
    BOOST_TEST(fired.empty());
    clock.setWall(Base::WallTime(std::chrono::hours(24) * 30000));
    loop.runOnce(Base::Duration::zero());
    BOOST_TEST(fired.empty());
    clock.advance(std::chrono::seconds(2));
    loop.runOnce(longWait);
    BOOST_TEST(fired == (std::vector<int>{1, 2}), boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(manyCancelledTimersLeaveTheOthersInPlace, Fixture)
{
    int fired = 0;
    for (int i = 0; i < 1000; ++i) {
        const TimerId timer = loop.timers().start(std::chrono::seconds(i), [&] { ++fired; });
        if (i % 100 != 0)
            loop.timers().cancel(timer);
    }
    clock.advance(std::chrono::seconds(499));
    loop.runOnce(longWait);
    BOOST_TEST(fired == 5);
    clock.advance(std::chrono::seconds(500));
    loop.runOnce(longWait);
    BOOST_TEST(fired == 10);
    BOOST_TEST(!loop.timers().nextDue());
}

BOOST_FIXTURE_TEST_CASE(postedCallbacksDoNotWaitForSockets, Fixture)
{
    std::vector<std::string> calls;
    loop.post([&] {
        calls.emplace_back("posted");
        loop.post([&] { calls.emplace_back("posted from a callback"); });
    });
    loop.runOnce(longWait);
    BOOST_TEST(calls.size() == 1U);
    loop.runOnce(longWait);
    BOOST_TEST(calls.size() == 2U);
    loop.timers().start(std::chrono::seconds(1),
                        [&] { loop.post([&] { calls.emplace_back("posted from a timer"); }); });
    clock.advance(std::chrono::seconds(1));
    loop.runOnce(longWait);
    loop.runOnce(longWait);
    BOOST_TEST(calls.size() == 3U);
}

/// Each row is a stall of the loop, in a callback of the poll that goes before the timers.
BOOST_FIXTURE_TEST_CASE(whatCameBeforeATimerWasDueIsReadFirst, Fixture)
{
    for (const int stallMs : {50, 200, 600, 2000}) {
        BOOST_TEST_CONTEXT("stall of " << stallMs << " ms")
        {
            const Pipe configuration;
            const Pipe endpoint;
            int silences = 0;
            const Base::Duration silence = std::chrono::milliseconds(stallMs - 10);
            const TimerId silent = loop.timers().start(silence, [&] { ++silences; });
            loop.watchReadable(endpoint.ends[0], [&] {
                endpoint.take();
                loop.timers().cancel(silent);
            });
            int polls = 0;
            loop.watchReadable(configuration.ends[0], [&] {
                if (++polls < 2)
                    return; // Stays readable for the second poll of this turn.
                configuration.take();
                endpoint.put();
                clock.advance(std::chrono::milliseconds(stallMs));
            });
            configuration.put();
            loop.post([] {});
            loop.runOnce(longWait);
            BOOST_TEST(polls == 2);
            BOOST_TEST(silences == 0);
            loop.runOnce(longWait);
            loop.runOnce(Base::Duration::zero());
            BOOST_TEST(silences == 0);
            loop.unwatch(endpoint.ends[0]);
            loop.unwatch(configuration.ends[0]);
        }
    }
}

BOOST_FIXTURE_TEST_CASE(timersThatBecomeDueInAStallFireInTheNextTurn, Fixture)
{
    const Pipe pipe;
    std::vector<std::string> calls;
    loop.timers().start(std::chrono::milliseconds(100), [&] { calls.emplace_back("timer"); });
    int polls = 0;
    loop.watchReadable(pipe.ends[0], [&] {
        if (++polls < 2)
            return;
        pipe.take();
        clock.advance(std::chrono::milliseconds(300));
        calls.emplace_back("stall");
    });
    pipe.put();
    loop.post([&] { calls.emplace_back("posted"); });
    loop.runOnce(longWait);
    BOOST_TEST(calls == (std::vector<std::string>{"stall", "posted"}),
               boost::test_tools::per_element());
    loop.runOnce(longWait);
    BOOST_TEST(calls == (std::vector<std::string>{"stall", "posted", "timer"}),
               boost::test_tools::per_element());
    loop.unwatch(pipe.ends[0]);
}

BOOST_AUTO_TEST_CASE(runEndsAtStop)
{
    Loop loop;
    int turns = 0;
    loop.timers().start(std::chrono::milliseconds(1), [&] { ++turns; });
    loop.timers().start(std::chrono::milliseconds(2), [&] { loop.stop(); });
    loop.run();
    BOOST_TEST(turns == 1);
}

BOOST_FIXTURE_TEST_CASE(signalsComeThroughTheLoop, Fixture)
{
    std::vector<int> caught;
    loop.onSignal(SIGTERM, [&] { caught.push_back(SIGTERM); });
    loop.onSignal(SIGHUP, [&] { caught.push_back(SIGHUP); });
    std::raise(SIGHUP);
    std::raise(SIGTERM);
    BOOST_TEST(runUntil([&] { return caught.size() == 2; }));
}

BOOST_FIXTURE_TEST_CASE(watchedDescriptorsStayOpenAndMayBeUnwatchedFromTheirCallback, Fixture)
{
    const Pipe pipe;
    int calls = 0;
    loop.watchReadable(pipe.ends[0], [&] {
        ++calls;
        pipe.take();
        if (calls == 2)
            loop.unwatch(pipe.ends[0]);
    });
    loop.runOnce(std::chrono::milliseconds(1));
    BOOST_TEST(calls == 0);
    for (int i = 1; i <= 2; ++i) {
        pipe.put();
        BOOST_TEST(runUntil([&] { return calls == i; }));
    }
    pipe.put();
    for (int i = 0; i < 3; ++i)
        loop.runOnce(std::chrono::milliseconds(1));
    BOOST_TEST(calls == 2);
    pipe.take();
}

BOOST_FIXTURE_TEST_CASE(datagramsGoBothWays, Fixture)
{
    auto first = UdpSocket::bind({.loop = &loop, .address = {"127.0.0.1", 0}});
    auto second = UdpSocket::bind({.loop = &loop, .address = {"127.0.0.2", 0}});
    BOOST_REQUIRE(first);
    BOOST_REQUIRE(second);
    UdpSocket &a = *first.value();
    UdpSocket &b = *second.value();
    std::string answer;
    b.setReceived([&](const SocketAddress &from, std::string_view datagram) {
        BOOST_TEST(b.send(from, std::string(datagram) + "!"));
    });
    a.setReceived([&](const SocketAddress &from, std::string_view datagram) {
        BOOST_TEST(toString(from) == toString(b.address()));
        answer = datagram;
        first.value().reset();
    });
    BOOST_TEST(a.send(b.address(), "hello"));
    BOOST_TEST(a.send(b.address(), "again"));
    BOOST_TEST(runUntil([&] { return !answer.empty(); }));
    BOOST_TEST(answer == "hello!");
}

BOOST_FIXTURE_TEST_CASE(takenOrWrongAddressesAreNamed, Fixture)
{
    const auto first = UdpSocket::bind({.loop = &loop, .address = {"127.0.0.1", 0}});
    BOOST_REQUIRE(first);
    const SocketAddress taken = first.value()->address();
    const auto second = UdpSocket::bind({.loop = &loop, .address = taken});
    BOOST_REQUIRE(!second);
    BOOST_TEST(second.error().detail.find(toString(taken)) != std::string::npos);
    BOOST_TEST(!UdpSocket::bind({.loop = &loop, .address = {"localhost", 0}}));
}

BOOST_AUTO_TEST_CASE(addressesAreRead)
{
    const auto address = parseSocketAddress("127.0.0.9:8080");
    BOOST_REQUIRE(address);
    BOOST_TEST(address.value().ip == "127.0.0.9");
    BOOST_TEST(address.value().port == 8080);
    for (const char *wrong : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:x", "127.0.0.1:65536",
                              "127.0.0.1:-1", ":80", "host:80", "127.0.0.1:80 ", "127.0.0.1:+80"}) {
        BOOST_TEST_CONTEXT(wrong)
        BOOST_TEST(!parseSocketAddress(wrong));
    }
}

namespace {

/// Reading a large message takes 0.2 s; meanwhile an answer comes, and its time limit passes.
struct StalledLoop : Fixture
{
    StalledLoop()
    {
        loop.watchReadable(answer.ends[0], [this] {
            answer.take();
            order.emplace_back("answer");
        });
        loop.watchReadable(message.ends[0], [this] {
            message.take();
            answer.put();
            clock.advance(std::chrono::milliseconds(200));
        });
        loop.timers().start(std::chrono::milliseconds(120),
                            [this] { order.emplace_back("limit"); });
    }
    ~StalledLoop()
    {
        loop.unwatch(answer.ends[0]);
        loop.unwatch(message.ends[0]);
    }
    bool isAnswerFirst()
    {
        runUntil([this] { return order.size() == 2; });
        return order.front() == "answer";
    }

    Pipe answer;
    Pipe message;
    std::vector<std::string> order;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(whatCameDuringALongCallbackIsReadBeforeTimersFire, StalledLoop)
{
    message.put();
    BOOST_TEST(isAnswerFirst());
}

/// The same where the message comes just after the wait of a turn, before its timers.
BOOST_FIXTURE_TEST_CASE(whatCameDuringALateLongCallbackIsReadBeforeTimersFire, StalledLoop)
{
    Pipe other;
    loop.watchReadable(other.ends[0], [&] {
        other.take();
        message.put();
        loop.post([] {});
    });
    other.put();
    BOOST_TEST(isAnswerFirst());
    loop.unwatch(other.ends[0]);
}
