#define BOOST_TEST_MODULE callerinterface
#include <boost/test/unit_test.hpp>

#include "contract/router/fleetfixture.h"

#include <algorithm>

using namespace Lagoonbank;
using namespace Lagoonbank::Test;

namespace {

constexpr const char *modelPath = "/v1/chat/completions";
constexpr const char *key = "front-desk-key";
const std::string goodBody(chatCall().body.view());

struct Case
{
    const char *name;
    int status;
    const char *kind;
    std::string body = goodBody;
    std::string target = modelPath;
    std::string method = "POST";
    std::string bearer = key;
    Http::Headers headers = {};
};

std::string bodyWith(const std::string &member, const Json &value)
{
    Json body = Json::parse(goodBody);
    body[member] = value;
    return body.dump();
}

const std::vector<Case> refusals{
    {"malformed JSON", 400, "bad_request", "{\"model\": "},
    {"not an object", 400, "bad_request", "[1, 2]"},
    {"empty body", 400, "bad_request", ""},
    {"no model", 400, "bad_request", R"({"messages": [{"role": "user", "content": "a"}]})"},
    {"model is not a string", 400, "bad_request", bodyWith("model", 7)},
    {"no messages", 400, "bad_request", R"({"model": "assistant"})"},
    {"message is not an object", 400, "bad_request", bodyWith("messages", {"hello"})},
    {"unknown model", 404, "unknown_model", bodyWith("model", "nobody")},
    {"model with a line break", 404, "unknown_model", bodyWith("model", "a\r\nX-Evil: 1")},
    {"model outside of the contract", 403, "service_not_allowed", bodyWith("model", "unused")},
    {"max_tokens of zero", 400, "bad_request", bodyWith("max_tokens", 0)},
    {"max_tokens is a string", 400, "bad_request", bodyWith("max_tokens", "9")},
    {"max_tokens too large", 400, "bad_request", bodyWith("max_tokens", 1'000'001)},
    {"stream is not a Boolean", 400, "bad_request", bodyWith("stream", "yes")},
    {"unknown priority", 403, "priority_not_allowed", bodyWith("priority", "royal")},
    {"missing key", 401, "missing_key", goodBody, modelPath, "POST", ""},
    {"wrong key", 401, "unknown_key", goodBody, modelPath, "POST", "front-desk-kez"},
    {"deadline is not a number",
     400,
     "bad_request",
     goodBody,
     modelPath,
     "POST",
     key,
     {{"x-deadline-ms", "soon"}}},
    {"deadline of zero",
     400,
     "bad_request",
     goodBody,
     modelPath,
     "POST",
     key,
     {{"x-deadline-ms", "0"}}},
    {"deadline below zero",
     400,
     "bad_request",
     goodBody,
     modelPath,
     "POST",
     key,
     {{"x-deadline-ms", "-5"}}},
    {"empty idempotency key",
     400,
     "bad_request",
     goodBody,
     modelPath,
     "POST",
     key,
     {{"idempotency-key", ""}}},
    {"long idempotency key",
     400,
     "bad_request",
     goodBody,
     modelPath,
     "POST",
     key,
     {{"idempotency-key", std::string(201, 'k')}}},
    {"body too large", 413, "body_too_large", std::string(5000, ' ')},
    {"unknown path", 404, "not_found", goodBody, "/v1/completions"},
    {"no path", 404, "not_found", "", "/", "GET"},
    {"wrong method", 405, "method_not_allowed", "", modelPath, "GET"},
    {"unknown service", 404, "unknown_service", "{}", "/services/nothing/x"},
    {"service without a name", 404, "unknown_service", "{}", "/services/"},
    {"service outside of the contract", 403, "service_not_allowed", "{}", "/services/ledger/x"},
    {"service without a key", 401, "missing_key", "{}", "/services/booking/x", "POST", ""},
};

FleetOptions smallBodies()
{
    return {.limits = {.maxBodyBytes = 4096}};
}

/// Checks that the next request succeeds, whatever the previous one was.
void checkNextRequestSucceeds(Fleet &fleet)
{
    const Answer next = fleet.finish(fleet.start(chatCall()));
    BOOST_TEST(parseAnswer(next).kind == "whole");
    BOOST_TEST(parseAnswer(next).text == expectedText(next.requestId(), 8));
}

/// File and line of a contract field in the configuration, as error responses state it.
std::string positionOf(const Fleet &fleet, const std::string &contract, const std::string &field)
{
    const std::string text = fleet.configuration();
    const std::size_t offset = text.find(field, text.find("name: " + contract));
    const auto end = text.begin() + static_cast<std::ptrdiff_t>(offset);
    return "fleet.yaml:" + std::to_string(std::count(text.begin(), end, '\n') + 1);
}

} // namespace

