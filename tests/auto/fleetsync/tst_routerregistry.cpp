#define BOOST_TEST_MODULE tst_routerregistry
#include <boost/test/unit_test.hpp>

#include "fleetsync/routerregistry.h"
#include "runtime/clock.h"

#include <functional>
#include <string>
#include <vector>

using namespace Lagoonbank;

namespace {

/// In-memory keyed log that can fail.
struct FakeLog
{
    KeyedLog::KeyedSource source()
    {
        return {.readNewest = [this](const std::string &after, auto read) {
            ++reads;
            if (isDown) {
                read(Errors::makeError(Errors::ErrorKind::LogUnavailable));
            } else {
                // One record per page.
                const std::size_t next = after.empty() ? 0 : std::stoul(after.substr(1));
                KeyedLog::NewestPage page{.hasMore = next + 1 < records.size()};
                if (next < records.size())
                    page.records.push_back(records[next]);
                read(page);
            }
            return KeyedLog::ReadId(1);
        }};
    }
    KeyedLog::KeyedWrite write()
    {
        return [this](const std::string &key, const std::string &value, auto written) {
            ++writes;
            lastWrite = key + "=" + value;
            if (holdsAnswers)
                heldAnswer = written;
            else if (isDown)
                written(Errors::makeError(Errors::ErrorKind::LogUnavailable));
            else
                written(boost::outcome_v2::success());
        };
    }

    bool isDown = false;
    bool holdsAnswers = false;
    std::function<void(Errors::Result<void>)> heldAnswer;
    int reads = 0;
    int writes = 0;
    std::string lastWrite;
    std::vector<KeyedLog::KeyedRecord> records;
};

struct Fixture
{
    Fixture()
    {
        for (const char *value : {"dc0 10.0.0.1:7000", "nonsense", "dc1 10.0.0.2:7000"}) {
            const std::string key = "r" + std::to_string(log.records.size() + 1);
            log.records.push_back({.key = key, .value = value});
        }
    }
    void pass(Base::Duration duration)
    {
        clock.advance(duration);
        timers.runDue();
    }

    Runtime::ManualClock clock;
    Runtime::TimerQueue timers{clock};
    FakeLog log;
    Fleet::EndpointDirectory directory{{.timers = &timers}};
    FleetSync::FleetSync sync{
        {.id = "r9", .dataCentre = "dc0", .directory = &directory, .timers = &timers}};
    FleetSync::RouterRegistry registry{{.source = log.source(),
                                        .write = log.write(),
                                        .timers = &timers,
                                        .sync = &sync,
                                        .id = "r9",
                                        .dataCentre = "dc0",
                                        .address = {"10.0.0.9", 7000},
                                        .strength = 200}};
};

} // namespace

BOOST_AUTO_TEST_CASE(routerWritesItsEntryThenReadsTheOthers)
{
    Fixture f;
    f.registry.start();
    BOOST_TEST(f.log.lastWrite == "r9=dc0 10.0.0.9:7000 200");
    BOOST_TEST(f.registry.isDone());
    BOOST_TEST(f.sync.routerCount() == 3U);
    BOOST_TEST(f.sync.peers().at("r3").dataCentre == "dc1");
    BOOST_TEST(Runtime::toString(f.sync.peers().at("r3").address) == "10.0.0.2:7000");
}

BOOST_AUTO_TEST_CASE(registryRetriesWhileLogIsDown)
{
    Fixture f;
    f.log.isDown = true;
    f.registry.start();
    f.pass(std::chrono::seconds(3));
    f.pass(std::chrono::seconds(3));
    BOOST_TEST(f.log.writes == 3);
    BOOST_TEST(!f.registry.isDone());
    f.log.isDown = false;
    f.pass(std::chrono::seconds(3));
    BOOST_TEST(f.registry.isDone());
    BOOST_TEST(f.sync.routerCount() == 3U);
}

BOOST_AUTO_TEST_CASE(validEntriesAreParsedAndOthersRejected)
{
    const auto entry = FleetSync::parseRegistryEntry(
        FleetSync::formatRegistryEntry({"dc0", {"10.0.0.9", 7000}, 20}));
    BOOST_REQUIRE(entry);
    BOOST_TEST(entry.value().dataCentre == "dc0");
    BOOST_TEST(Runtime::toString(entry.value().address) == "10.0.0.9:7000");
    BOOST_TEST(entry.value().strength == 20U);
    BOOST_TEST(FleetSync::parseRegistryEntry("dc0 10.0.0.9:7000").value().strength == 0U);
    for (const char *text :
         {"", "dc0", "dc0 ", "dc0 10.0.0.9", "dc0 x:1", "dc0 10.0.0.9:7000 x", "a b c d"})
        BOOST_TEST(!FleetSync::parseRegistryEntry(text), text);
}

/// A log that was restored from an older copy lacks the entries of routers that started since, so
/// that routers that start later would not find them.
BOOST_AUTO_TEST_CASE(restoredLogIsWrittenAndReadAgain)
{
    Fixture f;
    f.registry.start();
    BOOST_REQUIRE(f.registry.isDone());
    const int writes = f.log.writes;
    const int reads = f.log.reads;
    f.registry.writeAgain();
    f.registry.writeAgain();
    BOOST_TEST(f.log.writes == writes); // Not all routers at once.
    f.clock.advance(std::chrono::seconds(1));
    f.timers.runDue();
    BOOST_TEST(f.log.writes == writes + 1);
    BOOST_TEST(f.log.reads > reads);
    BOOST_TEST(f.registry.isDone());
}

/// Guards against two sequences of calls side by side, one of whose timers outlived the registry.
BOOST_AUTO_TEST_CASE(answerToAnEarlierWriteIsIgnoredOnceWrittenAgain)
{
    Fixture f;
    f.log.holdsAnswers = true;
    f.registry.start();
    const auto earlierAnswer = f.log.heldAnswer;
    f.registry.writeAgain();
    earlierAnswer(boost::outcome_v2::success());
    BOOST_TEST(f.log.reads == 0);
    f.clock.advance(std::chrono::seconds(1));
    f.timers.runDue();
    BOOST_TEST(f.log.writes == 2);
    f.log.heldAnswer(boost::outcome_v2::success());
    BOOST_TEST(f.registry.isDone());
}
