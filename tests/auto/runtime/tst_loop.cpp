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
        for (int i = 0; i < 1000 && !condition(); ++i)
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
    void writeByte() const { BOOST_REQUIRE_EQUAL(write(ends[1], "x", 1), 1); }
    void readByte() const
    {
        char byte = 0;
        BOOST_REQUIRE_EQUAL(read(ends[0], &byte, 1), 1);
    }
    std::array<int, 2> ends{};
};

} // namespace

BOOST_FIXTURE_TEST_CASE(firesTimersInOrderByLoopClock, Fixture)
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

BOOST_FIXTURE_TEST_CASE(cancellingManyTimersKeepsTheOthers, Fixture)
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

BOOST_FIXTURE_TEST_CASE(runsPostedCallbacksWithoutWaiting, Fixture)
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

/// Data that arrives while a callback stalls the loop must be read before the timers run, for
/// several lengths of the stall.
BOOST_FIXTURE_TEST_CASE(readsDataBeforeTimersThatBecameDueLater, Fixture)
{
    for (const int stallMs : {50, 200, 600, 2000}) {
        BOOST_TEST_CONTEXT("stall of " << stallMs << " ms")
        {
            const Pipe configuration;
            const Pipe endpoint;
            int timeouts = 0;
            const Base::Duration timeout = std::chrono::milliseconds(stallMs - 10);
            const TimerId timeoutTimer = loop.timers().start(timeout, [&] { ++timeouts; });
            loop.watchReadable(endpoint.ends[0], [&] {
                endpoint.readByte();
                loop.timers().cancel(timeoutTimer);
            });
            int polls = 0;
            loop.watchReadable(configuration.ends[0], [&] {
                if (++polls < 2)
                    return; // Stays readable for the second poll of this iteration.
                configuration.readByte();
                endpoint.writeByte();
                clock.advance(std::chrono::milliseconds(stallMs));
            });
            configuration.writeByte();
            loop.post([] {});
            loop.runOnce(longWait);
            BOOST_TEST(polls == 2);
            BOOST_TEST(timeouts == 0);
            loop.runOnce(longWait);
            loop.runOnce(Base::Duration::zero());
            BOOST_TEST(timeouts == 0);
            loop.unwatch(endpoint.ends[0]);
            loop.unwatch(configuration.ends[0]);
        }
    }
}

BOOST_FIXTURE_TEST_CASE(timersDueDuringAStallFireInTheNextIteration, Fixture)
{
    const Pipe pipe;
    std::vector<std::string> calls;
    loop.timers().start(std::chrono::milliseconds(100), [&] { calls.emplace_back("timer"); });
    int polls = 0;
    loop.watchReadable(pipe.ends[0], [&] {
        if (++polls < 2)
            return;
        pipe.readByte();
        clock.advance(std::chrono::milliseconds(300));
        calls.emplace_back("stall");
    });
    pipe.writeByte();
    loop.post([&] { calls.emplace_back("posted"); });
    loop.runOnce(longWait);
    BOOST_TEST(calls == (std::vector<std::string>{"stall", "posted"}),
               boost::test_tools::per_element());
    loop.runOnce(longWait);
    BOOST_TEST(calls == (std::vector<std::string>{"stall", "posted", "timer"}),
               boost::test_tools::per_element());
    loop.unwatch(pipe.ends[0]);
}

BOOST_AUTO_TEST_CASE(runReturnsAfterStop)
{
    Loop loop;
    int fired = 0;
    loop.timers().start(std::chrono::milliseconds(1), [&] { ++fired; });
    loop.timers().start(std::chrono::milliseconds(2), [&] { loop.stop(); });
    loop.run();
    BOOST_TEST(fired == 1);
}

BOOST_FIXTURE_TEST_CASE(deliversSignalsThroughLoop, Fixture)
{
    std::vector<int> caught;
    loop.onSignal(SIGTERM, [&] { caught.push_back(SIGTERM); });
    loop.onSignal(SIGHUP, [&] { caught.push_back(SIGHUP); });
    std::raise(SIGHUP);
    std::raise(SIGTERM);
    BOOST_TEST(runUntil([&] { return caught.size() == 2; }));
}

BOOST_FIXTURE_TEST_CASE(unwatchInCallbackKeepsDescriptorOpen, Fixture)
{
    const Pipe pipe;
    int calls = 0;
    loop.watchReadable(pipe.ends[0], [&] {
        ++calls;
        pipe.readByte();
        if (calls == 2)
            loop.unwatch(pipe.ends[0]);
    });
    loop.runOnce(std::chrono::milliseconds(1));
    BOOST_TEST(calls == 0);
    for (int i = 1; i <= 2; ++i) {
        pipe.writeByte();
        BOOST_TEST(runUntil([&] { return calls == i; }));
    }
    pipe.writeByte();
    for (int i = 0; i < 3; ++i)
        loop.runOnce(std::chrono::milliseconds(1));
    BOOST_TEST(calls == 2);
    pipe.readByte();
}

BOOST_FIXTURE_TEST_CASE(exchangesDatagrams, Fixture)
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

BOOST_FIXTURE_TEST_CASE(bindRejectsUsedAndInvalidAddresses, Fixture)
{
    const auto first = UdpSocket::bind({.loop = &loop, .address = {"127.0.0.1", 0}});
    BOOST_REQUIRE(first);
    const SocketAddress usedAddress = first.value()->address();
    const auto second = UdpSocket::bind({.loop = &loop, .address = usedAddress});
    BOOST_REQUIRE(!second);
    BOOST_TEST(second.error().detail.find(toString(usedAddress)) != std::string::npos);
    BOOST_TEST(!UdpSocket::bind({.loop = &loop, .address = {"localhost", 0}}));
}

BOOST_AUTO_TEST_CASE(parsesSocketAddresses)
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

/// Reading a large message takes 0.2 s. Meanwhile an answer arrives and its time limit passes.
struct StalledLoop : Fixture
{
    StalledLoop()
    {
        loop.watchReadable(answer.ends[0], [this] {
            answer.readByte();
            events.emplace_back("answer");
        });
        loop.watchReadable(message.ends[0], [this] {
            message.readByte();
            answer.writeByte();
            clock.advance(std::chrono::milliseconds(200));
        });
        loop.timers().start(std::chrono::milliseconds(120),
                            [this] { events.emplace_back("limit"); });
    }
    ~StalledLoop()
    {
        loop.unwatch(answer.ends[0]);
        loop.unwatch(message.ends[0]);
    }
    bool isAnswerReadBeforeTimeout()
    {
        runUntil([this] { return events.size() == 2; });
        return events.front() == "answer";
    }

    Pipe answer;
    Pipe message;
    std::vector<std::string> events;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(readsDataThatArrivedDuringSlowCallbackBeforeTimers, StalledLoop)
{
    message.writeByte();
    BOOST_TEST(isAnswerReadBeforeTimeout());
}

/// The same if the message arrives after the wait of an iteration but before its timers.
BOOST_FIXTURE_TEST_CASE(readsDataThatArrivedDuringLateSlowCallbackBeforeTimers, StalledLoop)
{
    Pipe other;
    loop.watchReadable(other.ends[0], [&] {
        other.readByte();
        message.writeByte();
        loop.post([] {});
    });
    other.writeByte();
    BOOST_TEST(isAnswerReadBeforeTimeout());
    loop.unwatch(other.ends[0]);
}
