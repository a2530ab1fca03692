#define BOOST_TEST_MODULE Reducer
#include <boost/test/unit_test.hpp>

#include "testlog.h"

using namespace Lagoonbank;
using namespace Lagoonbank::Configuration;

namespace {

/// A change in the log, its expected verdict and the expected revision after it.
struct ChangeCase
{
    std::string id;
    ChangeRecord change;
    Verdict verdict;
    std::uint64_t revision;
};

struct EventCounter
{
    explicit EventCounter(Reducer &reducer)
    {
        reducer.setEventRaised([this](const Event &event) { kinds.push_back(event.kind); });
    }
    std::size_t count(EventKind kind) const
    {
        return static_cast<std::size_t>(std::count(kinds.begin(), kinds.end(), kind));
    }
    std::vector<EventKind> kinds;
};

Schema::ConfigurationState exported(const Reducer &reducer, std::uint64_t since = 0)
{
    const auto state = reducer.exportState(Base::LogOffset(since));
    BOOST_REQUIRE(state.has_value());
    return *state;
}

} // namespace

BOOST_AUTO_TEST_CASE(changesAreAcceptedOnlyOnTheCurrentRevision)
{
    ChangeRecord wrongBody = dataCentreChange("north", 4);
    wrongBody.body = dataCentreChange("south", 4).body;
    ChangeRecord badBody = dataCentreChange("north", 4);
    badBody.body = "{\"kind\":\"data_centre\",\"name\":\"north\",\"regon\":\"r\"}";
    const std::vector<ChangeCase> cases{
        {"a", dataCentreChange("north", 0, "r1", "ann"), Verdict::Accepted, 1},
        {"a", dataCentreChange("north", 0, "r1", "ann"), Verdict::Repeated, 1},
        {"b", dataCentreChange("north", 0, "r2", "ben"), Verdict::Stale, 1},
        {"c", dataCentreChange("north", 1, "r3", "ann"), Verdict::Accepted, 2},
        {"d", dataCentreChange("north", 1, "r4", "ben"), Verdict::Stale, 2},
        {"a", dataCentreChange("north", 0, "r1", "ann"), Verdict::Repeated, 2},
        {"e", dataCentreChange("north", 3, "r5", "ben"), Verdict::Stale, 2},
        {"f", dataCentreChange("south", 0), Verdict::Accepted, 1},
        {"g", removal("north", 2), Verdict::Accepted, 3},
        {"a", dataCentreChange("north", 0, "r1", "ann"), Verdict::Repeated, 3},
        {"h", dataCentreChange("north", 0), Verdict::Stale, 3},
        {"i", removal("north", 3), Verdict::Invalid, 3},
        {"j", dataCentreChange("north", 3, "r6"), Verdict::Accepted, 4},
        {"k", wrongBody, Verdict::Invalid, 4},
        {"l", badBody, Verdict::Invalid, 4},
    };
    TestLog log;
    Reducer reducer;
    for (const ChangeCase &row : cases) {
        log.append(row.id, row.change);
        reducer.recordRead(log.records.back());
        const ChangeResult &result = reducer.changeResults().back();
        BOOST_TEST(result.verdict == row.verdict, row.id << ": " << result.detail);
        BOOST_TEST(result.revision == Base::Revision(row.revision), row.id);
        BOOST_TEST(result.offset == log.records.back().offset);
    }
    BOOST_TEST(regionOf(reducer, "north") == "r6");
}

BOOST_AUTO_TEST_CASE(concurrentChangesHaveOneWinner)
{
    TestLog log;
    log.append("first", dataCentreChange("north", 0));
    log.append("ann-1", dataCentreChange("north", 1, "east", "ann"));
    log.append("ben-1", dataCentreChange("north", 1, "west", "ben"));
    Reducer reducer;
    log.readInto(reducer);
    BOOST_TEST(reducer.findChangeResult("ann-1")->verdict == Verdict::Accepted);
    const ChangeResult *loser = reducer.findChangeResult("ben-1");
    BOOST_REQUIRE(loser);
    BOOST_TEST(loser->verdict == Verdict::Stale);
    BOOST_TEST(loser->winner == "ann");
    BOOST_TEST(loser->detail == "based on revision 1, but revision 2 is current");
    BOOST_TEST(regionOf(reducer, "north") == "east");
    BOOST_TEST(reducer.findChangeResult("cleo-1") == nullptr);
}

