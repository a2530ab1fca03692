#define BOOST_TEST_MODULE atmostonce
#include <boost/test/unit_test.hpp>

#include "contract/router/fleetfixture.h"

using namespace Lagoonbank;
using namespace Lagoonbank::Test;

namespace {

constexpr const char *noFault = R"({"fault": "none"})";
constexpr const char *slowly = R"({"fault": "slow", "factor": 100})"; ///< Half a second for a call.

void orderAtServices(Fleet &fleet, const std::string &fault)
{
    for (const auto &service : fleet.services)
        fleet.order(*service, fault);
}

/// Never twice; and nothing has run where the caller was told so.
void checkOnce(Fleet &fleet, const Answer &answer, std::size_t runs, std::size_t router = 0)
{
    const Seen seen = read(answer);
    BOOST_TEST(fleet.runs("request_id", answer.requestId()).size() == runs);
    if (seen.ran == "no")
        BOOST_TEST(runs == 0U);
    if (seen.kind == "whole")
        BOOST_TEST(runs == 1U);
    fleet.checkOutcome(answer, router);
}

std::size_t runsOfKey(Fleet &fleet, const std::string &key)
{
    return fleet.runs("key", key).size();
}

FleetOptions withLog(int routers, const std::string &whenLogIsOut = "refuse")
{
    return {.routers = routers, .hasPlatform = true, .whenLogIsOut = whenLogIsOut};
}

} // namespace

