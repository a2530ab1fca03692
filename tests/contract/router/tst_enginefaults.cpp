#define BOOST_TEST_MODULE enginefaults
#include <boost/test/unit_test.hpp>

#include "contract/router/fleetfixture.h"

using namespace Lagoonbank;
using namespace Lagoonbank::Test;

namespace {

constexpr int tokens = 12;

struct Case
{
    const char *fault; ///< At the engine that holds the chat, or at both.
    bool atBoth = false;
    const char *kind = "whole";
    const char *ran = ""; ///< What an error says.
    std::vector<std::string> runs = {"whole"}; ///< States in all ledgers, engine-by-engine.
    bool staysHome = true; ///< The answer's last part comes from the engine that holds the chat.
};

using States = std::vector<std::string>;
const States none;
const States again{"whole", "whole"}; ///< The first run's answer is lost with it.
const States lost{"crashed", "whole"}; ///< One run is lost, another one answers.

const std::vector<Case> cases{
    {R"({"fault": "none"})"},
    {R"({"fault": "crash_before", "count": 1})", false, "whole", "", {"whole"}, false},
    {R"({"fault": "crash_after_request", "count": 1})", false, "whole", "", again, false},
    {R"({"fault": "crash_after_request", "count": 1, "keep": true})"},
    {R"({"fault": "crash_mid_stream", "count": 1, "after_tokens": 3, "keep": true})"},
    {R"({"fault": "crash_mid_stream", "count": 1, "after_tokens": 3})", false, "whole", "", lost,
     false},
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
    {R"({"fault": "refuse"})", true, "endpoint_refused", "no", none},
    {R"({"fault": "crash_before"})", true, "endpoint_broke", "unknown", none},
    {R"({"fault": "silent"})", true, "endpoint_timeout", "unknown", none},
    {R"({"fault": "crossed"})", true, "answer_mismatch", "unknown", {"cancelled", "cancelled"}},
    {R"({"fault": "crash_after_request"})", true, "endpoint_broke", "unknown", {"whole", "whole"}},
    {R"({"fault": "crash_mid_stream", "after_tokens": 2})",
     true,
     "endpoint_broke",
     "unknown",
     {"crashed", "crashed"}},
};

/// Sends one chat ahead and says which engine now holds it.
std::string homeOf(Fleet &fleet)
{
    const Answer warm = fleet.finish(fleet.start(chatCall()));
    BOOST_TEST(read(warm).kind == "whole");
    return warm.header("x-endpoint");
}

void checkRuns(const States &seen, const States &expected)
{
    BOOST_REQUIRE_EQUAL(seen.size(), expected.size());
    States left = seen;
    for (const std::string &state : expected) {
        const auto found = std::find(left.begin(), left.end(), state);
        if (state != "any")
            BOOST_TEST((found != left.end()), "no run is " << state);
        if (found != left.end())
            left.erase(found);
    }
}

void check(const Case &row, bool stream)
{
    Fleet fleet;
    const std::string home = homeOf(fleet);
    for (const auto &engine : fleet.engines) {
        if (row.atBoth || engine->name == home)
            fleet.order(*engine, row.fault);
    }
    const Answer answer = fleet.finish(fleet.start(chatCall({.tokens = tokens, .stream = stream})));
    const Seen seen = read(answer);
    const std::string own = wholeText(answer.requestId(), tokens);
    BOOST_TEST(seen.kind == row.kind);
    BOOST_TEST(seen.ran == row.ran);
    if (seen.kind == "whole") {
        BOOST_TEST(seen.text == own);
        const std::string &last = fleet.outcome(answer.requestId())["attempts"].back()["endpoint"];
        BOOST_TEST((last == home) == row.staysHome);
    } else {
        BOOST_TEST(own.starts_with(seen.text)); // A part, never another's.
    }
    fleet.checkOutcome(answer);
    fleet.runOn(std::chrono::milliseconds(500)); // For cancels to come through.
    checkRuns(fleet.runs("request_id", answer.requestId()), row.runs);
    fleet.checkNothingLeft();

    for (const auto &engine : fleet.engines)
        fleet.order(*engine, R"({"fault": "none"})");
    fleet.passTime(std::chrono::seconds(5)); // Beyond every suspicion.
    const Answer next = fleet.finish(fleet.start(chatCall({.stream = stream})));
    BOOST_TEST(read(next).text == wholeText(next.requestId(), 8));
    fleet.checkNothingLeft();
}

} // namespace

BOOST_AUTO_TEST_CASE(streamedAnswers)
{
    for (const Case &row : cases)
        BOOST_TEST_CONTEXT(row.fault << (row.atBoth ? " at both" : ""))
    check(row, true);
}

BOOST_AUTO_TEST_CASE(unstreamedAnswers)
{
    for (const Case &row : cases)
        BOOST_TEST_CONTEXT(row.fault << (row.atBoth ? " at both" : ""))
    check(row, false);
}

BOOST_AUTO_TEST_CASE(aLongPromptIsNotTakenForSilence)
{
    Fleet fleet;
    std::string prompt;
    for (int i = 0; i < 60'000; ++i) // Three seconds to read; two are the limit for a first byte.
        prompt += "w" + std::to_string(i) + ' ';
    const Answer answer =
        fleet.finish(fleet.start(chatCall({.prompt = prompt, .tokens = tokens, .stream = true})));
    BOOST_TEST(read(answer).text == wholeText(answer.requestId(), tokens));
    BOOST_TEST(fleet.outcome(answer.requestId())["attempts"].size() == 1U);
    checkRuns(fleet.runs("request_id", answer.requestId()), {"whole"});
    fleet.checkNothingLeft();
}

BOOST_AUTO_TEST_CASE(whatHasEndedLeavesNoTimers)
{
    Fleet fleet;
    const Runtime::TimerQueue &timers = fleet.routers.front()->loop.timers();
    const std::string home = homeOf(fleet);
    fleet.passTime(std::chrono::seconds(12)); // Longer than idle connections are kept.
    const std::size_t before = timers.pending();
    for (const char *fault : {R"({"fault": "none"})", R"({"fault": "silent", "count": 1})",
                              R"({"fault": "crash_mid_stream", "count": 1, "keep": true})"}) {
        fleet.order(fleet.engine(home), fault);
        fleet.finish(fleet.start(chatCall()));
        fleet.passTime(std::chrono::seconds(12));
        BOOST_TEST(timers.pending() == before, fault);
    }
    fleet.checkNothingLeft();
}

BOOST_AUTO_TEST_CASE(whatIsGivenUpIsCancelled)
{
    struct Row
    {
        const char *fault; ///< At both engines, with one attempt for each call.
        const char *deadline;
        const char *kind;
    };
    for (const Row &row : {Row{R"({"fault": "crossed"})", "20000", "answer_mismatch"},
                           Row{R"({"fault": "slow", "factor": 40})", "700", "deadline_passed"}}) {
        BOOST_TEST_CONTEXT(row.fault)
        {
            Fleet fleet({.policy = "max_attempts: 1"});
            for (const auto &engine : fleet.engines)
                fleet.order(*engine, row.fault);
            Http::Call call = chatCall({.tokens = 100, .stream = false});
            call.headers.add("x-deadline-ms", row.deadline);
            const Answer answer = fleet.finish(fleet.start(call));
            BOOST_TEST(read(answer).kind == row.kind);
            BOOST_TEST(read(answer).ran == "unknown");
            fleet.checkOutcome(answer);
            fleet.runOn(std::chrono::milliseconds(200));
            checkRuns(fleet.runs("request_id", answer.requestId()), {"cancelled"});
            fleet.checkNothingLeft();
        }
    }
}
