#define BOOST_TEST_MODULE Membership
#include "fakefleet.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace Lagoonbank;
using namespace Lagoonbank::Base;
using Membership::MemberEvent;
using Membership::MemberStatus;
using Tests::FakeFleet;

namespace {

constexpr Duration settleTime = std::chrono::seconds(30);

std::size_t countAbout(FakeFleet &fleet, std::size_t observer, const std::string &member,
                       MemberEvent what)
{
    const auto &events = fleet.node(observer).events;
    return static_cast<std::size_t>(
        std::count_if(events.begin(), events.end(), [&](const FakeFleet::Event &event) {
            return event.member == member && event.what == what;
        }));
}

} // namespace

// Everyone finds everyone from seeds alone.
BOOST_DATA_TEST_CASE(convergesFromSeeds, boost::unit_test::data::make({6, 24, 60}), vms)
{
    FakeFleet fleet({.vms = static_cast<std::size_t>(vms), .withControllers = true});
    const auto time = fleet.runUntil([&] { return fleet.isConverged(); }, settleTime);
    BOOST_REQUIRE(time);
    BOOST_TEST(toSeconds(*time) < 12.0);
}

// A healthy fleet under loss, reordering and duplicates: nobody is declared dead.
BOOST_DATA_TEST_CASE(noFalseDeathUnderLoss, boost::unit_test::data::make({0.0, 0.05, 0.1, 0.2}),
                     loss)
{
    FakeFleet fleet({.seed = 7, .duplicates = 0.02, .vms = 24, .dataCentres = 4});
    BOOST_REQUIRE(fleet.runUntil([&] { return fleet.isConverged(); }, settleTime));
    fleet.setLoss(loss);
    bool wasWhole = true;
    fleet.eachStep = [&] { wasWhole = wasWhole && fleet.isConverged(); };
    fleet.run(std::chrono::minutes(3));
    BOOST_TEST(fleet.countEvents(MemberEvent::Died) == 0U);
    BOOST_TEST(wasWhole);
}

// A crash is seen by every member; the time is bounded.
BOOST_DATA_TEST_CASE(crashIsDetected, boost::unit_test::data::make({6, 24, 60}), vms)
{
    FakeFleet fleet({.seed = 3, .loss = 0.02, .vms = static_cast<std::size_t>(vms)});
    BOOST_REQUIRE(fleet.runUntil([&] { return fleet.isConverged(); }, settleTime));
    fleet.run(std::chrono::seconds(5));
    fleet.stop(5);
    const auto time = fleet.runUntil([&] { return fleet.isConverged(); }, settleTime);
    BOOST_REQUIRE(time);
    BOOST_TEST(toSeconds(*time) < 15.0);
}

BOOST_AUTO_TEST_CASE(plannedLeaveSpreadsAtOnce)
{
    FakeFleet fleet({.vms = 24});
    BOOST_REQUIRE(fleet.runUntil([&] { return fleet.isConverged(); }, settleTime));
    fleet.run(std::chrono::seconds(5));
    fleet.at(5).leave(fleet.now());
    fleet.run(std::chrono::milliseconds(100));
    fleet.stop(5);
    const auto time = fleet.runUntil([&] { return fleet.isConverged(); }, settleTime);
    BOOST_REQUIRE(time);
    BOOST_TEST(toSeconds(*time) < 2.0);
    BOOST_TEST(fleet.countEvents(MemberEvent::Suspected) == 0U);
    BOOST_TEST(fleet.countEvents(MemberEvent::Died) == 0U);
}

