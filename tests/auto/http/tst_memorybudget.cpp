#define BOOST_TEST_MODULE tst_memorybudget
#include "http/memorybudget.h"
#include "runtime/clock.h"

#include <boost/test/unit_test.hpp>

#include <cstddef>
#include <deque>
#include <memory>

using namespace Lagoonbank;
using namespace Lagoonbank::Http;

// Guards against a process that holds more memory for its clients than it may, whatever their
// number, and against small requests that are refused because of large ones.

namespace {

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t maxBytes = 1024 * kilobyte;
constexpr std::size_t large = 128 * kilobyte;
constexpr std::size_t small = 8 * kilobyte;

struct Fixture
{
    /// A client, whose memory is freed when it is reclaimed.
    struct Client
    {
        Client(const std::shared_ptr<MemoryBudget> &budget, MemoryKind kind)
            : use(budget, kind, [this] {
                wasReclaimed = true;
                use.release();
            })
        { }
        bool wasReclaimed = false;
        MemoryUse use;
    };

    Client &add(MemoryKind kind = MemoryKind::Arriving)
    {
        clock.advance(std::chrono::microseconds(1));
        return clients.emplace_back(budget, kind);
    }
    /// Adds clients of this size until one is refused; returns their number.
    std::size_t fill(MemoryKind kind, std::size_t bytes)
    {
        const std::size_t before = clients.size();
        while (add(kind).use.resize(bytes)) { }
        return clients.size() - before - 1;
    }
    void stallAll() { clock.advance(std::chrono::seconds(1)); }
    std::size_t heldBytes() const
    {
        return budget->heldBytes(MemoryKind::Arriving) + budget->heldBytes(MemoryKind::Waiting)
            + budget->heldBytes(MemoryKind::Answers);
    }

    Runtime::ManualClock clock;
    std::shared_ptr<MemoryBudget> budget = std::make_shared<MemoryBudget>(
        MemoryBudget::Options{.maxBytes = maxBytes, .clock = &clock});
    std::deque<Client> clients;
};

} // namespace

BOOST_AUTO_TEST_CASE(largeRequestsTakeHalfOfTheMemory)
{
    Fixture f;
    BOOST_TEST(f.fill(MemoryKind::Arriving, large) == maxBytes / 2 / large);
    BOOST_TEST(f.heldBytes() == maxBytes / 2);
    BOOST_TEST(f.budget->peakBytes() == maxBytes / 2);
}

BOOST_AUTO_TEST_CASE(smallRequestsAreHeldBesideLargeOnes)
{
    Fixture f;
    f.fill(MemoryKind::Arriving, large);
    f.fill(MemoryKind::Answers, large);
    BOOST_TEST(f.fill(MemoryKind::Arriving, small) == maxBytes / 4 / small);
    BOOST_TEST(f.heldBytes() == maxBytes);
}

BOOST_AUTO_TEST_CASE(everySizeStaysWithinTheBudget)
{
    for (const auto kind : {MemoryKind::Arriving, MemoryKind::Answers}) {
        Fixture f;
        for (std::size_t bytes = kilobyte; bytes <= maxBytes; bytes *= 2)
            f.fill(kind, bytes);
        BOOST_TEST(f.heldBytes() <= maxBytes);
        f.clients.clear();
        BOOST_TEST(f.heldBytes() == 0U);
    }
}

BOOST_AUTO_TEST_CASE(largestStalledRequestYieldsFirst)
{
    Fixture f;
    Fixture::Client &smaller = f.add();
    BOOST_REQUIRE(smaller.use.resize(large));
    Fixture::Client &larger = f.add();
    BOOST_REQUIRE(larger.use.resize(2 * large));
    f.stallAll();
    Fixture::Client &growing = f.add();
    BOOST_TEST(growing.use.resize(2 * large));
    BOOST_TEST(larger.wasReclaimed);
    BOOST_TEST(!smaller.wasReclaimed);
}

BOOST_AUTO_TEST_CASE(newerRequestYieldsToAnOlderOneThatProgresses)
{
    Fixture f;
    Fixture::Client &older = f.add();
    BOOST_REQUIRE(older.use.resize(large));
    f.fill(MemoryKind::Arriving, large);
    Fixture::Client &newest = f.clients.at(f.clients.size() - 2);
    BOOST_TEST(older.use.resize(2 * large));
    BOOST_TEST(newest.wasReclaimed);
}

BOOST_AUTO_TEST_CASE(olderRequestThatProgressesDoesNotYield)
{
    Fixture f;
    f.fill(MemoryKind::Arriving, large);
    f.clock.advance(std::chrono::milliseconds(900));
    for (Fixture::Client &client : f.clients)
        client.use.progressed(f.clock.now());
    f.clock.advance(std::chrono::milliseconds(900));
    BOOST_TEST(!f.add().use.resize(large));
    for (const Fixture::Client &client : f.clients)
        BOOST_TEST(!client.wasReclaimed);
}

BOOST_AUTO_TEST_CASE(completeRequestsDoNotYield)
{
    Fixture f;
    std::deque<MemoryUse> waiting;
    std::size_t count = 0;
    while (waiting.emplace_back(f.budget, MemoryKind::Waiting).resize(large))
        ++count;
    BOOST_TEST(count == maxBytes / 2 / large);
    f.stallAll();
    BOOST_TEST(!f.add().use.resize(large));
    BOOST_TEST(f.budget->heldBytes(MemoryKind::Waiting) == maxBytes / 2);
}

BOOST_AUTO_TEST_CASE(refusedUseKeepsWhatItHas)
{
    Fixture f;
    Fixture::Client &client = f.add();
    BOOST_REQUIRE(client.use.resize(large));
    BOOST_TEST(!client.use.resize(maxBytes));
    BOOST_TEST(client.use.bytes() == large);
    client.use.release();
    BOOST_TEST(f.heldBytes() == 0U);
}

/// Whoever yields may need memory itself, such as for its refusal.
BOOST_AUTO_TEST_CASE(growingUseIsNotReclaimedForWhatYieldsToIt)
{
    Fixture f;
    Fixture::Client &growing = f.add();
    BOOST_REQUIRE(growing.use.resize(large));
    bool wasRefusalHeld = true;
    MemoryUse refusal(f.budget, MemoryKind::Arriving);
    MemoryUse yielding(f.budget, MemoryKind::Arriving, [&] {
        yielding.release();
        wasRefusalHeld = refusal.resize(maxBytes / 2);
    });
    BOOST_REQUIRE(yielding.resize(3 * large));
    f.stallAll();
    BOOST_TEST(growing.use.resize(2 * large));
    BOOST_TEST(!growing.wasReclaimed);
    BOOST_TEST(!wasRefusalHeld);
}

BOOST_AUTO_TEST_CASE(shortagesAreReported)
{
    Fixture f;
    int refused = 0;
    int reclaimed = 0;
    f.budget->changed = [&](MemoryKind kind, MemoryBudget::Event event) {
        BOOST_TEST((kind == MemoryKind::Arriving));
        ++(event == MemoryBudget::Event::Refused ? refused : reclaimed);
    };
    f.fill(MemoryKind::Arriving, large);
    BOOST_TEST(refused == 1);
    BOOST_TEST(reclaimed == 0);
    f.stallAll();
    BOOST_TEST(f.add().use.resize(large));
    BOOST_TEST(reclaimed == 1);
}
