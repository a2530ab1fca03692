#define BOOST_TEST_MODULE tst_walljump
#include "loopback.h"

#include <sys/time.h>
#include <time.h>

#include <memory>

using namespace Lagoonbank;
using namespace Lagoonbank::Http;
using Lagoonbank::Test::PausedLoop;
using Lagoonbank::Test::RawSocket;

namespace {

std::int64_t &wallJumpSeconds()
{
    static std::int64_t seconds = 0;
    return seconds;
}

} // namespace

/// Replaces the C library's function, so that the test can set the event loop's wall clock.
extern "C" int gettimeofday(timeval *time, void * /*zone*/) noexcept
{
    timespec now{};
    clock_gettime(CLOCK_REALTIME, &now);
    time->tv_sec = now.tv_sec + wallJumpSeconds();
    time->tv_usec = now.tv_nsec / 1000;
    return 0;
}

namespace {

struct Fixture : PausedLoop
{
    Fixture()
        : server({.loop = &loop, .address = {"127.0.0.1", 0}, .http2 = true})
        , client({.loop = &loop})
    {
        server.setHandler([this](const Request &, std::shared_ptr<Responder> given) {
            responder = std::move(given);
        });
        BOOST_REQUIRE(server.listen());
    }
    ~Fixture() { wallJumpSeconds() = 0; }

    Server server;
    Client client;
    std::shared_ptr<Responder> responder;
};

constexpr std::int64_t day = 24 * 3600;

/// HTTP/2 preface, empty SETTINGS frame, and GET / on stream 1.
constexpr std::string_view http2Get("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
                                    "\0\0\0\x04\0\0\0\0\0"
                                    "\0\0\x06\x01\x05\0\0\0\x01\x82\x86\x84\x41\x01"
                                    "a",
                                    24 + 9 + 15);

} // namespace

BOOST_AUTO_TEST_CASE(jumpsOfTheWallClockChangeNothing)
{
    for (const std::int64_t jump : {day, -day, 300 * day, -300 * day, std::int64_t{5}}) {
        BOOST_TEST_CONTEXT("jump of " << jump << " s")
        {
            Fixture f;
            int finished = 0;
            f.client.start({.server = f.server.address()},
                           {.finished = [&](const CallResult &result) {
                               BOOST_TEST((result.end == CallEnd::Whole));
                               BOOST_TEST(result.body == "answer");
                               ++finished;
                           }});
            RawSocket idle(f.server.address());
            RawSocket partial(f.server.address());
            partial.send("GET / HT");
            BOOST_REQUIRE(f.runUntil([&] { return f.responder != nullptr; }));
            wallJumpSeconds() = jump;
            f.runIterations(10);
            BOOST_TEST(finished == 0);
            BOOST_TEST(!idle.isEnded());
            BOOST_TEST(!partial.isEnded());
            f.responder->send(200, {}, "answer");
            BOOST_TEST(f.runUntil([&] { return finished == 1; }));
            f.responder.reset();
            partial.send("TP/1.1\r\nhost: a\r\n\r\n");
            BOOST_TEST(f.runUntil([&] { return f.responder != nullptr; }));
        }
    }
}

BOOST_AUTO_TEST_CASE(http2IsNotDelayedByBackwardJump)
{
    Fixture f;
    RawSocket caller(f.server.address());
    caller.send(http2Get);
    BOOST_REQUIRE(f.runUntil([&] { return f.responder != nullptr; }));
    // h2o delays the write with a timeout, and the clock jumps before it expires.
    f.responder->send(200, {}, "answer");
    wallJumpSeconds() = -day;
    BOOST_TEST(f.runUntil([&] { return caller.has("answer"); }));
}