// The wall clock of the replacement may be ahead of or behind the old VM's.
BOOST_DATA_TEST_CASE(replacedVmAtTheSameAddress, boost::unit_test::data::make({2000, 500}),
                     incarnation)
{
    FakeFleet fleet({.vms = 12});
    BOOST_REQUIRE(fleet.runUntil([&] { return fleet.isConverged(); }, settleTime));
    fleet.stop(5);
    fleet.run(std::chrono::seconds(1));
    fleet.start(5, static_cast<std::uint64_t>(incarnation));
    const auto isNewKnown = [&] {
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            const auto *member = fleet.at(i).table().find(fleet.id(5));
            if (!member || member->info.status != MemberStatus::Alive
                || member->info.incarnation <= FakeFleet::firstIncarnation)
                return false;
        }
        return fleet.isConverged();
    };
    BOOST_REQUIRE(fleet.runUntil(isNewKnown, settleTime));
    fleet.run(std::chrono::seconds(20));
    BOOST_TEST(isNewKnown());
}

// A cut data centre is out of reach as a whole; nobody dies, and healing needs no refutation.
BOOST_AUTO_TEST_CASE(partitionedDataCentreRecovers)
{
    FakeFleet fleet({.seed = 5, .vms = 12, .withControllers = true});
    BOOST_REQUIRE(fleet.runUntil([&] { return fleet.isConverged(); }, settleTime));
    fleet.run(std::chrono::seconds(5));
    fleet.cutDataCentre("centre-1");
    const DataCentreId cut("centre-1");
    const auto isCutOff = [&] {
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            const bool isInside = fleet.node(i).info.dataCentre == "centre-1";
            const DataCentreId other(isInside ? "centre-0" : "centre-1");
            if (fleet.at(i).isReachable(other, fleet.now()))
                return false;
        }
        return true;
    };
    const auto seen = fleet.runUntil(isCutOff, settleTime);
    BOOST_REQUIRE(seen);
    BOOST_TEST(toSeconds(*seen) < 9.0);
    // Each side learns something while they are apart.
    fleet.at(1).announceLeaving(EndpointId("engine-inside"), Incarnation(1), fleet.now());
    fleet.at(0).announceLeaving(EndpointId("engine-outside"), Incarnation(1), fleet.now());
    fleet.at(0).setConfigurationMark({.offset = 90, .hash = 1}, fleet.now());
    fleet.run(std::chrono::minutes(2));
    BOOST_TEST(fleet.countEvents(MemberEvent::Died) == 0U);

    fleet.heal();
    const auto isHealed = [&] {
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            const auto &seen = fleet.node(i).leavingSeen;
            if (!seen.contains("engine-inside") || !seen.contains("engine-outside"))
                return false;
        }
        return fleet.isConverged();
    };
    const auto healed = fleet.runUntil(isHealed, settleTime);
    BOOST_REQUIRE(healed);
    BOOST_TEST(toSeconds(*healed) < 15.0);
    BOOST_TEST(fleet.at(0).configurationMark().offset == 90U);
    BOOST_TEST(!fleet.at(0).isLeaving(EndpointId("engine-inside"), Incarnation(2)));
}

// One direction between two members of a data centre is lost: others vouch, nobody dies.
// With many data centres each one stays within reach of all, also of one with a single process.
BOOST_DATA_TEST_CASE(manyDataCentresStayReachable, boost::unit_test::data::make({13, 65}), vms)
{
    FakeFleet fleet({.seed = 11, .vms = static_cast<std::size_t>(vms), .dataCentres = 13});
    BOOST_REQUIRE(fleet.runUntil([&] { return fleet.isConverged(); }, settleTime));
    fleet.run(std::chrono::seconds(60));
    std::size_t lost = 0;
    fleet.eachStep = [&] {
        for (std::size_t i = 0; i < fleet.size(); ++i)
            lost += fleet.size() - fleet.at(i).usableMembers(fleet.now(), true).size();
    };
    fleet.run(std::chrono::seconds(30));
    BOOST_TEST(lost == 0U);
}

