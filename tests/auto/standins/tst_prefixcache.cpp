#define BOOST_TEST_MODULE PrefixCache
#include "standins/engine/cacheeventlog.h"
#include "standins/engine/prefixcache.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace Lagoonbank;
using namespace Lagoonbank::Standins;

namespace {

std::string words(int from, int count)
{
    std::string text;
    for (int i = from; i < from + count; ++i) {
        text += 'w';
        text += std::to_string(i);
        text += i % 3 == 0 ? "\n" : "  ";
    }
    return text;
}

const Base::ChatId chatA("a");
const Base::ChatId chatB("b");

} // namespace

BOOST_AUTO_TEST_CASE(hashDependsOnAllEarlierTokens)
{
    const BlockHashChain whole(words(0, 40));
    BOOST_TEST(whole.tokenCount() == 40U);
    BOOST_TEST(whole.hashes().size() == 2U);
    BlockHashChain grown(words(0, 25));
    grown.appendText(words(25, 15));
    BOOST_TEST(grown.hashes() == whole.hashes(), boost::test_tools::per_element());
    const BlockHashChain other("x " + words(1, 39));
    BOOST_TEST(other.hashes()[0] != whole.hashes()[0]);
    BOOST_TEST(other.hashes()[1] != whole.hashes()[1]);
}

BOOST_AUTO_TEST_CASE(cachedPrefixIsFound)
{
    PrefixCache cache(100);
    cache.store(chatA, BlockHashChain(words(0, 40)).hashes());
    struct Row
    {
        const char *what;
        std::string prompt;
        std::int64_t cachedTokens;
    };
    const Row rows[] = {{"the same", words(0, 40), 32},
                        {"longer", words(0, 80), 32},
                        {"shorter", words(0, 20), 16},
                        {"under a block", words(0, 15), 0},
                        {"changed at the start", "x " + words(1, 39), 0},
                        {"changed in the second block", words(0, 20) + "x " + words(21, 19), 16}};
    for (const Row &row : rows) {
        BOOST_TEST_CONTEXT(row.what)
        BOOST_TEST(cache.cachedTokens(BlockHashChain(row.prompt).hashes()).value()
                   == row.cachedTokens);
    }
}

BOOST_AUTO_TEST_CASE(leastRecentlyUsedPrefixIsEvictedFromItsEnd)
{
    PrefixCache cache(4);
    std::vector<std::pair<std::string, std::int64_t>> evictions;
    cache.evicted = [&](const Base::ChatId &chat, Base::Tokens remaining) {
        evictions.emplace_back(chat.value(), remaining.value());
    };
    const BlockHashChain a(words(0, 48));
    const BlockHashChain b(words(100, 32));
    cache.store(chatA, a.hashes());
    cache.store(chatB, b.hashes());
    BOOST_TEST(cache.blockCount() == 4U);
    BOOST_TEST(cache.cachedTokens(a.hashes()).value() == 32);
    BOOST_TEST(cache.cachedTokens(b.hashes()).value() == 32);
    BOOST_REQUIRE(evictions.size() == 1U);
    BOOST_TEST(evictions[0].first == "a");
    BOOST_TEST(evictions[0].second == 32);
    cache.store(Base::ChatId("c"), BlockHashChain(words(200, 64)).hashes());
    BOOST_TEST(cache.cachedTokens(a.hashes()).value() == 0);
    BOOST_TEST(cache.cachedTokens(b.hashes()).value() == 0);
    BOOST_TEST(!cache.chainOf(chatA).has_value());
}

BOOST_AUTO_TEST_CASE(promptLargerThanTheCacheKeepsItsStart)
{
    PrefixCache cache(2);
    const BlockHashChain chain(words(0, 100));
    cache.store(chatA, chain.hashes());
    BOOST_TEST(cache.blockCount() == 2U);
    BOOST_TEST(cache.cachedTokens(chain.hashes()).value() == 32);
}

BOOST_AUTO_TEST_CASE(exportedChatIsCachedAfterImport)
{
    PrefixCache from(10);
    PrefixCache to(10);
    const BlockHashChain chain(words(0, 64));
    from.store(chatA, chain.hashes());
    const auto exported = from.chainOf(chatA);
    BOOST_REQUIRE(exported.has_value());
    to.store(chatA, *exported);
    BOOST_TEST(to.cachedTokens(chain.hashes()).value() == 64);
}

BOOST_AUTO_TEST_CASE(eventsAreDelayedWithGapsAndBounded)
{
    using std::chrono::milliseconds;
    CacheEventLog log(
        {.maxEvents = 4, .delay = milliseconds(100), .gapInterval = 3, .maxEventsPerRead = 2});
    const Base::MonoTime start{std::chrono::hours(1)};
    for (int i = 0; i < 6; ++i)
        log.append(start + milliseconds(10 * i), CacheOp::Stored, chatA, Base::Tokens(i));

    CacheEventLog::Page page = log.read(0, start + milliseconds(99));
    BOOST_TEST(page.events.empty());
    BOOST_TEST(page.first == 2U);
    BOOST_TEST(page.next == 2U);
    page = log.read(0, start + milliseconds(130));
    BOOST_REQUIRE(page.events.size() == 1U);
    BOOST_TEST(page.events[0].offset == 3U);
    BOOST_TEST(page.next == 4U);
    page = log.read(page.next, start + milliseconds(200));
    BOOST_REQUIRE(page.events.size() == 1U);
    BOOST_TEST(page.events[0].offset == 4U);
    BOOST_TEST(page.next == 6U);
    BOOST_TEST(log.read(99, start + milliseconds(200)).next == 6U);
}
