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

// All members discover each other from seeds alone, without a VM list.
BOOST_DATA_TEST_CASE(convergesFromSeeds, boost::unit_test::data::make({6, 24, 60}), vms)
{
    FakeFleet fleet({.vms = static_cast<std::size_t>(vms), .withControllers = true});
    const auto time = fleet.runUntil([&] { return fleet.isConverged(); }, settleTime);
    BOOST_REQUIRE(time);
    BOOST_TEST(toSeconds(*time) < 12.0);
}

// In a healthy fleet with loss, reordering and duplicates no member is declared dead.
BOOST_DATA_TEST_CASE(noFalseDeathUnderLoss, boost::unit_test::data::make({0.0, 0.05, 0.1, 0.2}),
                     loss)
{
    FakeFleet fleet({.seed = 7, .duplicateFraction = 0.02, .vms = 24, .dataCentres = 4});
    BOOST_REQUIRE(fleet.runUntil([&] { return fleet.isConverged(); }, settleTime));
    fleet.setLossFraction(loss);
    bool wasConverged = true;
    fleet.eachStep = [&] { wasConverged = wasConverged && fleet.isConverged(); };
    fleet.run(std::chrono::minutes(3));
    BOOST_TEST(fleet.countEvents(MemberEvent::Died) == 0U);
    BOOST_TEST(wasConverged);
}

// Every member detects a crash within a bounded time.
BOOST_DATA_TEST_CASE(crashIsDetected, boost::unit_test::data::make({6, 24, 60}), vms)
{
    FakeFleet fleet({.seed = 3, .lossFraction = 0.02, .vms = static_cast<std::size_t>(vms)});
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

// The incarnation comes from the wall clock, and the clock of the replacement may be ahead of or
// behind that of the old VM.
BOOST_DATA_TEST_CASE(replacedVmAtTheSameAddress, boost::unit_test::data::make({2000, 500}),
                     incarnation)
{
    FakeFleet fleet({.vms = 12});
    BOOST_REQUIRE(fleet.runUntil([&] { return fleet.isConverged(); }, settleTime));
    fleet.stop(5);
    fleet.run(std::chrono::seconds(1));
    fleet.start(5, static_cast<std::uint64_t>(incarnation));
    const auto isReplacementKnown = [&] {
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            const auto *member = fleet.at(i).table().find(fleet.id(5));
            if (!member || member->info.status != MemberStatus::Alive
                || member->info.incarnation <= FakeFleet::firstIncarnation)
                return false;
        }
        return fleet.isConverged();
    };
    BOOST_REQUIRE(fleet.runUntil(isReplacementKnown, settleTime));
    fleet.run(std::chrono::seconds(20));
    BOOST_TEST(isReplacementKnown());
}

// A partitioned data centre is unreachable as a whole. None of its members is declared dead, so
// that none has to refute its death after the partition.
BOOST_AUTO_TEST_CASE(partitionedDataCentreRecovers)
{
    FakeFleet fleet({.seed = 5, .vms = 12, .withControllers = true});
    BOOST_REQUIRE(fleet.runUntil([&] { return fleet.isConverged(); }, settleTime));
    fleet.run(std::chrono::seconds(5));
    fleet.cutDataCentre("centre-1");
    const DataCentreId cut("centre-1");
    const auto isUnreachable = [&] {
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            const bool isInside = fleet.node(i).info.dataCentre == "centre-1";
            const DataCentreId other(isInside ? "centre-0" : "centre-1");
            if (fleet.at(i).isReachable(other, fleet.now()))
                return false;
        }
        return true;
    };
    const auto seen = fleet.runUntil(isUnreachable, settleTime);
    BOOST_REQUIRE(seen);
    BOOST_TEST(toSeconds(*seen) < 9.0);
    // State changes on both sides during the partition.
    fleet.at(1).announceLeaving(EndpointId("engine-inside"), Incarnation(1), fleet.now());
    fleet.at(0).announceLeaving(EndpointId("engine-outside"), Incarnation(1), fleet.now());
    fleet.at(0).setAppliedConfiguration({.offset = 90, .hash = 1}, fleet.now());
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
    BOOST_TEST(fleet.at(0).appliedConfiguration().offset == 90U);
    BOOST_TEST(!fleet.at(0).isLeaving(EndpointId("engine-inside"), Incarnation(2)));
}

// With many data centres each one stays reachable from all others, even from a data centre with a
// single process.
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

// One direction between two members of a data centre is cut: indirect probes by other members keep
// both alive.
BOOST_AUTO_TEST_CASE(oneWayCutWithinADataCentre)
{
    FakeFleet fleet({.seed = 9, .vms = 6, .dataCentres = 1});
    BOOST_REQUIRE(fleet.runUntil([&] { return fleet.isConverged(); }, settleTime));
    fleet.isCut = [](std::size_t from, std::size_t to) { return from == 0 && to == 1; };
    fleet.run(std::chrono::minutes(2));
    BOOST_TEST(fleet.countEvents(MemberEvent::Died) == 0U);
    BOOST_TEST(fleet.isConverged());
}

// One direction between two data centres is cut: each side considers the other one unreachable.
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

// A member that dies and restarts repeatedly is damped: it stays a member but is not usable until
// it has been stable for some time.
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

// The VM list may lack running VMs and contain VMs that are gone. Only contact decides which
// members are alive; the list only gives addresses to try.
BOOST_AUTO_TEST_CASE(vmListLagsBothWays)
{
    FakeFleet fleet({.vms = 6, .dataCentres = 2});
    BOOST_REQUIRE(fleet.runUntil([&] { return fleet.isConverged(); }, settleTime));
    // Lists only a VM that no longer exists, and none of the running ones.
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
    // The process starts again with a VM list that contains one running VM.
    fleet.stop(5);
    fleet.run(settleTime);
    fleet.start(5, 5000);
    fleet.at(5).setVmList(
        {{.id = VmId("vm-4"), .ip = "10.0.0.5", .dataCentre = DataCentreId("centre-0")}});
    BOOST_TEST(fleet.runUntil([&] { return fleet.isConverged(); }, settleTime).has_value());
}

// A process that was paused for a long time does not declare other members dead, and the others
// consider it alive again after it resumes.
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

// The announcement of a leaving endpoint reaches every member within two seconds.
BOOST_DATA_TEST_CASE(urgentUpdatesSpreadFast, boost::unit_test::data::make({0.0, 0.1}), loss)
{
    FakeFleet fleet({.vms = 24, .withControllers = true});
    BOOST_REQUIRE(fleet.runUntil([&] { return fleet.isConverged(); }, settleTime));
    fleet.run(std::chrono::seconds(5));
    fleet.setLossFraction(loss);
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

// A process with far more digests than the budget allows stays within the budget, and sends urgent
// updates before digests.
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
