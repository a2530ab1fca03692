#define BOOST_TEST_MODULE tst_keyedview
#include <boost/test/unit_test.hpp>

#include "auto/keyedlog/fakelog.h"
#include "base/logoffset.h"
#include "keyedlog/keyedview.h"
#include "runtime/clock.h"

#include <optional>
#include <string>
#include <utility>

using namespace Lagoonbank;
using namespace Lagoonbank::KeyedLog;

namespace {

using Errors::ErrorKind;
using Errors::makeError;

struct Fixture
{
    explicit Fixture(bool reportsNewestOnly = false)
        : view({.source = log.source(),
                .timers = &timers,
                .interval = std::chrono::milliseconds(500),
                .reportsNewestOnly = reportsNewestOnly,
                .backoff = {.initial = std::chrono::milliseconds(100),
                            .max = std::chrono::milliseconds(800)}})
    {
        view.valueChanged = [this](const KeyedRecord &record) {
            reported += record.key + "=" + *record.value + " ";
        };
        view.keyDropped = [this](const std::string &key, Base::LogOffset) {
            reported += "-" + key + " ";
        };
        view.listingCompleted = [this](const KeyedView::Keys &, Base::LogOffset) {
            reported += "filled ";
        };
        view.healthChanged = [this](bool isUp) { reported += isUp ? "up " : "down "; };
        view.start();
    }
    void pass(Base::Duration duration)
    {
        clock.advance(duration);
        timers.runDue();
    }
    std::string takeReported() { return std::exchange(reported, {}); }

    Runtime::ManualClock clock;
    Runtime::TimerQueue timers{clock};
    FakeLog log;
    KeyedView view;
    std::string reported;
};

} // namespace

BOOST_AUTO_TEST_CASE(fillsPageByPageAndFollowsTheTail)
{
    Fixture f;
    f.log.answerNewest({put("a", "1", 3)}, 10, true);
    BOOST_TEST(f.log.reads.front().after == "a");
    f.log.answerNewest({put("b", "2", 9)}, 12);
    BOOST_TEST(f.takeReported() == "up a=1 b=2 filled ");
    BOOST_TEST(f.view.isFilled());
    f.pass(std::chrono::milliseconds(500));
    // From the end of the first page, as later pages may lack records that were appended meanwhile.
    BOOST_TEST((f.log.reads.front().from == Base::LogOffset(10)));
    f.log.answerTail({put("b", "2", 9), put("c", "3", 10), drop("a", 11)}, 12);
    BOOST_TEST(f.takeReported() == "c=3 -a ");
    f.pass(std::chrono::milliseconds(500));
    BOOST_TEST((f.log.reads.front().from == Base::LogOffset(12)));
}

BOOST_AUTO_TEST_CASE(reportsWhyKeysAreListedAndWhichRecordsAreOutdated)
{
    Fixture f;
    std::string causes;
    std::string ignored;
    f.view.listingStarted = [&](ListingCause cause) {
        causes += toString(cause);
        causes += ' ';
    };
    f.view.outdatedRecordIgnored = [&](const KeyedRecord &record, Base::LogOffset known) {
        ignored += record.key + std::to_string(known.value() - record.offset.value()) + " ";
    };
    f.log.answerNewest({put("a", "1", 3), put("b", "1", 4)}, 10);
    f.pass(std::chrono::milliseconds(500));
    f.log.take().tail(TailPage{.isOutOfRange = true});
    f.log.answerNewest({put("a", "0", 1), put("b", "1", 4)}, 10);
    BOOST_TEST(ignored == "a2 ");
    f.pass(std::chrono::seconds(3));
    f.log.answerTail({}, 10);
    f.view.stop();
    f.view.start();
    BOOST_TEST(causes == "records_missing answer_overdue started ");
}

BOOST_AUTO_TEST_CASE(readsOnAtOnceWhileBehind)
{
    Fixture f;
    f.log.answerNewest({}, 0);
    f.pass(std::chrono::milliseconds(500));
    f.log.answerTail({put("a", "1", 0)}, 5);
    f.pass(Base::Duration::zero());
    BOOST_TEST((f.log.reads.front().from == Base::LogOffset(1)));
}

