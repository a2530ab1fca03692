#define BOOST_TEST_MODULE tst_compression
#include <boost/test/unit_test.hpp>

#include "schema/compression.h"

#include <cstdint>
#include <string>

using namespace Lagoonbank;
using Schema::compress;
using Schema::decompress;

namespace {

constexpr std::size_t sizeLimit = 16 * 1024 * 1024;

/// Returns a configuration with the given number of routes, whose hosts, paths and names are random
/// words, as in a configuration written by operators.
std::string configurationOf(int routes)
{
    std::string text = "{\"version\":18,\"routes\":[";
    std::uint32_t state = 1;
    const auto word = [&state] {
        std::string letters;
        for (int i = 0; i < 8; ++i) {
            state = state * 1664525U + 1013904223U;
            letters += static_cast<char>('a' + (state >> 24U) % 26);
        }
        return letters;
    };
    for (int i = 0; i < routes; ++i) {
        text += R"({"name":"r-)" + word() + R"(","host":")" + word() + R"(.example","prefix":"/)"
            + word() + R"(/","service":"model","kind":"streaming","timeout_ms":12000,)"
            + R"("target_latency_ms":500,"max_gap_ms":200,"max_attempts":2,"priority":1,)"
            + R"("session_affinity":true,"resumable":true,"anonymous":false},)";
    }
    text.back() = ']';
    return text + "}";
}

} // namespace

BOOST_AUTO_TEST_CASE(decompressRestoresText)
{
    for (const std::string &text :
         {std::string(), std::string("a"), std::string(3'000'000, 'x'), configurationOf(10)}) {
        const auto restored = decompress(compress(text), sizeLimit);
        BOOST_REQUIRE(restored);
        BOOST_TEST((restored.value() == text));
    }
}

/// Guards against slow transfers of large configurations: when a configuration grows by 1,400
/// routes, the 16 routers of a data centre, each with a link of 10 Mbit/s, fetch it from one store
/// reader. At a sixth of the size each transfer occupies the link for 0.06 s.
BOOST_AUTO_TEST_CASE(compressesLargeConfigurationToASixth)
{
    const std::string text = configurationOf(1400);
    BOOST_TEST(text.size() > 300'000U);
    BOOST_TEST(compress(text).size() * 6 < text.size());
}

BOOST_AUTO_TEST_CASE(rejectsMalformedAndTooLongInput)
{
    const std::string packed = compress(configurationOf(100));
    BOOST_TEST(!decompress(packed.substr(0, packed.size() / 2), sizeLimit));
    BOOST_TEST(!decompress(packed + "x", sizeLimit));
    BOOST_TEST(!decompress("", sizeLimit));
    BOOST_TEST(!decompress("{\"version\":1}", sizeLimit));
    BOOST_TEST(!decompress(compress(std::string(100'000, 'x')), 50'000));
    BOOST_TEST(!decompress(compress(std::string(2'000'000, 'x')), 1'000'000));
}
