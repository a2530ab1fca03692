#define BOOST_TEST_MODULE atmostonce
#include <boost/test/unit_test.hpp>

#include "contract/router/fleetfixture.h"

using namespace Lagoonbank;
using namespace Lagoonbank::Test;

namespace {

constexpr const char *noFault = R"({"fault": "none"})";
constexpr const char *slowFault = R"({"fault": "slow", "factor": 100})"; ///< A call takes 0.5 s.

void injectAtServices(Fleet &fleet, const std::string &fault)
{
    for (const auto &service : fleet.services)
        fleet.injectFault(*service, fault);
}

/// Checks the number of runs, at most one, and that the answer and its outcome agree with it.
void checkAtMostOnce(Fleet &fleet, const Answer &answer, std::size_t expectedRuns,
                     std::size_t router = 0)
{
    const ParsedAnswer parsed = parseAnswer(answer);
    BOOST_TEST(fleet.runStates("request_id", answer.requestId()).size() == expectedRuns);
    if (parsed.ran == "no")
        BOOST_TEST(expectedRuns == 0U);
    if (parsed.kind == "whole")
        BOOST_TEST(expectedRuns == 1U);
    fleet.checkOutcome(answer, router);
}

std::size_t countRunsOfKey(Fleet &fleet, const std::string &key)
{
    return fleet.runStates("key", key).size();
}

FleetOptions withLog(int routers, const std::string &whenLogIsOut = "refuse")
{
    return {.routers = routers, .hasPlatform = true, .whenLogIsOut = whenLogIsOut};
}

} // namespace

