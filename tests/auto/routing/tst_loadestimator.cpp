#define BOOST_TEST_MODULE loadestimator
#include "routing/loadestimator.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace Lagoonbank;
using namespace Lagoonbank::Routing;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

namespace {

constexpr Base::MonoTime start{std::chrono::hours(1)};

Base::WorkUnits units(double work)
{
    return Base::WorkUnits(work);
}

LoadReport report(double work, Base::MonoTime at, std::uint64_t incarnation = 1)
{
    return {.work = units(work), .sampledAt = at, .incarnation = Base::Incarnation(incarnation)};
}

struct Fixture
{
    Fixture()
    {
        for (int i = 0; i < 3; ++i) {
            table.upsert({.id = Base::EndpointId("engine-" + std::to_string(i)),
                          .pool = "model/m",
                          .capacity = units(1000)});
        }
        loads.resize(table.size());
    }

    EndpointTable table;
    LoadEstimator loads;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(workSentAfterSampleIsAdded, Fixture)
{
    loads.noteSent(0, units(100), start);
    loads.noteSent(0, units(50), start + 1s);
    // Sampled between the two, so that it includes only the first.
    BOOST_TEST(loads.noteReport(0, report(300, start + 500ms), start + 1500ms));
    BOOST_TEST(loads.load(0) == 350.0);
}

BOOST_FIXTURE_TEST_CASE(workEndedAfterSampleIsSubtracted, Fixture)
{
    SentWork sent = loads.noteSent(0, units(100), start);
    loads.noteReport(0, report(300, start + 500ms), start + 1s);
    loads.noteProgress(&sent, units(40), start + 1200ms);
    BOOST_TEST(loads.load(0) == 260.0);
    loads.noteEnded(&sent, start + 1500ms);
    BOOST_TEST(loads.load(0) == 200.0);
    loads.noteEnded(&sent, start + 1600ms);
    BOOST_TEST(loads.load(0) == 200.0);
}

BOOST_FIXTURE_TEST_CASE(outOfOrderReportsAreRejected, Fixture)
{
    BOOST_TEST(loads.noteReport(0, report(300, start + 2s), start + 2s));
    BOOST_TEST(!loads.noteReport(0, report(900, start + 1s), start + 3s));
    BOOST_TEST(loads.load(0) == 300.0);
}

BOOST_FIXTURE_TEST_CASE(restartDiscardsWorkInFlight, Fixture)
{
    SentWork old = loads.noteSent(0, units(100), start);
    loads.noteReport(0, report(300, start + 1s, 1), start + 1s);
    BOOST_TEST(loads.noteReport(0, report(0, start + 2s, 2), start + 2s));
    BOOST_TEST(loads.load(0) == 0.0);
    BOOST_TEST(!loads.noteReport(0, report(300, start + 3s, 1), start + 3s));
    loads.noteSent(0, units(70), start + 3s);
    loads.noteEnded(&old, start + 4s); // Must not affect the work of the new incarnation.
    BOOST_TEST(loads.load(0) == 70.0);
}

BOOST_FIXTURE_TEST_CASE(lostReportsFadeToAverageLoad, Fixture)
{
    loads.noteReport(0, report(900, start), start);
    for (int second = 1; second <= 10; ++second) {
        const Base::MonoTime now = start + std::chrono::seconds(second);
        loads.noteReport(1, report(200, now), now);
        loads.noteReport(2, report(400, now), now);
        loads.refresh(table, now);
        if (second <= 2)
            BOOST_TEST(loads.load(0) == 900.0);
    }
    BOOST_TEST(loads.load(0) == 300.0);
}

BOOST_FIXTURE_TEST_CASE(peerDigestsAfterSampleAreAdded, Fixture)
{
    loads.notePeerInFlight(0, 0, units(100), start);
    loads.noteReport(0, report(150, start + 500ms), start + 1s);
    BOOST_TEST(loads.load(0) == 150.0);
    loads.notePeerInFlight(0, 0, units(180), start + 1100ms);
    loads.notePeerInFlight(1, 0, units(20), start + 1100ms);
    BOOST_TEST(loads.load(0) == 250.0);
    loads.removePeer(0, start + 1200ms);
    BOOST_TEST(loads.load(0) == 70.0);
}
