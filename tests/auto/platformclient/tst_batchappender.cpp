#define BOOST_TEST_MODULE tst_batchappender
#include <boost/test/unit_test.hpp>

#include "fakeplatform.h"
#include "platformclient/batchappender.h"

#include <map>

using namespace Lagoonbank;
using namespace std::chrono_literals;
using PlatformClient::AppendOutcome;
using PlatformClient::AppendState;
using PlatformClient::BatchAppender;

namespace {

struct Fixture
{
    FakePlatform platform;
    PlatformClient::LogClient log{{.transport = platform.transport(), .timers = &platform.timers}};
    BatchAppender::Options options{.log = &log,
                                   .timers = &platform.timers,
                                   .stream = "claims",
                                   .maxBatchRecords = 2,
                                   .maxQueuedRecords = 4};
    BatchAppender appender{options};
    std::map<std::string, AppendOutcome> outcomes;

    bool add(const std::string &id)
    {
        return appender.add({id, "data"},
                            [this, id](AppendOutcome outcome) { outcomes[id] = outcome; });
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(appendsOneBatchPerIntervalInOrder, Fixture)
{
    for (const char *id : {"a", "b", "c"})
        BOOST_TEST(add(id));
    platform.advance(1ms);
    BOOST_REQUIRE(platform.calls.size() == 1);
    const auto first = platform.answer(200, R"({"offsets":[7,8]})");
    BOOST_TEST(first.body == R"({"records":[{"data":"data","id":"a"},{"data":"data","id":"b"}]})");
    BOOST_TEST(outcomes["b"].offset == Base::LogOffset(8));
    platform.advance(15ms);
    BOOST_TEST(platform.calls.empty());
    platform.advance(10ms);
    BOOST_REQUIRE(platform.calls.size() == 1);
    platform.answer(200, R"({"offsets":[9]})");
    BOOST_TEST(outcomes["c"].offset == Base::LogOffset(9));
}

BOOST_FIXTURE_TEST_CASE(slowsDownWhileRateLimitedAndLosesNothing, Fixture)
{
    add("a");
    Base::Duration before = appender.interval();
    for (int i = 0; i < 3; ++i) {
        platform.advance(300ms);
        BOOST_REQUIRE(platform.calls.size() == 1);
        platform.answer(429, "");
        BOOST_TEST(appender.interval().count() > before.count());
        before = appender.interval();
        BOOST_TEST(outcomes.empty());
    }
    platform.advance(500ms);
    platform.answer(200, R"({"offsets":[0]})");
    BOOST_TEST((outcomes["a"].state == AppendState::Appended));
    BOOST_TEST(appender.interval().count() < before.count());
}

BOOST_FIXTURE_TEST_CASE(expiredRecordsAreNotAppendedAfterOutage, Fixture)
{
    add("a");
    for (int i = 0; i < 100 && outcomes.empty(); ++i) {
        platform.advance(50ms);
        while (!platform.calls.empty())
            platform.refuseConnection();
    }
    BOOST_REQUIRE(outcomes.size() == 1);
    BOOST_TEST((outcomes["a"].state == AppendState::NotAppended));
    platform.advance(5s);
    BOOST_TEST(platform.calls.empty());
}

BOOST_FIXTURE_TEST_CASE(sendsBatchOnceIfAnswerIsLost, Fixture)
{
    add("a");
    platform.advance(1ms);
    platform.loseAnswer();
    add("b");
    platform.advance(50ms);
    BOOST_REQUIRE(platform.calls.size() == 1);
    const auto read =
        platform.answer(200, R"({"first":0,"next":1,"records":[{"offset":0,"id":"a","data":""}]})");
    BOOST_TEST(read.method == "GET");
    BOOST_TEST((outcomes["a"].state == AppendState::Appended));
    platform.advance(50ms);
    BOOST_TEST(platform.answer(200, R"({"offsets":[1]})").body.view().find("\"a\"")
               == std::string::npos);
    BOOST_TEST(outcomes["b"].offset == Base::LogOffset(1));
}

BOOST_FIXTURE_TEST_CASE(fullQueueRejectsRecords, Fixture)
{
    for (const char *id : {"a", "b", "c", "d"})
        BOOST_TEST(add(id));
    BOOST_TEST(!add("e"));
}
