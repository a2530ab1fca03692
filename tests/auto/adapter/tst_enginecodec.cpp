#define BOOST_TEST_MODULE tst_enginecodec
#include <boost/test/unit_test.hpp>

#include "platform/enginecodec.h"

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

BOOST_AUTO_TEST_CASE(readsLoadReport)
{
    Fixture f;
    const auto facts = f.read(200, {{"lagoonbank-engine-load", "3,1,8"}});
    BOOST_REQUIRE(facts.load);
    BOOST_TEST(facts.load->running == 3);
    BOOST_TEST(facts.load->waiting == 1);
    BOOST_TEST(facts.load->slots == 8);
    for (const char *text : {"", "3", "3,1", "3,1,8,9", "a,b,c", "3,1,"})
        BOOST_TEST(!f.read(200, {{"lagoonbank-engine-load", text}}).load, text);
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
