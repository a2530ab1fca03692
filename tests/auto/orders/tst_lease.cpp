#define BOOST_TEST_MODULE Lease
#include "orders/lease.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace Lagoonbank;
using namespace Lagoonbank::Base;
using namespace Lagoonbank::Orders;

namespace {

const DataCentreId gulberg("gulberg");

/// An in-memory log with delayed appends, outages and retention.
struct FakeLog
{
    struct Entry
    {
        std::string id;
        LeaseRecord record;
    };
    std::vector<Entry> entries;
    std::size_t firstRetained = 0;
    bool isUnavailable = false;
    /// Appends in flight by arrival time; they arrive even if the sender has ended.
    std::multimap<MonoTime, Entry> inFlight;
    Duration delay{};

    void deliverUntil(MonoTime now)
    {
        while (!inFlight.empty() && inFlight.begin()->first <= now) {
            entries.push_back(inFlight.begin()->second);
            inFlight.erase(inFlight.begin());
        }
    }
};

/// A controller's lease keeper and its read position in the log.
struct Controller
{
    Controller(FakeLog &shared, const std::string &name, MonoTime now)
        : log(shared)
        , keeper({.dataCentre = gulberg, .holder = name}, now)
    {
        keeper.appendRequested = [this](const std::string &id, const LeaseRecord &record) {
            if (!log.isUnavailable)
                log.inFlight.insert({polledAt + log.delay, {id, record}});
        };
    }
    void poll(MonoTime now)
    {
        if (isPaused)
            return;
        polledAt = now;
        if (log.isUnavailable) {
            keeper.logFailed();
        } else {
            nextEntry = std::max(nextEntry, log.firstRetained);
            for (; nextEntry < log.entries.size(); ++nextEntry)
                keeper.recordRead(LogOffset(nextEntry + 1), log.entries[nextEntry].id,
                                  log.entries[nextEntry].record, now);
            keeper.caughtUp(LogOffset(log.firstRetained + 1));
        }
        keeper.advance(isCandidate, now);
    }

    FakeLog &log;
    LeaseKeeper keeper;
    std::size_t nextEntry = 0;
    MonoTime polledAt{};
    bool isPaused = false;
    bool isCandidate = true;
};

struct Bench
{
    FakeLog log;
    MonoTime now{std::chrono::hours(1)};
    std::vector<std::unique_ptr<Controller>> controllers;