BOOST_AUTO_TEST_CASE(refusedRequests)
{
    Fleet fleet(smallBodies());
    for (const Case &row : refusals) {
        BOOST_TEST_CONTEXT(row.name)
        {
            const Answer answer = fleet.finish(fleet.start(
                makeCall(row.method, row.target, headersOf(row.bearer, row.headers), row.body)));
            BOOST_TEST(answer.result.status == row.status);
            BOOST_TEST(!answer.requestId().empty());
            BOOST_TEST(parseAnswer(answer).kind == row.kind);
            BOOST_TEST(parseAnswer(answer).ran == "no");
            BOOST_TEST(fleet.runStates("request_id", answer.requestId()).empty());
            fleet.checkOutcome(answer);
            checkNextRequestSucceeds(fleet);
            fleet.checkNoStateLeft();
        }
    }
}

BOOST_AUTO_TEST_CASE(contractRateLimits)
{
    struct Row
    {
        const char *workspace;
        std::size_t accepted; ///< Number of requests before one is refused.
        int tokens;
        const char *kind;
        const char *limit;
    };
    for (const Row &row : {Row{"kiosk", 2, 8, "rate_limited", "requests_per_second"},
                           Row{"meter", 1, 90, "token_rate_limited", "tokens_per_second"}}) {
        BOOST_TEST_CONTEXT(row.workspace)
        {
            Fleet fleet;
            const Http::Call call =
                chatCall({.tokens = row.tokens, .key = row.workspace + std::string("-key")});
            std::vector<AnswerPtr> first(row.accepted);
            for (AnswerPtr &answer : first)
                answer = fleet.start(call);
            fleet.runFor(std::chrono::milliseconds(50));
            const Answer refused = fleet.finish(fleet.start(call));
            BOOST_TEST(refused.result.status == 429);
            BOOST_TEST(parseAnswer(refused).kind == row.kind);
            BOOST_TEST(parseAnswer(refused).ran == "no");
            BOOST_TEST(parseAnswer(refused).error["limit"] == row.limit);
            BOOST_TEST(parseAnswer(refused).error["contract"]
                       == positionOf(fleet, row.workspace, row.limit));
            const int wait = std::stoi("0" + refused.header("retry-after"));
            BOOST_TEST(wait > 0);
            for (const AnswerPtr &answer : first)
                BOOST_TEST(parseAnswer(fleet.finish(answer)).kind == "whole");
            BOOST_TEST(fleet.runStates("request_id", refused.requestId()).empty());
            fleet.checkOutcome(refused);

            fleet.runFor(std::chrono::seconds(wait)); // The request succeeds after Retry-After.
            BOOST_TEST(parseAnswer(fleet.finish(fleet.start(call))).kind == "whole");
            fleet.checkNoStateLeft();
        }
    }
}

BOOST_AUTO_TEST_CASE(contractConcurrencyLimit)
{
    Fleet fleet;
    const Http::Call call = chatCall({.tokens = 40, .key = "single-key"});
    const AnswerPtr first = fleet.start(call);
    fleet.runFor(std::chrono::milliseconds(50));
    const Answer refused = fleet.finish(fleet.start(call));
    BOOST_TEST(parseAnswer(refused).kind == "concurrency_limited");
    BOOST_TEST(parseAnswer(refused).error["limit"] == "concurrency");
    BOOST_TEST(parseAnswer(refused).error["contract"]
               == positionOf(fleet, "single", "concurrency"));
    fleet.checkOutcome(refused);
    BOOST_TEST(parseAnswer(fleet.finish(first)).text == expectedText(first->requestId(), 40));
    BOOST_TEST(parseAnswer(fleet.finish(fleet.start(call))).kind == "whole");
    fleet.checkNoStateLeft();
}

