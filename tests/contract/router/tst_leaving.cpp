#define BOOST_TEST_MODULE leaving
#include <boost/test/unit_test.hpp>

#include "contract/router/fleetfixture.h"

using namespace Lagoonbank;
using namespace Lagoonbank::Test;

namespace {

constexpr int longAnswer = 200; ///< Tokens; a second.
constexpr int outlastsNotice = 900; ///< Tokens; more than a second longer than a stop is announced.

/// The latest run in the ledgers of the engines.
Json latestRun(Fleet &fleet)
{
    Json latest;
    for (const auto &engine : fleet.engines) {
        for (const Json &run : fleet.ledger(*engine)) {
            if (latest.is_null() || latest["started_ms"] <= run["started_ms"])
                latest = run;
        }
    }
    return latest;
}

/// The call as it goes over the wire.
std::string rawText(const Http::Call &call)
{
    std::string text = call.method + ' ' + call.target + " HTTP/1.1\r\nhost: a\r\n";
    for (const Http::Header &header : call.headers.fields())
        text += header.name + ": " + header.value + "\r\n";
    return text + "content-length: " + std::to_string(call.body.size()) + "\r\n\r\n" + call.body;
}

AnswerPtr startStream(Fleet &fleet, const Chat &chat = {.tokens = longAnswer})
{
    AnswerPtr answer = fleet.start(chatCall(chat));
    BOOST_REQUIRE(fleet.runOnUntil([&] { return answer->body.size() > 1000; }));
    return answer;
}

} // namespace

BOOST_AUTO_TEST_CASE(theCallerLeavesWithinItsAnswer)
{
    struct Row
    {
        bool stream;
        bool resets; ///< Else it closes, which only a streamed answer can tell from a half-close.
    };
    for (const Row &row : {Row{true, false}, Row{true, true}, Row{false, true}}) {
        BOOST_TEST_CONTEXT((row.stream ? "streamed, " : "unstreamed, ")
                           << (row.resets ? "resets" : "closes"))
        {
            Fleet fleet;
            RawSocket caller(fleet.routers.front()->process.callerAddress());
            caller.send(rawText(chatCall({.tokens = longAnswer, .stream = row.stream})));
            BOOST_REQUIRE(fleet.runOnUntil([&] { return !latestRun(fleet).is_null(); }));
            fleet.runOn(std::chrono::milliseconds(100));
            BOOST_TEST(caller.has("data: ") == row.stream);
            if (row.resets)
                caller.reset();
            else
                caller.close();
            fleet.runOn(std::chrono::milliseconds(500));
            const Json run = latestRun(fleet);
            BOOST_TEST(run["state"] == "cancelled");
            const Json told = fleet.outcome(run["request_id"].get<std::string>());
            BOOST_TEST(told["cause"] == "caller_left");
            BOOST_TEST(told["ran"] == "unknown");
            fleet.checkNothingLeft();
        }
    }
}

BOOST_AUTO_TEST_CASE(aDrainingEngineFinishesItsStream)
{
    Fleet fleet;
    const AnswerPtr answer = startStream(fleet);
    const std::string home = answer->header("x-endpoint");
    fleet.draining = home;
    fleet.configure(*fleet.routers.front());
    fleet.runOn(std::chrono::milliseconds(20));
    for (int i = 0; i < 4; ++i) {
        const Answer next = fleet.finish(fleet.start(chatCall()));
        BOOST_TEST(read(next).kind == "whole");
        BOOST_TEST(next.header("x-endpoint") != home);
    }
    BOOST_TEST(!answer->hasEnded);
    BOOST_TEST(read(fleet.finish(answer)).text == wholeText(answer->requestId(), longAnswer));
    BOOST_TEST(read(*answer).kind == "whole");
    BOOST_TEST(fleet.ledger(fleet.engine(home)).size() == 1U);
    fleet.checkNothingLeft();
}

