#define BOOST_TEST_MODULE tst_claimrecord
#include <boost/test/unit_test.hpp>

#include "claims/claimrecord.h"

using namespace Lagoonbank;
using namespace Lagoonbank::Claims;

namespace {

const Claim booking{.key = {Base::WorkspaceId("qila"), Base::IdempotencyKey("a\xff\"b")},
                    .request = Base::RequestId("dha-1"),
                    .router = {Base::VmId("vm1"), Base::Incarnation(7)},
                    .call = CallHash(0xffffffffffffffff)};

} // namespace

BOOST_AUTO_TEST_CASE(recordsRoundTripArbitraryBytes)
{
    const std::string body("\0\xfe\n", 3);
    const auto record = toRecord(ClaimOutcome{
        booking, {.ran = Errors::Ran::Yes, .status = 201, .contentType = "a/b", .body = body}});
    const auto end = std::get<ClaimOutcome>(parseRecord(record.data).value());
    BOOST_TEST((end.claim.key == booking.key));
    BOOST_TEST((end.claim.router == booking.router));
    BOOST_TEST(end.claim.call == booking.call);
    BOOST_TEST(end.outcome.body == body);
    BOOST_TEST(end.outcome.status == 201);
    const auto claim = std::get<Claim>(parseRecord(toRecord(booking).data).value());
    BOOST_TEST(claim.request == booking.request);
}

BOOST_AUTO_TEST_CASE(largeBodyIsOmittedAndFlagged)
{
    const auto record = toRecord(ClaimOutcome{
        booking, {.ran = Errors::Ran::Yes, .body = std::string(maxKeptBodyBytes + 1, 'x')}});
    const auto end = std::get<ClaimOutcome>(parseRecord(record.data).value());
    BOOST_TEST(!end.outcome.isBodyKept);
    BOOST_TEST(end.outcome.body.empty());
}

BOOST_AUTO_TEST_CASE(rejectsMalformedClaimRecords)
{
    const std::string good = toRecord(booking).data;
    std::vector<std::string> bad{
        "", "[]", "7", "{}", "{\"version\":1}", good.substr(1), R"({"version":2})"};
    for (const char *member : {"\"call\"", "\"key\"", "\"vm\"", "\"request_id\""}) {
        std::string without = good;
        without.replace(without.find(member), 2, "\"_");
        bad.push_back(without);
    }
    std::string end = toRecord(ClaimOutcome{booking, {}}).data;
    end.replace(end.find("unknown"), 7, "perhaps");
    bad.push_back(end);
    for (const std::string &data : bad)
        BOOST_TEST(!parseRecord(data).has_value(), data);
}
