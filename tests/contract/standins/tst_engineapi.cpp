#define BOOST_TEST_MODULE EngineApi
#include "fakeresponder.h"
#include "standins/engine/engineapi.h"
#include "standins/engine/tokentext.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

using namespace Lagoonbank;
using namespace Lagoonbank::Standins;
using Lagoonbank::Tests::FakeResponder;
using State = FakeResponder::State;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr Base::Duration step = milliseconds(5);

struct Fixture
{
    using Answer = std::shared_ptr<FakeResponder>;

    explicit Fixture(EngineApi::Options options = {})
        : api(withFixtureTimers(std::move(options)))
    { }

    EngineApi::Options withFixtureTimers(EngineApi::Options options)
    {
        options.timers = &timers;
        options.model.clock = &clock;
        options.model.step = step;
        options.orders.clock = &clock;
        options.orders.loadTime = milliseconds(100);
        return options;
    }

    Answer request(const std::string &method, const std::string &target,
                   const std::string &body = {})
    {
        const std::size_t queryStart = std::min(target.find('?'), target.size());
        auto answer = std::make_shared<FakeResponder>();
        api.handle({.method = method,
                    .path = target.substr(0, queryStart),
                    .query = target.substr(std::min(queryStart + 1, target.size())),
                    .body = body},
                   answer);
        return answer;
    }
    Answer generate(const std::string &id, int maxTokens = 4,
                    const json &extraFields = json::object())
    {
        json body{
            {"request_id", id}, {"chat", "c"}, {"prompt", "a b c"}, {"max_tokens", maxTokens}};
        body.update(extraFields);
        return request("POST", "/v1/generate", body.dump());
    }
    Answer injectFault(const std::string &body) { return request("POST", "/faults", body); }
    json get(const std::string &target) { return json::parse(request("GET", target)->body()); }
    json ledgerEntries() { return get("/ledger")["entries"]; }

    /// Advances the clock in small steps and runs the timers that are due.
    void pass(Base::Duration duration)
    {
        for (Base::Duration done{}; done < duration; done += milliseconds(1)) {
            clock.advance(milliseconds(1));
            timers.runDue();
        }
    }

    Runtime::ManualClock clock;
    Runtime::TimerQueue timers{clock};
    EngineApi api;
};

std::string tokensOf(const std::string &id, int from, int end)
{
    std::string events;
    for (int i = from; i < end; ++i) {
        events += "data: {\"i\": " + std::to_string(i) + ", \"t\": \"";
        events += tokenText(shortHash(Base::RequestId(id)), i) + "\"}\n\n";
    }
    return events;
}

/// The last event if it marks the stream as complete.
std::optional<json> doneEvent(const std::string &body)
{
    const std::size_t begin = body.rfind("data: ");
    if (begin == std::string::npos)
        return std::nullopt;
    const json event = json::parse(body.substr(begin + 6), nullptr, false);
    if (!event.is_object() || !event.contains("done"))
        return std::nullopt;
    return event;
}

} // namespace

BOOST_AUTO_TEST_CASE(streamIsComplete)
{
    Fixture f;
    const auto answer = f.generate("r-1", 3);
    BOOST_TEST(answer->status() == 200);
    BOOST_TEST(answer->header("x-request-id") == "r-1");
    BOOST_TEST(answer->header("content-type") == "text/event-stream");
    BOOST_TEST(answer->header("x-load") == "work=27;age=0;running=0;queued=1;capacity=8192");
    f.pass(step);
    BOOST_TEST(answer->body() == tokensOf("r-1", 0, 1));
    f.pass(2 * step);
    BOOST_TEST((answer->state() == State::Ended));
    BOOST_TEST(answer->body().starts_with(tokensOf("r-1", 0, 3)));
    const auto done = doneEvent(answer->body());
    BOOST_REQUIRE(done.has_value());
    BOOST_TEST((*done)["n"] == 3);
    BOOST_TEST((*done)["prompt_tokens"] == 3);
    BOOST_TEST((*done)["cached_tokens"] == 0);
    BOOST_TEST((*done)["request_id"] == "r-1");
    BOOST_TEST((*done)["load"]["work"] == 0);
    const json entry = f.ledgerEntries()[0];
    BOOST_TEST(entry["state"] == "whole");
    BOOST_TEST(entry["tokens"] == 3);
    BOOST_TEST(entry["chat"] == "c");
    BOOST_TEST(!f.timers.nextDue().has_value());
    BOOST_TEST(f.api.isIdle());
}

