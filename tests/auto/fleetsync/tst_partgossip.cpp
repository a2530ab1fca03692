#define BOOST_TEST_MODULE tst_partgossip
#include <boost/test/unit_test.hpp>

#include "fleetsync/partgossip.h"
#include "runtime/clock.h"
#include "schema/messagecodec.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace Lagoonbank;
using FleetSync::PartGossip;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Routers whose messages are delivered at once and counted by receiver.
struct Routers
{
    explicit Routers(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            addresses.push_back({"10.0.0." + std::to_string(i), 7000});
        for (std::size_t i = 0; i < count; ++i)
            add(i);
    }
    void add(std::size_t index)
    {
        auto gossip = std::make_unique<PartGossip>(PartGossip::Options{
            .timers = &timers,
            .peers =
                [this, index] {
                    auto peers = addresses;
                    peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(index));
                    return peers;
                },
            .silence = &silence,
            .self = addresses[index],
            .randomSeed = index + 1});
        gossip->send = [this, index](const Runtime::SocketAddress &to,
                                     const Schema::PartUpdate &message) {
            constexpr std::size_t headers = 28;
            bytes += headers + Schema::encodeMessage(message).value().size();
            crashes[to.ip] += message.crashes.size();
            begun[to.ip] += message.begun.size();
            quarantined[to.ip] += message.quarantined.size();
            const auto receiver = std::find(addresses.begin(), addresses.end(), to);
            routers[static_cast<std::size_t>(receiver - addresses.begin())]->receive(
                addresses[index], message);
        };
        gossip->answer = [this, index](const auto &asked) {
            return index == servingRouter ? asked : std::vector<Schema::SharedPartTime>();
        };
        routers.push_back(std::move(gossip));
    }
    static std::size_t receivers(const std::map<std::string, std::size_t> &counts)
    {
        return static_cast<std::size_t>(std::count_if(
            counts.begin(), counts.end(), [](const auto &entry) { return entry.second > 0; }));
    }

    std::vector<Runtime::SocketAddress> addresses;
    Runtime::ManualClock clock;
    Runtime::TimerQueue timers{clock};
    FleetSync::PeerSilence silence{{.timers = &timers}};
    std::vector<std::unique_ptr<PartGossip>> routers;
    std::size_t servingRouter = 2; ///< The only one that answers questions.
    std::size_t bytes = 0;
    std::map<std::string, std::size_t> crashes;
    std::map<std::string, std::size_t> begun;
    std::map<std::string, std::size_t> quarantined;
};

std::vector<Schema::SharedPartCrash> crashesOf(std::uint64_t endpoint, std::uint64_t parts)
{
    std::vector<Schema::SharedPartCrash> crashes;
    for (std::uint64_t part = 0; part < parts; ++part)
        crashes.push_back({.part = 1000 * endpoint + part, .endpoint = endpoint});
    return crashes;
}

} // namespace

/// Failure: the crashes of one part are reported to other routers than those of the next, so that
/// none can tell which part explains most of them.
BOOST_AUTO_TEST_CASE(crashesOfAllPartsMeetAtTheSameRouters)
{
    Routers f(60);
    for (std::uint64_t router = 0; router < 60; ++router)
        f.routers[router]->sendCrashes(crashesOf(router, 40));
    std::size_t full = 0;
    for (const auto &[ip, count] : f.crashes)
        full += count >= 59 * 40 ? 1 : 0;
    BOOST_TEST(Routers::receivers(f.crashes) <= 9);
    BOOST_TEST(full == 8);
}

BOOST_AUTO_TEST_CASE(allPeersAreAskedAndAnswerTheAsker)
{
    Routers f(6);
    f.routers[0]->ask({{.part = 1, .timeMs = 5000}});
    BOOST_TEST(Routers::receivers(f.begun) == 1);
    BOOST_TEST(f.begun["10.0.0.0"] == 1);
}

BOOST_AUTO_TEST_CASE(quarantineReachesRoutersThatMissedIt)
{
    Routers f(6);
    f.routers[0]->sendQuarantine({.part = 1, .timeMs = 600000});
    BOOST_TEST(Routers::receivers(f.quarantined) == 5);
    f.quarantined.clear();
    f.routers[0]->quarantined = [] {
        return std::vector<Schema::SharedPartTime>{{.part = 1, .timeMs = 500000}};
    };
    f.routers[0]->start();
    for (int i = 0; i < 1000; ++i) {
        f.clock.advance(milliseconds(20));
        f.timers.runDue();
    }
    BOOST_TEST(Routers::receivers(f.quarantined) == 5);
}

/// Endpoints with many waiting requests crash for a minute.
BOOST_AUTO_TEST_CASE(reportsStayWithinTheBudget)
{
    Routers f(295);
    for (std::uint64_t crash = 0; crash < 300; ++crash) {
        f.routers[0]->sendCrashes(crashesOf(crash, 64));
        f.clock.advance(milliseconds(200));
    }
    BOOST_TEST(f.bytes <= 48000 + 60 * 1000 + 2000);
    BOOST_TEST(f.routers[0]->dropped() > 0);
}

/// Whoever asks must know whether nobody objects or nobody was asked.
BOOST_AUTO_TEST_CASE(questionsAreAskedOfAllPeersOrOfNone)
{
    Routers f(330);
    int asked = 0;
    for (std::size_t i = 1; i <= 100; ++i) {
        f.servingRouter = i;
        const std::size_t before = f.begun["10.0.0.0"];
        const bool isAsked = f.routers[0]->ask({{.part = 1, .timeMs = 5000}});
        BOOST_TEST((f.begun["10.0.0.0"] > before) == isAsked);
        asked += isAsked ? 1 : 0;
    }
    BOOST_TEST(asked >= 3);
    BOOST_TEST(asked < 100);
    BOOST_TEST(f.bytes <= 96000 + 10000);
}