BOOST_AUTO_TEST_CASE(faultsOfTheService)
{
    struct Row
    {
        const char *fault; ///< At all processes of the service.
        const char *kind = "whole";
        const char *ran = "";
        std::size_t runs = 1;
        const char *retryKind = "whole"; ///< Of a call with the same key when the fault is over.
        std::size_t runsOfKey = 1;
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
        {slowly},
    };
    for (const bool hasKey : {false, true}) {
        for (const Row &row : rows) {
            BOOST_TEST_CONTEXT(row.fault << (hasKey ? " with a key" : ""))
            {
                Fleet fleet(withLog(1));
                orderAtServices(fleet, row.fault);
                const Http::Call call = bookingCall(hasKey ? "key-1" : "");
                const Answer answer = fleet.finish(fleet.start(call));
                BOOST_TEST(read(answer).kind == row.kind);
                BOOST_TEST(read(answer).ran == row.ran);
                fleet.runOn(std::chrono::milliseconds(500));
                checkOnce(fleet, answer, row.runs);
                fleet.checkNothingLeft();
                orderAtServices(fleet, noFault);
                const Answer retry = fleet.finish(fleet.start(call));
                BOOST_TEST(read(retry).kind == (hasKey ? row.retryKind : "whole"));
                if (hasKey)
                    BOOST_TEST(runsOfKey(fleet, "key-1") == row.runsOfKey);
                fleet.checkNothingLeft();
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(aRefusingProcessIsPassedOver)
{
    Fleet fleet;
    fleet.order(*fleet.services.front(), R"({"fault": "refuse"})");
    for (int i = 0; i < 6; ++i) {
        const Answer answer = fleet.finish(fleet.start(bookingCall()));
        BOOST_TEST(read(answer).kind == "whole");
        checkOnce(fleet, answer, 1);
    }
    fleet.checkNothingLeft();
}

BOOST_AUTO_TEST_CASE(faultsOfTheLog)
{
    struct Row
    {
        const char *fault;
        const char *whenLogIsOut;
        const char *kind;
        std::size_t runs;
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
            fleet.order(*fleet.platform, row.fault);
            const Answer answer = fleet.finish(fleet.start(bookingCall("key-1")));
            BOOST_TEST(read(answer).kind == row.kind);
            checkOnce(fleet, answer, row.runs);
            if (row.runs == 0)
                BOOST_TEST(!answer.header("retry-after").empty());

            fleet.order(*fleet.platform, noFault);
            fleet.runOn(std::chrono::seconds(5));
            const Answer retry = fleet.finish(fleet.start(bookingCall("key-1")));
            BOOST_TEST(read(retry).kind == "whole");
            BOOST_TEST(runsOfKey(fleet, "key-1") == 1U);
            if (row.runs == 1) {
                BOOST_TEST(retry.body == answer.body);
                BOOST_TEST(retry.header("x-recorded") == "yes");
            }
            fleet.checkNothingLeft();
        }
    }
}

BOOST_AUTO_TEST_CASE(theSameKeyAtTwoRoutersAtOnce)
{
    for (const char *fault : {noFault, slowly}) {
        BOOST_TEST_CONTEXT(fault)
        {
            Fleet fleet(withLog(2));
            orderAtServices(fleet, fault);
            const AnswerPtr first = fleet.start(bookingCall("key-1"), 0);
            const AnswerPtr second = fleet.start(bookingCall("key-1"), 1);
            BOOST_TEST(read(fleet.finish(first)).kind == "whole");
            BOOST_TEST(read(fleet.finish(second)).kind == "whole");
            BOOST_TEST(first->body == second->body);
            BOOST_TEST(first->requestId() != second->requestId());
            BOOST_TEST(runsOfKey(fleet, "key-1") == 1U);
            fleet.checkOutcome(*first, 0);
            fleet.checkOutcome(*second, 1);
            fleet.checkNothingLeft();
        }
    }
}

BOOST_AUTO_TEST_CASE(theSameKeyAgain)
{
    Fleet fleet(withLog(2));
    const Answer first = fleet.finish(fleet.start(bookingCall("key-1"), 0));
    BOOST_TEST(read(first).kind == "whole");
    fleet.runOn(std::chrono::milliseconds(200));
    for (const std::size_t router : {0U, 1U}) {
        const Answer again = fleet.finish(fleet.start(bookingCall("key-1"), router));
        BOOST_TEST(again.body == first.body);
        BOOST_TEST(again.result.status == first.result.status);
        BOOST_TEST(again.header("content-type") == first.header("content-type"));
        BOOST_TEST(again.header("x-recorded") == "yes");
        fleet.checkOutcome(again, router);

        const Answer other =
            fleet.finish(fleet.start(bookingCall("key-1", R"({"seat": 8})"), router));
        BOOST_TEST(read(other).kind == "bad_request");
        checkOnce(fleet, other, 0, router);
    }
    BOOST_TEST(runsOfKey(fleet, "key-1") == 1U);
    fleet.checkNothingLeft();
}

BOOST_AUTO_TEST_CASE(theRouterGoesBeforeTheOutcome)
{
    Fleet fleet(withLog(2));
    orderAtServices(fleet, slowly);
    const AnswerPtr lost = fleet.start(bookingCall("key-1"), 0);
    BOOST_REQUIRE(fleet.runOnUntil([&] { return runsOfKey(fleet, "key-1") == 1; }));
    fleet.routers.erase(fleet.routers.begin());
    BOOST_TEST((fleet.finish(lost).result.end == Http::CallEnd::Broken));

    for (int i = 0; i < 2; ++i) {
        const Answer retry = fleet.finish(fleet.start(bookingCall("key-1")));
        BOOST_TEST(read(retry).kind.starts_with("duplicate_"));
        BOOST_TEST(read(retry).ran == "unknown");
        fleet.checkOutcome(retry);
        BOOST_TEST(runsOfKey(fleet, "key-1") == 1U);
    }
    BOOST_TEST(read(fleet.finish(fleet.start(bookingCall("key-2")))).kind == "whole");
    fleet.checkNothingLeft();
}

BOOST_AUTO_TEST_CASE(theCallerLeavesWithItsClaim)
{
    Fleet fleet(withLog(1));
    orderAtServices(fleet, slowly);
    const AnswerPtr left = fleet.start(bookingCall("key-1"));
    BOOST_REQUIRE(fleet.runOnUntil([&] { return runsOfKey(fleet, "key-1") == 1; }));
    fleet.client.cancel(left->id);
    fleet.runOn(std::chrono::seconds(2));
    const Answer retry = fleet.finish(fleet.start(bookingCall("key-1")));
    BOOST_TEST(read(retry).ran != "no");
    BOOST_TEST(runsOfKey(fleet, "key-1") == 1U);
    fleet.checkOutcome(retry);
    fleet.checkNothingLeft();
}