BOOST_AUTO_TEST_CASE(requestCannotInjectHeaders)
{
    const std::string head = "Host: a\r\nAuthorization: Bearer front-desk-key\r\n"
                             "Content-Length: 2\r\n";
    const std::string booking = "POST /services/booking/bookings";
    const std::vector<std::string> requests{
        booking + "%0d%0aX-Evil:%201 HTTP/1.1\r\n" + head + "\r\n{}",
        booking + "?a=%0d%0aX-Evil:%201 HTTP/1.1\r\n" + head + "\r\n{}",
        booking + "%20HTTP/1.1%0d%0a%0d%0aGET%20/x HTTP/1.1\r\n" + head + "\r\n{}",
        booking + " HTTP/1.1\r\n" + head + "Content-Type: a\x01" + "b\r\n\r\n{}",
        booking + " HTTP/1.1\r\n" + head + "Idempotency-Key: a\rX-Evil: 1\r\n\r\n{}",
        booking + " HTTP/1.1\r\n" + head + "X-Request-Id: mine\r\n\r\n{}",
    };
    Fleet fleet;
    for (const std::string &request : requests) {
        BOOST_TEST_CONTEXT(request)
        {
            RawSocket socket(fleet.routers.front()->process.callerAddress());
            socket.send(request);
            BOOST_TEST(fleet.runUntil([&] { return socket.has("\r\n\r\n") || socket.isEnded(); }));
            fleet.runFor(std::chrono::milliseconds(100));
            BOOST_TEST(!socket.has("x-evil"));
            checkNextRequestSucceeds(fleet);
        }
    }
    for (const auto &service : fleet.services) {
        for (const Json &run : fleet.ledgerEntries(*service)) {
            // Every run has the router's request id, under which its outcome is available.
            BOOST_TEST(run["request_id"] != "mine");
            BOOST_TEST(fleet.outcome(run["request_id"].get<std::string>())["outcome"] == "whole");
        }
    }
    fleet.checkNoStateLeft();
}

BOOST_AUTO_TEST_CASE(incompleteRequests)
{
    const std::string head = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
                             "Authorization: Bearer front-desk-key\r\nContent-Length: "
        + std::to_string(goodBody.size()) + "\r\n\r\n";
    Fleet fleet;
    const auto &address = fleet.routers.front()->process.callerAddress();
    BOOST_TEST_CONTEXT("slow sender")
    {
        RawSocket slow(address);
        slow.send(head + goodBody.substr(0, 20));
        BOOST_TEST(fleet.runUntil([&] { return slow.isEnded(); }, std::chrono::seconds(15)));
        BOOST_TEST(slow.has(" 408 "));
        BOOST_TEST(slow.has("slow_sender"));
        BOOST_TEST(slow.has("x-request-id"));
    }
    BOOST_TEST_CONTEXT("disconnects within the body")
    {
        RawSocket disconnecting(address);
        disconnecting.send(head + goodBody.substr(0, 20));
        fleet.runFor(std::chrono::milliseconds(50));
        disconnecting.reset();
        fleet.runFor(std::chrono::milliseconds(50));
    }
    BOOST_TEST_CONTEXT("half-closed after the request")
    {
        RawSocket halfClosed(address);
        halfClosed.send(head + goodBody);
        halfClosed.finishSending();
        BOOST_TEST(fleet.runUntil([&] { return halfClosed.isEnded(); }));
        BOOST_TEST(halfClosed.has(" 200 "));
        BOOST_TEST(halfClosed.has("data: [DONE]"));
    }
    checkNextRequestSucceeds(fleet);
    fleet.checkNoStateLeft();
}

BOOST_AUTO_TEST_CASE(healthAndReadiness)
{
    Fleet fleet;
    for (const char *path : {"/healthz", "/readyz"}) {
        const Answer answer = fleet.finish(fleet.start(makeCall("GET", path)));
        BOOST_TEST(answer.result.status == 200);
        BOOST_TEST(!answer.requestId().empty());
    }
}