BOOST_AUTO_TEST_CASE(malformedRequestsDoNotRun)
{
    struct Row
    {
        const char *path;
        const char *body;
    };
    const Row rows[] = {
        {"/v1/generate", ""},
        {"/v1/generate", "{"},
        {"/v1/generate", "[1]"},
        {"/v1/generate", R"({"prompt": "a", "max_tokens": 1})"},
        {"/v1/generate", R"({"request_id": "r", "max_tokens": 1})"},
        {"/v1/generate", R"({"request_id": "r", "prompt": "a"})"},
        {"/v1/generate", R"({"request_id": "r", "prompt": "a", "max_tokens": 0})"},
        {"/v1/generate", R"({"request_id": "r", "prompt": "a", "max_tokens": "1"})"},
        {"/v1/generate", R"({"request_id": "r", "prompt": "a", "max_tokens": 1, "x": 1})"},
        {"/v1/generate", R"({"request_id": "r", "prompt": "a", "max_tokens": 1, "priority": -1})"},
        {"/v1/resume", R"({"request_id": "r"})"},
        {"/v1/resume", R"({"request_id": "r", "from": -1})"},
        {"/v1/cancel", "{}"},
        {"/v1/order", R"({"fencing": 1, "order_id": "o"})"},
        {"/v1/order", R"({"fencing": -1, "order_id": "o", "set": {}})"},
        {"/v1/order", R"({"fencing": 1, "order_id": "o", "set": {"colour": "red"}})"},
        {"/v1/order", R"({"fencing": 1, "order_id": "o", "set": {"draining": "yes"}})"},
        {"/v1/cache/import", R"({"chat": "c"})"},
        {"/v1/cache/import", R"({"chat": "c", "blocks": ["x"]})"},
        {"/faults", R"({"fault": "explode"})"}};
    Fixture f;
    for (const Row &row : rows) {
        BOOST_TEST_CONTEXT(row.path << ' ' << row.body)
        {
            const auto answer = f.request("POST", row.path, row.body);
            BOOST_TEST(answer->status() == 400);
            BOOST_TEST(answer->header("x-ran") == "no");
            BOOST_TEST(json::parse(answer->body())["ran"] == "no");
        }
    }
    BOOST_TEST(f.request("GET", "/v1/cache/events?from=x")->status() == 400);
    BOOST_TEST(f.request("GET", "/v1/generate")->status() == 404);
    BOOST_TEST(f.ledgerEntries().empty());
    BOOST_TEST(f.generate("r")->status() == 200);
}

BOOST_AUTO_TEST_CASE(streamIsResumedDuringAndAfterItsRun)
{
    Fixture f;
    const auto first = f.generate("r", 6);
    f.pass(3 * step);
    first->disconnect();
    const auto running = f.request("POST", "/v1/resume", R"({"request_id": "r", "from": 2})");
    BOOST_TEST(running->body() == tokensOf("r", 2, 3));
    f.pass(3 * step);
    BOOST_TEST(running->body().starts_with(tokensOf("r", 2, 6)));
    BOOST_TEST(doneEvent(running->body()).has_value());
    const auto ended = f.request("POST", "/v1/resume", R"({"request_id": "r", "from": 5})");
    BOOST_TEST(ended->body().starts_with(tokensOf("r", 5, 6)));
    BOOST_TEST((ended->state() == State::Ended));
    const auto unknown = f.request("POST", "/v1/resume", R"({"request_id": "x", "from": 0})");
    BOOST_TEST(unknown->status() == 404);
    BOOST_TEST(unknown->header("x-ran") == "no");
    BOOST_TEST(f.ledgerEntries().size() == 1U);
}