BOOST_AUTO_TEST_CASE(neverRevertsAKeyToAnOlderRecord)
{
    Fixture f;
    f.log.answerNewest({put("a", "new", 8)}, 9);
    f.pass(std::chrono::milliseconds(500));
    f.log.take().tail(TailPage{.isOutOfRange = true});
    f.takeReported();
    // A stale page, older than what was read before.
    f.log.answerNewest({put("a", "old", 4)}, 5);
    BOOST_TEST(f.takeReported() == "filled ");
    f.pass(std::chrono::milliseconds(500));
    BOOST_TEST((f.log.reads.front().from == Base::LogOffset(9)));
}

BOOST_AUTO_TEST_CASE(stalePageDropsNoNewerKey)
{
    Fixture f;
    f.log.answerNewest({}, 3);
    f.pass(std::chrono::milliseconds(500));
    f.log.answerTail({put("a", "1", 3)}, 4);
    f.pass(std::chrono::milliseconds(500));
    f.log.take().tail(TailPage{.isOutOfRange = true});
    f.takeReported();
    f.log.answerNewest({}, 3);
    BOOST_TEST(f.takeReported() == "filled ");
}

BOOST_AUTO_TEST_CASE(dropsKeysAbsentFromARepeatedListing)
{
    Fixture f;
    f.log.answerNewest({put("a", "1", 3), put("b", "2", 4)}, 5);
    f.pass(std::chrono::milliseconds(500));
    f.log.take().tail(TailPage{.isOutOfRange = true});
    f.takeReported();
    f.log.answerNewest({put("b", "3", 20)}, 21);
    BOOST_TEST(f.takeReported() == "b=3 -a filled ");
}

/// The record at the end is not part of the listing and may be the key's next one.
BOOST_AUTO_TEST_CASE(keyAbsentFromAListingIsDroppedUpToItsEnd)
{
    Fixture f;
    std::optional<Base::LogOffset> droppedBy;
    f.view.keyDropped = [&](const std::string &, Base::LogOffset offset) { droppedBy = offset; };
    f.log.answerNewest({put("a", "1", 3)}, 5);
    f.pass(std::chrono::milliseconds(500));
    f.log.take().tail(TailPage{.isOutOfRange = true});
    f.log.answerNewest({}, 21);
    BOOST_TEST((droppedBy == Base::LogOffset(20)));
}

BOOST_AUTO_TEST_CASE(backsOffWhileTheLogIsUnavailable)
{
    Fixture f;
    f.log.answerNewest({put("a", "1", 3)}, 5);
    f.takeReported();
    f.pass(std::chrono::milliseconds(500));
    int reads = 0;
    for (int ms = 0; ms < 4000; ms += 10) {
        if (!f.log.reads.empty()) {
            ++reads;
            f.log.take().tail(makeError(ErrorKind::LogUnavailable));
        }
        f.pass(std::chrono::milliseconds(10));
    }
    BOOST_TEST(reads >= 5);
    BOOST_TEST(reads <= 12);
    BOOST_TEST(f.takeReported() == "down ");
    BOOST_REQUIRE(f.view.age());
    BOOST_TEST((*f.view.age() >= std::chrono::seconds(4)));
    f.pass(std::chrono::seconds(1));
    f.log.answerTail({}, 5);
    BOOST_TEST(f.takeReported() == "up ");
}

BOOST_AUTO_TEST_CASE(failedListingStartsOver)
{
    Fixture f;
    f.log.answerNewest({put("a", "1", 3)}, 5, true);
    f.log.take().newest(makeError(ErrorKind::LogUnavailable));
    f.pass(std::chrono::seconds(1));
    BOOST_TEST(f.log.reads.front().after.empty());
    BOOST_TEST(!f.view.isFilled());
}

BOOST_AUTO_TEST_CASE(restartCancelsThePendingRead)
{
    Fixture f;
    f.log.answerNewest({}, 5);
    f.pass(std::chrono::milliseconds(500));
    const ReadId silent = f.log.reads.front().id;
    f.view.restart();
    BOOST_REQUIRE(f.log.reads.size() == 1U);
    BOOST_TEST((f.log.reads.front().id != silent));
    BOOST_TEST((f.log.reads.front().from == Base::LogOffset(5)));
}

BOOST_AUTO_TEST_CASE(reportsCaughtUpAfterTheLastPage)
{
    Fixture f;
    int caughtUp = 0;
    f.view.caughtUp = [&] { ++caughtUp; };
    f.log.answerNewest({put("a", "1", 1)}, 4, true);
    BOOST_TEST(caughtUp == 0);
    f.log.answerNewest({put("b", "2", 2)}, 4, true);
    BOOST_TEST(caughtUp == 0);
    f.log.answerNewest({put("c", "3", 3)}, 4);
    BOOST_TEST(caughtUp == 1);
}

