#define BOOST_TEST_MODULE tst_relaycodec
#include <boost/test/unit_test.hpp>

#include "platform/relaycodec.h"

#include <string>
#include <vector>

using namespace Lagoonbank;

namespace {

Gateway::CallerRequest callerRequest()
{
    Gateway::CallerRequest request;
    request.id = Base::RequestId("9c41");
    request.method = "POST";
    request.host = "h.example";
    request.target = "/x?a=b";
    request.headers = {{"lagoonbank-attempt-id", "9c41"}, {"lagoonbank-model", "m"}};
    request.body = "body";
    request.key = "secret";
    return request;
}

/// The request as it arrives at the peer.
Http::Request received(const Http::Call &call, std::size_t prefixSize)
{
    Http::Request request;
    request.method = call.method;
    const std::string target = call.target.substr(prefixSize);
    const std::size_t query = target.find('?');
    request.path = target.substr(0, query);
    request.query = query == std::string::npos ? std::string() : target.substr(query + 1);
    request.headers = call.headers;
    request.headers.add("host", call.host);
    request.body = call.body;
    return request;
}

} // namespace

BOOST_AUTO_TEST_CASE(peerReadsTheCallersRequest)
{
    const Gateway::CallerRequest sent = callerRequest();
    Fleet::Endpoint peer;
    peer.address = {"10.0.0.1", 80};
    const Http::Call call =
        Platform::relayProtocol().peer.makeCall({.request = &sent,
                                                 .endpoint = &peer,
                                                 .timeLeft = std::chrono::milliseconds(740),
                                                 .resumeAfter = 12,
                                                 .earlierEndpoints = 1,
                                                 .software = Gateway::SoftwareHash(77)});
    BOOST_TEST(!call.headers.find("lagoonbank-expect-instance"));
    BOOST_TEST(call.target == "/fleet/relay/x?a=b");
    const auto read =
        Platform::readRelayedRequest(received(call, std::string("/fleet/relay").size()));
    BOOST_REQUIRE(read);
    const Gateway::CallerRequest &request = read.value();
    BOOST_TEST(request.id.value() == "9c41");
    BOOST_TEST(request.method == "POST");
    BOOST_TEST(request.host == "h.example");
    BOOST_TEST(request.target == "/x?a=b");
    BOOST_TEST(request.body == "body");
    BOOST_TEST(request.key.value_or("") == "secret");
    BOOST_TEST((request.remainingTimeout == std::chrono::milliseconds(740)));
    BOOST_TEST(request.resumeAfter.value_or(0) == 12U);
    BOOST_TEST(request.headers.find("lagoonbank-model").value_or("") == "m");
    BOOST_TEST(!request.headers.find("lagoonbank-relayed-endpoints"));
    BOOST_REQUIRE(request.relay);
    BOOST_TEST(request.relay->endpoints == 1);
    BOOST_TEST((request.relay->software == Gateway::SoftwareHash(77)));
    BOOST_TEST(!request.headers.find("lagoonbank-relayed-software"));
}

/// Guards against harm by requests at the routers' port that no router sent.
BOOST_AUTO_TEST_CASE(malformedRelayedRequestsAreErrors)
{
    for (const std::string count : {"", "x", "-1", "1,2", "99999999999"}) {
        Http::Request request;
        request.path = "/x";
        request.headers = {{"host", "h"}, {"lagoonbank-attempt-id", "a"}};
        if (!count.empty())
            request.headers.add("lagoonbank-relayed-endpoints", count);
        const bool isRead = Platform::readRelayedRequest(std::move(request)).has_value();
        BOOST_TEST(!isRead, "\"" << count << "\"");
    }
}

/// Guards against a relayed stream that goes on at any version as its own one cannot be read.
BOOST_AUTO_TEST_CASE(malformedSoftwareVersionOfRelayedRequestIsAnError)
{
    for (const std::string software : {"x", "-1", "99999999999999999999999"}) {
        Http::Request request;
        request.path = "/x";
        request.headers = {{"host", "h"},
                           {"lagoonbank-attempt-id", "a"},
                           {"lagoonbank-relayed-endpoints", "1"},
                           {"lagoonbank-relayed-software", software}};
        const bool isRead = Platform::readRelayedRequest(std::move(request)).has_value();
        BOOST_TEST(!isRead, software);
    }
}

/// Guards against streams that go on at another version: the router does not learn which version
/// began the one that a peer passes on.
BOOST_AUTO_TEST_CASE(answersOfPeersTellTheSoftwareVersion)
{
    const Gateway::RelayProtocol relay = Platform::relayProtocol();
    Http::Headers headers{{"lagoonbank-attempt-id", "9c41"}, {"lagoonbank-server-seal", "3e"}};
    relay.addEndpoint(headers, Base::EndpointId("i-7"), Gateway::SoftwareHash(77));
    const Gateway::HeadFacts facts = relay.peer.readHead(callerRequest(), 200, headers);
    BOOST_TEST(facts.isOwn);
    BOOST_TEST(facts.endpoint.value() == "i-7");
    BOOST_TEST((facts.software == Gateway::SoftwareHash(77)));
    BOOST_TEST(relay.headersForCaller(headers).fields().size() == 2U);
}

