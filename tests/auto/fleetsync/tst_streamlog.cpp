#define BOOST_TEST_MODULE tst_streamlog
#include <boost/test/unit_test.hpp>

#include "auto/keyedlog/fakelog.h"
#include "fleetsync/streamlog.h"
#include "runtime/clock.h"
#include "schema/messagecodec.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace Lagoonbank;
using KeyedLog::FakeLog;
using KeyedLog::KeyedRecord;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds storeLatency{4};

struct Fixture
{
    explicit Fixture(bool isFirstWriter)
        : log({.source = records.source(),
               .write =
                   [this](const std::string &key, const std::string &value, auto written) {
                       ++writes;
                       timers.start(storeLatency, [this, key, value, written] {
                           stored[key] = value;
                           written(boost::outcome_v2::success());
                       });
                   },
               .timers = &timers,
               .writer = "r1",
               .shardCount = [] { return 1U; },
               .readsAll = [] { return true; },
               .isWriter = [](std::uint32_t) { return true; },
               .isFirstWriter = [isFirstWriter](std::uint32_t) { return isFirstWriter; },
               .shardToWrite = [](std::uint64_t) { return 0U; }})
    { }
    void pass(Base::Duration duration)
    {
        for (Base::Duration passed{}; passed < duration; passed += milliseconds(1)) {
            clock.advance(milliseconds(1));
            timers.runDue();
        }
    }
    /// Streams begin at regular intervals; their ids are consecutive numbers from 1 on.
    void beginStreams(std::uint64_t count, Base::Duration interval)
    {
        for (std::uint64_t i = 0; i < count; ++i) {
            log.add({.stream = ++lastStream, .software = 1});
            pass(interval);
        }
    }
    /// The streams that a router reads from the store.
    std::set<std::uint64_t> storedStreams() const
    {
        std::set<std::uint64_t> streams;
        for (const auto &[key, value] : stored) {
            const auto batch = Schema::decodeMessage<Schema::StreamBatch>(value);
            BOOST_REQUIRE(batch);
            for (const Schema::SharedStream &stream : batch.value().streams)
                streams.insert(stream.stream);
        }
        return streams;
    }

    Runtime::ManualClock clock;
    Runtime::TimerQueue timers{clock};
    FakeLog records;
    std::map<std::string, std::string> stored;
    std::uint64_t writes = 0;
    std::uint64_t lastStream = 0;
    FleetSync::StreamLog log;
};

} // namespace

/// Guards against streams that no router knows after all of them ended at the same time: those that
/// began 50 ms or more before.
BOOST_AUTO_TEST_CASE(streamsOfTheLastMomentsAreStored)
{
    Fixture f(true);
    int known = 0;
    constexpr int samples = 500;
    for (int i = 0; i < samples; ++i) {
        f.beginStreams(1, milliseconds(7));
        const std::uint64_t begunBefore50Ms =
            f.lastStream - std::min<std::uint64_t>(f.lastStream, 7);
        known += begunBefore50Ms == 0 || f.storedStreams().contains(begunBefore50Ms) ? 1 : 0;
    }
    BOOST_TEST(known >= samples * 9 / 10);
}

/// Guards against writes at short intervals that push streams in progress out of the log.
BOOST_AUTO_TEST_CASE(logKeepsTheStreamsOfTheLastSeconds)
{
    for (const bool isFirstWriter : {true, false}) {
        BOOST_TEST_CONTEXT("first writer: " << isFirstWriter)
        {
            Fixture f(isFirstWriter);
            f.beginStreams(3000, milliseconds(10));
            f.pass(seconds(1));
            const auto stored = f.storedStreams();
            for (std::uint64_t stream = f.lastStream - 1800; stream <= f.lastStream; ++stream)
                BOOST_REQUIRE(stored.contains(stream));
            BOOST_TEST(f.stored.size() <= 96U);
        }
    }
}

/// Guards against streams that are left out as a batch has no room, such as after a restoration of
/// the store, after which all streams of the last minute are written again.
BOOST_AUTO_TEST_CASE(streamsBeyondTheLimitOfABatchAreStored)
{
    Fixture f(true);
    f.beginStreams(10000, {});
    f.pass(milliseconds(10));
    f.beginStreams(100, milliseconds(1));
    f.pass(milliseconds(100));
    BOOST_TEST(f.storedStreams().size() == 10100U);
}

/// Guards against calls to the store that exceed 30 a second for the two writers of a shard.
BOOST_AUTO_TEST_CASE(writesAreLimited)
{
    for (const auto &[isFirstWriter, mostWrites] : {std::pair(true, 26U), std::pair(false, 6U)}) {
        Fixture f(isFirstWriter);
        f.beginStreams(1000, milliseconds(1));
        BOOST_TEST(f.writes <= mostWrites);
    }
}

/// Guards against a writer that starts again and overwrites the newest batches of its former run
/// first.
BOOST_AUTO_TEST_CASE(restartedWriterContinuesAfterItsNewestBatch)
{
    Fixture before(true);
    before.beginStreams(100, milliseconds(10));
    Fixture f(true);
    f.log.read();
    std::vector<KeyedRecord> batches;
    for (const auto &[key, value] : before.stored)
        batches.push_back(KeyedLog::put(key, value, std::stoul(key.substr(key.rfind('-') + 1))));
    f.records.answerNewest(batches, batches.size());
    BOOST_TEST(f.log.isRead());
    f.stored = before.stored;
    f.lastStream = before.lastStream;
    f.beginStreams(100, milliseconds(10));
    BOOST_TEST(f.stored.size() > before.stored.size());
    BOOST_TEST(f.storedStreams().contains(1));
}
