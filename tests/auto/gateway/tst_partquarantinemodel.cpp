#define BOOST_TEST_MODULE tst_partquarantinemodel
#include <boost/test/unit_test.hpp>

#include "auto/gateway/crashingpartsmodel.h"

#include <string>

using namespace Lagoonbank;
using Model = Test::CrashingPartsModel;
using std::chrono::seconds;

// Failure: requests of which no two are alike go on crashing endpoints as they share one part of
// their prompts, or sound requests are refused as one of their parts is blamed for it. Both errors
// are measured over several seeds, with crashes of which no part is the cause.

namespace {

constexpr std::uint64_t seeds = 10;
constexpr std::size_t maxFurtherSends = 3;
/// At most one in this number of sound requests may be refused.
constexpr std::size_t maxRefusedSound = 1000;

Model::Result runAll(const std::string &name, Model::Options options)
{
    Model::Result sum;
    for (options.seed = 1; options.seed <= seeds; ++options.seed) {
        const Model::Result one = Model(options).run();
        sum.blamedBad += one.blamedBad;
        sum.blamedSound += one.blamedSound;
        sum.refusedSound += one.refusedSound;
        sum.sound += one.sound;
        sum.crashes += one.crashes;
        sum.furtherSends = std::max(sum.furtherSends, one.furtherSends);
    }
    BOOST_TEST_MESSAGE(name << ": " << sum.crashes << " crashes, " << sum.furtherSends
                            << " further sends at most, " << sum.blamedBad << " bad and "
                            << sum.blamedSound << " sound parts blamed, " << sum.refusedSound
                            << " of " << sum.sound << " sound requests refused");
    return sum;
}

/// Both errors, over all seeds.
void checkErrors(const std::string &name, const Model::Options &options)
{
    const Model::Result result = runAll(name, options);
    BOOST_TEST(result.blamedBad == seeds * options.badParts);
    BOOST_TEST(result.furtherSends <= maxFurtherSends);
    BOOST_TEST(result.refusedSound <= result.sound / maxRefusedSound);
}

Model::Options largeFleet()
{
    return {.routers = 60, .endpoints = 180, .requestsPerSecond = 1350, .length = seconds(20)};
}

} // namespace

BOOST_AUTO_TEST_CASE(onePartCrashesEndpoints)
{
    checkErrors("one part", {});
}

BOOST_AUTO_TEST_CASE(twoPartsCrashEndpointsAtOnce)
{
    checkErrors("two parts", {.badParts = 2});
}

/// Scenario: requests with the part are so rare that each is repeated before the next one comes.
BOOST_AUTO_TEST_CASE(requestsWithThePartAreRare)
{
    checkErrors("rare requests", {.badPerSecond = 0.1});
}

BOOST_AUTO_TEST_CASE(endpointsCrashWithoutACause)
{
    checkErrors("causeless crashes", {.badParts = 0, .causelessCrashesPerSecond = 3});
    checkErrors("one part and causeless crashes", {.causelessCrashesPerSecond = 1});
}

BOOST_AUTO_TEST_CASE(routersAreCutOffFromEndpoints)
{
    checkErrors("cuts", {.badParts = 0, .hasCuts = true});
    checkErrors("one part and cuts", {.hasCuts = true});
}

BOOST_AUTO_TEST_CASE(routersRestart)
{
    checkErrors("restarts", {.restartInterval = seconds(2)});
}

/// Few of the routers count crashes, so most answers begin at routers that do not.
BOOST_AUTO_TEST_CASE(largeFleetAcquitsSoundParts)
{
    Model::Options options = largeFleet();
    checkErrors("60 routers", options);
    options.causelessCrashesPerSecond = 10;
    checkErrors("60 routers and causeless crashes", options);
}

/// What sharing the evidence, asking the peers and the number of crashes are for.
BOOST_AUTO_TEST_CASE(weakerVariantsMakeMoreErrors)
{
    Model::Options options = largeFleet();
    options.causelessCrashesPerSecond = 10;
    const Model::Result asking = runAll("60 routers, causeless crashes", options);
    options.asksPeers = false;
    const Model::Result notAsking = runAll("60 routers, causeless, peers not asked", options);
    BOOST_TEST(notAsking.refusedSound > asking.refusedSound);
    const Model::Result shared = runAll("6 routers", {});
    const Model::Result alone = runAll("6 routers, each alone", {.countingRouters = 0});
    BOOST_TEST(alone.crashes > shared.crashes);
    Model::Options causeless{.badParts = 0, .causelessCrashesPerSecond = 3};
    const Model::Result three = runAll("3 crashes, causeless", causeless);
    causeless.evidence.crashesToSuspect = 2;
    const Model::Result two = runAll("2 crashes, causeless", causeless);
    BOOST_TEST(two.refusedSound > three.refusedSound);
}