BOOST_AUTO_TEST_CASE(serviceFaults)
{
    struct Row
    {
        const char *fault; ///< Injected at all processes of the service.
        const char *expectedKind = "whole";
        const char *expectedRan = "";
        std::size_t expectedRuns = 1;
        /// Result of a call with the same key after the fault is cleared.
        const char *expectedRetryKind = "whole";
        std::size_t expectedRunsOfKey = 1;
    };
    const std::vector<Row> rows{
        {noFault},
        {R"({"fault": "crash_before"})", "endpoint_broke", "unknown", 0, "duplicate_unknown", 0},
        {R"({"fault": "crash_after_request"})", "endpoint_broke", "unknown", 1,
         "duplicate_unknown"},
        {R"({"fault": "silent"})", "endpoint_timeout", "unknown", 0, "duplicate_unknown", 0},
        {R"({"fault": "refuse"})", "endpoint_refused", "no", 0, "whole", 1},
        {R"({"fault": "late", "delay_ms": 1500})"},
        {R"({"fault": "late", "delay_ms": 4000})", "endpoint_timeout", "unknown", 1,
         "duplicate_unknown"},
        {R"({"fault": "crossed"})", "answer_mismatch", "unknown", 1, "duplicate_unknown"},
        {slowFault},
    };
    for (const bool hasKey : {false, true}) {
        for (const Row &row : rows) {
            BOOST_TEST_CONTEXT(row.fault << (hasKey ? " with a key" : ""))
            {
                Fleet fleet(withLog(1));
                injectAtServices(fleet, row.fault);
                const Http::Call call = bookingCall(hasKey ? "key-1" : "");
                const Answer answer = fleet.finish(fleet.start(call));
                BOOST_TEST(parseAnswer(answer).kind == row.expectedKind);
                BOOST_TEST(parseAnswer(answer).ran == row.expectedRan);
                fleet.runFor(std::chrono::milliseconds(500));
                checkAtMostOnce(fleet, answer, row.expectedRuns);
                fleet.checkNoStateLeft();
                injectAtServices(fleet, noFault);
                const Answer retry = fleet.finish(fleet.start(call));
                BOOST_TEST(parseAnswer(retry).kind == (hasKey ? row.expectedRetryKind : "whole"));
                if (hasKey)
                    BOOST_TEST(countRunsOfKey(fleet, "key-1") == row.expectedRunsOfKey);
                fleet.checkNoStateLeft();
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(refusedCallIsRetriedAtAnotherProcess)
{
    Fleet fleet;
    fleet.injectFault(*fleet.services.front(), R"({"fault": "refuse"})");
    for (int i = 0; i < 6; ++i) {
        const Answer answer = fleet.finish(fleet.start(bookingCall()));
        BOOST_TEST(parseAnswer(answer).kind == "whole");
        checkAtMostOnce(fleet, answer, 1);
    }
    fleet.checkNoStateLeft();
}

BOOST_AUTO_TEST_CASE(logFaults)
{
    struct Row
    {
        const char *fault;
        const char *whenLogIsOut;
        const char *expectedKind;
        std::size_t expectedRuns;
    };
    const std::vector<Row> rows{
        {noFault, "refuse", "whole", 1},
        {R"({"fault": "lose_append_answers", "count": 1, "stream": "claims"})", "refuse", "whole",
         1},
        {R"({"fault": "late_append_answers", "ms": 1000, "stream": "claims"})", "refuse", "whole",
         1},
        {R"({"fault": "log_slow", "ms": 300, "stream": "claims"})", "refuse", "whole", 1},
        {R"({"fault": "log_outage"})", "refuse", "claim_unavailable", 0},
        {R"({"fault": "append_outage"})", "refuse", "claim_unavailable", 0},
        {R"({"fault": "log_outage"})", "local", "whole", 1},
        {R"({"fault": "append_outage"})", "local", "whole", 1},
    };
    for (const Row &row : rows) {
        BOOST_TEST_CONTEXT(row.fault << ", " << row.whenLogIsOut)
        {
            Fleet fleet(withLog(1, row.whenLogIsOut));
            fleet.injectFault(*fleet.platform, row.fault);
            const Answer answer = fleet.finish(fleet.start(bookingCall("key-1")));
            BOOST_TEST(parseAnswer(answer).kind == row.expectedKind);
            checkAtMostOnce(fleet, answer, row.expectedRuns);
            if (row.expectedRuns == 0)
                BOOST_TEST(!answer.header("retry-after").empty());

            fleet.injectFault(*fleet.platform, noFault);
            fleet.runFor(std::chrono::seconds(5));
            const Answer retry = fleet.finish(fleet.start(bookingCall("key-1")));
            BOOST_TEST(parseAnswer(retry).kind == "whole");
            BOOST_TEST(countRunsOfKey(fleet, "key-1") == 1U);
            if (row.expectedRuns == 1) {
                BOOST_TEST(retry.body == answer.body);
                BOOST_TEST(retry.header("x-recorded") == "yes");
            }
            fleet.checkNoStateLeft();
        }
    }
}

BOOST_AUTO_TEST_CASE(sameKeyAtTwoRoutersConcurrently)
{
    for (const char *fault : {noFault, slowFault}) {
        BOOST_TEST_CONTEXT(fault)
        {
            Fleet fleet(withLog(2));
            injectAtServices(fleet, fault);
            const AnswerPtr first = fleet.start(bookingCall("key-1"), 0);
            const AnswerPtr second = fleet.start(bookingCall("key-1"), 1);
            BOOST_TEST(parseAnswer(fleet.finish(first)).kind == "whole");
            BOOST_TEST(parseAnswer(fleet.finish(second)).kind == "whole");
            BOOST_TEST(first->body == second->body);
            BOOST_TEST(first->requestId() != second->requestId());
            BOOST_TEST(countRunsOfKey(fleet, "key-1") == 1U);
            fleet.checkOutcome(*first, 0);
            fleet.checkOutcome(*second, 1);
            fleet.checkNoStateLeft();
        }
    }
}

BOOST_AUTO_TEST_CASE(repeatedKeyReturnsRecordedAnswer)
{
    Fleet fleet(withLog(2));
    const Answer first = fleet.finish(fleet.start(bookingCall("key-1"), 0));
    BOOST_TEST(parseAnswer(first).kind == "whole");
    fleet.runFor(std::chrono::milliseconds(200));
    for (const std::size_t router : {0U, 1U}) {
        const Answer again = fleet.finish(fleet.start(bookingCall("key-1"), router));
        BOOST_TEST(again.body == first.body);
        BOOST_TEST(again.result.status == first.result.status);
        BOOST_TEST(again.header("content-type") == first.header("content-type"));
        BOOST_TEST(again.header("x-recorded") == "yes");
        fleet.checkOutcome(again, router);

        const Answer other =
            fleet.finish(fleet.start(bookingCall("key-1", R"({"seat": 8})"), router));
        BOOST_TEST(parseAnswer(other).kind == "bad_request");
        checkAtMostOnce(fleet, other, 0, router);
    }
    BOOST_TEST(countRunsOfKey(fleet, "key-1") == 1U);
    fleet.checkNoStateLeft();
}

BOOST_AUTO_TEST_CASE(routerCrashesBeforeRecordingOutcome)
{
    Fleet fleet(withLog(2));
    injectAtServices(fleet, slowFault);
    const AnswerPtr lost = fleet.start(bookingCall("key-1"), 0);
    BOOST_REQUIRE(fleet.runUntil([&] { return countRunsOfKey(fleet, "key-1") == 1; }));
    fleet.routers.erase(fleet.routers.begin());
    BOOST_TEST((fleet.finish(lost).result.end == Http::CallEnd::Broken));

    for (int i = 0; i < 2; ++i) {
        const Answer retry = fleet.finish(fleet.start(bookingCall("key-1")));
        BOOST_TEST(parseAnswer(retry).kind.starts_with("duplicate_"));
        BOOST_TEST(parseAnswer(retry).ran == "unknown");
        fleet.checkOutcome(retry);
        BOOST_TEST(countRunsOfKey(fleet, "key-1") == 1U);
    }
    BOOST_TEST(parseAnswer(fleet.finish(fleet.start(bookingCall("key-2")))).kind == "whole");
    fleet.checkNoStateLeft();
}

BOOST_AUTO_TEST_CASE(callerDisconnectsDuringClaimedCall)
{
    Fleet fleet(withLog(1));
    injectAtServices(fleet, slowFault);
    const AnswerPtr disconnected = fleet.start(bookingCall("key-1"));
    BOOST_REQUIRE(fleet.runUntil([&] { return countRunsOfKey(fleet, "key-1") == 1; }));
    fleet.client.cancel(disconnected->id);
    fleet.runFor(std::chrono::seconds(2));
    const Answer retry = fleet.finish(fleet.start(bookingCall("key-1")));
    BOOST_TEST(parseAnswer(retry).ran != "no");
    BOOST_TEST(countRunsOfKey(fleet, "key-1") == 1U);
    fleet.checkOutcome(retry);
    fleet.checkNoStateLeft();
}
