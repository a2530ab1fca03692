#define BOOST_TEST_MODULE placement
#include "routing/placementtable.h"
#include "routing/placementtoken.h"
#include "routing/rendezvous.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace Lagoonbank;
using namespace Lagoonbank::Routing;

namespace {

constexpr Base::WallTime now{std::chrono::hours(24) * 20000};
constexpr std::uint64_t chat = 0x1122334455667788ULL;
const Placement placement{.endpointHash = 0xabcdef, .cached = Base::Tokens(4321)};

} // namespace

BOOST_AUTO_TEST_CASE(tokenIsVerifiedWithItsKeysOnly)
{
    const PlacementToken old({.currentKey = "first"});
    const PlacementToken rotated({.currentKey = "second", .previousKey = "first"});
    const PlacementToken foreign({.currentKey = "third"});
    const PlacementToken none({});
    const PlacementToken::Text text = old.write(chat, placement, now);
    for (const PlacementToken *reader : {&old, &rotated}) {
        const auto read = reader->read(toView(text), chat, now);
        BOOST_TEST_REQUIRE(read.has_value());
        BOOST_TEST(read->endpointHash == placement.endpointHash);
        BOOST_TEST(read->cached == placement.cached);
    }
    BOOST_TEST(!foreign.read(toView(text), chat, now).has_value());
    BOOST_TEST(!none.read(toView(text), chat, now).has_value());
    BOOST_TEST(!none.enabled());
}

BOOST_AUTO_TEST_CASE(invalidTokensAreIgnored)
{
    const PlacementToken token({.currentKey = "key", .lifetime = std::chrono::hours(1)});
    const PlacementToken::Text text = token.write(chat, placement, now);
    const std::string whole(toView(text));
    BOOST_TEST(!token.read(whole, chat + 1, now).has_value());
    BOOST_TEST(!token.read(whole, chat, now + std::chrono::hours(2)).has_value());
    BOOST_TEST(!token.read(whole, chat, now - std::chrono::hours(2)).has_value());
    BOOST_TEST(!token.read("", chat, now).has_value());
    BOOST_TEST(!token.read(whole + "A", chat, now).has_value());
    BOOST_TEST(!token.read(whole.substr(1), chat, now).has_value());
    for (std::size_t i = 0; i < whole.size(); ++i) {
        for (const char other : {'A', 'Q', '=', '\0', '\xff'}) {
            std::string tampered = whole;
            if (tampered[i] == other)
                continue;
            tampered[i] = other;
            BOOST_TEST(!token.read(tampered, chat, now).has_value());
        }
    }
}

BOOST_AUTO_TEST_CASE(tableEvictsLeastRecentlyUsed)
{
    PlacementTable table(64);
    // The low bits are equal, so that all are in the same set.
    for (std::uint64_t i = 1; i <= 8; ++i)
        table.put(i << 32, placement);
    BOOST_TEST(table.find(std::uint64_t{1} << 32).has_value());
    table.put(std::uint64_t{9} << 32, placement);
    BOOST_TEST(table.find(std::uint64_t{1} << 32).has_value());
    BOOST_TEST(!table.find(std::uint64_t{2} << 32).has_value());
    BOOST_TEST(table.capacity() == 64U);
}

BOOST_AUTO_TEST_CASE(tableDropsPlacementsOfEndpoint)
{
    PlacementTable table(64);
    table.put(1, placement);
    table.put(2, {.endpointHash = 7, .cached = Base::Tokens(1)});
    table.drop(2, placement.endpointHash);
    BOOST_TEST(table.find(2).has_value());
    table.dropEndpoint(placement.endpointHash);
    BOOST_TEST(!table.find(1).has_value());
    BOOST_TEST(table.find(2).has_value());
}

BOOST_AUTO_TEST_CASE(chatNames)
{
    const std::uint64_t one = chatHash(Base::WorkspaceId("a"), Base::ChatId("chat"));
    const std::uint64_t other = chatHash(Base::WorkspaceId("b"), Base::ChatId("chat"));
    BOOST_TEST(one != other);
    BOOST_TEST((chatHashFromName(chatName(one)) == one));
    for (const char *bad : {"", "12", "zzzzzzzzzzzzzzzz", "00000000000000000"})
        BOOST_TEST(!chatHashFromName(bad).has_value());
}
