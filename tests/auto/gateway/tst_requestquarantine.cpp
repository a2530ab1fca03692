#define BOOST_TEST_MODULE tst_requestquarantine
#include <boost/test/unit_test.hpp>

#include "gateway/requestquarantine.h"

using namespace Lagoonbank;
using Gateway::CallerRequest;
using Gateway::RequestFingerprint;
using Gateway::RequestQuarantine;
using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr RequestFingerprint one(1);
constexpr RequestFingerprint other(2);

struct Fixture
{
    explicit Fixture(RequestQuarantine::Options options = {})
        : quarantine(options)
    { }
    bool crashed(RequestFingerprint request, std::uint64_t endpoint)
    {
        return quarantine.crashed({.request = request, .endpoint = endpoint}, now);
    }
    bool isQuarantined(RequestFingerprint request) const
    {
        return quarantine.timeLeft(request, now).has_value();
    }

    RequestQuarantine quarantine;
    Base::MonoTime now{hours(1)};
};

} // namespace

BOOST_AUTO_TEST_CASE(thirdCrashQuarantinesARequest)
{
    Fixture f;
    BOOST_TEST(f.quarantine.isEmpty());
    BOOST_TEST(!f.crashed(one, 11));
    BOOST_TEST(!f.crashed(one, 12));
    BOOST_TEST(!f.crashed(other, 12));
    BOOST_TEST(!f.isQuarantined(one));
    BOOST_TEST(f.crashed(one, 13));
    BOOST_TEST(f.isQuarantined(one));
    BOOST_TEST(!f.isQuarantined(other));
    BOOST_TEST(!f.crashed(one, 14)); // Already quarantined.
}

/// Every router that had the request running at the endpoint reports the same crash.
BOOST_AUTO_TEST_CASE(crashReportedByManyRoutersCountsOnce)
{
    Fixture f;
    for (int i = 0; i < 5; ++i)
        BOOST_TEST(!f.crashed(one, 11));
    BOOST_TEST(!f.crashed(one, 12));
    BOOST_TEST(!f.isQuarantined(one));
}

BOOST_AUTO_TEST_CASE(anAnswerClearsEarlierCrashes)
{
    Fixture f;
    f.crashed(one, 11);
    f.crashed(one, 12);
    f.quarantine.answered(one);
    BOOST_TEST(!f.crashed(one, 13));
    BOOST_TEST(!f.isQuarantined(one));
}

BOOST_AUTO_TEST_CASE(crashThatWouldQuarantineIsPredicted)
{
    Fixture f;
    f.crashed(one, 11);
    BOOST_TEST(!f.quarantine.wouldQuarantine({one, 12}, f.now));
    f.crashed(one, 12);
    BOOST_TEST(!f.quarantine.wouldQuarantine({one, 12}, f.now));
    BOOST_TEST(f.quarantine.wouldQuarantine({one, 13}, f.now));
    BOOST_TEST(!f.quarantine.wouldQuarantine({other, 13}, f.now));
}

BOOST_AUTO_TEST_CASE(crashesAndQuarantinesExpire)
{
    Fixture f;
    f.crashed(one, 11);
    f.crashed(one, 12);
    f.now += minutes(11);
    BOOST_TEST(!f.quarantine.wouldQuarantine({one, 13}, f.now));
    BOOST_TEST(!f.crashed(one, 13));
    f.crashed(one, 14);
    BOOST_TEST(f.crashed(one, 15));
    f.now += minutes(59);
    BOOST_TEST(f.isQuarantined(one));
    BOOST_TEST(f.quarantine.quarantined(f.now).size() == 1);
    f.now += minutes(2);
    BOOST_TEST(!f.isQuarantined(one));
    BOOST_TEST(f.quarantine.quarantined(f.now).empty());
    BOOST_TEST(!f.crashed(one, 16));
}

BOOST_AUTO_TEST_CASE(receivedQuarantineLastsForItsRemainingTime)
{
    Fixture f;
    BOOST_TEST(f.quarantine.quarantine({one, seconds(30)}, f.now));
    BOOST_TEST(!f.quarantine.quarantine({one, seconds(29)}, f.now));
    BOOST_TEST((f.quarantine.timeLeft(one, f.now) == seconds(30)));
    BOOST_TEST(!f.quarantine.quarantine({other, seconds(0)}, f.now));
    // A peer whose clock is far ahead cannot extend a quarantine beyond the maximum.
    f.quarantine.quarantine({other, hours(50)}, f.now);
    BOOST_TEST((f.quarantine.timeLeft(other, f.now) == hours(1)));
}

/// Scenario: many endpoints crash, each with many requests. A request with several crashes is kept
/// in preference to those with a single one.
BOOST_AUTO_TEST_CASE(requestWithSeveralCrashesIsNotEvicted)
{
    Fixture f({.maxRequests = 10});
    f.crashed(one, 11);
    f.crashed(one, 12);
    for (std::uint64_t i = 100; i < 200; ++i)
        f.crashed(RequestFingerprint(i), 13);
    BOOST_TEST(f.crashed(one, 14));
}

BOOST_AUTO_TEST_CASE(newQuarantineReplacesTheOneThatEndsFirst)
{
    Fixture f({.maxQuarantined = 2});
    f.quarantine.quarantine({one, minutes(2)}, f.now);
    f.quarantine.quarantine({other, minutes(3)}, f.now);
    constexpr RequestFingerprint third(3);
    BOOST_TEST(f.quarantine.quarantine({third, minutes(4)}, f.now));
    BOOST_TEST(!f.isQuarantined(one));
    BOOST_TEST(f.isQuarantined(other));
    BOOST_TEST(f.isQuarantined(third));
}

BOOST_AUTO_TEST_CASE(fingerprintIsTheSameForEachAttempt)
{
    const CallerRequest request{.id = Base::RequestId("a"),
                                .method = "POST",
                                .host = "h",
                                .path = "/p",
                                .target = "/p?q=1",
                                .body = "b"};
    const Base::WorkspaceId workspace("w");
    const RequestFingerprint same = fingerprintOf(request, workspace);
    CallerRequest changed = request;
    changed.id = Base::RequestId("b");
    changed.remainingTimeout = seconds(1);
    BOOST_TEST((fingerprintOf(changed, workspace) == same));
    BOOST_TEST((fingerprintOf(request, Base::WorkspaceId("v")) != same));
    changed = request;
    changed.body = "c";
    BOOST_TEST((fingerprintOf(changed, workspace) != same));
    changed = request;
    changed.target = "/p?q=2";
    BOOST_TEST((fingerprintOf(changed, workspace) != same));
    // Text that moves from one part to the next changes the fingerprint.
    changed = request;
    changed.target = "/p?q=1b";
    changed.body = "";
    BOOST_TEST((fingerprintOf(changed, workspace) != same));
    BOOST_TEST(toString(RequestFingerprint(0xab)) == "00000000000000ab");
}