/// Guards against counting a header twice, here and at the peer that received it from the endpoint.
BOOST_AUTO_TEST_CASE(undecodableHeadersOfRelayedAnswersAreLeftToThePeer)
{
    const Gateway::RelayProtocol relay = Platform::relayProtocol();
    Http::Headers headers{{"lagoonbank-engine-load", "x"}, {"server-leaving", "x"}};
    relay.addEndpoint(headers, Base::EndpointId("i-7"), Gateway::SoftwareHash(77));
    BOOST_TEST(relay.peer.readHead(callerRequest(), 200, headers).undecodable.empty());
}

/// Guards against taking a peer's own answers for those of an endpoint, and against passing on what
/// a router of an earlier version answers.
BOOST_AUTO_TEST_CASE(headsOfPeersAreToldApart)
{
    struct Row
    {
        const char *what;
        int status;
        Http::Headers headers;
        bool isOwn;
        bool isNotRun;
        const char *endpoint;
        int sends = 0;
        bool hasNoEndpoint = false;
        std::vector<std::string> reachingPeers;
    };
    const std::vector<Row> rows{
        {"answer of an endpoint",
         200,
         {{"lagoonbank-attempt-id", "9c41"},
          {"lagoonbank-server-seal", "3e"},
          {"lagoonbank-relay-answer", "i-7"}},
         true,
         false,
         "i-7"},
        {"answer to another request",
         200,
         {{"lagoonbank-attempt-id", "77"},
          {"lagoonbank-server-seal", "3e"},
          {"lagoonbank-relay-answer", "i-7"}},
         false,
         false,
         "i-7"},
        {"success without proof", 200, {{"lagoonbank-relay-answer", "i-7"}}, false, false, "i-7"},
        {"refusal", 503, {{"lagoonbank-relay-refusal", "0"}}, true, true, ""},
        {"refusal after sends", 503, {{"lagoonbank-relay-refusal", "2"}}, true, true, "", 2},
        {"refusal without endpoints",
         503,
         {{"lagoonbank-relay-refusal", "0"},
          {"lagoonbank-relay-no-endpoint", "1"},
          {"lagoonbank-relay-reaching-peers", "edge-1,edge-2"}},
         true,
         true,
         "",
         0,
         true,
         {"edge-1", "edge-2"}},
        {"unreadable number", 503, {{"lagoonbank-relay-refusal", "x"}}, true, true, "", 1},
        {"request that may have run", 502, {{"lagoonbank-relay-refusal", "1"}}, true, false, "", 1},
        {"unknown key", 401, {{"lagoonbank-relay-refusal", "0"}}, true, false, ""},
        {"router without relays", 404, {}, true, true, ""},
        {"router that cannot read it", 400, {}, true, true, ""}};
    const Gateway::CallerRequest request = callerRequest();
    for (const Row &row : rows) {
        BOOST_TEST_CONTEXT(row.what)
        {
            const Gateway::HeadFacts facts =
                Platform::relayProtocol().peer.readHead(request, row.status, row.headers);
            BOOST_TEST(facts.isOwn == row.isOwn);
            BOOST_TEST(facts.isNotRun == row.isNotRun);
            BOOST_TEST(facts.endpoint.value() == row.endpoint);
            BOOST_TEST(facts.peerRefusal.sends == row.sends);
            BOOST_TEST(facts.peerRefusal.hasNoEndpoint == row.hasNoEndpoint);
            BOOST_TEST(facts.peerRefusal.reachingPeers == row.reachingPeers,
                       boost::test_tools::per_element());
        }
    }
}

/// Guards against a list of peers without an end, from a peer that is faulty.
BOOST_AUTO_TEST_CASE(fewReachingPeersAreRead)
{
    std::string peers = "edge-0";
    for (int i = 1; i < 1000; ++i)
        peers += ",edge-" + std::to_string(i);
    const Gateway::HeadFacts facts = Platform::relayProtocol().peer.readHead(
        callerRequest(), 503,
        {{"lagoonbank-relay-refusal", "0"}, {"lagoonbank-relay-reaching-peers", peers}});
    BOOST_TEST(facts.peerRefusal.reachingPeers.size() <= 8U);
}

/// Guards against refusals that the peer cannot read, and against names in those for which they
/// mean nothing.
BOOST_AUTO_TEST_CASE(peerReadsARefusal)
{
    for (const bool hasNoEndpoint : {false, true}) {
        Http::Headers headers;
        Platform::addRelayRefusal(
            headers,
            {.sends = 2, .hasNoEndpoint = hasNoEndpoint, .reachingPeers = {"edge-1", "edge-2"}});
        const Gateway::HeadFacts facts =
            Platform::relayProtocol().peer.readHead(callerRequest(), 503, headers);
        BOOST_TEST(facts.peerRefusal.sends == 2);
        BOOST_TEST(facts.peerRefusal.hasNoEndpoint == hasNoEndpoint);
        BOOST_TEST(facts.peerRefusal.reachingPeers.size() == (hasNoEndpoint ? 2U : 0U));
    }
}
