#define BOOST_TEST_MODULE tst_pendingwrites
#include <boost/test/unit_test.hpp>

#include "keyedlog/pendingwrites.h"
#include "runtime/clock.h"

#include <algorithm>
#include <functional>
#include <string>
#include <utility>
#include <vector>

using namespace Lagoonbank;
using KeyedLog::PendingWrites;

namespace {

struct Fixture
{
    /// Completes the write in flight.
    void answer()
    {
        BOOST_REQUIRE(pending);
        std::exchange(pending, nullptr)(boost::outcome_v2::success());
    }

    Runtime::ManualClock clock;
    Runtime::TimerQueue timers{clock};
    std::vector<std::pair<std::string, std::string>> written;
    std::function<void(Errors::Result<void>)> pending;
    PendingWrites writes{{.write =
                              [this](const std::string &key, const std::string &value, auto done) {
                                  written.emplace_back(key, value);
                                  pending = std::move(done);
                              },
                          .timers = &timers}};
};

} // namespace

/// Guards against a key that is never written as one before it gets a newer value during each of
/// its writes.
BOOST_AUTO_TEST_CASE(keysTakeTurns)
{
    Fixture f;
    f.writes.write("10", "0");
    f.writes.write("9", "last");
    for (int i = 1; i < 4; ++i) {
        f.writes.write("10", std::to_string(i));
        f.answer();
    }
    const std::pair<std::string, std::string> last("9", "last");
    BOOST_TEST(std::count(f.written.begin(), f.written.end(), last) == 1);
}

BOOST_AUTO_TEST_CASE(valueThatIsGivenDuringAWriteIsWritten)
{
    Fixture f;
    f.writes.write("k", "1");
    f.writes.write("k", "2");
    f.answer();
    BOOST_TEST(f.written.back().second == "2");
    BOOST_TEST(!f.writes.isIdle());
    f.answer();
    BOOST_TEST(f.writes.isIdle());
}
