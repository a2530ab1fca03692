#define BOOST_TEST_MODULE SnapshotScheduler
#include <boost/test/unit_test.hpp>

#include "configuration/snapshotscheduler.h"

#include <vector>

using namespace Lagoonbank;
using namespace Lagoonbank::Configuration;
using Base::operator""s;

namespace {

const SnapshotScheduler::Options options{.retention = 400s};
const Base::MonoTime start{1000s};

} // namespace

BOOST_AUTO_TEST_CASE(isDueAfterLastSnapshotByRank)
{
    SnapshotScheduler scheduler(options, start);
    BOOST_TEST(!scheduler.isDue(start + 4s, 0));
    BOOST_TEST(scheduler.isDue(start + 5s, 0));
    BOOST_TEST(!scheduler.isDue(start + 8s, 2));
    BOOST_TEST(scheduler.isDue(start + 9s, 2));
    scheduler.snapshotSeen(start + 6s);
    BOOST_TEST(!scheduler.isDue(start + 105s, 0));
    BOOST_TEST(scheduler.isDue(start + 106s, 0));
    BOOST_TEST(scheduler.isDue(start + 108s, 1));
}

BOOST_AUTO_TEST_CASE(retriesAppendWithoutEffect)
{
    SnapshotScheduler scheduler(options, start);
    scheduler.appendStarted(start + 5s);
    BOOST_TEST(!scheduler.isDue(start + 6s, 0));
    BOOST_TEST(scheduler.isDue(start + 7s, 0));
    scheduler.appendStarted(start + 7s);
    scheduler.snapshotSeen(start + 8s);
    BOOST_TEST(!scheduler.isDue(start + 60s, 0));
}

BOOST_AUTO_TEST_CASE(writesInsideTheRetentionWhateverTheRank)
{
    for (const std::size_t rank : {std::size_t{0}, std::size_t{5}, std::size_t{330}, SIZE_MAX}) {
        SnapshotScheduler scheduler(options, start);
        scheduler.snapshotSeen(start);
        BOOST_TEST(scheduler.isDue(start + options.retention / 2, rank));
    }
}

BOOST_AUTO_TEST_CASE(onlyOneControllerWrites)
{
    // Every controller checks once a second; all see a snapshot one second after its append.
    std::vector<SnapshotScheduler> controllers(6, SnapshotScheduler(options, start));
    int written = 0;
    bool isAppended = false;
    for (int second = 0; second < 1000; ++second) {
        const Base::MonoTime now = start + std::chrono::seconds(second);
        if (isAppended) {
            for (SnapshotScheduler &controller : controllers)
                controller.snapshotSeen(now);
            isAppended = false;
        }
        for (std::size_t rank = 0; rank < controllers.size(); ++rank) {
            if (!controllers[rank].isDue(now, rank))
                continue;
            controllers[rank].appendStarted(now);
            isAppended = true;
            ++written;
        }
    }
    BOOST_TEST(written == 10);
}
