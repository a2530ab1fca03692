#define BOOST_TEST_MODULE enginefaults
#include <boost/test/unit_test.hpp>

#include "contract/router/fleetfixture.h"

using namespace Lagoonbank;
using namespace Lagoonbank::Test;

namespace {

constexpr int tokens = 12;

struct Case
{
    const char *fault; ///< Injected at the engine that has cached the chat, or at both.
    bool atBothEngines = false;
    const char *expectedKind = "whole";
    const char *expectedRan = ""; ///< Field "ran" of the error.
    /// States of all runs, in any order.
    std::vector<std::string> expectedRuns = {"whole"};
    /// Whether the last attempt is at the engine that has cached the chat.
    bool expectsCachingEngine = true;
};

using States = std::vector<std::string>;
const States noRun;
const States secondRun{"whole", "whole"}; ///< The first run's answer is lost.
const States runAfterCrash{"crashed", "whole"};

const std::vector<Case> cases{
    {R"({"fault": "none"})"},
    {R"({"fault": "crash_before", "count": 1})", false, "whole", "", {"whole"}, false},
    {R"({"fault": "crash_after_request", "count": 1})", false, "whole", "", secondRun, false},
    {R"({"fault": "crash_after_request", "count": 1, "keep": true})"},
    {R"({"fault": "crash_mid_stream", "count": 1, "after_tokens": 3, "keep": true})"},
    {R"({"fault": "crash_mid_stream", "count": 1, "after_tokens": 3})", false, "whole", "",
     runAfterCrash, false},
    {R"({"fault": "crash_after_answer", "count": 1})", false, "whole", "", {"whole"}},
    {R"({"fault": "crash_after_answer", "count": 1, "keep": true})"},
    {R"({"fault": "cut", "count": 1, "after_tokens": 3})"},
    {R"({"fault": "crossed", "count": 1})", false, "whole", "", {"cancelled", "whole"}, false},
    {R"({"fault": "silent", "count": 1})", false, "whole", "", {"whole"}, false},
    {R"({"fault": "silent", "count": 1, "after_tokens": 3})"},
    {R"({"fault": "late", "count": 1, "delay_ms": 1500})"},
    {R"({"fault": "refuse", "count": 1})", false, "whole", "", {"whole"}, false},
    {R"({"fault": "ran_but_refused", "count": 1})", false, "whole", "", {"any", "whole"}, false},
    {R"({"fault": "slow", "factor": 20})"},
    {R"({"fault": "refuse"})", true, "endpoint_refused", "no", noRun},
    {R"({"fault": "crash_before"})", true, "endpoint_broke", "unknown", noRun},
    {R"({"fault": "silent"})", true, "endpoint_timeout", "unknown", noRun},
    {R"({"fault": "crossed"})", true, "answer_mismatch", "unknown", {"cancelled", "cancelled"}},
    {R"({"fault": "crash_after_request"})", true, "endpoint_broke", "unknown", {"whole", "whole"}},
    {R"({"fault": "crash_mid_stream", "after_tokens": 2})",
     true,
     "endpoint_broke",
     "unknown",
     {"crashed", "crashed"}},
};

/// Sends a chat and returns the engine that has cached it.
std::string cacheChat(Fleet &fleet)
{
    const Answer answer = fleet.finish(fleet.start(chatCall()));
    BOOST_TEST(parseAnswer(answer).kind == "whole");
    return answer.header("x-endpoint");
}

void checkRuns(const States &actual, const States &expected)
{
    BOOST_REQUIRE_EQUAL(actual.size(), expected.size());
    States unmatched = actual;
    for (const std::string &state : expected) {
        const auto found = std::find(unmatched.begin(), unmatched.end(), state);
        if (state != "any")
            BOOST_TEST((found != unmatched.end()), "no run is " << state);
        if (found != unmatched.end())
            unmatched.erase(found);
    }
}

void check(const Case &row, bool stream)
{
    Fleet fleet;
    const std::string cachingEngine = cacheChat(fleet);
    for (const auto &engine : fleet.engines) {
        if (row.atBothEngines || engine->name == cachingEngine)
            fleet.injectFault(*engine, row.fault);
    }
    const Answer answer = fleet.finish(fleet.start(chatCall({.tokens = tokens, .stream = stream})));
    const ParsedAnswer parsed = parseAnswer(answer);
    const std::string completeText = expectedText(answer.requestId(), tokens);
    BOOST_TEST(parsed.kind == row.expectedKind);
    BOOST_TEST(parsed.ran == row.expectedRan);
    if (parsed.kind == "whole") {
        BOOST_TEST(parsed.text == completeText);
        const std::string &last = fleet.outcome(answer.requestId())["attempts"].back()["endpoint"];
        BOOST_TEST((last == cachingEngine) == row.expectsCachingEngine);
    } else {
        // The text may be incomplete, but not of another request.
        BOOST_TEST(completeText.starts_with(parsed.text));
    }
    fleet.checkOutcome(answer);
    fleet.runFor(std::chrono::milliseconds(500)); // Time for cancellations to arrive.
    checkRuns(fleet.runStates("request_id", answer.requestId()), row.expectedRuns);
    fleet.checkNoStateLeft();

    for (const auto &engine : fleet.engines)
        fleet.injectFault(*engine, R"({"fault": "none"})");
    fleet.runIdle(std::chrono::seconds(5)); // Longer than an engine stays suspected.
    const Answer next = fleet.finish(fleet.start(chatCall({.stream = stream})));
    BOOST_TEST(parseAnswer(next).text == expectedText(next.requestId(), 8));
    fleet.checkNoStateLeft();
}

} // namespace

