#define BOOST_TEST_MODULE tst_datacentredrains
#include <boost/test/unit_test.hpp>

#include "base/logoffset.h"
#include "fleet/datacentredrains.h"
#include "runtime/clock.h"

#include <string>

using namespace Lagoonbank;
using namespace Lagoonbank::Fleet;

namespace {

const Base::DataCentreId east{"east"};
const Base::DataCentreId west{"west"};

Base::LogOffset at(std::uint64_t offset)
{
    return Base::LogOffset(offset);
}

struct Fixture
{
    Fixture()
    {
        drains.changed = [this](const auto &, const auto &current) {
            reported += '[';
            for (const Base::DataCentreId &one : current)
                reported += one.value() + ' ';
            reported += ']';
        };
    }

    Runtime::ManualClock clock;
    Runtime::TimerQueue timers{clock};
    DataCentreDrains drains{{.timers = &timers}};
    std::string reported;
};

} // namespace

BOOST_AUTO_TEST_CASE(laterOffsetWinsRegardlessOfSource)
{
    Fixture f;
    f.drains.addDrain(east, at(5));
    f.drains.removeDrain(east, at(9));
    f.drains.replace({east}, at(7)); // From a peer that has read less of the log.
    f.drains.addDrain(west, at(8)); // A delayed record.
    BOOST_TEST(f.drains.current().empty());
    f.drains.replace({west}, at(10));
    BOOST_TEST(f.drains.current().contains(west));
    BOOST_TEST(f.reported == "[east ][][west ]");
}

BOOST_AUTO_TEST_CASE(unchangedSetIsNotReported)
{
    Fixture f;
    f.drains.addDrain(east, at(5));
    f.drains.addDrain(east, at(6));
    f.drains.replace({east}, at(7));
    BOOST_TEST(f.reported == "[east ]");
    BOOST_TEST((f.drains.asOf() == at(7)));
}

/// A router that has read the log further knows that no data centre was drained in between.
BOOST_AUTO_TEST_CASE(advancingTheOffsetRejectsOlderStates)
{
    Fixture f;
    f.drains.addDrain(east, at(5));
    f.drains.advanceTo(at(9));
    f.drains.replace({}, at(8));
    BOOST_TEST(f.drains.current().contains(east));
    f.drains.advanceTo(at(3));
    BOOST_TEST((f.drains.asOf() == at(9)));
}

/// A store that was restored from an older copy lacks the drains that were added since, and has
/// those that were removed since, until the operators have written both changes again.
BOOST_AUTO_TEST_CASE(restoredLogChangesNothingUntilOperatorsHaveWrittenAgain)
{
    const auto restored = [](std::uint64_t position) {
        return Base::makeLogOffset(Base::LogEra(2), position);
    };
    Fixture f;
    f.drains.addDrain(west, at(5));
    f.drains.addDrain(east, at(7));
    f.drains.removeDrain(west, at(8));
    f.reported.clear();
    f.drains.storeRestored();
    f.drains.replace({west}, restored(6));
    f.drains.advanceTo(restored(6));
    BOOST_TEST((f.drains.asOf() == at(8)));
    f.clock.advance(std::chrono::milliseconds(1500));
    f.timers.runDue();
    f.drains.addDrain(east, restored(7));
    f.drains.removeDrain(west, restored(8));
    BOOST_TEST(f.reported.empty());
    f.clock.advance(std::chrono::milliseconds(1000));
    f.timers.runDue();
    BOOST_TEST(f.reported.empty());
    BOOST_TEST(f.drains.current().contains(east));
    BOOST_TEST((f.drains.asOf() == restored(8)));
    f.drains.removeDrain(east, restored(9));
    BOOST_TEST(f.drains.current().empty());
}