BOOST_AUTO_TEST_CASE(repeatedRecordAfterLostAnswerStaysAccepted)
{
    TestLog log;
    log.append("ann-1", dataCentreChange("north", 0));
    log.append("ben-1", dataCentreChange("north", 1, "west", "ben"));
    log.append("ann-1", dataCentreChange("north", 0));
    Reducer reducer;
    log.readInto(reducer);
    BOOST_TEST(reducer.findChangeResult("ann-1")->verdict == Verdict::Accepted);
    BOOST_TEST(reducer.findChangeResult("ann-1")->offset == Base::LogOffset(0));
    BOOST_TEST(regionOf(reducer, "north") == "west");
}

BOOST_AUTO_TEST_CASE(referencesAreCheckedAtTheRecordsOffset)
{
    const ChangeRecord endpoint = changeTo("e.yaml",
                                           "kind: endpoint\nname: e\ntype: service\nservice: s\n"
                                           "address: 127.0.0.1:1\ndata_centre: north\nregion: r\n"
                                           "capacity: 1\n",
                                           0);
    TestLog log;
    log.append("1", endpoint);
    log.append("2", dataCentreChange("north", 0));
    log.append("3", changeTo("s.yaml", "kind: service\nname: s\n", 0));
    log.append("4", endpoint);
    log.append("5", removal("north", 1));
    Reducer reducer;
    log.readInto(reducer);
    const std::vector<Verdict> expected{Verdict::Invalid, Verdict::Accepted, Verdict::Accepted,
                                        Verdict::Accepted, Verdict::Invalid};
    for (std::size_t i = 0; i < expected.size(); ++i)
        BOOST_TEST(reducer.changeResults()[i].verdict == expected[i],
                   reducer.changeResults()[i].detail);
    BOOST_TEST(reducer.changeResults()[0].detail
               == "e.yaml:6: data_centre: there is no data_centre/north; publish it first or "
                  "correct the name (and 1 more)");
}

BOOST_AUTO_TEST_CASE(unreadableRecordsAreSkippedWithAnEvent)
{
    TestLog log;
    log.append("1", dataCentreChange("north", 0));
    log.append("2", "{\"version\":1,\"form\":");
    log.append("3", "{\"version\":9,\"form\":\"change\"}");
    log.append("", encode(dataCentreChange("south", 0)));
    log.append("5", dataCentreChange("north", 1, "new"));
    Reducer reducer;
    const EventCounter events(reducer);
    log.readInto(reducer);
    BOOST_TEST(events.count(EventKind::RecordSkipped) == 3U);
    BOOST_TEST(reducer.changeResults()[1].verdict == Verdict::Malformed);
    BOOST_TEST(reducer.changeResults()[2].verdict == Verdict::NewerVersion);
    BOOST_TEST(regionOf(reducer, "north") == "new");
    BOOST_TEST(regionOf(reducer, "south") == "none");
    // A snapshot by this program would omit the record written by a newer program.
    BOOST_TEST(!reducer.canWriteSnapshot());
}

BOOST_AUTO_TEST_CASE(readyOnlyWithCompleteConfiguration)
{
    TestLog log;
    log.append("1", dataCentreChange("north", 0));
    Reducer reader;
    reader.recordRead(log.records[0]);
    BOOST_TEST(!reader.isReady());
    BOOST_TEST(!reader.exportState(Base::LogOffset()).has_value());
    reader.endReached();
    BOOST_TEST(reader.isReady());

    // While the log is unavailable, a peer's state makes the reducer ready, unless the state is
    // older than that of other peers.
    Reducer joining;
    joining.raiseRequiredOffset(Base::LogOffset(2));
    BOOST_REQUIRE(joining.importState(exported(reader)));
    BOOST_TEST(regionOf(joining, "north") == "r");
    BOOST_TEST(!joining.isReady());
    log.append("2", dataCentreChange("north", 1, "new"));
    reader.recordRead(log.records[1]);
    BOOST_REQUIRE(joining.importState(exported(reader, 1)));
    BOOST_TEST(joining.isReady());
    BOOST_TEST(regionOf(joining, "north") == "new");
    joining.raiseRequiredOffset(Base::LogOffset(50));
    BOOST_TEST(joining.isReady());
}