BOOST_AUTO_TEST_CASE(aStoppingRouterFinishesWhatIsInFlight)
{
    Fleet fleet;
    RouterUnit &router = *fleet.routers.front();
    const AnswerPtr answer = startStream(fleet, {.tokens = outlastsNotice});
    const AnswerPtr unstreamed =
        fleet.start(chatCall({.chat = "chat-2", .tokens = outlastsNotice, .stream = false}));
    const Http::Call late = chatCall();
    RawSocket open(router.process.callerAddress());
    open.send("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n");
    fleet.runOn(std::chrono::milliseconds(50));

    router.process.stopGracefully();
    // The balancer may not know yet, so new and open connections are served, each for the last
    // time.
    const Answer early = fleet.finish(fleet.start(chatCall({.chat = "chat-3"})));
    BOOST_TEST(read(early).kind == "whole");
    BOOST_TEST(early.header("connection") == "close");
    fleet.runOn(std::chrono::milliseconds(3100));
    open.send("Authorization: Bearer front-desk-key\r\nContent-Length: "
              + std::to_string(late.body.size()) + "\r\n\r\n" + late.body);
    BOOST_TEST(fleet.runOnUntil([&] { return open.has("request_id"); }));
    BOOST_TEST(open.has(" 503 "));
    BOOST_TEST(open.has("retry-after"));
    BOOST_TEST(open.has(R"("kind":"draining","ran":"no")"));
    const Answer refused = fleet.finish(fleet.start(chatCall()));
    BOOST_TEST((refused.result.end == Http::CallEnd::NotConnected));

    BOOST_TEST(read(fleet.finish(answer)).text == wholeText(answer->requestId(), outlastsNotice));
    BOOST_TEST(read(*answer).kind == "whole");
    BOOST_TEST(read(fleet.finish(unstreamed)).kind == "whole");
    fleet.checkNothingLeft();
}

BOOST_AUTO_TEST_CASE(everyEngineIsAtItsBound)
{
    constexpr std::size_t many = 24;
    for (const bool stream : {true, false}) {
        BOOST_TEST_CONTEXT((stream ? "streamed" : "unstreamed"))
        {
            Fleet fleet;
            std::vector<AnswerPtr> answers(many);
            for (std::size_t i = 0; i < many; ++i)
                answers[i] = fleet.start(chatCall(
                    {.chat = "chat-" + std::to_string(i), .tokens = longAnswer, .stream = stream}));
            fleet.runOn(std::chrono::milliseconds(20));
            BOOST_TEST(fleet.routers.front()->process.placer().waiting() > 0U);
            // The longest wait is half a second; a refusal comes at once when it is over.
            fleet.runOn(std::chrono::milliseconds(650));
            BOOST_TEST(fleet.routers.front()->process.placer().waiting() == 0U);
            std::size_t refused = 0;
            for (const AnswerPtr &answer : answers) {
                const bool isEarly = answer->hasEnded;
                const Seen seen = read(fleet.finish(answer));
                fleet.checkOutcome(*answer);
                if (seen.kind == "whole") {
                    BOOST_TEST(seen.text == wholeText(answer->requestId(), longAnswer));
                    continue;
                }
                ++refused;
                BOOST_TEST(isEarly);
                BOOST_TEST((seen.kind == "queue_full" || seen.kind == "overloaded"), seen.kind);
                BOOST_TEST(seen.ran == "no");
                BOOST_TEST(answer->result.status == 503);
                BOOST_TEST(!answer->header("retry-after").empty());
                BOOST_TEST(fleet.runs("request_id", answer->requestId()).empty());
            }
            BOOST_TEST(refused > 0U);
            BOOST_TEST(refused < many);
            fleet.checkNothingLeft();
        }
    }
}

BOOST_AUTO_TEST_CASE(theCallerLeavesTheQueue)
{
    Fleet fleet({.policy = "max_queue: 100, max_queue_wait_ms: 20000"});
    const Router::RouterProcess &process = fleet.routers.front()->process;
    std::vector<RawSocket> callers;
    callers.reserve(24);
    for (int i = 0; i < 24; ++i) {
        callers.emplace_back(process.callerAddress());
        callers.back().send(
            rawText(chatCall({.chat = "chat-" + std::to_string(i), .tokens = longAnswer})));
    }
    fleet.runOn(std::chrono::milliseconds(150));
    // So slow that nobody gets a place before it is seen who has left.
    for (const auto &engine : fleet.engines)
        fleet.order(*engine, R"({"fault": "slow", "factor": 100})");
    fleet.runOn(std::chrono::milliseconds(1300));
    std::size_t left = 0;
    for (RawSocket &caller : callers) {
        if (caller.has("data: "))
            continue;
        caller.reset();
        ++left;
    }
    BOOST_TEST(left > 0U);
    BOOST_TEST(process.placer().waiting() == left);
    fleet.runOn(std::chrono::milliseconds(500));
    BOOST_TEST(process.placer().waiting() == 0U);
    BOOST_TEST(process.callerApi().inFlight() == callers.size() - left);
    for (const auto &engine : fleet.engines)
        fleet.order(*engine, R"({"fault": "none"})");
    fleet.runOn(std::chrono::seconds(3));
    std::size_t runs = 0;
    for (const auto &engine : fleet.engines)
        runs += fleet.ledger(*engine).size();
    BOOST_TEST(runs == callers.size() - left);
    fleet.checkNothingLeft();
}