    Controller &add(const std::string &name)
    {
        controllers.push_back(std::make_unique<Controller>(log, name, now));
        return *controllers.back();
    }
    /// Advances all controllers and checks that no two of them may send orders at the same time.
    void run(Duration duration)
    {
        constexpr Duration step = std::chrono::milliseconds(100);
        for (const MonoTime end = now + duration; now < end; now += step) {
            log.deliverUntil(now);
            for (const auto &controller : controllers)
                controller->poll(now);
            BOOST_REQUIRE(holders(true) <= 1);
            BOOST_REQUIRE(holders(false) <= 1);
        }
    }
    int holders(bool checksFencing) const
    {
        int count = 0;
        for (const auto &controller : controllers)
            count += controller->keeper.mayOrder(checksFencing, now) ? 1 : 0;
        return count;
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(oneOfTwoControllersHoldsLease)
{
    Bench bench;
    bench.add("a/1");
    bench.add("b/1");
    bench.run(std::chrono::seconds(20));
    BOOST_TEST(bench.holders(true) == 1);
    bench.run(std::chrono::minutes(5));
    BOOST_TEST(bench.holders(true) == 1);
    BOOST_TEST(bench.holders(false) == 1);
    // At most one claim per controller, plus renewals.
    BOOST_TEST(bench.log.entries.size() < 130U);
}

// The holder is paused beyond its term. After it resumes it must not send orders to any endpoint,
// whether or not the endpoint checks fencing numbers.
BOOST_DATA_TEST_CASE(pausedHolderIssuesNoOrder, boost::unit_test::data::make({true, false}),
                     checksFencing)
{
    Bench bench;
    Controller &a = bench.add("a/1");
    bench.run(std::chrono::seconds(20));
    Controller &b = bench.add("b/1");
    bench.run(std::chrono::seconds(5));
    const auto old = a.keeper.mayOrder(checksFencing, bench.now);
    BOOST_REQUIRE(old);

    a.isPaused = true;
    MonoTime takenOver{};
    for (int i = 0; i < 400 && !b.keeper.mayOrder(checksFencing, bench.now); ++i)
        bench.run(std::chrono::milliseconds(100));
    takenOver = bench.now;
    BOOST_REQUIRE(b.keeper.mayOrder(checksFencing, takenOver));
    // Right after it resumes, before it has read any record.
    BOOST_TEST(!a.keeper.mayOrder(checksFencing, takenOver));
    BOOST_TEST((*b.keeper.mayOrder(checksFencing, takenOver) > *old));
    a.isPaused = false;
    bench.run(std::chrono::minutes(1));
    BOOST_TEST(!a.keeper.mayOrder(checksFencing, bench.now));
    BOOST_TEST(bench.holders(checksFencing) == 1);
}

// Endpoints that ignore fencing numbers get no order from the new holder until the last order of
// the old holder, sent at the end of its term, can no longer take effect.
BOOST_AUTO_TEST_CASE(uncheckedEndpointsWaitForLongestOrder)
{
    Bench bench;
    Controller &a = bench.add("a/1");
    bench.run(std::chrono::seconds(20));
    Controller &b = bench.add("b/1");
    bench.run(std::chrono::seconds(5));
    MonoTime lastOld{};
    MonoTime firstNew{};
    a.isPaused = true; // It cannot renew, but may send orders until its term ends.
    for (int i = 0; i < 400 && firstNew == MonoTime{}; ++i) {
        bench.run(std::chrono::milliseconds(100));
        if (a.keeper.mayOrder(false, bench.now))
            lastOld = bench.now;
        if (b.keeper.mayOrder(false, bench.now))
            firstNew = bench.now;
    }
    BOOST_REQUIRE((firstNew != MonoTime{}));
    BOOST_TEST((firstNew - lastOld >= LeaseKeeper::Options().longestOrder));
}

BOOST_AUTO_TEST_CASE(logOutageLongerThanTerm)
{
    Bench bench;
    Controller &a = bench.add("a/1");
    bench.run(std::chrono::seconds(20));
    bench.add("b/1");
    bench.run(std::chrono::seconds(12));
    BOOST_REQUIRE(a.keeper.mayOrder(true, bench.now));
    bench.log.isUnavailable = true;
    bench.run(std::chrono::seconds(9));
    BOOST_TEST(bench.holders(true) == 0);
    bench.run(std::chrono::minutes(3));
    BOOST_TEST(bench.holders(true) == 0);
    bench.log.isUnavailable = false;
    bench.run(std::chrono::seconds(20));
    BOOST_TEST(bench.holders(true) == 1);
}

BOOST_AUTO_TEST_CASE(releaseHandsOverImmediately)
{
    Bench bench;
    Controller &a = bench.add("a/1");
    bench.run(std::chrono::seconds(20));
    Controller &b = bench.add("b/1");
    bench.run(std::chrono::seconds(12));
    a.keeper.release(bench.now);
    a.isCandidate = false;
    bench.run(std::chrono::seconds(1));
    BOOST_TEST(!a.keeper.mayOrder(true, bench.now));
    BOOST_TEST(b.keeper.mayOrder(true, bench.now).has_value());
}

// Retention has removed the old records. Controllers that start without them agree on one holder.
BOOST_AUTO_TEST_CASE(startsAfterRetention)
{
    Bench bench;
    Controller &a = bench.add("a/1");
    bench.run(std::chrono::seconds(20));
    a.isPaused = true;
    bench.log.firstRetained = bench.log.entries.size();
    bench.add("b/1");
    bench.add("c/1");
    bench.run(std::chrono::seconds(30));
    BOOST_TEST(bench.holders(true) == 1);
    a.isPaused = false;
    bench.run(std::chrono::seconds(30));
    BOOST_TEST(bench.holders(true) == 1);
    for (const auto &controller : bench.controllers)
        BOOST_TEST((controller->keeper.state().holder()
                    == bench.controllers.front()->keeper.state().holder()));
}

// Random pauses, outages and append delays from a seed: Bench::run() checks in each step that there
// are never two holders, and in the end one controller holds the lease.
BOOST_DATA_TEST_CASE(neverTwoHolders, boost::unit_test::data::xrange(20), seed)
{
    Bench bench;
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    for (const char *name : {"a/1", "b/1", "c/1"})
        bench.add(name);
    for (int i = 0; i < 60; ++i) {
        bench.log.isUnavailable = random() % 5 == 0;
        bench.log.delay = std::chrono::milliseconds(random() % 3 == 0 ? random() % 12000 : 200);
        for (const auto &controller : bench.controllers)
            controller->isPaused = random() % 3 == 0;
        bench.run(std::chrono::milliseconds(500 + random() % 12000));
    }
    bench.log.isUnavailable = false;
    bench.log.delay = {};
    for (const auto &controller : bench.controllers)
        controller->isPaused = false;
    bench.run(std::chrono::seconds(30));
    BOOST_TEST(bench.holders(true) == 1);
}

// The state depends on the records and offsets alone.
BOOST_AUTO_TEST_CASE(stateFollowsTheOffsets)
{
    struct Row
    {
        const char *name;
        LeaseRecord record;
        bool takesEffect;
    };
    // Claimed by a/1 at offset 5, renewed at offset 6.
    const std::vector<Row> rows{
        {"claim based on a record before the renewal",
         {.holder = "b/1", .base = LogOffset(5), .logFirst = LogOffset(1)},
         false},
        {"claim based on no record", {.holder = "b/1", .logFirst = LogOffset(1)}, false},
        {"claim based on the last record",
         {.holder = "b/1", .base = LogOffset(6), .logFirst = LogOffset(1)},
         true},
        {"claim after retention removed all records",
         {.holder = "b/1", .logFirst = LogOffset(7)},
         true},
        {"renewal of an older lease",
         {.step = LeaseStep::Renew, .holder = "a/1", .fencing = FencingNumber(2)},
         false},
        {"renewal by another holder",
         {.step = LeaseStep::Renew, .holder = "b/1", .fencing = FencingNumber(5)},
         false},
        {"release by another holder",
         {.step = LeaseStep::Release, .holder = "b/1", .fencing = FencingNumber(5)},
         false},
        {"renewal", {.step = LeaseStep::Renew, .holder = "a/1", .fencing = FencingNumber(5)}, true},
    };
    for (const Row &row : rows) {
        LeaseState state(gulberg);
        BOOST_TEST(state.apply(LogOffset(5), {.dataCentre = gulberg, .holder = "a/1"}));
        BOOST_TEST(state.apply(LogOffset(6),
                               {.step = LeaseStep::Renew,
                                .dataCentre = gulberg,
                                .holder = "a/1",
                                .fencing = FencingNumber(5)}));
        LeaseRecord record = row.record;
        record.dataCentre = gulberg;
        BOOST_TEST_CONTEXT(row.name)
        {
            BOOST_TEST(!state.apply(LogOffset(6), record)); // Already applied.
            BOOST_TEST(state.apply(LogOffset(8), record) == row.takesEffect);
        }
        record.dataCentre = DataCentreId("dha");
        BOOST_TEST(!state.apply(LogOffset(9), record));
    }
}

BOOST_AUTO_TEST_CASE(leaseRecordsRoundTrip)
{
    const LeaseRecord record{.step = LeaseStep::Renew,
                             .dataCentre = gulberg,
                             .holder = "a/1",
                             .base = LogOffset(3),
                             .logFirst = LogOffset(2),
                             .fencing = FencingNumber(9)};
    BOOST_TEST((leaseRecordFromText(toText(record)).value() == record));
    for (const char *bad :
         {"", "[]", "{}", "{\"step\":\"claim\"}", "nonsense",
          R"({"step":"x","data_centre":"d","holder":"h","log_first":1,"fencing":1})",
          R"({"step":"claim","data_centre":"d","holder":"h","log_first":-1,"fencing":1})"})
        BOOST_TEST(!leaseRecordFromText(bad).has_value());
}
