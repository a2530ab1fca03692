#define BOOST_TEST_MODULE tst_datacentredrains
#include <boost/test/unit_test.hpp>

#include "fleet/datacentredrains.h"

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

    DataCentreDrains drains;
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