BOOST_AUTO_TEST_CASE(oneWayCutWithinADataCentre)
{
    FakeFleet fleet({.seed = 9, .vms = 6, .dataCentres = 1});
    BOOST_REQUIRE(fleet.runUntil([&] { return fleet.isConverged(); }, settleTime));
    fleet.isCut = [](std::size_t from, std::size_t to) { return from == 0 && to == 1; };
    fleet.run(std::chrono::minutes(2));
    BOOST_TEST(fleet.countEvents(MemberEvent::Died) == 0U);
    BOOST_TEST(fleet.isConverged());
}

// One direction between two data centres is lost: both sides agree that they are apart.
BOOST_AUTO_TEST_CASE(oneWayCutBetweenDataCentres)
{
    FakeFleet fleet({.seed = 9, .vms = 8, .dataCentres = 2});
    BOOST_REQUIRE(fleet.runUntil([&] { return fleet.isConverged(); }, settleTime));
    fleet.isCut = [&](std::size_t from, std::size_t to) {
        return fleet.node(from).info.dataCentre == "centre-0"
            && fleet.node(to).info.dataCentre == "centre-1";
    };
    fleet.run(std::chrono::seconds(15));
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        const DataCentreId other(i % 2 == 0 ? "centre-1" : "centre-0");
        BOOST_TEST(!fleet.at(i).isReachable(other, fleet.now()));
    }
    BOOST_TEST(fleet.countEvents(MemberEvent::Died) == 0U);
    fleet.heal();
    BOOST_TEST(fleet.runUntil([&] { return fleet.isConverged(); }, settleTime).has_value());
}

// A member that comes and goes is damped: known to be there, but not relied on until it is calm.
BOOST_AUTO_TEST_CASE(flappingVmIsDamped)
{
    FakeFleet fleet({.vms = 6, .dataCentres = 1});
    BOOST_REQUIRE(fleet.runUntil([&] { return fleet.isConverged(); }, settleTime));
    std::uint64_t incarnation = FakeFleet::firstIncarnation;
    for (int i = 0; i < 5; ++i) {
        fleet.stop(2);
        fleet.run(std::chrono::seconds(12));
        fleet.start(2, ++incarnation);
        fleet.run(std::chrono::seconds(3));
    }
    const auto isUsable = [&] {
        const auto usable = fleet.at(0).usableMembers(fleet.now());
        return std::any_of(usable.begin(), usable.end(),
                           [&](const auto &member) { return member.id == fleet.id(2); });
    };
    BOOST_TEST(!isUsable());
    BOOST_TEST(fleet.isConverged());
    const auto calm = fleet.runUntil(isUsable, std::chrono::minutes(10));
    BOOST_REQUIRE(calm);
    BOOST_TEST(toSeconds(*calm) > 30.0);
}

// The list lags both ways: contact decides who lives, the list who may be asked.
BOOST_AUTO_TEST_CASE(vmListLagsBothWays)
{
    FakeFleet fleet({.vms = 6, .dataCentres = 2});
    BOOST_REQUIRE(fleet.runUntil([&] { return fleet.isConverged(); }, settleTime));
    // Only a VM that is long gone is listed, and none of the living.
    for (std::size_t i = 0; i < fleet.size(); ++i)
        fleet.at(i).setVmList(
            {{.id = VmId("vm-99"), .ip = "10.0.0.99", .dataCentre = DataCentreId("centre-0")}});
    fleet.run(std::chrono::minutes(15));
    BOOST_TEST(fleet.isConverged());
    BOOST_TEST(fleet.countEvents(MemberEvent::Died) == 0U);
    fleet.stop(0);
    BOOST_TEST(fleet.runUntil([&] { return fleet.isConverged(); }, settleTime).has_value());
}

