#define BOOST_TEST_MODULE tst_endpointdirectory
#include <boost/test/unit_test.hpp>

#include "base/logoffset.h"
#include "fleet/endpointdirectory.h"
#include "runtime/clock.h"

#include <string>

using namespace Lagoonbank;
using namespace Lagoonbank::Fleet;

namespace {

Endpoint endpoint(const std::string &id, EndpointState state = EndpointState::Ready)
{
    return {.id = Base::EndpointId(id),
            .service = Base::ServiceId("service"),
            .address = {"127.0.0.1", 80},
            .state = state};
}

struct Fixture
{
    Fixture()
    {
        directory.changed = [this](const auto &entry) {
            reported += "+" + entry.endpoint.id.value();
        };
        directory.removed = [this](const auto &entry) {
            reported += "-" + entry.endpoint.id.value();
        };
    }
    void put(const Endpoint &one) { directory.put({one, Base::LogOffset(++version)}); }
    void drop(const char *id)
    {
        directory.entryDropped(Base::EndpointId(id), Base::LogOffset(++version));
    }
    void pass(Base::Duration duration)
    {
        clock.advance(duration);
        timers.runDue();
    }

    Runtime::ManualClock clock;
    Runtime::TimerQueue timers{clock};
    EndpointDirectory directory{{.timers = &timers}};
    std::string reported;
    std::uint64_t version = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(changesAreReportedOnce)
{
    Fixture f;
    f.put(endpoint("a"));
    f.put(endpoint("a"));
    f.put(endpoint("a", EndpointState::Draining));
    f.drop("a");
    f.drop("a");
    BOOST_TEST(f.reported == "+a+a-a");
    BOOST_TEST(!f.directory.find(Base::EndpointId("a")));
}

BOOST_AUTO_TEST_CASE(entriesExpiredDuringAnOutageMayBeRewritten)
{
    Fixture f;
    f.put(endpoint("back"));
    f.put(endpoint("gone"));
    f.put(endpoint("leaving", EndpointState::Draining));
    f.reported.clear();
    f.directory.storeReturned();
    f.drop("back");
    f.drop("gone");
    f.drop("leaving");
    BOOST_TEST(f.reported == "-leaving");
    f.pass(std::chrono::seconds(2));
    f.put(endpoint("back"));
    BOOST_TEST(f.reported == "-leaving");
    f.pass(std::chrono::milliseconds(300));
    BOOST_TEST(f.reported == "-leaving-gone");
    BOOST_TEST(f.directory.find(Base::EndpointId("back")));
}

BOOST_AUTO_TEST_CASE(droppedEntryIsRemovedAtOnceAfterTheRewriteTime)
{
    Fixture f;
    f.put(endpoint("a"));
    f.directory.storeReturned();
    f.pass(std::chrono::seconds(3));
    f.drop("a");
    BOOST_TEST(f.reported == "+a-a");
}

BOOST_AUTO_TEST_CASE(olderVersionsAreIgnored)
{
    Fixture f;
    f.directory.put({endpoint("a", EndpointState::Draining), Base::LogOffset(5)});
    f.directory.put({endpoint("a"), Base::LogOffset(4)});
    f.directory.remove({Base::EndpointId("a"), Base::LogOffset(3)});
    BOOST_TEST((f.directory.find(Base::EndpointId("a"))->state == EndpointState::Draining));
    f.directory.remove({Base::EndpointId("a"), Base::LogOffset(9)});
    f.directory.put({endpoint("a"), Base::LogOffset(8)});
    BOOST_TEST(!f.directory.find(Base::EndpointId("a")));
    BOOST_TEST(f.reported == "+a-a");
}

BOOST_AUTO_TEST_CASE(reconcileRemovesAbsentEntries)
{
    Fixture f;
    f.directory.put({endpoint("old"), Base::LogOffset(3)});
    f.directory.put({endpoint("kept"), Base::LogOffset(4)});
    f.directory.put({endpoint("newer"), Base::LogOffset(12)});
    f.directory.reconcile({Base::EndpointId("kept")}, Base::LogOffset(10));
    BOOST_TEST(f.reported == "+old+kept+newer-old");
}

BOOST_AUTO_TEST_CASE(hashDependsOnContentOnly)
{
    Fixture one;
    Fixture other;
    one.directory.put({endpoint("a"), Base::LogOffset(1)});
    one.directory.put({endpoint("b"), Base::LogOffset(2)});
    other.directory.put({endpoint("b"), Base::LogOffset(7)});
    BOOST_TEST(one.directory.hash() != other.directory.hash());
    other.directory.put({endpoint("a"), Base::LogOffset(8)});
    BOOST_TEST(one.directory.hash() == other.directory.hash());
    one.directory.put({endpoint("a", EndpointState::Draining), Base::LogOffset(9)});
    BOOST_TEST(one.directory.hash() != other.directory.hash());
    one.directory.remove({Base::EndpointId("a"), Base::LogOffset(10)});
    one.directory.remove({Base::EndpointId("b"), Base::LogOffset(11)});
    BOOST_TEST(one.directory.hash() == 0U);
}

BOOST_AUTO_TEST_CASE(entryOfAnEarlierStartIsIgnored)
{
    using std::chrono::milliseconds;
    const auto startAt = [](int ms) { return std::optional(Base::WallTime(milliseconds(ms))); };
    const struct
    {
        const char *what;
        std::optional<Base::WallTime> known;
        std::optional<Base::WallTime> next;
        const char *reported;
        std::optional<Base::WallTime> kept;
    } cases[] = {{"later", startAt(5), startAt(6), "+a+a", startAt(6)},
                 {"equal", startAt(5), startAt(5), "+a", startAt(5)},
                 {"earlier", startAt(5), startAt(4), "+a", startAt(5)},
                 {"not reported any more", startAt(5), {}, "+a", startAt(5)},
                 {"reported for the first time", {}, startAt(5), "+a+a", startAt(5)}};
    for (const auto &[what, known, next, reported, kept] : cases) {
        Fixture f;
        Endpoint one = endpoint("a");
        one.startedAt = known;
        f.put(one);
        one.startedAt = next;
        f.put(one);
        BOOST_TEST(f.reported == reported, what);
        BOOST_TEST((f.directory.find(one.id)->startedAt == kept), what);
    }
}

BOOST_AUTO_TEST_CASE(lateDrainingEntryOfAnEarlierStartIsIgnored)
{
    Fixture f;
    Endpoint one = endpoint("a");
    one.startedAt = Base::WallTime(std::chrono::seconds(6));
    f.put(one);
    one.startedAt = Base::WallTime(std::chrono::seconds(5));
    one.state = EndpointState::Draining;
    f.put(one);
    BOOST_TEST((f.directory.find(one.id)->state == EndpointState::Ready));
}

BOOST_AUTO_TEST_CASE(unknownEndpointIsRememberedAsGone)
{
    Fixture f;
    f.directory.remove({Base::EndpointId("a"), Base::LogOffset(9)});
    f.directory.put({endpoint("a"), Base::LogOffset(8)}); // Delayed, from a peer.
    BOOST_TEST(!f.directory.find(Base::EndpointId("a")));
    BOOST_TEST(f.reported == "");
    f.directory.remove({Base::EndpointId("a"), Base::LogOffset(9)});
    BOOST_TEST(f.directory.gone().size() == 1U);
    f.directory.put({endpoint("a"), Base::LogOffset(10)});
    BOOST_TEST(f.reported == "+a");
}

/// The record at the end is not part of the listing, so it may be the next entry of an endpoint
/// that was missing from it. An older entry of a missing endpoint is ignored, whatever its source.
BOOST_AUTO_TEST_CASE(reconcileRejectsOlderVersions)
{
    Fixture f;
    f.directory.put({endpoint("back"), Base::LogOffset(3)});
    f.directory.reconcile({}, Base::LogOffset(10));
    f.directory.put({endpoint("back"), Base::LogOffset(10)});
    f.directory.put({endpoint("gone"), Base::LogOffset(9)});
    BOOST_TEST(f.reported == "+back-back+back");
}

BOOST_AUTO_TEST_CASE(pendingRemovalsAreHeldDuringASecondOutage)
{
    Fixture f;
    f.put(endpoint("a"));
    f.directory.storeReturned();
    f.drop("a");
    f.directory.storeFailed();
    f.pass(std::chrono::seconds(10));
    BOOST_TEST(f.directory.find(Base::EndpointId("a")));
    f.directory.storeReturned();
    f.pass(std::chrono::seconds(3));
    BOOST_TEST(f.reported == "+a-a");
}

/// A delayed write arrives once; an endpoint that restarted with its clock set back keeps writing.
BOOST_AUTO_TEST_CASE(earlierStartWrittenTwiceIsAccepted)
{
    Fixture f;
    Endpoint one = endpoint("a");
    one.startedAt = Base::WallTime(std::chrono::seconds(6));
    f.put(one);
    one.startedAt = Base::WallTime(std::chrono::seconds(5));
    f.put(one);
    BOOST_TEST(f.reported == "+a");
    f.put(one);
    BOOST_TEST(f.reported == "+a+a");
    BOOST_TEST((f.directory.find(one.id)->startedAt == one.startedAt));
}

/// A delayed entry from before the drop must not restore the endpoint.
BOOST_AUTO_TEST_CASE(olderVersionDoesNotCancelAPendingRemoval)
{
    Fixture f;
    f.directory.put({endpoint("a"), Base::LogOffset(1)});
    f.directory.storeReturned();
    f.directory.entryDropped(Base::EndpointId("a"), Base::LogOffset(3));
    f.directory.put({endpoint("a", EndpointState::Draining), Base::LogOffset(2)});
    f.pass(std::chrono::seconds(3));
    BOOST_TEST(f.reported == "+a+a-a");
}

namespace {

/// The entry of an endpoint after its \a sequence th write, as read at a position in an era.
EndpointDirectory::Entry entryOf(const Endpoint &one, std::uint64_t sequence, std::uint64_t era,
                                 std::uint64_t position)
{
    return {.endpoint = one,
            .version = Base::makeLogOffset(Base::LogEra(era), position),
            .sequence = EntrySequence(sequence)};
}

bool isDraining(const Fixture &f, const std::string &id)
{
    const Endpoint *known = f.directory.find(Base::EndpointId(id));
    return known && known->state == EndpointState::Draining;
}

} // namespace

// The store was restored from an older copy, so that outdated entries have higher versions than
// those that are known, until the endpoints have written theirs again.

BOOST_AUTO_TEST_CASE(restoredEntryDoesNotMakeADrainingEndpointReady)
{
    Fixture f;
    f.directory.put(entryOf(endpoint("a"), 3, 1, 7));
    f.directory.put(entryOf(endpoint("a", EndpointState::Draining), 4, 1, 9));
    f.directory.storeRestored();
    f.directory.put(entryOf(endpoint("a"), 3, 2, 7));
    f.directory.reconcile({Base::EndpointId("a")}, Base::makeLogOffset(Base::LogEra(2), 8));
    BOOST_TEST(isDraining(f, "a"));
    BOOST_TEST(f.directory.hasUnconfirmedEntries());
    f.directory.put(entryOf(endpoint("a", EndpointState::Draining), 4, 2, 8));
    BOOST_TEST(isDraining(f, "a"));
    BOOST_TEST(!f.directory.hasUnconfirmedEntries());
}

BOOST_AUTO_TEST_CASE(restoredEntryDoesNotBringAGoneEndpointBack)
{
    Fixture f;
    f.directory.put(entryOf(endpoint("gone"), 3, 1, 7));
    f.directory.put(entryOf(endpoint("alive"), 3, 1, 8));
    f.directory.entryDropped(Base::EndpointId("gone"), Base::makeLogOffset(Base::LogEra(1), 9));
    f.directory.entryDropped(Base::EndpointId("alive"), Base::makeLogOffset(Base::LogEra(1), 10));
    f.directory.storeRestored();
    f.directory.put(entryOf(endpoint("gone"), 3, 2, 7));
    f.directory.put(entryOf(endpoint("alive"), 4, 2, 8));
    BOOST_TEST(!f.directory.find(Base::EndpointId("gone")));
    BOOST_TEST(f.directory.find(Base::EndpointId("alive")));
    f.directory.entryDropped(Base::EndpointId("gone"), Base::makeLogOffset(Base::LogEra(2), 9));
    f.pass(std::chrono::seconds(10));
    f.directory.storeRead();
    BOOST_TEST(!f.directory.find(Base::EndpointId("gone")));
    BOOST_TEST(!f.directory.hasUnconfirmedEntries());
}

BOOST_AUTO_TEST_CASE(restoredEntryThatTheStoreKeepsIsUsed)
{
    Fixture f;
    f.directory.put(entryOf(endpoint("a"), 3, 1, 7));
    f.directory.entryDropped(Base::EndpointId("a"), Base::makeLogOffset(Base::LogEra(1), 9));
    f.directory.storeRestored();
    f.directory.put(entryOf(endpoint("a"), 3, 2, 7));
    f.pass(std::chrono::milliseconds(4900));
    f.directory.storeRead();
    BOOST_TEST(!f.directory.find(Base::EndpointId("a")));
    f.directory.storeFailed(); // Entries may not expire while the store is down.
    f.pass(std::chrono::seconds(4));
    f.directory.storeRead();
    f.pass(std::chrono::milliseconds(4900));
    f.directory.storeRead();
    BOOST_TEST(!f.directory.find(Base::EndpointId("a")));
    f.pass(std::chrono::milliseconds(200));
    f.directory.storeRead();
    BOOST_TEST(f.directory.find(Base::EndpointId("a")));
}

BOOST_AUTO_TEST_CASE(endpointThatTheRestoredStoreLacksIsKeptUntilItHasWrittenAgain)
{
    Fixture f;
    const Base::LogOffset end = Base::makeLogOffset(Base::LogEra(2), 5);
    f.directory.put(entryOf(endpoint("alive"), 1, 1, 7));
    f.directory.put(entryOf(endpoint("gone"), 1, 1, 8));
    f.directory.storeRestored();
    f.directory.reconcile({}, end);
    BOOST_TEST(f.directory.find(Base::EndpointId("alive")));
    f.directory.put(entryOf(endpoint("alive"), 1, 2, 5));
    f.pass(std::chrono::milliseconds(2300));
    BOOST_TEST(f.directory.find(Base::EndpointId("alive")));
    BOOST_TEST(!f.directory.find(Base::EndpointId("gone")));
}

BOOST_AUTO_TEST_CASE(restartedEndpointIsKnownAtOnceInARestoredStore)
{
    Fixture f;
    Endpoint first = endpoint("a", EndpointState::Draining);
    first.startedAt = Base::WallTime(std::chrono::seconds(100));
    f.directory.put(entryOf(first, 9, 1, 7));
    Endpoint second = endpoint("a");
    second.startedAt = Base::WallTime(std::chrono::seconds(200));
    f.directory.put(entryOf(second, 1, 2, 3));
    BOOST_TEST(!isDraining(f, "a"));
}