BOOST_AUTO_TEST_CASE(snapshotInitializesReaderAfterRetention)
{
    TestLog log;
    log.append("1", dataCentreChange("north", 0));
    log.append("2", dataCentreChange("south", 0));
    log.append("3", removal("south", 1));
    Reducer writer;
    log.readInto(writer);
    const std::vector<SnapshotPart> snapshot = writer.makeSnapshot("s", "vm");
    // Between the snapshot's state and its record.
    log.append("4", dataCentreChange("north", 1, "new"));
    log.append(snapshot);
    log.append("5", dataCentreChange("south", 0));
    log.append("6", dataCentreChange("south", 2, "back"));
    EventCounter writerEvents(writer);
    log.readInto(writer);
    BOOST_TEST(writerEvents.count(EventKind::SnapshotSeen) == 1U);
    BOOST_TEST(writerEvents.count(EventKind::StateDiffers) == 0U);

    Reducer reader;
    const EventCounter events(reader);
    log.readInto(reader, 3);
    BOOST_TEST(events.count(EventKind::GapClosed) == 1U);
    BOOST_TEST(reader.isReady());
    BOOST_TEST(reader.hash() == writer.hash());
    BOOST_TEST(regionOf(reader, "north") == "new");
    BOOST_TEST(regionOf(reader, "south") == "back");

    // Record 4 is no longer in the log, and the snapshot does not include it.
    Reducer late;
    log.readInto(late, 4);
    BOOST_TEST(!late.isReady());
    BOOST_TEST(late.hasGap());
    BOOST_TEST(regionOf(late, "north") == "none");
    BOOST_REQUIRE(late.importState(exported(reader)));
    BOOST_TEST(late.isReady());
    BOOST_TEST(late.hash() == writer.hash());
}

BOOST_AUTO_TEST_CASE(aGapLeavesTheOldConfigurationInForce)
{
    TestLog log;
    log.append("1", dataCentreChange("north", 0));
    Reducer reader;
    log.readInto(reader);
    Reducer peer;
    log.append("2", dataCentreChange("north", 1, "missed"));
    log.append("3", dataCentreChange("south", 0));
    log.readInto(peer);
    reader.gapFound(Base::LogOffset(2));
    reader.recordRead(log.records[2]);
    BOOST_TEST(reader.isReady());
    BOOST_TEST(reader.hasGap());
    BOOST_TEST(!reader.canWriteSnapshot());
    BOOST_TEST(regionOf(reader, "north") == "r");
    BOOST_TEST(regionOf(reader, "south") == "none");
    log.append(peer.makeSnapshot("s", "vm"));
    reader.recordRead(log.records[3]);
    BOOST_TEST(!reader.hasGap());
    BOOST_TEST(reader.hash() == peer.hash());
    BOOST_TEST(regionOf(reader, "north") == "missed");
}

BOOST_AUTO_TEST_CASE(reportsSnapshotCoveredByPeerState)
{
    TestLog log;
    log.append("1", dataCentreChange("north", 0));
    Reducer peer;
    log.readInto(peer);
    log.append(peer.makeSnapshot("s", "vm"));
    log.readInto(peer);

    Reducer reader;
    const EventCounter events(reader);
    BOOST_REQUIRE(reader.importState(exported(peer)));
    for (const LogRecord &record : log.records)
        reader.recordRead(record);
    BOOST_TEST(events.count(EventKind::SnapshotSeen) == 1U);
    BOOST_TEST(reader.hash() == peer.hash());
}

