#define BOOST_TEST_MODULE tst_enginecodec
#include <boost/test/unit_test.hpp>

#include "platform/enginecodec.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

using namespace Lagoonbank;

namespace {

struct Fixture
{
    Fixture()
    {
        request.id = Base::RequestId("9c41");
        request.method = "POST";
        request.host = "h.example";
        request.target = "/x?a=b";
        request.headers = {{"x-own", "kept"}};
        request.body = "body";
        endpoint.id = Base::EndpointId("i-7f");
        endpoint.address = {"10.0.0.1", 80};
    }
    Http::Call call(Gateway::Send send = {})
    {
        send.request = &request;
        send.endpoint = &endpoint;
        return protocol.makeCall(send);
    }
    Gateway::HeadFacts read(int status, const Http::Headers &headers)
    {
        return protocol.readHead(request, status, headers);
    }

    Gateway::EndpointProtocol protocol = Platform::endpointProtocol();
    Gateway::CallerRequest request;
    Fleet::Endpoint endpoint;
};

} // namespace

BOOST_AUTO_TEST_CASE(forwardsTheRequestUnchanged)
{
    Fixture f;
    const Http::Call call = f.call({.workspace = Base::WorkspaceId("w"),
                                    .timeLeft = std::chrono::milliseconds(740),
                                    .resumeAfter = 12});
    BOOST_TEST(call.method == "POST");
    BOOST_TEST(call.target == "/x?a=b");
    BOOST_TEST(call.host == "h.example");
    BOOST_TEST(call.body == "body");
    BOOST_TEST(call.headers.find("x-own").value_or("") == "kept");
    BOOST_TEST(call.headers.find("lagoonbank-deadline-remaining").value_or("") == "740");
    BOOST_TEST(call.headers.find("lagoonbank-expect-instance").value_or("") == "i-7f");
    BOOST_TEST(call.headers.find("lagoonbank-tenant").value_or("") == "w");
    BOOST_TEST(call.headers.find("last-event-id").value_or("") == "12");
    BOOST_TEST(!call.headers.find("lagoonbank-request-priority"));
}

BOOST_AUTO_TEST_CASE(promptAddsPriorityAndCacheSource)
{
    Fixture f;
    f.request.prompt.emplace();
    Fleet::Endpoint source;
    source.address = {"10.0.0.2", 81};
    const Http::Call call = f.call({.priority = 12, .cacheSource = &source});
    BOOST_TEST(call.headers.find("lagoonbank-request-priority").value_or("") == "9");
    BOOST_TEST(call.headers.find("kv-fetch").value_or("") == "10.0.0.2:81");
}

BOOST_AUTO_TEST_CASE(successCountsOnlyWithProof)
{
    struct Row
    {
        std::string_view name;
        int status;
        Http::Headers headers;
        bool isOwn;
        bool isNotRun;
        bool isOther;
    };
    const Http::Header id{"lagoonbank-attempt-id", "9c41"};
    const Http::Header otherId{"lagoonbank-attempt-id", "9c42"};
    const Http::Header proof{"lagoonbank-server-seal", "3e1b"};
    const Http::Header notRun{"lagoonbank-not-executed", "1"};
    const Row rows[]{
        {"good", 200, {id, proof}, true, false, false},
        {"no proof", 200, {id}, false, false, false},
        {"no id", 200, {proof}, false, false, false},
        {"another's", 200, {otherId, proof}, false, false, false},
        {"content encoding added",
         200,
         {id, proof, {"content-encoding", "gzip"}},
         false,
         false,
         false},
        {"failure", 500, {id, proof}, true, false, false},
        {"failure without id", 500, {}, true, false, false},
        {"failure of another request", 500, {otherId}, false, false, false},
        {"full", 503, {notRun}, true, true, false},
        {"full for another request", 503, {otherId, notRun}, false, false, false},
        {"503 without proof", 503, {id}, true, false, false},
        {"other endpoint", 421, {{"lagoonbank-instance-id", "i-02"}}, true, false, true}};
    for (const Row &row : rows) {
        BOOST_TEST_CONTEXT(row.name)
        {
            Fixture f;
            const Gateway::HeadFacts facts = f.read(row.status, row.headers);
            BOOST_TEST(facts.isOwn == row.isOwn);
            BOOST_TEST(facts.isNotRun == row.isNotRun);
            BOOST_TEST(facts.isOtherEndpoint == row.isOther);
        }
    }
}

BOOST_AUTO_TEST_CASE(readsEndpointStateFromItsOwnAnswersOnly)
{
    Fixture f;
    const Http::Header leaving{"server-leaving", "1"};
    BOOST_TEST(f.read(200, {leaving}).isLeaving);
    BOOST_TEST(f.read(503, {leaving}).isLeaving);
    BOOST_TEST(!f.read(200, {{"server-leaving", "0"}}).isLeaving);
    BOOST_TEST(!f.read(200, {}).isLeaving);
    BOOST_TEST(!f.read(421, {leaving}).isLeaving);
    BOOST_TEST(!f.read(200, {leaving, {"lagoonbank-attempt-id", "another"}}).isLeaving);
    const auto backoffTime = [&](int status, std::string_view text) {
        const auto time = f.read(status, {{"retry-after", std::string(text)}}).backOffTime;
        return time ? Base::toMilliseconds(*time) : -1;
    };
    BOOST_TEST(backoffTime(503, "3") == 3000);
    BOOST_TEST(backoffTime(503, "0.25") == 250);
    BOOST_TEST(backoffTime(503, "1e12") == 24 * 60 * 60 * 1000);
    for (const char *text : {"", "0", "-1", "soon", "nan", "Wed, 21 Oct 2026 07:28:00 GMT"})
        BOOST_TEST(backoffTime(503, text) == -1, text);
    BOOST_TEST(backoffTime(429, "3") == -1);
    BOOST_TEST(backoffTime(200, "3") == -1);
}

