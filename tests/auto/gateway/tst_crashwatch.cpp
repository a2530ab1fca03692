#define BOOST_TEST_MODULE tst_crashwatch
#include <boost/test/unit_test.hpp>

#include "gateway/crashwatch.h"
#include "runtime/clock.h"

#include <memory>
#include <utility>
#include <vector>

using namespace Lagoonbank;
using Gateway::CrashWatch;
using Gateway::EndpointRecord;
using Gateway::RequestFingerprint;
using std::chrono::milliseconds;

namespace {

using Numbers = std::vector<std::uint64_t>;

struct Fixture
{
    Fixture()
    {
        for (std::uint64_t i = 0; i < 20; ++i) {
            endpoints.push_back(std::make_shared<EndpointRecord>());
            endpoints.back()->startHash = i;
        }
        watch.crashed = [this](const CrashWatch::Report &report) {
            for (const RequestFingerprint request : report.requests)
                blamed.push_back(request.value());
            for (const Gateway::PartCrash &crash : report.parts)
                waitingParts.push_back(crash.part.value());
        };
    }
    void answerBroke(std::uint64_t request, std::size_t endpoint = 0, bool hasBegun = false,
                     const std::vector<Gateway::PartHash> &parts = {})
    {
        watch.answerBroke(
            endpoints[endpoint],
            {.request = RequestFingerprint(request), .parts = parts, .hasBegun = hasBegun});
    }
    void pass(Base::Duration duration)
    {
        clock.advance(duration);
        timers.runDue();
    }
    /// Completes the checks in progress.
    void answer(bool isReachable)
    {
        for (const auto &checked : std::exchange(pending, {}))
            checked(isReachable);
    }
    /// Checks all endpoints with broken answers, which are unreachable, and reports the crashes.
    void crashAll()
    {
        pass(milliseconds(5));
        answer(false);
        pass(milliseconds(100));
    }

    std::vector<std::shared_ptr<EndpointRecord>> endpoints;
    std::vector<std::function<void(bool)>> pending;
    int checks = 0;
    Numbers blamed;
    Numbers waitingParts;
    Runtime::ManualClock clock;
    Runtime::TimerQueue timers{clock};
    CrashWatch watch{{.timers = &timers, .check = [this](const auto &, auto, auto checked) {
                          ++checks;
                          pending.push_back(std::move(checked));
                      }}};
};

} // namespace

BOOST_AUTO_TEST_CASE(oneCheckCoversAllAnswersThatBrokeTogether)
{
    Fixture f;
    f.answerBroke(1);
    f.pass(milliseconds(2));
    f.answerBroke(2);
    f.answerBroke(2);
    f.crashAll();
    BOOST_TEST(f.blamed == (Numbers{1, 2}), boost::test_tools::per_element());
    BOOST_TEST(f.checks == 1);
}

BOOST_AUTO_TEST_CASE(answersThatBreakDuringACheckAreCheckedNext)
{
    Fixture f;
    f.answerBroke(1);
    f.pass(milliseconds(5));
    f.answerBroke(2);
    f.answer(true);
    f.pass(milliseconds(100));
    BOOST_TEST(f.blamed.empty());
    f.pass(milliseconds(100));
    f.crashAll();
    BOOST_TEST(f.blamed == (Numbers{2}), boost::test_tools::per_element());
}

/// An endpoint crashes on what it begins to answer. Two callers send the same request; one of them
/// has got events.
BOOST_AUTO_TEST_CASE(requestsThatHadBegunAreNotBlamed)
{
    Fixture f;
    f.answerBroke(1, 0, true);
    f.answerBroke(2);
    f.answerBroke(2, 0, true);
    f.crashAll();
    BOOST_TEST(f.blamed == (Numbers{2}), boost::test_tools::per_element());
}

/// Scenario: a router is cut off from most endpoints, and every connection is reset and refused. A
/// request that was retried at some of them must not be blamed.
BOOST_AUTO_TEST_CASE(networkCutBlamesNoRequest)
{
    Fixture f;
    for (std::size_t endpoint = 0; endpoint < 17; ++endpoint) {
        f.answerBroke(1, endpoint % 6); // Retried from one endpoint to the next.
        f.answerBroke(100 + endpoint, endpoint);
    }
    f.crashAll();
    BOOST_TEST(f.blamed.empty());
}

/// Scenario: the same request reaches several endpoints at once and crashes them, while one more
/// endpoint crashes for another reason.
BOOST_AUTO_TEST_CASE(requestSharedByCrashesIsBlamed)
{
    Fixture f;
    for (std::size_t endpoint = 0; endpoint < 6; ++endpoint) {
        if (endpoint > 0)
            f.answerBroke(1, endpoint);
        f.answerBroke(100 + endpoint, endpoint);
    }
    f.crashAll();
    BOOST_TEST(f.blamed == (Numbers{1, 1, 1, 1, 1}), boost::test_tools::per_element());
}

/// Scenario: different requests with one part crash several endpoints at once. None of them is
/// blamed, as none was running in a large part of the crashes.
BOOST_AUTO_TEST_CASE(partsOfWaitingRequestsAreReportedForEachCrash)
{
    Fixture f;
    for (std::uint64_t endpoint = 0; endpoint < 5; ++endpoint) {
        f.answerBroke(endpoint, endpoint, false, {Gateway::PartHash(7)});
        f.answerBroke(100 + endpoint, endpoint, true, {Gateway::PartHash(8)});
    }
    f.crashAll();
    BOOST_TEST(f.blamed.empty());
    BOOST_TEST(f.waitingParts == (Numbers{7, 7, 7, 7, 7}), boost::test_tools::per_element());
}

/// Scenario: an endpoint breaks half of its answers but stays alive.
BOOST_AUTO_TEST_CASE(checksOfABreakingEndpointAreRateLimited)
{
    Fixture f;
    for (int i = 0; i < 1000; ++i) {
        f.answerBroke(static_cast<std::uint64_t>(i));
        f.pass(milliseconds(10));
        f.answer(true);
    }
    BOOST_TEST(f.checks <= 51); // In 10 s.
    BOOST_TEST(f.blamed.empty());
    f.pass(milliseconds(200));
    f.answer(true);
    f.pass(milliseconds(200));
    const int before = f.checks;
    f.pass(std::chrono::seconds(10));
    BOOST_TEST(f.checks == before);
}