BOOST_AUTO_TEST_CASE(doesNotReportCaughtUpWhileBehindOrOutOfRange)
{
    Fixture f;
    int caughtUp = 0;
    f.log.answerNewest({}, 0);
    f.view.caughtUp = [&] { ++caughtUp; };
    f.pass(std::chrono::seconds(1));
    f.log.answerTail({put("a", "1", 0)}, 3);
    BOOST_TEST(caughtUp == 0);
    f.pass(std::chrono::milliseconds(1));
    f.log.answerTail({put("b", "1", 1), put("c", "1", 2)}, 3);
    BOOST_TEST(caughtUp == 1);
    f.pass(std::chrono::seconds(1));
    f.log.take().tail(TailPage{.isOutOfRange = true});
    BOOST_TEST(caughtUp == 1);
    f.log.answerNewest({put("d", "1", 9)}, 10);
    BOOST_TEST(caughtUp == 2);
}

/// Configurations are written in quick succession, and each is expensive to decode.
BOOST_AUTO_TEST_CASE(reportsOnlyTheNewestRecordOfAKey)
{
    for (const bool reportsNewestOnly : {false, true}) {
        Fixture f(reportsNewestOnly);
        f.log.answerNewest({put("a", "1", 1)}, 2);
        f.takeReported();
        f.pass(std::chrono::milliseconds(500));
        f.log.answerTail({put("a", "2", 2), put("b", "1", 3), put("a", "3", 4), drop("b", 5),
                          put("c", "1", 6), drop("a", 7), put("a", "4", 8)},
                         9);
        BOOST_TEST(f.takeReported()
                   == (reportsNewestOnly ? "c=1 a=4 " : "a=2 b=1 a=3 -b c=1 -a a=4 "));
    }
}

/// The store reader of a data centre fails and another router takes over its role. That router has
/// received the configuration of 880 KB from its peers and must not read it again over a slow link.
BOOST_AUTO_TEST_CASE(startAfterDoesNotRereadKnownRecords)
{
    Fixture f;
    f.log.answerNewest({put("a", "1", 1)}, 2);
    f.view.stop();
    f.takeReported();
    f.view.startAfter(Base::LogOffset(7));
    BOOST_TEST((f.log.reads.back().from == Base::LogOffset(8)));
    f.log.answerTail({put("a", "2", 8)}, 9);
    BOOST_TEST(f.takeReported() == "up a=2 ");
    f.pass(std::chrono::milliseconds(500));
    const FakeLog::Read read = f.log.take();
    read.tail(TailPage{.isOutOfRange = true});
    f.log.answerNewest({put("a", "3", 30)}, 31);
    BOOST_TEST(f.takeReported() == "a=3 filled ");
}

/// A router takes over reading the log at the offset that the previous store reader had reached.
/// The next record drops a key that it has not read itself.
BOOST_AUTO_TEST_CASE(startAfterReportsDroppedKnownKeys)
{
    Fixture f;
    std::string dropped;
    f.view.keyDropped = [&](const std::string &key, Base::LogOffset) { dropped += key; };
    f.view.stop();
    f.view.startAfter(Base::LogOffset(7), {"a"});
    f.log.answerTail({drop("a", 8)}, 9);
    BOOST_TEST(dropped == "a");
}

namespace {

/// An offset of the log after it was restored from an older copy.
Base::LogOffset restored(std::uint64_t position)
{
    return Base::makeLogOffset(Base::LogEra(1), position);
}

KeyedRecord putRestored(const std::string &key, const std::string &value, std::uint64_t position)
{
    return {.key = key, .value = value, .offset = restored(position)};
}

} // namespace

// A log that was restored from an older copy gives out offsets again, so that records at offsets
// that the view has read may be new.

BOOST_AUTO_TEST_CASE(restoredLogIsListedAndFollowedFromItsNewEnd)
{
    Fixture f;
    f.log.answerNewest({put("a", "1", 3), put("lost", "1", 8)}, 9);
    f.pass(std::chrono::milliseconds(500));
    f.takeReported();
    f.log.take().tail(TailPage{.isOutOfRange = true, .end = restored(0)});
    BOOST_TEST((f.log.reads.front().newest != nullptr));
    f.log.take().newest(NewestPage{{putRestored("a", "2", 4)}, false, restored(5)});
    BOOST_TEST(f.takeReported() == "a=2 -lost filled ");
    f.pass(std::chrono::milliseconds(500));
    BOOST_TEST((f.log.reads.front().from == restored(5)));
    f.log.take().tail(TailPage{.records = {putRestored("lost", "3", 5)}, .end = restored(6)});
    BOOST_TEST(f.takeReported() == "lost=3 ");
}

