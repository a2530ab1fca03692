#define BOOST_TEST_MODULE tst_softwarelog
#include <boost/test/unit_test.hpp>

#include "auto/keyedlog/fakelog.h"
#include "auto/keyedlog/fakewrites.h"
#include "base/logoffset.h"
#include "fleetsync/softwarelog.h"
#include "runtime/clock.h"

#include <string>
#include <vector>

using namespace Lagoonbank;
using KeyedLog::FakeLog;

namespace {

struct Fixture : KeyedLog::FakeWrites
{
    Runtime::ManualClock clock;
    Runtime::TimerQueue timers{clock};
    FakeLog records;
    FleetSync::SoftwareLog log{
        {.source = records.source(), .write = write(), .timers = &timers, .isWriter = [] {
             return true;
         }}};
};

} // namespace

/// Guards against a router that starts during the writes after a restoration of the store, finds
/// the current era there and takes the few versions written so far for all that have served.
BOOST_AUTO_TEST_CASE(eraIsWrittenAfterAllVersions)
{
    Fixture f;
    f.log.read();
    f.records.answerNewest({}, 0);
    const std::vector<Schema::SharedSoftware> uses{{.service = "s", .software = 10},
                                                   {.service = "s", .software = 11}};
    f.log.update(uses);
    f.answer();
    f.log.update(uses);
    f.answer();
    BOOST_TEST(
        f.keys
            == (std::vector<std::string>{"software-000000000000000a", "software-000000000000000b"}),
        boost::test_tools::per_element());
    f.log.update(uses);
    f.answer();
    BOOST_TEST(f.keys.back() == "era");
    f.log.update(uses);
    BOOST_TEST(f.keys.size() == 3U);
}

/// Guards against the era of a restored store in the log before endpoints have returned whose
/// versions only they can name, as all routers have started after the restoration.
BOOST_AUTO_TEST_CASE(eraOfARestoredLogIsWrittenOnceAllVersionsAreKnown)
{
    Fixture f;
    f.log.read();
    const std::uint64_t restored = Base::makeLogOffset(Base::LogEra(1), 0).value();
    f.records.answerNewest({KeyedLog::put("era", "0", 0)}, restored);
    f.log.update({});
    BOOST_TEST(f.keys.empty());
    f.clock.advance(FleetSync::SoftwareLog::rewriteTime);
    f.log.update({});
    BOOST_TEST(f.keys.size() == 1U);
}
