#define BOOST_TEST_MODULE PeerTransport
#include "membership/peertransport.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace Lagoonbank;
using namespace Lagoonbank::Membership;

namespace {

constexpr Base::Duration stepTime = std::chrono::milliseconds(20);
constexpr int maxSteps = 1000;
constexpr int maxPortAttempts = 200;
const std::string key = "0123456789abcdef";

Runtime::SocketAddress freeAddress(Runtime::Loop &loop)
{
    auto socket = Runtime::UdpSocket::bind({.loop = &loop, .address = {"127.0.0.1", 0}});
    return socket.value()->address();
}

struct Process
{
    Process(Runtime::Loop &loop, const std::string &id,
            const std::vector<Runtime::SocketAddress> &seeds,
            const std::vector<std::string> &keys = {key})
        : client({.loop = &loop})
    {
        // The port has to be free for both UDP and TCP, and another process may take it between
        // freeAddress() and the start.
        for (int i = 0; i < maxPortAttempts && !transport; ++i)
            tryStart(loop, id, seeds, keys);
        BOOST_REQUIRE(transport);
    }

    void tryStart(Runtime::Loop &loop, const std::string &id,
                  const std::vector<Runtime::SocketAddress> &seeds,
                  const std::vector<std::string> &keys)
    {
        const Runtime::SocketAddress address = freeAddress(loop);
        membership = std::make_unique<Lagoonbank::Membership::Membership>(
            Lagoonbank::Membership::Membership::Options{.self = {.id = id,
                                                                 .dataCentre = "gulberg",
                                                                 .region = "lahore",
                                                                 .ip = ipNumber(address.ip),
                                                                 .port = address.port,
                                                                 .incarnation = 1},
                                                        .seeds = seeds,
                                                        .budget = &budget},
            loop.clock().now());
        auto started = PeerTransport::start({.loop = &loop,
                                             .client = &client,
                                             .budget = &budget,
                                             .membership = membership.get(),
                                             .address = address,
                                             .keys = keys});
        if (started)
            transport = std::move(started).value();
    }

    ControlBudget budget;
    Http::Client client;
    std::unique_ptr<Lagoonbank::Membership::Membership> membership;
    std::unique_ptr<PeerTransport> transport;
};

template<typename Done>
bool runUntil(Runtime::Loop &loop, Done done)
{
    for (int i = 0; i < maxSteps && !done(); ++i)
        loop.runOnce(stepTime);
    return done();
}

} // namespace

BOOST_AUTO_TEST_CASE(processesDiscoverEachOtherAndPull)
{
    Runtime::Loop loop;
    Process a(loop, "vm-a/router", {});
    Process b(loop, "vm-b/router", {a.transport->address()});
    Process c(loop, "vm-c/router", {a.transport->address()});
    const auto isConverged = [&] {
        return a.membership->table().aliveCount() == 3 && b.membership->table().aliveCount() == 3
            && c.membership->table().aliveCount() == 3;
    };
    BOOST_REQUIRE(runUntil(loop, isConverged));
    BOOST_TEST(a.budget.spentBytes(ControlTraffic::Pull) > 0U);

    a.transport->setProvider("configuration",
                             [](std::string_view argument) -> Errors::Result<std::string> {
                                 return "since " + std::string(argument);
                             });
    std::string answer;
    b.transport->pull(a.transport->address(), "configuration", "7",
                      [&](const Errors::Result<std::string> &pulled) { answer = pulled.value(); });
    BOOST_TEST(runUntil(loop, [&] { return !answer.empty(); }));
    BOOST_TEST(answer == "since 7");
}

BOOST_AUTO_TEST_CASE(pullsCarryTheTimeBothWays)
{
    Runtime::Loop loop;
    Process a(loop, "vm-a/router", {});
    Process b(loop, "vm-b/router", {});
    std::vector<std::string> seen;
    a.membership->messageTimeProvider = [] { return MessageTime{.wallMs = 2000, .counter = 1}; };
    b.membership->messageTimeProvider = [] { return MessageTime{.wallMs = 1000, .counter = 300}; };
    a.membership->timeReceived = [&](const MessageTime &time) {
        seen.push_back("request " + std::to_string(time.wallMs) + "+"
                       + std::to_string(time.counter));
    };
    b.membership->timeReceived = [&](const MessageTime &time) {
        seen.push_back("response " + std::to_string(time.wallMs) + "+"
                       + std::to_string(time.counter));
    };
    a.transport->setProvider("greeting", [&](std::string_view) -> Errors::Result<std::string> {
        seen.emplace_back("answering");
        return std::string("first\nsecond");
    });
    b.transport->pull(
        a.transport->address(), "greeting", {},
        [&](const Errors::Result<std::string> &answer) { seen.push_back(answer.value()); });
    BOOST_REQUIRE(runUntil(loop, [&] { return seen.size() >= 4; }));
    const std::vector<std::string> expected{"request 1000+300", "answering", "response 2000+1",
                                            "first\nsecond"};
    BOOST_TEST(seen == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(wrongKeyIsRejected)
{
    Runtime::Loop loop;
    Process a(loop, "vm-a/router", {});
    Process outsider(loop, "vm-x/router", {a.transport->address()}, {"another-key-0123"});
    BOOST_REQUIRE(
        runUntil(loop, [&] { return a.transport->codec().drops(DropReason::WrongKey) > 0; }));
    BOOST_TEST(a.membership->table().aliveCount() == 1U);

    bool isRefused = false;
    outsider.transport->pull(
        a.transport->address(), "membership", {},
        [&](const Errors::Result<std::string> &pulled) { isRefused = !pulled.has_value(); });
    BOOST_TEST(runUntil(loop, [&] { return isRefused; }));
}