BOOST_AUTO_TEST_CASE(generateFromAnOffsetSendsTheRestOfTheSameAnswer)
{
    Fixture f;
    const auto answer = f.generate("r", 5, {{"from", 3}});
    f.pass(5 * step);
    BOOST_TEST(answer->body().starts_with(tokensOf("r", 3, 5)));
    BOOST_TEST((*doneEvent(answer->body()))["n"] == 5);
}

BOOST_AUTO_TEST_CASE(cancelAbortsTheStream)
{
    Fixture f;
    const auto answer = f.generate("r", 50);
    f.pass(2 * step);
    BOOST_TEST(f.request("POST", "/v1/cancel", R"({"request_id": "r"})")->body()
               == R"({"cancelled":true})");
    BOOST_TEST((answer->state() == State::Aborted));
    BOOST_TEST(!doneEvent(answer->body()).has_value());
    BOOST_TEST(f.request("POST", "/v1/cancel", R"({"request_id": "r"})")->body()
               == R"({"cancelled":false})");
    BOOST_TEST(f.ledgerEntries()[0]["state"] == "cancelled");
}

BOOST_AUTO_TEST_CASE(ordersChangeStateAndDrainingRefusesNewRequests)
{
    Fixture f;
    const auto before = f.generate("before", 2);
    const auto ordered = f.request("POST", "/v1/order",
                                   R"({"fencing": 5, "order_id": "o", "set": {"draining": true}})");
    BOOST_TEST(ordered->status() == 200);
    BOOST_TEST(f.get("/v1/state")["draining"] == true);
    BOOST_TEST(f.get("/v1/state")["fencing"] == 5);
    BOOST_TEST(f.get("/v1/load")["draining"] == true);
    const auto refused = f.generate("after");
    BOOST_TEST(refused->status() == 503);
    BOOST_TEST(refused->header("x-ran") == "no");
    f.pass(2 * step);
    BOOST_TEST(doneEvent(before->body()).has_value());
    BOOST_TEST(f.get("/ledger")["refused_after_drain"] == 1);
    BOOST_TEST(f.ledgerEntries().size() == 1U);
    BOOST_TEST(f.ledgerEntries()[0]["after_drain"] == false);

    f.injectFault(R"({"fault": "accept_while_draining", "count": 1})");
    f.generate("taken");
    BOOST_TEST(f.ledgerEntries()[1]["after_drain"] == true);

    const auto old = f.request("POST", "/v1/order",
                               R"({"fencing": 4, "order_id": "p", "set": {"draining": false}})");
    BOOST_TEST(old->status() == 409);
    BOOST_TEST(f.get("/v1/state")["draining"] == true);
    BOOST_TEST(f.get("/ledger")["orders"][1]["applied"] == false);
}

BOOST_AUTO_TEST_CASE(otherWeightsAreLoadedBeforeRequestsAreAccepted)
{
    Fixture f({.orders = {.initial = {.model = Base::ModelId("m")}}});
    BOOST_TEST(f.generate("r-1", 1, {{"model", "n"}})->status() == 503);
    BOOST_TEST(f.generate("r-2", 1, {{"model", "m"}})->status() == 200);
    f.request("POST", "/v1/order", R"({"fencing": 1, "order_id": "o", "set": {"model": "n"}})");
    BOOST_TEST(f.get("/v1/state")["loading"] == true);
    BOOST_TEST(f.generate("r-3", 1, {{"model", "n"}})->status() == 503);
    f.pass(milliseconds(100));
    BOOST_TEST(f.get("/v1/state")["loading"] == false);
    BOOST_TEST(f.generate("r-4", 1, {{"model", "n"}})->status() == 200);
    BOOST_TEST(f.ledgerEntries().size() == 2U);
}

