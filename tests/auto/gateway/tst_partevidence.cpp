#define BOOST_TEST_MODULE tst_partevidence
#include <boost/test/unit_test.hpp>

#include "gateway/partevidence.h"

#include <vector>

using namespace Lagoonbank;
using Gateway::PartEvidence;
using Gateway::PartHash;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// Failure: crashes are blamed on the wrong prompt part, or on none.

namespace {

struct Fixture
{
    /// A request waits at an endpoint that crashes. Each crash is one second after the last one.
    void crash(std::uint64_t request, const std::vector<std::uint64_t> &parts)
    {
        now += gap;
        ++endpoint;
        alsoWaits(request, parts);
    }
    /// Another request waits at the endpoint that has just crashed.
    void alsoWaits(std::uint64_t request, const std::vector<std::uint64_t> &parts)
    {
        for (std::size_t depth = 0; depth < parts.size(); ++depth)
            evidence.crashed({.part = PartHash(parts[depth]),
                              .depth = static_cast<int>(depth),
                              .request = Gateway::RequestFingerprint(request),
                              .endpoint = endpoint,
                              .at = now});
    }
    std::vector<std::uint64_t> suspects() const
    {
        std::vector<std::uint64_t> parts;
        for (const PartEvidence::Suspect &suspect : evidence.suspects(now))
            parts.push_back(suspect.part.value());
        return parts;
    }

    PartEvidence evidence{{}};
    Base::MonoTime now{};
    Base::Duration gap = seconds(1);
    std::uint64_t endpoint = 0;
};

using Parts = std::vector<std::uint64_t>;

} // namespace

BOOST_AUTO_TEST_CASE(partInThreeCrashesIsASuspect)
{
    Fixture f;
    f.crash(1, {10, 20});
    f.crash(2, {10, 20});
    BOOST_TEST(f.suspects().empty());
    f.crash(3, {10, 20});
    BOOST_TEST(f.suspects() == (Parts{20}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(begunAnswerAcquitsOfEarlierCrashes)
{
    Fixture f;
    for (std::uint64_t request = 1; request <= 3; ++request)
        f.crash(request, {10, 20});
    f.evidence.begun(PartHash(20), f.now);
    BOOST_TEST(f.suspects() == (Parts{10}), boost::test_tools::per_element());
    f.evidence.begun(PartHash(10), f.now);
    BOOST_TEST(f.suspects().empty());
}

/// The part may have become bad after its last answer.
BOOST_AUTO_TEST_CASE(begunAnswerDoesNotAcquitOfLaterCrashes)
{
    Fixture f;
    f.evidence.begun(PartHash(10), f.now);
    for (std::uint64_t request = 1; request <= 3; ++request)
        f.crash(request, {10});
    f.evidence.begun(PartHash(10), f.now - seconds(3));
    BOOST_TEST(f.suspects() == (Parts{10}), boost::test_tools::per_element());
}

/// A request that crashes endpoints is quarantined by itself; its parts are not to blame.
BOOST_AUTO_TEST_CASE(partsOfOneRepeatedRequestAreNotSuspects)
{
    Fixture f;
    for (std::uint64_t other = 100; other < 105; ++other) {
        f.crash(1, {10, 20});
        f.alsoWaits(other, {10, other});
    }
    f.evidence.begun(PartHash(10), f.now);
    BOOST_TEST(f.suspects().empty());
}

/// Scenario: a sound part waits together with one that crashes endpoints, and alone elsewhere.
BOOST_AUTO_TEST_CASE(suspectOfMostCrashesComesFirst)
{
    Fixture f;
    for (std::uint64_t request = 1; request <= 4; ++request) {
        f.crash(request, {10, 20});
        if (request > 1)
            f.alsoWaits(100 + request, {11, 21});
    }
    f.evidence.begun(PartHash(10), f.now);
    f.evidence.begun(PartHash(11), f.now);
    BOOST_TEST(f.suspects() == (Parts{20, 21}), boost::test_tools::per_element());
    f.evidence.explain(PartHash(20));
    BOOST_TEST(f.suspects().empty());
    f.alsoWaits(200, {21}); // A late report of a crash that is explained.
    BOOST_TEST(f.suspects().empty());
}

/// Scenario: a router is cut off from most endpoints, each of which had a request with the part.
BOOST_AUTO_TEST_CASE(simultaneousCrashesCountOnce)
{
    Fixture f;
    f.gap = milliseconds(10);
    for (std::uint64_t request = 1; request <= 12; ++request)
        f.crash(request, {10});
    BOOST_TEST(f.suspects().empty());
}

BOOST_AUTO_TEST_CASE(oldCrashesAreForgotten)
{
    Fixture f;
    f.crash(1, {10});
    f.crash(2, {10});
    f.now += minutes(10);
    f.crash(3, {10});
    BOOST_TEST(f.suspects().empty());
}

/// Each request that waits may have other parts, and crashes may go on for long.
BOOST_AUTO_TEST_CASE(memoryIsBounded)
{
    Fixture f;
    for (std::uint64_t request = 1; request <= 500; ++request) {
        f.crash(request, {10, 1000 + request});
        f.evidence.begun(PartHash(10), f.now);
        for (std::uint64_t other = 0; other < 300; ++other)
            f.alsoWaits(other, {100000 + request * 1000 + other});
    }
    BOOST_TEST(f.suspects().empty());
}