BOOST_AUTO_TEST_CASE(listedVmIsFoundWithoutSeeds)
{
    FakeFleet fleet({.vms = 6, .dataCentres = 2});
    BOOST_REQUIRE(fleet.runUntil([&] { return fleet.isConverged(); }, settleTime));
    // Every seed is replaced by VMs elsewhere; a new one knows the list alone.
    fleet.stop(5);
    fleet.run(settleTime);
    fleet.start(5, 5000);
    fleet.at(5).setVmList(
        {{.id = VmId("vm-4"), .ip = "10.0.0.5", .dataCentre = DataCentreId("centre-0")}});
    BOOST_TEST(fleet.runUntil([&] { return fleet.isConverged(); }, settleTime).has_value());
}

// A process that was paused for long neither kills the others nor stays dead itself.
BOOST_AUTO_TEST_CASE(pausedProcessResumes)
{
    FakeFleet fleet({.vms = 8, .dataCentres = 2});
    BOOST_REQUIRE(fleet.runUntil([&] { return fleet.isConverged(); }, settleTime));
    fleet.pause(3, true);
    fleet.run(std::chrono::seconds(40));
    fleet.pause(3, false);
    BOOST_REQUIRE(fleet.runUntil([&] { return fleet.isConverged(); }, settleTime));
    fleet.run(settleTime);
    BOOST_TEST(fleet.isConverged());
    for (std::size_t i = 0; i < fleet.size(); ++i)
        BOOST_TEST(countAbout(fleet, 3, fleet.id(i), MemberEvent::Died) == 0U);
}

// News of a leaving endpoint and of a configuration reach every member within a second.
BOOST_DATA_TEST_CASE(urgentUpdatesSpreadFast, boost::unit_test::data::make({0.0, 0.1}), loss)
{
    FakeFleet fleet({.vms = 24, .withControllers = true});
    BOOST_REQUIRE(fleet.runUntil([&] { return fleet.isConverged(); }, settleTime));
    fleet.run(std::chrono::seconds(5));
    fleet.setLoss(loss);
    fleet.at(7).announceLeaving(EndpointId("engine-3"), Incarnation(12), fleet.now());
    const auto isEverywhere = [&] {
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            if (!fleet.at(i).isLeaving(EndpointId("engine-3"), Incarnation(12)))
                return false;
        }
        return true;
    };
    const auto time = fleet.runUntil(isEverywhere, settleTime);
    BOOST_REQUIRE(time);
    BOOST_TEST(toSeconds(*time) < 2.0);
}

// Even with far more to say than it may, a process stays within its bytes, and news goes first.
BOOST_AUTO_TEST_CASE(budgetHoldsUnderPressure)
{
    FakeFleet fleet({.vms = 24, .dataCentres = 4});
    BOOST_REQUIRE(fleet.runUntil([&] { return fleet.isConverged(); }, settleTime));
    int engine = 0;
    fleet.eachStep = [&] {
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            const EndpointId endpoint("engine-" + std::to_string(engine++ % 250));
            fleet.at(i).loads().report(endpoint, WorkUnits(engine), fleet.now());
            fleet.at(i).setDemand(WorkspaceId("w" + std::to_string(engine % 40)),
                                  std::string(60, 'x'), fleet.now());
        }
    };
    fleet.run(std::chrono::seconds(5));
    const std::uint64_t before = fleet.sentBytes();
    fleet.at(3).announceLeaving(EndpointId("engine-3"), Incarnation(1), fleet.now());
    const auto isEverywhere = [&] {
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            if (!fleet.at(i).isLeaving(EndpointId("engine-3"), Incarnation(1)))
                return false;
        }
        return true;
    };
    const auto time = fleet.runUntil(isEverywhere, settleTime);
    BOOST_REQUIRE(time);
    BOOST_TEST(toSeconds(*time) < 2.0);
    fleet.run(std::chrono::seconds(20) - *time);
    const double perProcess =
        static_cast<double>(fleet.sentBytes() - before) / static_cast<double>(fleet.size()) / 20;
    BOOST_TEST(perProcess < 5000.0);
    BOOST_TEST(perProcess > 2000.0);
    BOOST_TEST(fleet.countEvents(MemberEvent::Died) == 0U);
}
