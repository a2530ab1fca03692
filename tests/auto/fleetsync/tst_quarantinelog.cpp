#define BOOST_TEST_MODULE tst_quarantinelog
#include <boost/test/unit_test.hpp>

#include "fleetsync/quarantinelog.h"
#include "runtime/clock.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

using namespace Lagoonbank;
using FleetSync::QuarantineLog;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

struct Fixture
{
    Fixture()
    {
        log.received = [this](std::uint64_t request) { received.push_back(request); };
    }
    void pass(Base::Duration duration)
    {
        clock.advance(duration);
        timers.runDue();
    }
    /// Completes the write in flight.
    void answer(bool isWritten)
    {
        const auto finished = std::exchange(pending, nullptr);
        if (isWritten)
            finished(boost::outcome_v2::success());
        else
            finished(Errors::makeError(Errors::ErrorKind::LogUnavailable));
    }
    /// Passes the log's current record of a key to the QuarantineLog, as a later read does.
    void read(const std::string &key)
    {
        KeyedLog::KeyedRecord record{.key = key};
        if (!values.at(key).empty())
            record.value = values.at(key);
        log.recordRead(record);
    }

    std::map<std::string, std::string> values;
    int writes = 0;
    std::function<void(Errors::Result<void>)> pending;
    std::vector<std::uint64_t> received;
    Runtime::ManualClock clock;
    Runtime::TimerQueue timers{clock};
    QuarantineLog log{{.write =
                           [this](const std::string &key, const std::string &value, auto written) {
                               ++writes;
                               values[key] = value;
                               pending = std::move(written);
                           },
                       .timers = &timers}};
};

const std::string key = "00000000000000ab";

} // namespace

BOOST_AUTO_TEST_CASE(savedRequestIsRead)
{
    Fixture f;
    f.log.save(0xab);
    BOOST_REQUIRE(f.pending);
    f.answer(true);
    f.read(key);
    BOOST_TEST(f.received == (std::vector<std::uint64_t>{0xab}), boost::test_tools::per_element());
}

/// The log is unavailable while a request crashes endpoints.
BOOST_AUTO_TEST_CASE(writeIsRetriedUntilItSucceeds)
{
    Fixture f;
    f.log.save(0xab);
    f.log.save(0xcd);
    for (int i = 0; i < 5; ++i) {
        BOOST_REQUIRE(f.pending);
        f.answer(false);
        BOOST_TEST(!f.pending);
        f.pass(seconds(3));
    }
    f.answer(true);
    BOOST_REQUIRE(f.pending); // The write of the other request.
    f.answer(true);
    BOOST_TEST(f.writes == 7);
    BOOST_TEST(f.values.size() == 2);
}

BOOST_AUTO_TEST_CASE(expiredRequestIsDeletedFromLog)
{
    Fixture f;
    f.log.save(0xab);
    f.answer(true);
    f.pass(minutes(59));
    f.read(key); // A second read does not extend the time.
    BOOST_TEST(!f.pending);
    f.pass(minutes(1));
    BOOST_REQUIRE(f.pending);
    f.answer(true);
    BOOST_TEST(f.values.at(key).empty());
    f.read(key); // A deleted key has no effect.
    BOOST_TEST(f.received.size() == 1);
}

/// The routers that wrote the key may no longer exist.
BOOST_AUTO_TEST_CASE(routerThatOnlyReadKeyDeletesItToo)
{
    Fixture f;
    f.values[key] = "1";
    f.read(key);
    f.pass(minutes(60));
    BOOST_REQUIRE(f.pending);
    BOOST_TEST(f.values.at(key).empty());
}

BOOST_AUTO_TEST_CASE(malformedRecordsAreIgnored)
{
    Fixture f;
    f.log.recordRead({.key = "no number", .value = "1"});
    f.log.recordRead({.key = std::string("\x01\xff", 2), .value = "1"});
    f.log.recordRead({.key = key});
    f.pass(minutes(60));
    BOOST_TEST(f.received.empty());
    BOOST_TEST(f.writes == 0);
}

/// Quarantines that were written after the copy from which the log was restored are lost, so that
/// they would not survive a restart of all routers.
BOOST_AUTO_TEST_CASE(quarantinesThatARestoredLogLacksAreWrittenAgain)
{
    Fixture f;
    const std::vector<Schema::SharedQuarantine> quarantines{
        {.request = 0xab, .leftMs = 1800000},
        {.request = 0xcd, .leftMs = 1800000},
        {.request = 0xef, .leftMs = 30000}}; // Another router may just have deleted this one.
    f.log.saveMissing(quarantines, {"00000000000000cd"});
    BOOST_TEST(f.writes == 1);
    BOOST_TEST(f.values[key] == "1");
    f.answer(true);
    BOOST_TEST(f.writes == 1);
}
