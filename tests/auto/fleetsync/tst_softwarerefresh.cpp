#define BOOST_TEST_MODULE tst_softwarerefresh
#include <boost/test/unit_test.hpp>

#include "auto/keyedlog/fakelog.h"
#include "fleetsync/softwarerefresh.h"
#include "runtime/clock.h"

#include <optional>
#include <string>

using namespace Lagoonbank;
using KeyedLog::FakeLog;
using KeyedLog::KeyedRecord;
using std::chrono::milliseconds;

namespace {

struct Fixture
{
    Fixture()
        : refresh(
            {.endpoints = endpoints.source(), .software = software.source(), .timers = &timers})
    {
        refresh.endpointRead = [this](const KeyedRecord &record) { reported += record.key + " "; };
        refresh.softwareRead = [this](const Schema::SharedSoftware &use) {
            reported += use.service + "=" + std::to_string(use.software) + " ";
        };
        refresh.refresh([this](bool isCurrent) { result = isCurrent; });
    }

    Runtime::ManualClock clock;
    Runtime::TimerQueue timers{clock};
    FakeLog endpoints;
    FakeLog software;
    FleetSync::SoftwareRefresh refresh;
    std::string reported;
    std::optional<bool> result;
};

} // namespace

/// Guards against a version that only one of the two topics has, as its endpoints have left or no
/// router has written it yet.
BOOST_AUTO_TEST_CASE(versionsAreCurrentOnceBothTopicsAreRead)
{
    Fixture f;
    f.endpoints.answerNewest({KeyedLog::put("e1", "entry", 0)}, 1);
    BOOST_TEST(!f.result.has_value());
    f.software.answerNewest(
        {KeyedLog::put("era", "0", 0), KeyedLog::put("software-000000000000000a", "s", 1)}, 2);
    BOOST_TEST(f.result.value());
    BOOST_TEST(f.reported == "e1 s=10 ");
}

BOOST_AUTO_TEST_CASE(versionsAreNotCurrentIfOneTopicCannotBeRead)
{
    Fixture f;
    f.endpoints.answerNewest({}, 0);
    f.software.take().newest(Errors::makeError(Errors::ErrorKind::LogUnavailable, "down"));
    BOOST_TEST(!f.result.value());
    BOOST_TEST(f.refresh.isFailing());
}

/// Guards against a restored store that lacks the entries of a version until they are written
/// again.
BOOST_AUTO_TEST_CASE(versionsAreNotCurrentRightAfterARestorationOfTheStore)
{
    Fixture f;
    f.refresh.logRestored();
    f.endpoints.answerNewest({}, 0);
    f.software.answerNewest({}, 0);
    BOOST_TEST(!f.result.value());
    f.clock.advance(milliseconds(2500));
    f.refresh.refresh([&f](bool isCurrent) { f.result = isCurrent; });
    f.timers.runDue();
    f.endpoints.answerNewest({}, 0);
    f.software.answerNewest({}, 0);
    BOOST_TEST(f.result.value());
}

/// Guards against a restored store that fails again before what the copy lacks could be written,
/// and returns without it later than the time that is allowed for that.
BOOST_AUTO_TEST_CASE(versionsAreNotCurrentIfARestoredStoreFailsBeforeTheyAreWrittenAgain)
{
    for (const bool isFailureSeenByThisRead : {true, false}) {
        BOOST_TEST_CONTEXT("failure seen by this read: " << isFailureSeenByThisRead)
        {
            Fixture f;
            f.refresh.logRestored();
            if (isFailureSeenByThisRead) {
                f.endpoints.answerNewest({}, 0);
                f.software.take().newest(
                    Errors::makeError(Errors::ErrorKind::LogUnavailable, "down"));
            } else {
                f.endpoints.answerNewest({}, 0);
                f.software.answerNewest({}, 0);
                f.refresh.logFailed();
            }
            f.clock.advance(milliseconds(5000));
            f.refresh.logReturned();
            for (const bool isRewritten : {false, true}) {
                f.clock.advance(milliseconds(isRewritten ? 2500 : 100));
                f.refresh.refresh([&f](bool isCurrent) { f.result = isCurrent; });
                f.timers.runDue();
                for (auto *log : {&f.endpoints, &f.software}) {
                    if (log->reads.front().tail)
                        log->answerTail({}, 0);
                    else
                        log->answerNewest({}, 0);
                }
                BOOST_TEST(f.result.value() == isRewritten);
            }
        }
    }
}
