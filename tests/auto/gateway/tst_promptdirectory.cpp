#define BOOST_TEST_MODULE tst_promptdirectory
#include <boost/test/unit_test.hpp>

#include "gateway/promptdirectory.h"

using namespace Lagoonbank;
using namespace Lagoonbank::Gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t engine = 11;
constexpr std::uint64_t other = 12;

PromptHolding holding(std::uint64_t prompt, std::uint64_t endpoint = engine, int tokens = 10000)
{
    return {.prompt = {.hash = prompt, .tokens = Base::Tokens(tokens)},
            .endpoint = endpoint,
            .memory = Base::Tokens(40000),
            .remainingPrefillTime = milliseconds(150)};
}

struct Fixture
{
    bool holds(std::uint64_t prompt, std::uint64_t endpoint = engine) const
    {
        return directory.find(prompt, endpoint) != nullptr;
    }
    bool hasMemory(int tokens) const
    {
        return directory.hasMemory(engine, Base::Tokens(tokens), Base::Tokens(40000));
    }

    PromptDirectory directory{{}};
    Base::MonoTime now{std::chrono::hours(1)};
};

} // namespace

BOOST_AUTO_TEST_CASE(newHoldingsAreAnnouncedAndUsedOnesPeriodically)
{
    Fixture f;
    using Announcement = PromptDirectory::Announcement;
    BOOST_TEST((f.directory.recordUse(holding(1), f.now) == Announcement::New));
    BOOST_TEST((f.directory.recordUse(holding(1), f.now) == Announcement::None));
    BOOST_TEST((f.directory.recordUse(holding(1, other), f.now) == Announcement::New));
    f.now += seconds(6);
    // Another router has announced it in the meantime.
    f.directory.mergeHolding(holding(1), f.now);
    f.now += seconds(6);
    BOOST_TEST((f.directory.recordUse(holding(1), f.now) == Announcement::None));
    f.now += seconds(6);
    BOOST_TEST((f.directory.recordUse(holding(1), f.now) == Announcement::InUse));
}

BOOST_AUTO_TEST_CASE(unusedHoldingsExpire)
{
    Fixture f;
    f.directory.recordUse(holding(1), f.now);
    f.directory.recordUse(holding(2), f.now);
    f.now += seconds(20);
    f.directory.recordUse(holding(2), f.now);
    f.now += seconds(10);
    f.directory.recordUse(holding(3), f.now);
    BOOST_TEST(!f.holds(1));
    BOOST_TEST(f.holds(2));
    BOOST_TEST(f.hasMemory(10000));
    BOOST_TEST(!f.hasMemory(10001));
}

BOOST_AUTO_TEST_CASE(leastRecentlyUsedHoldingsAreEvictedPerEndpoint)
{
    Fixture f;
    for (const std::uint64_t prompt : {1, 2, 3, 4}) {
        f.directory.recordUse(holding(prompt), f.now);
        f.now += milliseconds(1);
    }
    f.directory.recordUse(holding(1), f.now); // Makes 2 the least recently used prompt.
    f.now += seconds(1);
    f.directory.recordUse(holding(5, other), f.now); // Does not count against the first endpoint.
    f.directory.recordUse(holding(6), f.now);
    f.now += seconds(1);
    f.directory.recordUse(holding(6), f.now);
    BOOST_TEST(f.holds(1));
    BOOST_TEST(!f.holds(2));
    BOOST_TEST(f.holds(3));
    BOOST_TEST(f.holds(5, other));
    BOOST_TEST(f.holds(6));
}

BOOST_AUTO_TEST_CASE(endpointOfUnknownMemoryAcceptsAnyPrompt)
{
    Fixture f;
    f.directory.recordUse(holding(1), f.now);
    BOOST_TEST(f.directory.hasMemory(engine, Base::Tokens(1'000'000), Base::Tokens()));
    BOOST_TEST(f.hasMemory(20000));
    BOOST_TEST(!f.hasMemory(20001));
}

BOOST_AUTO_TEST_CASE(droppedHoldingFreesMemory)
{
    Fixture f;
    f.directory.recordUse(holding(1), f.now);
    f.directory.drop(1, engine);
    BOOST_TEST(!f.holds(1));
    BOOST_TEST(f.hasMemory(30000));
    f.directory.drop(1, engine); // Unknown holdings are ignored.
    f.directory.drop(2, other);
    BOOST_TEST(f.directory.size() == 0U);
}

BOOST_AUTO_TEST_CASE(peerAnnouncementRestartsThePrefill)
{
    Fixture f;
    f.directory.recordUse(holding(1), f.now);
    f.directory.recordPrefillEnd(1, engine, f.now + milliseconds(90));
    f.now += seconds(1);
    BOOST_TEST((f.directory.find(1, engine)->prefillEndsAt < f.now));
    f.directory.mergeHolding(holding(1), f.now);
    BOOST_TEST((f.directory.find(1, engine)->prefillEndsAt == f.now + milliseconds(150)));
}

BOOST_AUTO_TEST_CASE(numberOfPromptsIsBounded)
{
    PromptDirectory directory({.maximumPrompts = 100});
    const Base::MonoTime now{std::chrono::hours(1)};
    for (std::uint64_t prompt = 1; prompt < 1000; ++prompt) {
        directory.recordUse(holding(prompt), now);
        BOOST_TEST(directory.size() <= 101U);
    }
}

BOOST_AUTO_TEST_CASE(sharedFormRoundTrips)
{
    const PromptHolding decoded = fromShared(toShared(holding(7, other, 1234)));
    BOOST_TEST(decoded.prompt.hash == 7U);
    BOOST_TEST(decoded.prompt.tokens.value() == 1234);
    BOOST_TEST(decoded.endpoint == other);
    BOOST_TEST((decoded.remainingPrefillTime == milliseconds(150)));
}
