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

/// A log in memory, with lost answers, outages and retention.
struct FakeLog
{
    struct Entry
    {
        std::string id;
        LeaseRecord record;
    };
    std::vector<Entry> entries;
    std::size_t first = 0;
    bool isOut = false;
    /// Appends on their way; each lands once its time has come, whatever became of its sender.
    std::multimap<MonoTime, Entry> inFlight;
    Duration delay{};

    void land(MonoTime now)
    {
        while (!inFlight.empty() && inFlight.begin()->first <= now) {
            entries.push_back(inFlight.begin()->second);
            inFlight.erase(inFlight.begin());
        }
    }
};

/// A controller's keeper and its place in the log.
struct Controller
{
    Controller(FakeLog &shared, const std::string &name, MonoTime now)
        : log(shared)
        , keeper({.dataCentre = gulberg, .holder = name}, now)
    {
        keeper.appendRequested = [this](const std::string &id, const LeaseRecord &record) {
            if (!log.isOut)
                log.inFlight.insert({turnedAt + log.delay, {id, record}});
        };
    }
    void turn(MonoTime now)
    {
        if (isPaused)
            return;
        turnedAt = now;
        if (log.isOut) {
            keeper.logFailed();
        } else {
            next = std::max(next, log.first);
            for (; next < log.entries.size(); ++next)
                keeper.recordRead(LogOffset(next + 1), log.entries[next].id,
                                  log.entries[next].record, now);
            keeper.caughtUp(LogOffset(log.first + 1));
        }
        keeper.advance(isCandidate, now);
    }

    FakeLog &log;
    LeaseKeeper keeper;
    std::size_t next = 0;
    MonoTime turnedAt{};
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
    /// Advances all; never may two that run order at one time.
    void run(Duration duration)
    {
        constexpr Duration step = std::chrono::milliseconds(100);
        for (const MonoTime end = now + duration; now < end; now += step) {
            log.land(now);
            for (const auto &controller : controllers)
                controller->turn(now);
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
    // One claim each at most, and renewals.
    BOOST_TEST(bench.log.entries.size() < 130U);
}

// The holder sleeps past its term and wakes, still believing: no order leaves, to either kind.
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
    MonoTime taken{};
    for (int i = 0; i < 400 && !b.keeper.mayOrder(checksFencing, bench.now); ++i)
        bench.run(std::chrono::milliseconds(100));
    taken = bench.now;
    BOOST_REQUIRE(b.keeper.mayOrder(checksFencing, taken));
    // At its first instruction after waking, before it reads anything.
    BOOST_TEST(!a.keeper.mayOrder(checksFencing, taken));
    BOOST_TEST((*b.keeper.mayOrder(checksFencing, taken) > *old));
    a.isPaused = false;
    bench.run(std::chrono::minutes(1));
    BOOST_TEST(!a.keeper.mayOrder(checksFencing, bench.now));
    BOOST_TEST(bench.holders(checksFencing) == 1);
}

// Endpoints that ignore fencing numbers get no order of the new holder until the last one of the
// old, sent at the end of its term, has run out.
BOOST_AUTO_TEST_CASE(uncheckedEndpointsWaitForLongestOrder)
{
    Bench bench;
    Controller &a = bench.add("a/1");
    bench.run(std::chrono::seconds(20));
    Controller &b = bench.add("b/1");
    bench.run(std::chrono::seconds(5));
    MonoTime lastOld{};
    MonoTime firstNew{};
    a.isPaused = true; // It can't renew, yet may send while its term lasts.
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
    bench.log.isOut = true;
    bench.run(std::chrono::seconds(9));
    BOOST_TEST(bench.holders(true) == 0);
    bench.run(std::chrono::minutes(3));
    BOOST_TEST(bench.holders(true) == 0);
    bench.log.isOut = false;
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

// The old records are gone through retention; a new fleet begins anew and agrees.
BOOST_AUTO_TEST_CASE(startsAfterRetention)
{
    Bench bench;
    Controller &a = bench.add("a/1");
    bench.run(std::chrono::seconds(20));
    a.isPaused = true;
    bench.log.first = bench.log.entries.size();
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

// Seeded pauses and outages at random: never two holders (checked each step), and it recovers.
BOOST_DATA_TEST_CASE(neverTwoHolders, boost::unit_test::data::xrange(20), seed)
{
    Bench bench;
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    for (const char *name : {"a/1", "b/1", "c/1"})
        bench.add(name);
    for (int i = 0; i < 60; ++i) {
        bench.log.isOut = random() % 5 == 0;
        bench.log.delay = std::chrono::milliseconds(random() % 3 == 0 ? random() % 12000 : 200);
        for (const auto &controller : bench.controllers)
            controller->isPaused = random() % 3 == 0;
        bench.run(std::chrono::milliseconds(500 + random() % 12000));
    }
    bench.log.isOut = false;
    bench.log.delay = {};
    for (const auto &controller : bench.controllers)
        controller->isPaused = false;
    bench.run(std::chrono::seconds(30));
    BOOST_TEST(bench.holders(true) == 1);
}

// Every reader reduces the stream by the same rule.
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
        {"claim that had not read the renewal",
         {.holder = "b/1", .base = LogOffset(5), .logFirst = LogOffset(1)},
         false},
        {"claim that had read nothing", {.holder = "b/1", .logFirst = LogOffset(1)}, false},
        {"claim on the last record",
         {.holder = "b/1", .base = LogOffset(6), .logFirst = LogOffset(1)},
         true},
        {"claim after retention took all", {.holder = "b/1", .logFirst = LogOffset(7)}, true},
        {"renewal of an older lease",
         {.step = LeaseStep::Renew, .holder = "a/1", .fencing = FencingNumber(2)},
         false},
        {"renewal by another",
         {.step = LeaseStep::Renew, .holder = "b/1", .fencing = FencingNumber(5)},
         false},
        {"release by another",
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
            BOOST_TEST(!state.apply(LogOffset(6), record)); // Seen already.
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