/// The restored log has grown beyond the view's position before the next read, so that nothing but
/// the era shows that records are missing.
BOOST_AUTO_TEST_CASE(tailOfARestoredLogDoesNotContinueWhatIsKnown)
{
    Fixture f;
    f.log.answerNewest({put("a", "1", 3)}, 4);
    f.pass(std::chrono::milliseconds(500));
    f.takeReported();
    f.log.take().tail(TailPage{.records = {putRestored("b", "1", 4)}, .end = restored(5)});
    BOOST_TEST(f.takeReported().empty());
    f.log.take().newest(
        NewestPage{{putRestored("a", "2", 3), putRestored("b", "1", 4)}, false, restored(5)});
    BOOST_TEST(f.takeReported() == "a=2 b=1 filled ");
}

BOOST_AUTO_TEST_CASE(listingThatSpansARestorationStartsAgain)
{
    Fixture f;
    f.log.answerNewest({put("a", "1", 3)}, 10, true);
    f.log.take().newest(NewestPage{{putRestored("b", "1", 2)}, false, restored(3)});
    BOOST_TEST(!f.view.isFilled());
    BOOST_TEST(f.log.reads.front().after.empty());
    f.log.take().newest(
        NewestPage{{putRestored("a", "0", 1), putRestored("b", "1", 2)}, false, restored(3)});
    BOOST_TEST(f.takeReported() == "up a=1 a=0 b=1 filled ");
}

BOOST_AUTO_TEST_CASE(lateAnswerFromBeforeARestorationIsIgnored)
{
    Fixture f;
    f.log.take().newest(NewestPage{{putRestored("a", "2", 3)}, false, restored(4)});
    f.takeReported();
    f.pass(std::chrono::milliseconds(500));
    f.log.answerTail({put("a", "1", 4)}, 5);
    BOOST_TEST(f.takeReported().empty());
    f.pass(std::chrono::milliseconds(100));
    BOOST_TEST((f.log.reads.front().from == restored(4)));
}

/// A read that waits at the old end of the log would notice the restoration only when its wait
/// ends.
BOOST_AUTO_TEST_CASE(readOfAnEarlierEraIsRepeated)
{
    Fixture f;
    f.log.answerNewest({put("a", "1", 3)}, 4);
    f.pass(std::chrono::milliseconds(500));
    const ReadId waiting = f.log.reads.front().id;
    f.view.setEra(Base::LogEra(0));
    BOOST_TEST((f.log.reads.front().id == waiting));
    f.view.setEra(Base::LogEra(1));
    BOOST_REQUIRE(f.log.reads.size() == 1U);
    BOOST_TEST((f.log.reads.front().id != waiting));
}

/// Skipped records at the end of a page used to be read again for ever, as the position was taken
/// from the last record that could be read.
BOOST_AUTO_TEST_CASE(continuesBehindSkippedRecords)
{
    Fixture f;
    const FakeLog::Read first = f.log.take();
    first.newest(NewestPage{.records = {put("a", "1", 3)},
                            .hasMore = true,
                            .end = Base::LogOffset(10),
                            .lastKey = "b"});
    BOOST_TEST(f.log.reads.front().after == "b");
    const FakeLog::Read second = f.log.take();
    second.newest(NewestPage{.hasMore = true, .end = Base::LogOffset(10), .lastKey = "c"});
    BOOST_TEST(f.log.reads.front().after == "c");
    f.log.answerNewest({put("d", "2", 4)}, 10);
    BOOST_TEST(f.takeReported() == "up a=1 d=2 filled ");
    f.pass(std::chrono::milliseconds(500));
    const FakeLog::Read tail = f.log.take();
    tail.tail(TailPage{
        .records = {put("a", "3", 10)}, .end = Base::LogOffset(14), .next = Base::LogOffset(12)});
    f.pass(std::chrono::milliseconds(0));
    BOOST_TEST((f.log.reads.front().from == Base::LogOffset(12)));
    f.log.take().tail(TailPage{.end = Base::LogOffset(14), .next = Base::LogOffset(14)});
    f.pass(std::chrono::milliseconds(500));
    BOOST_TEST((f.log.reads.front().from == Base::LogOffset(14)));
    BOOST_TEST(f.takeReported() == "a=3 ");
}
