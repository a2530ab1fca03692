#define BOOST_TEST_MODULE ReducerOrders
#include <boost/test/unit_test.hpp>

#include "testlog.h"

#include <algorithm>
#include <random>

using namespace Lagoonbank;
using namespace Lagoonbank::Configuration;

namespace {

constexpr std::size_t recordCount = 60;

/// A log of random valid and invalid changes and of snapshots, with the hash of the state after
/// each record.
struct History
{
    explicit History(unsigned seed)
        : random(seed)
    {
        hashes.push_back(reader.hash());
        while (log.records.size() < recordCount) {
            appendRandomRecord();
            for (std::size_t i = hashes.size() - 1; i < log.records.size(); ++i) {
                reader.recordRead(log.records[i]);
                hashes.push_back(reader.hash());
            }
            reader.endReached();
        }
    }

    void appendRandomRecord()
    {
        const std::string id = "r" + std::to_string(random() % 80);
        const std::string name = "d" + std::to_string(random() % 4);
        const std::uint64_t revision =
            reader.state().revision({Schema::ObjectKind::DataCentre, name}).value();
        const std::uint64_t base =
            revision - std::min<std::uint64_t>(revision, random() % 3 ? 0 : 1);
        const unsigned choice = random() % 10;
        if (choice < 6)
            log.append(id, dataCentreChange(name, base, "r" + std::to_string(random() % 9)));
        else if (choice < 7)
            log.append(id, removal(name, base));
        else if (choice < 8)
            log.append(id, std::string("{\"version\":1}"));
        else if (choice < 9 && !log.records.empty())
            log.append(log.records[random() % log.records.size()].id,
                       log.records[random() % log.records.size()].data);
        else
            log.append(reader.makeSnapshot("s" + std::to_string(log.records.size()), "vm"));
    }

    TestLog log;
    Reducer reader;
    std::vector<std::uint64_t> hashes;
    std::mt19937 random;
};

std::size_t indexOf(const Reducer &reducer)
{
    return reducer.next().value();
}

/// Applies one random input to the reducer: records of the log or of a peer, a peer's state, or
/// retention.
void step(History &history, Reducer &reducer, std::size_t &first, bool &wasReady)
{
    std::mt19937 &random = history.random;
    const std::vector<LogRecord> &records = history.log.records;
    const std::size_t position = reducer.readNext().value();
    switch (random() % 6) {
    case 0: // The next few records of the log.
    case 1:
        reducer.gapFound(Base::LogOffset(std::max(first, position)));
        for (std::size_t i = std::max(first, position),
                         end = std::min(records.size(), i + 1 + random() % 5);
             i < end; ++i)
            reducer.recordRead(records[i]);
        break;
    case 2: // A peer forwards any record, already read or ahead.
        reducer.recordFromPeer(records[random() % records.size()]);
        break;
    case 3: // A peer's state at any offset.
        if (random() % 4 == 0) {
            Reducer peer;
            for (std::size_t i = 0, end = random() % records.size(); i < end; ++i)
                peer.recordRead(records[i]);
            peer.endReached();
            const std::uint64_t since = random() % 2 ? 0 : random() % (indexOf(reducer) + 1);
            const auto state = peer.exportState(Base::LogOffset(since));
            BOOST_TEST(static_cast<bool>(reducer.importState(*state)));
        }
        break;
    case 4: // The log delivers an old record again.
        if (position > 0)
            reducer.recordRead(records[random() % position]);
        break;
    default: // Retention removes more records.
        if (random() % 8 == 0)
            first = std::max(first, random() % records.size());
    }
    BOOST_TEST((!wasReady || reducer.isReady()));
    wasReady = reducer.isReady();
}

} // namespace

BOOST_AUTO_TEST_CASE(everyPathYieldsStateOfItsOffset)
{
    std::size_t closedGaps = 0;
    for (unsigned seed = 1; seed <= 120; ++seed) {
        History history(seed);
        Reducer reducer;
        reducer.setEventRaised([&](const Event &event) {
            closedGaps += event.kind == EventKind::GapClosed ? 1 : 0;
            BOOST_TEST(event.kind != EventKind::StateDiffers);
            BOOST_TEST(event.kind != EventKind::ImportRefused);
            BOOST_TEST(event.kind != EventKind::SnapshotRefused);
        });
        std::size_t first = 0;
        std::size_t last = 0;
        bool wasReady = false;
        for (int i = 0; i < 80; ++i) {
            step(history, reducer, first, wasReady);
            BOOST_REQUIRE(indexOf(reducer) >= last);
            last = indexOf(reducer);
            BOOST_REQUIRE_MESSAGE(reducer.hash() == history.hashes[last],
                                  "seed " << seed << " offset " << last);
        }
        // A peer's state completes the configuration at the end.
        BOOST_REQUIRE(reducer.importState(*history.reader.exportState(Base::LogOffset())));
        history.log.readInto(reducer, first);
        BOOST_TEST(reducer.hash() == history.reader.hash());
        BOOST_TEST(reducer.isReady());
        BOOST_TEST(!reducer.hasGap());
    }
    BOOST_TEST(closedGaps > 20U);
}

BOOST_AUTO_TEST_CASE(everyOrderOfReceivedRecordsYieldsSameState)
{
    TestLog log;
    log.append("1", dataCentreChange("a", 0));
    log.append("2", dataCentreChange("a", 1, "x", "ann"));
    log.append("3", dataCentreChange("a", 1, "y", "ben"));
    log.append("4", removal("a", 2));
    log.append("5", dataCentreChange("a", 3, "z"));
    Reducer reference;
    log.readInto(reference);
    std::vector<std::size_t> order{0, 1, 2, 3, 4};
    do {
        Reducer reducer;
        for (const std::size_t i : order) {
            reducer.recordFromPeer(log.records[i]);
            reducer.recordFromPeer(log.records[i]);
        }
        BOOST_TEST(reducer.hash() == reference.hash());
        BOOST_TEST(reducer.changeResults().size() == reference.changeResults().size());
    } while (std::ranges::next_permutation(order).found);
}
