#define BOOST_TEST_MODULE tst_platforminterface
#include "platformfixture.h"

using namespace Lagoonbank;
using namespace std::chrono_literals;

namespace {

struct InterfaceCase
{
    const char *method;
    const char *target;
    const char *body;
    int status;
    const char *answer; ///< Expected body; not checked if null.
};

/// Run in this order against one stand-in.
const InterfaceCase cases[] = {
    {"GET", "/log/claims", "", 200, R"({"first":0,"next":0,"records":[]})"},
    {"POST", "/log/claims/append", R"({"records":[{"id":"a","data":"1"},{"id":"b","data":"2"}]})",
     200, R"({"offsets":[0,1]})"},
    {"POST", "/log/claims/append", R"({"records":[{"id":"a","data":"3"}]})", 200,
     R"({"offsets":[2]})"},
    {"POST", "/log/leases/append", R"({"records":[{"id":"c","data":""}]})", 200,
     R"({"offsets":[0]})"},
    {"GET", "/log/claims?from=1&limit=1", "", 200,
     R"({"first":1,"next":2,"records":[{"data":"2","id":"b","offset":1}]})"},
    {"GET", "/log/claims?from=3", "", 200, R"({"first":3,"next":3,"records":[]})"},
    {"GET", "/log/claims?from=7&wait_ms=100", "", 200, R"({"first":0,"next":3,"records":[]})"},
    {"POST", "/log/claims/append", "{", 400, nullptr},
    {"POST", "/log/claims/append", R"({"records":[]})", 400, nullptr},
    {"POST", "/log/claims/append", R"({"records":[{"id":"a"}]})", 400, nullptr},
    {"POST", "/log/claims/append", R"({"records":[{"id":"a","data":1}]})", 400, nullptr},
    {"POST", "/log/claims/append", R"({"records":[{"id":"a","data":"","x":1}]})", 400, nullptr},
    {"POST", "/log/claims/append", R"({"records":[{"id":"a","data":""}],"x":1})", 400, nullptr},
    {"POST", "/log//append", R"({"records":[{"id":"a","data":""}]})", 404, nullptr},
    {"POST", "/log/claims", "", 404, nullptr},
    {"GET", "/log/claims?from=-1", "", 400, nullptr},
    {"GET", "/log/claims?from=1&until=2", "", 400, nullptr},
    {"GET", "/log/claims?from", "", 400, nullptr},
    {"GET", "/vms", "", 200, R"({"vms":[]})"},
    {"PUT", "/vms", R"({"vms":[{"id":"a","address":"1","data_centre":"d","state":"gone"}]})", 400,
     nullptr},
    {"PUT", "/vms", "[]", 400, nullptr},
    {"DELETE", "/vms", "", 405, nullptr},
    {"POST", "/faults", R"({"fault":"fire"})", 400, nullptr},
    {"POST", "/faults", R"({"fault":"log_slow","ms":-1})", 400, nullptr},
    {"POST", "/faults", R"({"fault":"log_slow","until":1})", 400, nullptr},
    {"POST", "/faults", R"({"fault":"log_slow","count":0})", 400, nullptr},
    {"POST", "/faults", "log_slow", 400, nullptr},
    {"GET", "/faults", "", 405, nullptr},
    {"GET", "/", "", 404, nullptr},
    {"GET", "/log/claims?from=2", "", 200,
     R"({"first":2,"next":3,"records":[{"data":"3","id":"a","offset":2}]})"},
};

} // namespace

BOOST_FIXTURE_TEST_CASE(requestsAreAnswered, PlatformFixture)
{
    for (const InterfaceCase &row : cases) {
        BOOST_TEST_CONTEXT(row.method << ' ' << row.target << ' ' << row.body)
        {
            const auto result = call(row.method, row.target, row.body);
            BOOST_TEST(result.status == row.status);
            if (row.answer != nullptr)
                BOOST_TEST(result.body == row.answer);
        }
    }
}

BOOST_FIXTURE_TEST_CASE(longPollIsAnsweredAtNextAppendOrTimeout, PlatformFixture)
{
    std::vector<std::string> answers;
    const auto poll = [&] {
        client.start({.server = server.address(), .target = "/log/claims?from=0&wait_ms=1000"},
                     {.finished = [&](const auto &result) { answers.push_back(result.body); }});
    };
    poll();
    advanceInSteps(900ms);
    BOOST_TEST(answers.empty());
    BOOST_TEST(advanceUntil([&] { return !answers.empty(); }, 200ms));
    BOOST_TEST(answers[0] == R"({"first":0,"next":0,"records":[]})");
    poll();
    advanceInSteps(100ms);
    call("POST", "/log/claims/append", R"({"records":[{"id":"a","data":"1"}]})");
    BOOST_TEST(runUntil([&] { return answers.size() == 2; }));
    BOOST_TEST(answers[1]
               == R"({"first":0,"next":1,"records":[{"data":"1","id":"a","offset":0}]})");
}

BOOST_AUTO_TEST_CASE(rateLimitCountsAppendsNotRecords)
{
    PlatformFixture fixture({.appendsPerSecond = 20});
    const char *const body = R"({"records":[{"id":"a","data":""},{"id":"b","data":""}]})";
    const auto append = [&] { return fixture.call("POST", "/log/claims/append", body).status; };
    BOOST_TEST(append() == 200);
    BOOST_TEST(append() == 200);
    BOOST_TEST(append() == 429);
    fixture.advance(50ms);
    BOOST_TEST(append() == 200);
    BOOST_TEST(append() == 429);
    BOOST_TEST(fixture.call("GET", "/log/claims?from=6").body
               == R"({"first":6,"next":6,"records":[]})");
}

BOOST_AUTO_TEST_CASE(retentionLimitsAgeAndNumberOfRecords)
{
    PlatformFixture fixture({.retention = {.age = 10s, .records = 2}});
    for (const char *id : {"a", "b", "c"}) {
        fixture.call("POST", "/log/claims/append",
                     std::string(R"({"records":[{"data":"","id":")") + id + "\"}]}");
    }
    BOOST_TEST(fixture.call("GET", "/log/claims?from=0&limit=1").body
               == R"({"first":1,"next":2,"records":[{"data":"","id":"b","offset":1}]})");
    fixture.advance(11s);
    BOOST_TEST(fixture.call("GET", "/log/claims?from=0&wait_ms=1000").body
               == R"({"first":3,"next":3,"records":[]})");
}

BOOST_FIXTURE_TEST_CASE(vmListChangeIsVisibleAfterItsLag, PlatformFixture)
{
    const std::string first =
        R"({"vms":[{"address":"1:1","data_centre":"d","id":"a","state":"live"}]})";
    BOOST_TEST(call("PUT", "/vms", first).status == 200);
    BOOST_TEST(call("GET", "/vms").body == first);
    call("PUT", "/vms", R"({"vms":[]})");
    advance(2900ms);
    BOOST_TEST(call("GET", "/vms").body == first);
    advance(200ms);
    BOOST_TEST(call("GET", "/vms").body == R"({"vms":[]})");
}

BOOST_FIXTURE_TEST_CASE(weightStoreLimitsItsRequestRate, PlatformFixture)
{
    const auto first = call("GET", "/weights/hints/7");
    BOOST_TEST(first.status == 200);
    BOOST_TEST(first.headers.find("x-weight-bytes").value_or("") == "1000000000");
    const auto second = call("GET", "/weights/hints/7");
    BOOST_TEST(second.status == 429);
    BOOST_TEST(second.headers.find("retry-after").value_or("") == "1");
    advance(1s);
    BOOST_TEST(call("GET", "/weights/hints/7").status == 200);
}
