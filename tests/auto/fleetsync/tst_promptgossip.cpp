#define BOOST_TEST_MODULE tst_promptgossip
#include <boost/test/unit_test.hpp>

#include "fleetsync/promptgossip.h"
#include "runtime/clock.h"
#include "schema/messagecodec.h"

#include <set>
#include <string>

using namespace Lagoonbank;
using namespace Lagoonbank::FleetSync;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct Fixture
{
    explicit Fixture(int peers = 7)
        : peerCount(peers)
    {
        gossip.send = [this](const Runtime::SocketAddress &to,
                             const Schema::PromptUpdate &message) {
            constexpr std::size_t headers = 28;
            ++datagrams;
            prompts += message.prompts.size();
            bytes += headers + Schema::encodeMessage(message).value().size();
            lastTo = to.ip;
            lastPrompts.clear();
            for (const Schema::SharedPrompt &prompt : message.prompts)
                lastPrompts.insert(prompt.prompt);
        };
    }
    void report(std::uint64_t prompt, bool isNew = true)
    {
        gossip.report({.prompt = prompt, .endpoint = 5, .tokens = 10000, .remainingPrefillMs = 100},
                      isNew);
    }
    void pass(Base::Duration duration)
    {
        clock.advance(duration);
        timers.runDue();
    }
    std::vector<Runtime::SocketAddress> peers() const
    {
        std::vector<Runtime::SocketAddress> found;
        found.reserve(static_cast<std::size_t>(peerCount));
        for (int i = 0; i < peerCount; ++i)
            found.push_back({"10.0.0." + std::to_string(i), 7000});
        return found;
    }

    int peerCount;
    std::size_t datagrams = 0;
    std::size_t prompts = 0;
    std::size_t bytes = 0;
    std::string lastTo;
    std::set<std::uint64_t> lastPrompts; ///< Prompts of the last datagram.
    Runtime::ManualClock clock;
    Runtime::TimerQueue timers{clock};
    PromptGossip gossip{{.timers = &timers, .peers = [this] { return peers(); }}};
};

} // namespace

BOOST_AUTO_TEST_CASE(simultaneousPromptsAreSentInOneDatagramToEachPeer)
{
    Fixture f;
    f.report(1);
    f.report(2);
    BOOST_TEST(f.datagrams == 0U);
    f.pass(milliseconds(1));
    BOOST_TEST(f.datagrams == 7U);
    BOOST_TEST(f.prompts == 14U);
}

BOOST_AUTO_TEST_CASE(promptsInUseAreSentWithNewOnes)
{
    Fixture f;
    f.report(1, false);
    f.pass(seconds(1));
    BOOST_TEST(f.datagrams == 0U);
    f.report(2);
    f.pass(milliseconds(1));
    BOOST_TEST(f.prompts == 14U);
    f.report(3, false);
    f.pass(milliseconds(1500));
    BOOST_TEST(f.prompts == 21U);
}

/// A fleet starts or a data centre fails, and all prompts get new holders at the same time.
BOOST_AUTO_TEST_CASE(budgetIsKeptAndDroppedPromptsAreCounted)
{
    for (const int peers : {7, 79, 329}) {
        Fixture f(peers);
        for (std::uint64_t second = 0; second < 60; ++second) {
            for (std::uint64_t i = 0; i < 20; ++i) {
                f.report(second * 20 + i);
                f.pass(milliseconds(50));
            }
        }
        BOOST_TEST_CONTEXT(peers << " peers")
        {
            BOOST_TEST_MESSAGE(peers << " peers: " << f.bytes / 60 << " B/s, sent "
                                     << f.prompts / static_cast<std::size_t>(peers) << " of 1200");
            BOOST_TEST(f.bytes < 60 * 1500 + 24000 + 5000U);
            const std::size_t sent = f.prompts / static_cast<std::size_t>(peers);
            BOOST_TEST(sent + f.gossip.dropped() == 1200U);
            BOOST_TEST(sent > 0U);
        }
    }
}

BOOST_AUTO_TEST_CASE(newPromptsTakePrecedenceOverThoseInUse)
{
    Fixture f;
    for (std::uint64_t i = 0; i < 60; ++i) {
        f.report(i, false);
        f.pass(milliseconds(1500));
    }
    const std::size_t before = f.prompts;
    for (std::uint64_t i = 0; i < 20; ++i) {
        f.report(100 + i);
        f.pass(milliseconds(1));
    }
    BOOST_TEST(f.prompts - before == 140U);
}

/// A router whose callers reuse many prompts has a full datagram of them waiting.
BOOST_AUTO_TEST_CASE(newPromptIsSentAlthoughManyAreInUse)
{
    Fixture f;
    for (std::uint64_t i = 0; i < 40; ++i)
        f.report(i, false);
    f.report(100);
    f.pass(milliseconds(1));
    BOOST_TEST(f.datagrams == 7U);
    BOOST_TEST(f.prompts == 7U * 32U);
    BOOST_TEST(f.lastPrompts.count(100) == 1U);
    BOOST_TEST(f.gossip.dropped() == 9U);
}

BOOST_AUTO_TEST_CASE(receivedPromptsArePassedOnOneByOne)
{
    Fixture f;
    std::vector<std::uint64_t> received;
    f.gossip.received = [&](const Schema::SharedPrompt &prompt) {
        received.push_back(prompt.prompt);
    };
    f.gossip.receive({.prompts = {{.prompt = 3}, {.prompt = 4}}});
    BOOST_TEST(received == (std::vector<std::uint64_t>{3, 4}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(promptMessageIsDistinguishedFromBeacon)
{
    const std::string prompts = Schema::encodeMessage(Schema::PromptUpdate{}).value();
    const std::string beacon = Schema::encodeMessage(Schema::FleetBeacon{}).value();
    BOOST_TEST((Schema::messageVersion(prompts) == versionOf(Schema::PromptUpdate{})));
    BOOST_TEST((Schema::messageVersion(beacon) == versionOf(Schema::FleetBeacon{})));
    BOOST_TEST((Schema::messageVersion(prompts) != Schema::messageVersion(beacon)));
    BOOST_TEST(!Schema::messageVersion("x"));
    BOOST_TEST(!Schema::decodeMessage<Schema::FleetBeacon>(prompts));
}