BOOST_AUTO_TEST_CASE(cacheIsExportedAndReportedInEvents)
{
    Fixture from;
    Fixture to;
    std::string prompt;
    for (int i = 0; i < 40; ++i)
        prompt += std::to_string(i) + " ";
    from.generate("r", 1, {{"prompt", prompt}, {"chat", "a/b"}});
    BOOST_TEST(from.request("GET", "/v1/cache/export?chat=a%2Fb")->status() == 404);
    from.pass(step);
    const json events = from.get("/v1/cache/events?from=0");
    BOOST_TEST(events["next"] == 1);
    BOOST_TEST(events["events"][0]["op"] == "stored");
    BOOST_TEST(events["events"][0]["chat"] == "a/b");
    BOOST_TEST(events["events"][0]["tokens"] == 32);
    const auto exported = from.request("GET", "/v1/cache/export?chat=a%2Fb");
    BOOST_TEST(exported->status() == 200);
    BOOST_TEST(to.request("POST", "/v1/cache/import", exported->body())->status() == 200);
    const auto answer = to.generate("s", 1, {{"prompt", prompt}, {"chat", "a/b"}});
    to.pass(step);
    BOOST_TEST((*doneEvent(answer->body()))["cached_tokens"] == 32);
}

BOOST_AUTO_TEST_CASE(eachFaultHasItsEffect)
{
    struct Row
    {
        const char *fault;
        State state;
        int status;
        std::size_t tokens; ///< Tokens that the caller receives, of 4.
        bool done;
        std::vector<std::string> ledger;
        int resumeStatus;
    };
    const Row rows[] = {
        {R"({"fault": "crash_before")", State::Aborted, 0, 0, false, {}, 404},
        {R"({"fault": "crash_after_request")", State::Aborted, 0, 0, false, {"whole"}, 404},
        {R"({"fault": "crash_after_request", "keep": true)",
         State::Aborted,
         0,
         0,
         false,
         {"whole"},
         200},
        {R"({"fault": "crash_mid_stream", "after_tokens": 2)",
         State::Aborted,
         200,
         2,
         false,
         {"crashed"},
         404},
        {R"({"fault": "crash_mid_stream", "after_tokens": 2, "keep": true)",
         State::Aborted,
         200,
         2,
         false,
         {"whole"},
         200},
        {R"({"fault": "crash_after_answer")", State::Aborted, 200, 4, true, {"whole"}, 404},
        {R"({"fault": "silent")", State::Waiting, 0, 0, false, {}, 404},
        {R"({"fault": "silent", "after_tokens": 3)",
         State::Streaming,
         200,
         3,
         false,
         {"whole"},
         200},
        {R"({"fault": "cut", "after_tokens": 1)", State::Ended, 200, 1, false, {"whole"}, 200},
        {R"({"fault": "ran_but_refused")", State::Ended, 503, 0, false, {"whole"}, 200},
        {R"({"fault": "run_twice")", State::Ended, 200, 4, true, {"whole", "whole"}, 200},
        {R"({"fault": "refuse")", State::Ended, 503, 0, false, {}, 404},
        {R"({"fault": "late", "delay_ms": 90)", State::Ended, 200, 4, true, {"whole"}, 200}};
    for (const Row &row : rows) {
        BOOST_TEST_CONTEXT(row.fault)
        {
            Fixture f;
            BOOST_TEST(f.injectFault(std::string(row.fault) + R"(, "count": 1})")->status() == 200);
            const auto answer = f.generate("r", 4);
            f.pass(milliseconds(100));
            BOOST_TEST((answer->state() == row.state));
            BOOST_TEST(answer->status() == row.status);
            const int tokens = static_cast<int>(row.tokens);
            if (answer->status() == 200)
                BOOST_TEST(answer->body().starts_with(tokensOf("r", 0, tokens)));
            BOOST_TEST(answer->body().find("\"i\": " + std::to_string(tokens))
                       == std::string::npos);
            BOOST_TEST(doneEvent(answer->body()).has_value() == row.done);
            std::vector<std::string> ledger;
            for (const json &entry : f.ledgerEntries())
                ledger.push_back(entry["state"]);
            BOOST_TEST(ledger == row.ledger, boost::test_tools::per_element());
            const auto resumed =
                f.request("POST", "/v1/resume", R"({"request_id": "r", "from": 0})");
            BOOST_TEST(resumed->status() == row.resumeStatus);
            const auto next = f.generate("next", 2);
            f.pass(milliseconds(20));
            BOOST_TEST(doneEvent(next->body()).has_value());
        }
    }
}

