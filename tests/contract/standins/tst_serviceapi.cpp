#define BOOST_TEST_MODULE ServiceApi
#include "fakeresponder.h"
#include "standins/service/serviceapi.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

using namespace Lagoonbank;
using namespace Lagoonbank::Standins;
using Lagoonbank::Tests::FakeResponder;
using State = FakeResponder::State;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

struct Fixture
{
    using Answer = std::shared_ptr<FakeResponder>;

    explicit Fixture(ServiceApi::Options options = {})
        : api(withFixtureTimers(std::move(options)))
    { }

    ServiceApi::Options withFixtureTimers(ServiceApi::Options options)
    {
        options.timers = &timers;
        options.workTime = milliseconds(10);
        return options;
    }

    Answer request(const std::string &method, const std::string &path, const std::string &body = {},
                   const Http::Headers &headers = {})
    {
        auto answer = std::make_shared<FakeResponder>();
        api.handle({.method = method, .path = path, .headers = headers, .body = body}, answer);
        return answer;
    }
    Answer book(const std::string &id, const std::string &body = "room 3")
    {
        return request("POST", "/bookings", body,
                       {{"x-request-id", id}, {"idempotency-key", "key-" + id}});
    }
    json get(const std::string &path) { return json::parse(request("GET", path)->body()); }

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
    ServiceApi api;
};

} // namespace

BOOST_AUTO_TEST_CASE(callIsAnsweredWithItsReceipt)
{
    Fixture f;
    const auto answer = f.book("r-1");
    f.pass(milliseconds(9));
    BOOST_TEST((answer->state() == State::Waiting));
    f.pass(milliseconds(1));
    BOOST_TEST(answer->status() == 200);
    BOOST_TEST(answer->header("x-request-id") == "r-1");
    const json body = json::parse(answer->body());
    BOOST_TEST(body["request_id"] == "r-1");
    BOOST_TEST(body["key"] == "key-r-1");
    BOOST_TEST(body["run"] == 1);
    BOOST_TEST(body["receipt"] == serviceReceipt("room 3"));
    BOOST_TEST(serviceReceipt("room 3") != serviceReceipt("room 4"));
    const json entry = f.get("/ledger")["entries"][0];
    BOOST_TEST(entry["request_id"] == "r-1");
    BOOST_TEST(entry["key"] == "key-r-1");
    BOOST_TEST(entry["state"] == "whole");
    BOOST_TEST(entry["ended_ms"].get<std::int64_t>() - entry["started_ms"].get<std::int64_t>()
               == 10);
}

BOOST_AUTO_TEST_CASE(requestsBeyondTheConcurrencyLimitWait)
{
    Fixture f({.concurrency = 2});
    std::vector<Fixture::Answer> answers;
    for (const char *id : {"a", "b", "c"})
        answers.push_back(f.book(id));
    const json load = f.get("/v1/load");
    BOOST_TEST(load["running"] == 2);
    BOOST_TEST(load["queued"] == 1);
    BOOST_TEST(load["work"] == 3);
    BOOST_TEST(load["capacity"] == 2);
    f.pass(milliseconds(10));
    BOOST_TEST((answers[1]->state() == State::Ended));
    BOOST_TEST((answers[2]->state() == State::Waiting));
    f.pass(milliseconds(10));
    BOOST_TEST((answers[2]->state() == State::Ended));
    BOOST_TEST(f.api.isIdle());
}

BOOST_AUTO_TEST_CASE(eachFaultHasItsEffect)
{
    struct Row
    {
        const char *fault;
        State state;
        int status;
        std::vector<std::string> ledger;
    };
    const Row rows[] = {{R"({"fault": "crash_before")", State::Aborted, 0, {}},
                        {R"({"fault": "crash_after_request")", State::Aborted, 0, {"whole"}},
                        {R"({"fault": "silent")", State::Waiting, 0, {}},
                        {R"({"fault": "refuse")", State::Ended, 503, {}},
                        {R"({"fault": "late", "delay_ms": 20)", State::Ended, 200, {"whole"}},
                        {R"({"fault": "run_twice")", State::Ended, 200, {"whole", "whole"}},
                        {R"({"fault": "ran_but_refused")", State::Ended, 503, {"whole"}}};
    for (const Row &row : rows) {
        BOOST_TEST_CONTEXT(row.fault)
        {
            Fixture f;
            f.request("POST", "/faults", std::string(row.fault) + R"(, "count": 1})");
            const auto answer = f.book("r");
            f.pass(milliseconds(30));
            BOOST_TEST((answer->state() == row.state));
            BOOST_TEST(answer->status() == row.status);
            BOOST_TEST((answer->header("x-ran") == "no") == (row.status == 503));
            std::vector<std::string> ledger;
            const json entries = f.get("/ledger")["entries"];
            for (const json &entry : entries)
                ledger.push_back(entry["state"]);
            BOOST_TEST(ledger == row.ledger, boost::test_tools::per_element());
            const auto next = f.book("next");
            f.pass(milliseconds(10));
            BOOST_TEST(next->status() == 200);
        }
    }
}

BOOST_AUTO_TEST_CASE(crossedAnswerHasContentOfAnotherRequest)
{
    for (const bool keepId : {false, true}) {
        Fixture f;
        f.book("first", "room 1");
        f.pass(milliseconds(10));
        f.request("POST", "/faults",
                  json{{"fault", "crossed"}, {"count", 1}, {"keep_id", keepId}}.dump());
        const auto answer = f.book("second", "room 2");
        f.pass(milliseconds(10));
        const json body = json::parse(answer->body());
        BOOST_TEST(body["request_id"] == (keepId ? "second" : "first"));
        BOOST_TEST(answer->header("x-request-id") == (keepId ? "second" : "first"));
        BOOST_TEST(body["receipt"] == serviceReceipt("room 1"));
    }
}

BOOST_AUTO_TEST_CASE(slowAndFlapAffectAllRequests)
{
    Fixture f;
    f.request("POST", "/faults", R"({"fault": "slow", "factor": 3})");
    const auto slow = f.book("r");
    f.pass(milliseconds(29));
    BOOST_TEST((slow->state() == State::Waiting));
    f.pass(milliseconds(1));
    BOOST_TEST(slow->status() == 200);
    f.request("POST", "/faults", R"({"fault": "flap", "period_ms": 50})");
    BOOST_TEST((f.book("s")->state() == State::Aborted));
    f.pass(milliseconds(50));
    BOOST_TEST((f.book("t")->state() == State::Waiting));
}

BOOST_AUTO_TEST_CASE(fullQueueAndDrainingRefuseWithoutRunning)
{
    Fixture f({.concurrency = 1, .maxQueuedRequests = 1});
    f.book("runs");
    f.book("waits");
    const auto full = f.book("too-many");
    BOOST_TEST(full->status() == 429);
    BOOST_TEST(full->header("x-ran") == "no");
    f.api.startDraining();
    const auto leaving = f.book("late");
    BOOST_TEST(leaving->status() == 503);
    BOOST_TEST(leaving->header("x-ran") == "no");
    BOOST_TEST(f.get("/v1/load")["draining"] == true);
    f.pass(milliseconds(20));
    BOOST_TEST(f.api.isIdle());
    BOOST_TEST(f.get("/ledger")["entries"].size() == 2U);
    BOOST_TEST(f.get("/ledger")["refused"] == 2);
}
