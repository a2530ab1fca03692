#define BOOST_TEST_MODULE tst_quarantinelog
#include <boost/test/unit_test.hpp>

#include "auto/keyedlog/fakewrites.h"
#include "fleetsync/quarantinelog.h"
#include "runtime/clock.h"

#include <string>
#include <vector>

using namespace Lagoonbank;
using FleetSync::QuarantineKey;
using FleetSync::QuarantineLog;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

struct Fixture : KeyedLog::FakeWrites
{
    Fixture()
    {
        log.received = [this](const QuarantineKey &read) { received.push_back(read); };
    }
    void pass(Base::Duration duration)
    {
        clock.advance(duration);
        timers.runDue();
    }
    /// Passes the log's current record of a key to the QuarantineLog, as a later read does.
    void read(const std::string &key)
    {
        KeyedLog::KeyedRecord record{.key = key};
        if (!values.at(key).empty())
            record.value = values.at(key);
        log.recordRead(record);
    }

    std::vector<QuarantineKey> received;
    Runtime::ManualClock clock;
    Runtime::TimerQueue timers{clock};
    QuarantineLog log{{.write = write(), .timers = &timers}};
};

const std::string key = "00000000000000ab";
const std::string partKey = "part-00000000000000ab";

QuarantineKey request(std::uint64_t hash)
{
    return {.kind = QuarantineKey::Kind::Request, .hash = hash};
}

QuarantineKey promptPart(std::uint64_t hash)
{
    return {.kind = QuarantineKey::Kind::PromptPart, .hash = hash};
}

} // namespace

BOOST_AUTO_TEST_CASE(savedRequestIsRead)
{
    Fixture f;
    f.log.save(request(0xab));
    BOOST_REQUIRE(f.pending);
    f.answer(true);
    f.read(key);
    BOOST_TEST((f.received == std::vector{request(0xab)}));
}

/// The log is unavailable while a request crashes endpoints.
BOOST_AUTO_TEST_CASE(writeIsRetriedUntilItSucceeds)
{
    Fixture f;
    f.log.save(request(0xab));
    f.log.save(request(0xcd));
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
    f.log.save(request(0xab));
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
    const std::vector<QuarantineLog::Quarantine> quarantines{
        {.key = request(0xab), .remaining = minutes(30)},
        {.key = request(0xcd), .remaining = minutes(30)},
        // Another router may just have deleted this one.
        {.key = request(0xef), .remaining = seconds(30)}};
    f.log.saveMissing(quarantines, {"00000000000000cd"});
    BOOST_TEST(f.writes == 1);
    BOOST_TEST(f.values[key] == "1");
    f.answer(true);
    BOOST_TEST(f.writes == 1);
}

/// A part and a request with the same hash are told apart; the quarantine of a part is shorter.
BOOST_AUTO_TEST_CASE(partsHaveKeysOfTheirOwn)
{
    Fixture f;
    f.log.save(promptPart(0xab));
    f.answer(true);
    f.read(partKey);
    BOOST_TEST((f.received == std::vector{promptPart(0xab)}));
    BOOST_TEST(!f.values.contains(key));
    f.pass(minutes(10));
    BOOST_REQUIRE(f.pending);
    f.answer(true);
    BOOST_TEST(f.values.at(partKey).empty());
}

/// Failure: a part that was wrongly blamed is quarantined again when all routers restart.
BOOST_AUTO_TEST_CASE(removedQuarantineIsDeletedFromLog)
{
    Fixture f;
    f.log.save(promptPart(0xab));
    f.answer(true);
    f.log.remove(promptPart(0xab));
    BOOST_REQUIRE(f.pending);
    f.answer(true);
    BOOST_TEST(f.values.at(partKey).empty());
    f.pass(minutes(11));
    BOOST_TEST(!f.pending);
}