/// Guards against a load that stays unknown, as the header has a fourth figure, and against figures
/// that are read from anything else.
BOOST_AUTO_TEST_CASE(readsLoadReport)
{
    struct Row
    {
        std::string_view text;
        bool isDecodable;
        int running = 0;
        int waiting = 0;
        int slots = 0;
        std::optional<double> slowdown{};
    };
    const Row rows[]{{"3,1,8", true, 3, 1, 8},
                     {"0,0,0", true, 0, 0, 0},
                     {"3,1,8,100", true, 3, 1, 8, 1.0},
                     {"3,1,8,250", true, 3, 1, 8, 2.5},
                     {"3,1,8,9", true, 3, 1, 8, 0.09},
                     // Implausible values are ignored where the slowdown is smoothed.
                     {"3,1,8,0", true, 3, 1, 8, 0.0},
                     {"3,1,8,-100", true, 3, 1, 8, -1.0},
                     {"3,1,8,2147483647", true, 3, 1, 8, 21474836.47},
                     {"", false},
                     {"3", false},
                     {"3,1", false},
                     {"3,1,", false},
                     {"3,1,8,", false},
                     {",3,1,8", false},
                     {"3,1,8,100,", false},
                     {"3,1,8,100,5", false},
                     {"a,b,c", false},
                     {"3,1,8,x", false},
                     {"3,1,8,1.5", false},
                     {"3,1,8,nan", false},
                     {"3,1,8,2147483648", false},
                     // The sum of such counts overflowed.
                     {"2147483647,1,8", false},
                     {"1,2147483647,8", false},
                     {"-1,0,8", false},
                     {"0,0,-8", false},
                     {"1000000,1000000,1000000", true, 1000000, 1000000, 1000000},
                     {"3, 1, 8, 100", true, 3, 1, 8, 1.0}, // Lists may contain spaces.
                     {"3;1;8", false}};
    for (const Row &row : rows) {
        BOOST_TEST_CONTEXT(row.text)
        {
            Fixture f;
            const Gateway::HeadFacts facts =
                f.read(200, {{"lagoonbank-engine-load", std::string(row.text)}});
            const std::vector<std::string_view> undecodable{"lagoonbank-engine-load"};
            BOOST_REQUIRE(facts.load.has_value() == row.isDecodable);
            BOOST_TEST((facts.undecodable == undecodable) == !row.isDecodable);
            if (!facts.load)
                continue;
            BOOST_TEST(facts.undecodable.empty());
            BOOST_TEST(facts.load->running == row.running);
            BOOST_TEST(facts.load->waiting == row.waiting);
            BOOST_TEST(facts.load->slots == row.slots);
            BOOST_TEST((facts.load->slowdown == row.slowdown));
        }
    }
}

/// Guards against headers that are dropped silently, and against false alarms.
BOOST_AUTO_TEST_CASE(namesUndecodableHeaders)
{
    struct Row
    {
        int status;
        std::string name;
        std::string value;
        bool isUndecodable;
    };
    const Row rows[]{{503, "retry-after", "3", false},
                     {503, "retry-after", "0", false},
                     {503, "retry-after", "soon", true},
                     {503, "retry-after", "", true},
                     {503, "retry-after", "-1", true},
                     {503, "retry-after", "nan", true},
                     {503, "retry-after", "Wed, 21 Oct 2026 07:28:00 GMT", true},
                     {200, "retry-after", "soon", false}, // Not read.
                     {200, "lagoonbank-warmup-remaining", "1200.5", false},
                     {200, "lagoonbank-warmup-remaining", "0", false},
                     {200, "lagoonbank-warmup-remaining", "soon", true},
                     {200, "lagoonbank-warmup-remaining", "-5", true},
                     {421, "lagoonbank-warmup-remaining", "soon", false}, // Not read.
                     {200, "server-leaving", "1", false},
                     {200, "server-leaving", "0", false},
                     {200, "server-leaving", "yes", true},
                     {200, "server-leaving", "", true},
                     {200, "lagoonbank-other", "soon", false}};
    for (const Row &row : rows) {
        BOOST_TEST_CONTEXT(row.name << ": " << row.value << " with " << row.status)
        {
            Fixture f;
            const Gateway::HeadFacts facts = f.read(row.status, {{row.name, row.value}});
            BOOST_REQUIRE(facts.undecodable.size() == (row.isUndecodable ? 1U : 0U));
            if (row.isUndecodable)
                BOOST_TEST(facts.undecodable.front() == row.name);
        }
    }
    Fixture f;
    const Http::Headers bad{{"retry-after", "x"},
                            {"lagoonbank-warmup-remaining", "x"},
                            {"lagoonbank-engine-load", "x"},
                            {"server-leaving", "x"}};
    BOOST_TEST(f.read(503, bad).undecodable.size() == 4);
}

BOOST_AUTO_TEST_CASE(readsWarmupState)
{
    Fixture f;
    const Http::Header cold{"lagoonbank-warmup-remaining", "1200"};
    BOOST_TEST(f.read(200, {cold}).isWarmingUp);
    BOOST_TEST(!f.read(200, {{"lagoonbank-warmup-remaining", "0"}}).isWarmingUp);
    BOOST_TEST(!f.read(200, {{"lagoonbank-warmup-remaining", "soon"}}).isWarmingUp);
    BOOST_TEST(!f.read(200, {}).isWarmingUp);
    BOOST_TEST(!f.read(421, {cold}).isWarmingUp);
}
