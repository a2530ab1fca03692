#define BOOST_TEST_MODULE tst_crashgossip
#include <boost/test/unit_test.hpp>

#include "fleetsync/crashgossip.h"
#include "runtime/clock.h"
#include "schema/messagecodec.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace Lagoonbank;
using FleetSync::CrashGossip;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Routers whose messages are counted by receiver.
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
        auto gossip = std::make_unique<CrashGossip>(CrashGossip::Options{
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
        gossip->send = [this](const Runtime::SocketAddress &to,
                              const Schema::CrashUpdate &message) {
            constexpr std::size_t headers = 28;
            ++datagrams;
            bytes += headers + Schema::encodeMessage(message).value().size();
            if (!message.crashes.empty())
                receivedReports[to.ip] += message.crashes.size();
            if (!message.quarantined.empty())
                ++receivedQuarantines[to.ip];
        };
        routers.push_back(std::move(gossip));
    }
    void pass(Base::Duration duration)
    {
        for (auto left = duration; left > left.zero(); left -= milliseconds(10)) {
            clock.advance(milliseconds(10));
            timers.runDue();
        }
    }

    std::vector<Runtime::SocketAddress> addresses;
    Runtime::ManualClock clock;
    Runtime::TimerQueue timers{clock};
    FleetSync::PeerSilence silence{{.timers = &timers}};
    std::vector<std::unique_ptr<CrashGossip>> routers;
    std::size_t datagrams = 0;
    std::size_t bytes = 0;
    std::map<std::string, std::size_t> receivedReports;
    std::map<std::string, std::size_t> receivedQuarantines;
};

} // namespace

BOOST_AUTO_TEST_CASE(inSmallFleetAllRoutersCountCrashes)
{
    Routers f(6);
    f.routers[2]->sendCrashReports(
        {{.request = 1, .endpoint = 11}, {.request = 2, .endpoint = 11}});
    BOOST_TEST(f.receivedReports.size() == 5);
    BOOST_TEST(f.datagrams == 5);
}

/// An endpoint crashes with all its slots in use. Any of its requests may be the cause, so the
/// crash has to be reported for each of them.
BOOST_AUTO_TEST_CASE(allReportsOfFullEndpointAreSent)
{
    Routers f(6);
    std::vector<Schema::SharedCrash> ends;
    ends.reserve(128);
    for (std::uint64_t request = 0; request < 128; ++request)
        ends.push_back({.request = request, .endpoint = 11});
    f.routers[2]->sendCrashReports(ends);
    for (const auto &[router, count] : f.receivedReports)
        BOOST_TEST(count == 128U);
    BOOST_TEST(f.routers[2]->dropped() == 0U);
}

/// Whichever router reports a crash, the same few routers count the crashes during one request.
BOOST_AUTO_TEST_CASE(inLargeFleetSameFewRoutersCountCrashesOfRequest)
{
    Routers f(300);
    for (const std::size_t reporter : {3U, 50U, 299U})
        f.routers[reporter]->sendCrashReports({{.request = 1, .endpoint = reporter}});
    BOOST_TEST(f.receivedReports.size() <= 8);
    const auto all = std::count_if(f.receivedReports.begin(), f.receivedReports.end(),
                                   [](const auto &entry) { return entry.second == 3; });
    BOOST_TEST(all >= 5); // At most 3 count a report of their own, which needs no message.
}

/// Many endpoints with many requests crash at the same time. The reports have to keep to their
/// budget, as calls share the link of 10 Mbit/s.
BOOST_AUTO_TEST_CASE(manyCrashReportsKeepToByteBudget)
{
    Routers f(300);
    std::uint64_t request = 0;
    for (int endpoint = 0; endpoint < 200; ++endpoint) {
        std::vector<Schema::SharedCrash> ends;
        ends.reserve(20);
        for (int i = 0; i < 20; ++i)
            ends.push_back(
                {.request = ++request, .endpoint = static_cast<std::uint64_t>(endpoint)});
        f.routers[0]->sendCrashReports(ends);
        f.pass(milliseconds(50));
    }
    BOOST_TEST(f.bytes < 24000U + 10U * 1000U);
    BOOST_TEST(f.routers[0]->dropped() > 0U);
}

BOOST_AUTO_TEST_CASE(quarantineIsSentToAllAtOnceAndRepeatedLater)
{
    Routers f(300);
    f.routers[0]->sendQuarantine({.request = 1, .leftMs = 1000});
    BOOST_TEST(f.receivedQuarantines.size() == 299);
    f.receivedQuarantines.clear();
    for (const auto &router : f.routers) {
        router->quarantined = [] {
            return std::vector<Schema::SharedQuarantine>{{.request = 1, .leftMs = 1000}};
        };
        router->start();
    }
    f.bytes = 0;
    f.pass(seconds(3));
    // Each router sends to two of 299 peers, three times.
    BOOST_TEST(f.receivedQuarantines.size() >= 290);
    BOOST_TEST(f.bytes / 300 / 3 < 500U);
}

BOOST_AUTO_TEST_CASE(nothingIsSentWithoutQuarantines)
{
    Routers f(6);
    for (const auto &router : f.routers) {
        router->quarantined = [] { return std::vector<Schema::SharedQuarantine>(); };
        router->start();
    }
    f.pass(seconds(10));
    BOOST_TEST(f.datagrams == 0);
}
