#define BOOST_TEST_MODULE tst_tailer
#include <boost/test/unit_test.hpp>

#include "fakeplatform.h"
#include "platformclient/tailer.h"

using namespace Lagoonbank;
using namespace std::chrono_literals;
using Base::LogOffset;

namespace {

struct Fixture
{
    FakePlatform platform;
    PlatformClient::LogClient log{{.transport = platform.transport(), .timers = &platform.timers}};
    PlatformClient::Tailer tailer{{.log = &log,
                                   .timers = &platform.timers,
                                   .stream = "configuration",
                                   .from = LogOffset(5),
                                   .pageRecords = 2}};
    std::string received;
    std::vector<std::pair<LogOffset, LogOffset>> gaps;
    std::vector<bool> health;
    int caughtUp = 0;

    Fixture()
    {
        tailer.setRecordReceived([this](const auto &record) { received += record.data; });
        tailer.setGapFound(
            [this](LogOffset from, LogOffset first) { gaps.emplace_back(from, first); });
        tailer.setHealthChanged([this](const auto &now) { health.push_back(now.isUp); });
        tailer.setCaughtUp([this] { ++caughtUp; });
        tailer.start();
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(deliversInOrderAndWaitsAtEnd, Fixture)
{
    platform.answer(200, R"({"first":5,"next":7,"records":[{"offset":5,"id":"a","data":"1"},
                             {"offset":6,"id":"b","data":"2"}]})");
    BOOST_TEST(caughtUp == 0);
    BOOST_TEST(!tailer.lag());
    platform.advance(10ms);
    BOOST_TEST(
        platform.answer(200, R"({"first":7,"next":8,"records":[{"offset":7,"id":"c","data":"3"}]})")
            .target
        == "/log/configuration?from=7&limit=2&wait_ms=0");
    BOOST_TEST(received == "123");
    BOOST_TEST(caughtUp == 1);
    platform.advance(10ms);
    BOOST_REQUIRE(platform.calls.size() == 1);
    const Http::Call &poll = platform.calls.front().call;
    BOOST_TEST(poll.target == "/log/configuration?from=8&limit=2&wait_ms=2000");
    BOOST_TEST((poll.headTimeout == 3s));
    BOOST_TEST((*tailer.lag() == 10ms));
}

BOOST_FIXTURE_TEST_CASE(reportsGapAndContinuesAfterIt, Fixture)
{
    platform.answer(200, R"({"first":9,"next":10,"records":[{"offset":9,"id":"a","data":"9"}]})");
    BOOST_TEST((gaps == std::vector{std::pair(LogOffset(5), LogOffset(9))}));
    BOOST_TEST(received == "9");
    BOOST_TEST(tailer.position() == LogOffset(10));
    platform.advance(10ms);
    platform.answer(200, R"({"first":20,"next":20,"records":[]})");
    BOOST_TEST(gaps.size() == 2);
    BOOST_TEST(tailer.position() == LogOffset(20));
}

BOOST_FIXTURE_TEST_CASE(deliversRecordAppendedTwiceOnce, Fixture)
{
    platform.answer(200, R"({"first":5,"next":7,"records":[{"offset":5,"id":"a","data":"1"},
                             {"offset":6,"id":"a","data":"1"}]})");
    platform.advance(10ms);
    platform.answer(200, R"({"first":7,"next":9,"records":[{"offset":7,"id":"b","data":"2"},
                             {"offset":8,"id":"a","data":"1"}]})");
    BOOST_TEST(received == "12");
    BOOST_TEST(tailer.position() == LogOffset(9));
}

BOOST_FIXTURE_TEST_CASE(retriesOnFreshConnectionAndReportsHealth, Fixture)
{
    platform.answer(200, R"({"first":5,"next":5,"records":[]})");
    platform.advance(10ms);
    for (int failures = 0; failures < 4; ++failures) {
        BOOST_REQUIRE(platform.calls.size() == 1);
        failures % 2 == 0 ? platform.loseAnswer() : platform.answer(503, "");
        BOOST_TEST(platform.calls.empty());
        platform.advance(2s);
    }
    BOOST_TEST(!tailer.health().isUp);
    platform.loseAnswer();
    platform.advance(2s);
    BOOST_TEST(platform.calls.front().call.freshConnection);
    BOOST_TEST(platform.calls.front().call.target == "/log/configuration?from=5&limit=2&wait_ms=0");
    platform.answer(200, R"({"first":5,"next":6,"records":[{"offset":5,"id":"a","data":"1"}]})");
    BOOST_TEST(received == "1");
    BOOST_TEST((health == std::vector{true, false, true}));
}

BOOST_FIXTURE_TEST_CASE(rejectsLogThatEndsBeforeItsPosition, Fixture)
{
    platform.answer(200, R"({"first":0,"next":2,"records":[]})");
    BOOST_TEST((health == std::vector{false}));
    BOOST_TEST(tailer.position() == LogOffset(5));
}

BOOST_FIXTURE_TEST_CASE(stopInCallback, Fixture)
{
    tailer.setRecordReceived([this](const auto &record) {
        received += record.data;
        tailer.stop();
    });
    platform.answer(200, R"({"first":5,"next":7,"records":[{"offset":5,"id":"a","data":"1"},
                             {"offset":6,"id":"b","data":"2"}]})");
    platform.advance(5s);
    BOOST_TEST(received == "1");
    BOOST_TEST(tailer.position() == LogOffset(6));
    BOOST_TEST(platform.calls.empty());
}
