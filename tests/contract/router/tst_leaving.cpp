#define BOOST_TEST_MODULE leaving
#include <boost/test/unit_test.hpp>

#include "contract/router/fleetfixture.h"

using namespace Lagoonbank;
using namespace Lagoonbank::Test;

namespace {

constexpr int longAnswer = 200; ///< Number of tokens; they take one second.
/// Number of tokens that take over a second longer than the notice of a stop.
constexpr int answerBeyondNotice = 900;

/// The run that started last at any engine.
Json latestRun(Fleet &fleet)
{
    Json latest;
    for (const auto &engine : fleet.engines) {
        for (const Json &run : fleet.ledgerEntries(*engine)) {
            if (latest.is_null() || latest["started_ms"] <= run["started_ms"])
                latest = run;
        }
    }
    return latest;
}

/// The call as HTTP/1.1 text.
std::string toHttpText(const Http::Call &call)
{
    std::string text = call.method + ' ' + call.target + " HTTP/1.1\r\nhost: a\r\n";
    for (const Http::Header &header : call.headers.fields())
        text += header.name + ": " + header.value + "\r\n";
    return text + "content-length: " + std::to_string(call.body.size()) + "\r\n\r\n"
        + std::string(call.body.view());
}

AnswerPtr startStream(Fleet &fleet, const Chat &chat = {.tokens = longAnswer})
{
    AnswerPtr answer = fleet.start(chatCall(chat));
    BOOST_REQUIRE(fleet.runUntil([&] { return answer->body.size() > 1000; }));
    return answer;
}

} // namespace

BOOST_AUTO_TEST_CASE(callerDisconnectsDuringAnswer)
{
    struct Row
    {
        bool stream;
        /// Whether the connection is reset. Otherwise it is closed, which the router can tell from
        /// a half-close only while it streams the answer.
        bool resets;
    };
    for (const Row &row : {Row{true, false}, Row{true, true}, Row{false, true}}) {
        BOOST_TEST_CONTEXT((row.stream ? "streamed, " : "unstreamed, ")
                           << (row.resets ? "resets" : "closes"))
        {
            Fleet fleet;
            RawSocket caller(fleet.routers.front()->process.callerAddress());
            caller.send(toHttpText(chatCall({.tokens = longAnswer, .stream = row.stream})));
            BOOST_REQUIRE(fleet.runUntil([&] { return !latestRun(fleet).is_null(); }));
            fleet.runFor(std::chrono::milliseconds(100));
            BOOST_TEST(caller.has("data: ") == row.stream);
            if (row.resets)
                caller.reset();
            else
                caller.close();
            fleet.runFor(std::chrono::milliseconds(500));
            const Json run = latestRun(fleet);
            BOOST_TEST(run["state"] == "cancelled");
            const Json outcome = fleet.outcome(run["request_id"].get<std::string>());
            BOOST_TEST(outcome["cause"] == "caller_left");
            BOOST_TEST(outcome["ran"] == "unknown");
            fleet.checkNoStateLeft();
        }
    }
}

BOOST_AUTO_TEST_CASE(drainingEngineFinishesItsStream)
{
    Fleet fleet;
    const AnswerPtr answer = startStream(fleet);
    const std::string drainingEngine = answer->header("x-endpoint");
    fleet.draining = drainingEngine;
    fleet.configure(*fleet.routers.front());
    fleet.runFor(std::chrono::milliseconds(20));
    for (int i = 0; i < 4; ++i) {
        const Answer next = fleet.finish(fleet.start(chatCall()));
        BOOST_TEST(parseAnswer(next).kind == "whole");
        BOOST_TEST(next.header("x-endpoint") != drainingEngine);
    }
    BOOST_TEST(!answer->hasEnded);
    BOOST_TEST(parseAnswer(fleet.finish(answer)).text
               == expectedText(answer->requestId(), longAnswer));
    BOOST_TEST(parseAnswer(*answer).kind == "whole");
    BOOST_TEST(fleet.ledgerEntries(fleet.engine(drainingEngine)).size() == 1U);
    fleet.checkNoStateLeft();
}

