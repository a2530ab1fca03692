#define BOOST_TEST_MODULE tst_pendingwrites
#include <boost/test/unit_test.hpp>

#include "auto/keyedlog/fakewrites.h"
#include "keyedlog/pendingwrites.h"
#include "runtime/clock.h"

#include <algorithm>
#include <string>

using namespace Lagoonbank;
using KeyedLog::PendingWrites;

namespace {

struct Fixture : KeyedLog::FakeWrites
{
    Runtime::ManualClock clock;
    Runtime::TimerQueue timers{clock};
    PendingWrites pendingWrites{{.write = write(), .timers = &timers}};
};

} // namespace

/// Guards against a key that is never written as one before it gets a newer value during each of
/// its writes.
BOOST_AUTO_TEST_CASE(keysTakeTurns)
{
    Fixture f;
    f.pendingWrites.write("10", "0");
    f.pendingWrites.write("9", "last");
    for (int i = 1; i < 4; ++i) {
        f.pendingWrites.write("10", std::to_string(i));
        f.answer();
    }
    BOOST_TEST(std::count(f.keys.begin(), f.keys.end(), "9") == 1);
    BOOST_TEST(f.values["9"] == "last");
}

BOOST_AUTO_TEST_CASE(valueThatIsGivenDuringAWriteIsWritten)
{
    Fixture f;
    f.pendingWrites.write("k", "1");
    f.pendingWrites.write("k", "2");
    f.answer();
    BOOST_TEST(f.values["k"] == "2");
    BOOST_TEST(!f.pendingWrites.isIdle());
    f.answer();
    BOOST_TEST(f.pendingWrites.isIdle());
}
