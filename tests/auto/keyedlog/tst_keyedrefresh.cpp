#define BOOST_TEST_MODULE tst_keyedrefresh
#include <boost/test/unit_test.hpp>

#include "auto/keyedlog/fakelog.h"
#include "base/logoffset.h"
#include "keyedlog/keyedrefresh.h"
#include "runtime/clock.h"

#include <string>
#include <utility>

using namespace Lagoonbank;
using namespace Lagoonbank::KeyedLog;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against decisions that rest on what a log held before they had to be made.

namespace {

struct Fixture
{
    Fixture()
        : refresh({.source = log.source(), .timers = &timers})
    {
        refresh.recordRead = [this](const KeyedRecord &record) {
            reported += record.key + "=" + *record.value + " ";
        };
    }
    void call()
    {
        refresh.refresh([this](bool isCurrent) { reported += isCurrent ? "current " : "failed "; });
    }
    void pass(Base::Duration duration)
    {
        clock.advance(duration);
        timers.runDue();
    }
    void fail()
    {
        const auto error = Errors::makeError(Errors::ErrorKind::LogUnavailable, "down");
        const FakeLog::Read read = log.take();
        if (read.newest)
            read.newest(error);
        else
            read.tail(error);
    }
    std::string takeReported() { return std::exchange(reported, {}); }

    Runtime::ManualClock clock;
    Runtime::TimerQueue timers{clock};
    FakeLog log;
    KeyedRefresh refresh;
    std::string reported;
};

} // namespace

BOOST_AUTO_TEST_CASE(firstReadListsAllPagesAndLaterOnesReadTheTail)
{
    Fixture f;
    f.call();
    f.log.answerNewest({put("a", "1", 3)}, 10, true);
    BOOST_TEST(f.log.reads.front().after == "a");
    f.log.answerNewest({put("b", "2", 9)}, 12);
    BOOST_TEST(f.takeReported() == "a=1 b=2 current ");
    f.pass(milliseconds(100));
    f.call();
    // From the end of the first page, as later pages may lack records that were appended meanwhile.
    BOOST_TEST((f.log.reads.front().from == Base::LogOffset(10)));
    f.log.answerTail({put("b", "2", 10), drop("a", 11)}, 13);
    BOOST_TEST((f.log.reads.front().from == Base::LogOffset(12)));
    f.log.answerTail({put("c", "3", 12)}, 13);
    BOOST_TEST(f.takeReported() == "b=2 c=3 current ");
    f.pass(seconds(11));
    f.call();
    BOOST_TEST(bool(f.log.reads.front().newest));
}

/// Guards against a call that is answered by a read which began before it.
BOOST_AUTO_TEST_CASE(callDuringAReadIsAnsweredByTheNextOne)
{
    Fixture f;
    f.call();
    f.call();
    f.log.answerNewest({}, 0);
    BOOST_TEST(f.takeReported() == "current ");
    BOOST_TEST(f.log.reads.empty());
    f.call();
    f.pass(milliseconds(50));
    BOOST_TEST(f.log.reads.size() == 1U);
    f.log.answerTail({put("a", "1", 0)}, 1);
    BOOST_TEST(f.takeReported() == "a=1 current current ");
    f.pass(seconds(1));
    BOOST_TEST(f.log.reads.empty());
}

/// Guards against calls that wait for one timeout after another while the log does not answer.
BOOST_AUTO_TEST_CASE(failedReadAnswersAllCallsAndIsNotRepeated)
{
    Fixture f;
    f.call();
    f.call();
    f.fail();
    BOOST_TEST(f.takeReported() == "failed failed ");
    BOOST_TEST(f.refresh.isFailing());
    f.pass(seconds(1));
    BOOST_TEST(f.log.reads.empty());
    f.call();
    f.log.answerNewest({put("a", "1", 0)}, 1);
    BOOST_TEST(f.takeReported() == "a=1 current ");
    BOOST_TEST(!f.refresh.isFailing());
}

/// Guards against a tail that continues at a position of a log that has been restored meanwhile,
/// or whose next record is no longer retained.
BOOST_AUTO_TEST_CASE(recordsAreListedAgainIfTheTailDoesNotContinue)
{
    for (const bool isRestored : {true, false}) {
        BOOST_TEST_CONTEXT((isRestored ? "restored" : "no longer retained"))
        {
            Fixture f;
            f.call();
            f.log.answerNewest({put("a", "1", 4)}, 5);
            f.pass(seconds(1));
            f.call();
            const Base::LogOffset end = Base::makeLogOffset(Base::LogEra(isRestored ? 1 : 0), 3);
            f.log.take().tail(TailPage{.isOutOfRange = !isRestored, .end = end});
            BOOST_TEST(f.takeReported() == "a=1 current ");
            f.log.take().newest(NewestPage{
                {{.key = "b", .value = "2", .offset = end}}, false, end + Base::LogOffset(4)});
            BOOST_TEST(f.takeReported() == "b=2 current ");
        }
    }
}
