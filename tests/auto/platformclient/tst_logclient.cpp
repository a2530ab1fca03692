#define BOOST_TEST_MODULE tst_logclient
#include <boost/test/unit_test.hpp>

#include "fakeplatform.h"
#include "platformclient/logclient.h"

using namespace Lagoonbank;
using namespace std::chrono_literals;
using PlatformClient::AppendState;

namespace {

struct Fixture
{
    FakePlatform platform;
    PlatformClient::LogClient log{{.transport = platform.transport(), .timers = &platform.timers}};
    std::vector<PlatformClient::AppendResult> results;

    void append(const std::string &id)
    {
        log.append("claims", {{id, "data"}}, [this](const PlatformClient::AppendResult &result) {
            results.push_back(result);
        });
    }
};

const char *const emptyPage = R"({"first":3,"next":3,"records":[]})";

} // namespace

BOOST_FIXTURE_TEST_CASE(resolvesLostAnswerByReadingFromKnownEnd, Fixture)
{
    append("first");
    BOOST_TEST(platform.answer(200, R"({"offsets":[2]})").target == "/log/claims/append");
    append("second");
    platform.loseAnswer();
    BOOST_REQUIRE(platform.calls.size() == 1);
    BOOST_TEST(platform.calls.front().call.target == "/log/claims?from=3&limit=500&wait_ms=500");
    BOOST_TEST(platform.calls.front().call.freshConnection);
    platform.answer(200,
                    R"({"first":3,"next":4,"records":[{"offset":3,"id":"second","data":""}]})");
    BOOST_REQUIRE(results.size() == 2);
    BOOST_TEST((results[1].outcomes[0].state == AppendState::Appended));
    BOOST_TEST(results[1].outcomes[0].offset == Base::LogOffset(3));
}

BOOST_FIXTURE_TEST_CASE(findsLateRecordWithinTimeout, Fixture)
{
    append("late");
    platform.loseAnswer(Http::CallEnd::Broken);
    platform.answer(503, "");
    platform.advance(100ms);
    platform.answer(200, emptyPage);
    platform.advance(100ms);
    platform.answer(200, R"({"first":3,"next":4,"records":[{"offset":3,"id":"late","data":""}]})");
    BOOST_REQUIRE(results.size() == 1);
    BOOST_TEST((results[0].outcomes[0].state == AppendState::Appended));
}

BOOST_FIXTURE_TEST_CASE(missingRecordIsUnknownAndNotAppendedAgain, Fixture)
{
    append("gone");
    platform.loseAnswer();
    for (int i = 0; i < 1000 && results.empty(); ++i) {
        platform.advance(20ms);
        while (!platform.calls.empty())
            BOOST_TEST(platform.answer(200, emptyPage).method == "GET");
    }
    BOOST_REQUIRE(results.size() == 1);
    BOOST_TEST((results[0].outcomes[0].state == AppendState::Unknown));
}

BOOST_FIXTURE_TEST_CASE(doesNotSendRecordThatIsNotUtf8, Fixture)
{
    append("\xff");
    BOOST_TEST(platform.calls.empty());
    platform.advance(1ms);
    BOOST_REQUIRE(results.size() == 1);
    BOOST_TEST((results[0].outcomes[0].state == AppendState::NotAppended));
}

BOOST_AUTO_TEST_CASE(rejectsMalformedPages)
{
    const char *const bodies[] = {
        "",
        "[]",
        R"({"first":0,"next":1})",
        R"({"first":-1,"next":1,"records":[]})",
        R"({"first":4,"next":4,"records":[]})",
        R"({"first":5,"next":7,"records":[{"offset":5,"id":"a"}]})",
        R"({"first":5,"next":7,"records":[{"offset":6,"id":"a","data":""},{"offset":5,"id":"b","data":""}]})",
        R"({"first":5,"next":6,"records":[{"offset":6,"id":"a","data":""}]})",
        R"({"first":5,"next":6,"records":[{"offset":4,"id":"a","data":""}]})",
    };
    for (const char *body : bodies) {
        FakePlatform platform;
        PlatformClient::LogClient log(
            {.transport = platform.transport(), .timers = &platform.timers});
        bool isError = false;
        log.read({.stream = "claims", .from = Base::LogOffset(5)},
                 [&](const auto &page) { isError = !page.has_value(); });
        platform.answer(200, body);
        BOOST_TEST(isError, body);
    }
}