BOOST_AUTO_TEST_CASE(stoppingRouterFinishesRequestsInFlight)
{
    Fleet fleet;
    RouterUnit &router = *fleet.routers.front();
    const AnswerPtr answer = startStream(fleet, {.tokens = answerBeyondNotice});
    const AnswerPtr unstreamed =
        fleet.start(chatCall({.chat = "chat-2", .tokens = answerBeyondNotice, .stream = false}));
    const Http::Call late = chatCall();
    RawSocket open(router.process.callerAddress());
    open.send("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n");
    fleet.runFor(std::chrono::milliseconds(50));

    router.process.stopGracefully();
    // The load balancer may not know of the stop yet, so one more request is served on each new or
    // open connection.
    const Answer early = fleet.finish(fleet.start(chatCall({.chat = "chat-3"})));
    BOOST_TEST(parseAnswer(early).kind == "whole");
    BOOST_TEST(early.header("connection") == "close");
    fleet.runFor(std::chrono::milliseconds(3100));
    open.send("Authorization: Bearer front-desk-key\r\nContent-Length: "
              + std::to_string(late.body.size()) + "\r\n\r\n" + std::string(late.body.view()));
    BOOST_TEST(fleet.runUntil([&] { return open.has("request_id"); }));
    BOOST_TEST(open.has(" 503 "));
    BOOST_TEST(open.has("retry-after"));
    BOOST_TEST(open.has(R"("kind":"draining","ran":"no")"));
    const Answer refused = fleet.finish(fleet.start(chatCall()));
    BOOST_TEST((refused.result.end == Http::CallEnd::NotConnected));

    BOOST_TEST(parseAnswer(fleet.finish(answer)).text
               == expectedText(answer->requestId(), answerBeyondNotice));
    BOOST_TEST(parseAnswer(*answer).kind == "whole");
    BOOST_TEST(parseAnswer(fleet.finish(unstreamed)).kind == "whole");
    fleet.checkNoStateLeft();
}

BOOST_AUTO_TEST_CASE(requestsQueueAndAreRefusedAtFullEngines)
{
    constexpr std::size_t requestCount = 24;
    for (const bool stream : {true, false}) {
        BOOST_TEST_CONTEXT((stream ? "streamed" : "unstreamed"))
        {
            Fleet fleet;
            std::vector<AnswerPtr> answers(requestCount);
            for (std::size_t i = 0; i < requestCount; ++i)
                answers[i] = fleet.start(chatCall(
                    {.chat = "chat-" + std::to_string(i), .tokens = longAnswer, .stream = stream}));
            fleet.runFor(std::chrono::milliseconds(20));
            BOOST_TEST(fleet.routers.front()->process.placer().waiting() > 0U);
            // Requests wait for half a second at most and are then refused at once.
            fleet.runFor(std::chrono::milliseconds(650));
            BOOST_TEST(fleet.routers.front()->process.placer().waiting() == 0U);
            std::size_t refused = 0;
            for (const AnswerPtr &answer : answers) {
                const bool hadEnded = answer->hasEnded;
                const ParsedAnswer parsed = parseAnswer(fleet.finish(answer));
                fleet.checkOutcome(*answer);
                if (parsed.kind == "whole") {
                    BOOST_TEST(parsed.text == expectedText(answer->requestId(), longAnswer));
                    continue;
                }
                ++refused;
                BOOST_TEST(hadEnded);
                BOOST_TEST((parsed.kind == "queue_full" || parsed.kind == "overloaded"),
                           parsed.kind);
                BOOST_TEST(parsed.ran == "no");
                BOOST_TEST(answer->result.status == 503);
                BOOST_TEST(!answer->header("retry-after").empty());
                BOOST_TEST(fleet.runStates("request_id", answer->requestId()).empty());
            }
            BOOST_TEST(refused > 0U);
            BOOST_TEST(refused < requestCount);
            fleet.checkNoStateLeft();
        }
    }
}

BOOST_AUTO_TEST_CASE(queuedCallersDisconnect)
{
    Fleet fleet({.policy = "max_queue: 100, max_queue_wait_ms: 20000"});
    const Router::RouterProcess &process = fleet.routers.front()->process;
    std::vector<RawSocket> callers;
    callers.reserve(24);
    for (int i = 0; i < 24; ++i) {
        callers.emplace_back(process.callerAddress());
        callers.back().send(
            toHttpText(chatCall({.chat = "chat-" + std::to_string(i), .tokens = longAnswer})));
    }
    fleet.runFor(std::chrono::milliseconds(150));
    // So slow that no queued request is started before the router detects who has disconnected.
    for (const auto &engine : fleet.engines)
        fleet.injectFault(*engine, R"({"fault": "slow", "factor": 100})");
    fleet.runFor(std::chrono::milliseconds(1300));
    std::size_t disconnected = 0;
    for (RawSocket &caller : callers) {
        if (caller.has("data: "))
            continue;
        caller.reset();
        ++disconnected;
    }
    BOOST_TEST(disconnected > 0U);
    BOOST_TEST(process.placer().waiting() == disconnected);
    fleet.runFor(std::chrono::milliseconds(500));
    BOOST_TEST(process.placer().waiting() == 0U);
    BOOST_TEST(process.callerApi().inFlight() == callers.size() - disconnected);
    for (const auto &engine : fleet.engines)
        fleet.injectFault(*engine, R"({"fault": "none"})");
    fleet.runFor(std::chrono::seconds(3));
    std::size_t runs = 0;
    for (const auto &engine : fleet.engines)
        runs += fleet.ledgerEntries(*engine).size();
    BOOST_TEST(runs == callers.size() - disconnected);
    fleet.checkNoStateLeft();
}
