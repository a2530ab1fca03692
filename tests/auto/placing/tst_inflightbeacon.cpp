#define BOOST_TEST_MODULE tst_inflightbeacon
#include <boost/test/unit_test.hpp>

#include "router/inflightbeacon.h"

#include <string>

using namespace Lagoonbank;
using Base::WorkUnits;
using Router::InFlight;

namespace {

constexpr char firstByte = '\xbe';

} // namespace

BOOST_AUTO_TEST_CASE(decodedWorkIsRoundedToStepsOfEight)
{
    struct Row
    {
        double sent;
        double decoded;
    };
    for (const Row &row : {Row{0, 0}, Row{3, 0}, Row{4, 8}, Row{800, 800}, Row{1e9, 524280}}) {
        const std::string body =
            Router::encodeBeacon(firstByte, {{0x89abcdefU, WorkUnits(row.sent)}});
        BOOST_TEST(body.size() == 1 + Router::beaconEntryBytes);
        const auto decoded = Router::decodeBeacon(firstByte, body);
        BOOST_REQUIRE(decoded.has_value());
        BOOST_CHECK(decoded->front() == (InFlight{0x89abcdefU, WorkUnits(row.decoded)}));
    }
}

BOOST_AUTO_TEST_CASE(malformedBeaconIsRejected)
{
    const std::string body =
        Router::encodeBeacon(firstByte, {{1, WorkUnits(8)}, {2, WorkUnits(16)}});
    BOOST_TEST(Router::decodeBeacon(firstByte, body)->size() == 2U);
    BOOST_TEST(!Router::decodeBeacon(firstByte, "").has_value());
    BOOST_TEST(!Router::decodeBeacon('\x01', body).has_value());
    for (std::size_t length = 2; length < body.size(); ++length) {
        const bool isWhole = (length - 1) % Router::beaconEntryBytes == 0;
        BOOST_TEST(Router::decodeBeacon(firstByte, body.substr(0, length)).has_value() == isWhole);
    }
}

BOOST_AUTO_TEST_CASE(beaconIsLimitedToMaxEntries)
{
    const std::vector<InFlight> many(1000, InFlight{7, WorkUnits(8)});
    const auto decoded = Router::decodeBeacon(firstByte, Router::encodeBeacon(firstByte, many));
    BOOST_TEST(decoded->size() == Router::maxBeaconEntries);
}
