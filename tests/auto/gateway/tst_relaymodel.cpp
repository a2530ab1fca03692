#define BOOST_TEST_MODULE tst_relaymodel
#include <boost/test/unit_test.hpp>

#include "auto/gateway/relaymodel.h"

#include <string>
#include <vector>

// Relays of fleets of which a part reaches no endpoint, in a model without network.

namespace {

using Choice = RelayModel::Choice;

struct Case
{
    std::string name;
    RelayModel::Options options;
};

RelayModel::Result sumOfSeeds(RelayModel::Options options)
{
    constexpr unsigned seeds = 5;
    RelayModel::Result sum;
    for (options.seed = 1; options.seed <= seeds; ++options.seed) {
        const RelayModel::Result result = RelayModel(options).run();
        sum.requests += result.requests;
        sum.served += result.served;
        sum.relays += result.relays;
        sum.refused += result.refused;
        sum.bytesPerSecond += result.bytesPerSecond / seeds;
        sum.mostOverMean = std::max(sum.mostOverMean, result.mostOverMean);
    }
    return sum;
}

RelayModel::Result play(const Case &modelled)
{
    const RelayModel::Result result = sumOfSeeds(modelled.options);
    BOOST_TEST_MESSAGE(modelled.name << ": served " << result.servedShare() << ", refused relays "
                                     << result.refusedShare() << " of " << result.relays
                                     << ", bytes/s " << result.bytesPerSecond << ", most/mean "
                                     << result.mostOverMean);
    return result;
}

/// Fleets with a part cut off for which nearly all callers must be served.
std::vector<Case> partitions()
{
    return {
        {"6 routers, a sixth", {.routers = 6, .dataCentres = 4, .cutShare = 0.17}},
        {"6 routers, two thirds", {.routers = 6, .dataCentres = 4, .cutShare = 0.67}},
        {"24 routers, half", {.routers = 24, .cutShare = 0.5}},
        {"83 routers, a sixth", {.cutShare = 0.17}},
        {"83 routers, half", {.cutShare = 0.5}},
        {"83 routers, two thirds", {.cutShare = 0.67}},
        {"83 routers, one data centre", {.cutShare = 0.2, .cutsWholeDataCentres = true}},
        {"83 routers, all but one data centre", {.cutShare = 0.8, .cutsWholeDataCentres = true}},
        {"83 routers, half, 4 restarts a second", {.cutShare = 0.5, .restartsPerSecond = 4}},
        {"300 routers, two thirds, 2 requests a second",
         {.routers = 300, .dataCentres = 6, .cutShare = 0.67, .requestsPerSecond = 2}},
        {"300 routers, all but one data centre",
         {.routers = 300, .dataCentres = 6, .cutShare = 0.83, .cutsWholeDataCentres = true}}};
}

} // namespace

/// Guards against callers of routers without endpoints that are served worse than others, and
/// against relays in vain.
BOOST_AUTO_TEST_CASE(callersAreServedWhileAPartOfTheFleetIsCutOff)
{
    for (const Case &modelled : partitions()) {
        BOOST_TEST_CONTEXT(modelled.name)
        {
            const RelayModel::Result result = play(modelled);
            BOOST_TEST(result.servedShare() >= 0.95);
            BOOST_TEST(result.refusedShare() <= 0.05);
            BOOST_TEST(result.bytesPerSecond <= 100);
        }
    }
}

/// Guards against relays without end while no router reaches an endpoint.
BOOST_AUTO_TEST_CASE(fewRelaysAreSpentWhileNoRouterReachesAnEndpoint)
{
    for (const int routers : {6, 83, 300}) {
        RelayModel::Options options{.routers = routers, .cutShare = 1};
        const RelayModel::Result result = play({"all cut off", options});
        const double time = 5 * (options.seconds - 3) * routers;
        BOOST_TEST(result.relays / time <= 3);
    }
}

/// Guards against peers that stay unused after the end of their partition.
BOOST_AUTO_TEST_CASE(callersAreServedSoonAfterAPartIsBack)
{
    const RelayModel::Result result =
        play({"all cut off, a fifth back after 6 s", {.cutShare = 1, .cutEndsFor = 0.2}});
    // Three of nine counted seconds precede the end; one more is allowed for finding it out.
    BOOST_TEST(result.servedShare() >= 0.95 * 5 / 9);
}

/// The ways that were weighed, on the same fleets and random draws. Run with --log_level=message.
BOOST_AUTO_TEST_CASE(waysAreCompared, *boost::unit_test::disabled())
{
    const std::vector<std::pair<std::string, Choice>> ways{{"least loaded", Choice::LeastLoaded},
                                                           {"by outcome", Choice::ByOutcome},
                                                           {"names", Choice::ByNames},
                                                           {"gossip", Choice::ByGossip},
                                                           {"second hop", Choice::SecondHop}};
    for (Case modelled : partitions()) {
        for (const auto &[way, choice] : ways) {
            modelled.options.choice = choice;
            play({modelled.name + ", " + way, modelled.options});
            modelled.options.maxPeers = 16;
            play({modelled.name + ", " + way + ", 16 peers", modelled.options});
            modelled.options.maxPeers = 64;
        }
        modelled.options.choice = Choice::ByGossip;
        modelled.options.gossipDelay = 2;
        play({modelled.name + ", gossip 2 s late", modelled.options});
        modelled.options.gossipDelay = 0;
    }
}
