#define BOOST_TEST_MODULE tst_manycalls
#include "loopback.h"

#include <boost/test/unit_test.hpp>

using namespace Lagoonbank;

namespace {

/// More calls than the event loop processes events in one poll.
constexpr int manyCalls = 900;

struct Fixture : Test::PausedLoop
{
    Fixture()
    {
        server.setHandler(
            [](const auto &, const auto &responder) { responder->send(200, {}, "answer"); });
        BOOST_REQUIRE(server.listen());
    }
    void startMany()
    {
        for (int i = 0; i < manyCalls; ++i) {
            client.start({.server = server.address()},
                         {.finished = [&](const Http::CallResult &result) {
                             ++endedCalls;
                             completeCalls += result.end == Http::CallEnd::Whole;
                         }});
        }
    }

    int completeCalls = 0;
    int endedCalls = 0;
    Http::Server server{{.loop = &loop, .address = {"127.0.0.1", 0}}};
    Http::Client client{{.loop = &loop, .maxIdlePerServer = manyCalls}};
};

} // namespace

BOOST_FIXTURE_TEST_CASE(callsStartedTogetherFromTimerAllEnd, Fixture)
{
    // All rounds but the first reuse connections.
    for (int round = 1; round <= 4; ++round) {
        loop.timers().start({}, [&] { startMany(); });
        BOOST_REQUIRE(runUntil([&] { return endedCalls == round * manyCalls; }));
    }
    BOOST_TEST(completeCalls == endedCalls);
}