BOOST_AUTO_TEST_CASE(streamedAnswers)
{
    for (const Case &row : cases)
        BOOST_TEST_CONTEXT(row.fault << (row.atBothEngines ? " at both" : ""))
    check(row, true);
}

BOOST_AUTO_TEST_CASE(unstreamedAnswers)
{
    for (const Case &row : cases)
        BOOST_TEST_CONTEXT(row.fault << (row.atBothEngines ? " at both" : ""))
    check(row, false);
}

BOOST_AUTO_TEST_CASE(longPromptDoesNotCauseATimeout)
{
    Fleet fleet;
    std::string prompt;
    // The prompt takes 3 s to read; the first-byte timeout is 2 s.
    for (int i = 0; i < 60'000; ++i)
        prompt += "w" + std::to_string(i) + ' ';
    const Answer answer =
        fleet.finish(fleet.start(chatCall({.prompt = prompt, .tokens = tokens, .stream = true})));
    BOOST_TEST(parseAnswer(answer).text == expectedText(answer.requestId(), tokens));
    BOOST_TEST(fleet.outcome(answer.requestId())["attempts"].size() == 1U);
    checkRuns(fleet.runStates("request_id", answer.requestId()), {"whole"});
    fleet.checkNoStateLeft();
}

BOOST_AUTO_TEST_CASE(endedRequestsLeaveNoTimers)
{
    Fleet fleet;
    const Runtime::TimerQueue &timers = fleet.routers.front()->loop.timers();
    const std::string cachingEngine = cacheChat(fleet);
    fleet.runIdle(std::chrono::seconds(12)); // Longer than the idle connection timeout.
    const std::size_t before = timers.pending();
    for (const char *fault : {R"({"fault": "none"})", R"({"fault": "silent", "count": 1})",
                              R"({"fault": "crash_mid_stream", "count": 1, "keep": true})"}) {
        fleet.injectFault(fleet.engine(cachingEngine), fault);
        fleet.finish(fleet.start(chatCall()));
        fleet.runIdle(std::chrono::seconds(12));
        BOOST_TEST(timers.pending() == before, fault);
    }
    fleet.checkNoStateLeft();
}

BOOST_AUTO_TEST_CASE(abandonedRunsAreCancelled)
{
    struct Row
    {
        const char *fault; ///< Injected at both engines; each call has one attempt.
        const char *deadline;
        const char *expectedKind;
    };
    for (const Row &row : {Row{R"({"fault": "crossed"})", "20000", "answer_mismatch"},
                           Row{R"({"fault": "slow", "factor": 40})", "700", "deadline_passed"}}) {
        BOOST_TEST_CONTEXT(row.fault)
        {
            Fleet fleet({.policy = "max_attempts: 1"});
            for (const auto &engine : fleet.engines)
                fleet.injectFault(*engine, row.fault);
            Http::Call call = chatCall({.tokens = 100, .stream = false});
            call.headers.add("x-deadline-ms", row.deadline);
            const Answer answer = fleet.finish(fleet.start(call));
            BOOST_TEST(parseAnswer(answer).kind == row.expectedKind);
            BOOST_TEST(parseAnswer(answer).ran == "unknown");
            fleet.checkOutcome(answer);
            fleet.runFor(std::chrono::milliseconds(200));
            checkRuns(fleet.runStates("request_id", answer.requestId()), {"cancelled"});
            fleet.checkNoStateLeft();
        }
    }
}