BOOST_AUTO_TEST_CASE(crossedAnswerHasContentOfAnotherRequest)
{
    for (const bool keepId : {false, true}) {
        Fixture f;
        f.generate("first", 2);
        f.injectFault(json{{"fault", "crossed"}, {"count", 1}, {"keep_id", keepId}}.dump());
        const auto answer = f.generate("second", 2);
        f.pass(2 * step);
        const std::string shown = keepId ? "second" : "first";
        BOOST_TEST(answer->header("x-request-id") == shown);
        BOOST_TEST((*doneEvent(answer->body()))["request_id"] == shown);
        BOOST_TEST(answer->body().starts_with(tokensOf("first", 0, 2)));
    }
}

BOOST_AUTO_TEST_CASE(lateAnswerBeginsAfterItsDelay)
{
    Fixture f;
    f.injectFault(R"({"fault": "late", "delay_ms": 50})");
    const auto answer = f.generate("r", 2);
    f.pass(milliseconds(49));
    BOOST_TEST((answer->state() == State::Waiting));
    BOOST_TEST(!f.api.isIdle());
    f.pass(milliseconds(1));
    BOOST_TEST(doneEvent(answer->body()).has_value());
    BOOST_TEST(f.api.isIdle());
}

BOOST_AUTO_TEST_CASE(flappingEngineBreaksConnectionsWhileDown)
{
    Fixture f;
    f.injectFault(R"({"fault": "flap", "period_ms": 40})");
    BOOST_TEST((f.generate("r")->state() == State::Aborted));
    BOOST_TEST((f.request("GET", "/v1/load")->state() == State::Aborted));
    BOOST_TEST(f.request("GET", "/ledger")->status() == 200);
    f.pass(milliseconds(40));
    BOOST_TEST(f.generate("r")->status() == 200);
    f.pass(milliseconds(40));
    BOOST_TEST((f.generate("r")->state() == State::Aborted));
    f.injectFault(R"({"fault": "none"})");
    BOOST_TEST(f.generate("r")->status() == 200);
}

BOOST_AUTO_TEST_CASE(drainingFinishesRunsAndAbortsUnansweredRequests)
{
    Fixture f;
    f.injectFault(R"({"fault": "silent", "count": 1})");
    const auto silent = f.generate("silent");
    const auto running = f.generate("running", 3);
    f.api.startDraining();
    BOOST_TEST((silent->state() == State::Aborted));
    BOOST_TEST(!f.api.isIdle());
    BOOST_TEST(f.generate("late")->status() == 503);
    f.pass(3 * step);
    BOOST_TEST(doneEvent(running->body()).has_value());
    BOOST_TEST(f.api.isIdle());
}

BOOST_AUTO_TEST_CASE(ledgerIsClearedOnRequest)
{
    Fixture f;
    f.generate("r", 1);
    f.pass(step);
    BOOST_TEST(f.get("/ledger?clear=true")["entries"].size() == 1U);
    BOOST_TEST(f.get("/ledger")["entries"].empty());
}