BOOST_AUTO_TEST_CASE(neverRevertsAnObject)
{
    TestLog log;
    log.append("1", dataCentreChange("north", 0, "old"));
    Reducer behind;
    log.readInto(behind);
    log.append("2", dataCentreChange("north", 1, "new"));
    Reducer reader;
    log.readInto(reader);
    const std::uint64_t hash = reader.hash();

    BOOST_REQUIRE(reader.importState(exported(behind)));
    BOOST_TEST(reader.hash() == hash);

    const auto refused = [&](Schema::ConfigurationState state) {
        state.next = Base::LogOffset(99);
        EventCounter events(reader);
        BOOST_TEST(!reader.importState(state));
        BOOST_TEST(events.count(EventKind::ImportRefused) == 1U);
        BOOST_TEST(reader.hash() == hash);
        BOOST_TEST(reader.next() == Base::LogOffset(2));
    };
    refused(exported(behind)); // Claims to be ahead, but contains the older revision.
    Schema::ConfigurationState empty = exported(behind);
    empty.objects.clear();
    empty.hash = State().hash();
    refused(empty);
    Schema::ConfigurationState wrongHash = exported(reader);
    wrongHash.hash += 1;
    refused(wrongHash);
    Schema::ConfigurationState partial = exported(reader, 2);
    partial.hash += 1;
    refused(partial);

    Schema::ConfigurationState ahead = exported(reader, 2);
    ahead.since = Base::LogOffset(3);
    ahead.next = Base::LogOffset(9);
    BOOST_TEST(!reader.importState(ahead));

    // A snapshot of the older state after a gap in the log is refused as well.
    EventCounter events(reader);
    reader.gapFound(Base::LogOffset(10));
    SnapshotPart part = behind.makeSnapshot("s", "vm").front();
    part.through = Base::LogOffset(10);
    reader.recordRead({Base::LogOffset(10), "s", encode(part)});
    BOOST_TEST(events.count(EventKind::SnapshotRefused) == 1U);
    BOOST_TEST(reader.hash() == hash);
    BOOST_TEST(reader.isReady());
}

BOOST_AUTO_TEST_CASE(reportsDifferingStates)
{
    TestLog log;
    log.append("1", dataCentreChange("north", 0));
    Reducer reader;
    log.readInto(reader);
    EventCounter events(reader);
    Schema::ConfigurationState other = exported(reader);
    BOOST_REQUIRE(reader.importState(other));
    BOOST_TEST(events.count(EventKind::StateDiffers) == 0U);
    other.hash += 1;
    BOOST_REQUIRE(reader.importState(other));
    BOOST_TEST(events.count(EventKind::StateDiffers) == 1U);
}

BOOST_AUTO_TEST_CASE(bufferedRecordsAreBounded)
{
    TestLog log;
    for (int i = 0; i < 10; ++i)
        log.append("d" + std::to_string(i), dataCentreChange("d" + std::to_string(i), 0));
    Reducer peer;
    log.readInto(peer);
    const std::vector<SnapshotPart> old = peer.makeSnapshot("old", "vm");
    for (int i = 10; i < 20; ++i)
        log.append("d" + std::to_string(i), dataCentreChange("d" + std::to_string(i), 0));
    log.append(old);
    log.readInto(peer);

    Reducer small(Reducer::Options{.maxBufferedRecords = 5});
    log.readInto(small, 5);
    BOOST_TEST(small.hasGap()); // Some records after the snapshot's state were dropped.
    log.append(peer.makeSnapshot("new", "vm"));
    log.readInto(small);
    BOOST_TEST(!small.hasGap());
    BOOST_TEST(small.hash() == peer.hash());

    Reducer eager(Reducer::Options{.maxOutOfOrderRecords = 3});
    for (std::size_t i = log.records.size(); i-- > 0;)
        eager.recordFromPeer(log.records[i]);
    BOOST_TEST(eager.next() == Base::LogOffset(3));
}
