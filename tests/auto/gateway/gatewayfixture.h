#pragma once

#include "auto/http/loopback.h"
#include "gateway/gateway.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// An endpoint whose answers are written by the test.
class FakeEndpoint
{
public:
    /// A connection with the bytes received on it.
    struct Connection
    {
        explicit Connection(int fd)
            : socket(fd)
        { }
        Lagoonbank::Test::RawSocket socket;
    };

    void accept()
    {
        for (int fd = listener.accept(); fd >= 0; fd = listener.accept())
            connections.push_back(std::make_unique<Connection>(fd));
    }
    /// Number of connections on which a complete request head was received.
    std::size_t requests()
    {
        accept();
        std::size_t count = 0;
        for (const auto &connection : connections)
            count += connection->socket.has("\r\n\r\n") ? 1 : 0;
        return count;
    }
    Lagoonbank::Test::RawSocket &last() { return connections.back()->socket; }

    Lagoonbank::Test::RawListener listener;
    std::vector<std::unique_ptr<Connection>> connections;
};

/// A gateway between callers and endpoints of the test, with a clock that only the test advances.
struct GatewayFixture : Lagoonbank::Test::PausedLoop
{
    using RouteKind = Lagoonbank::Fleet::RouteKind;

    explicit GatewayFixture(int endpointCount = 2, Lagoonbank::Base::Duration settleTime = {},
                            const Lagoonbank::Schema::PolicySettings &settings = {})
        : policy(settings)
        , settle(settleTime)
    {
        using namespace Lagoonbank;
        gateway.setRouterCount(1, true);
        for (int i = 0; i < endpointCount; ++i) {
            endpoints.push_back(std::make_unique<FakeEndpoint>());
            putEndpoint(static_cast<std::size_t>(i), {});
        }
        server.setHandler(
            [this](const Http::Request &request, std::shared_ptr<Http::Responder> responder) {
                Gateway::CallerRequest decoded;
                decoded.id = Base::RequestId("r" + std::to_string(++lastRequest));
                decoded.method = request.method;
                decoded.host = "a";
                decoded.path = request.path;
                decoded.target = request.path;
                decoded.body = request.body;
                decoded.arrivedAt = request.arrivedAt - unread;
                decoded.remainingTimeout = remainingTimeout;
                decoded.prompt = prompt;
                decoded.relay = relay;
                decoded.resumeAfter = resumeAfter;
                decoded.unreadableEventId = unreadableEventId;
                decoded.resumes = resumes;
                gateway.run(std::move(decoded), std::move(responder));
            });
        BOOST_REQUIRE(server.listen());
    }

    /// Adds or updates an endpoint, which runs this version of its software.
    void putEndpoint(std::size_t index, const std::string &softwareVersion)
    {
        using namespace Lagoonbank;
        gateway.endpoints().put({.id = Base::EndpointId("e" + std::to_string(index)),
                                 .service = Base::ServiceId("service"),
                                 .address = endpoints[index]->listener.address,
                                 .softwareVersion = softwareVersion,
                                 .slots = 4},
                                clock.now());
    }

    /// Applies a configuration with this route only.
    void setRoute(Lagoonbank::Fleet::Route route)
    {
        using namespace Lagoonbank;
        route.host = "a";
        route.prefix = "/";
        route.services = {{Base::ServiceId("service")}};
        gateway.setConfiguration(
            std::make_shared<const Fleet::Configuration>(Fleet::ConfigurationParts{
                .revision = Base::Revision(++revision),
                .routes = {std::move(route)},
                .services = {
                    {.name = Base::ServiceId("service"), .warmup = warmup, .engine = engine}}}));
    }
    Lagoonbank::Test::RawSocket call()
    {
        Lagoonbank::Test::RawSocket caller(server.address());
        caller.send("GET /x HTTP/1.1\r\nhost: a\r\n\r\n");
        return caller;
    }
    std::size_t requests()
    {
        std::size_t count = 0;
        for (const auto &endpoint : endpoints)
            count += endpoint->requests();
        return count;
    }
    /// Waits for the next request and returns its endpoint. The test fails if there is none.
    FakeEndpoint &awaitRequest()
    {
        FakeEndpoint *found = nullptr;
        BOOST_REQUIRE(runUntil([&] {
            for (const auto &endpoint : endpoints) {
                if (endpoint->requests() > handledRequests[endpoint.get()])
                    found = endpoint.get();
            }
            return found != nullptr;
        }));
        ++handledRequests[found];
        return *found;
    }

    std::vector<std::unique_ptr<FakeEndpoint>> endpoints;
    std::map<FakeEndpoint *, std::size_t> handledRequests;
    std::optional<Lagoonbank::Base::Duration> remainingTimeout = std::chrono::seconds(5);
    Lagoonbank::Base::Duration unread{}; ///< Added to the time that requests were unread.
    std::optional<Lagoonbank::Gateway::Prompt> prompt; ///< Prompt of the requests.
    std::optional<std::uint64_t> resumeAfter; ///< Last event that callers say they have.
    std::optional<std::string> unreadableEventId; ///< The same if it is not a number.
    /// Request that callers say began their stream.
    std::optional<Lagoonbank::Base::RequestId> resumes;
    /// Set if a peer relays the requests.
    std::optional<Lagoonbank::Gateway::Relay> relay;
    Lagoonbank::Fleet::Warmup warmup; ///< Used from the next setRoute() on.
    /// The same; unset if the endpoints are not model engines.
    std::optional<Lagoonbank::Fleet::EngineCapacity> engine;
    Lagoonbank::Schema::PolicySettings policy;
    Lagoonbank::Base::Duration settle;
    Lagoonbank::Gateway::FleetRetryBudget::Options retryBudget{.ratio = 0.2, .slack = 50};
    Lagoonbank::Base::Duration ownDelay{}; ///< Delay of the router's own event loop.
    int lastRequest = 0;
    std::uint64_t revision = 0;
    Lagoonbank::Logging::BoundedOutput output{{.descriptor = -1}};
    Lagoonbank::Logging::DecisionLog log{{.output = &output,
                                          .wallNow = [this] { return clock.wallNow(); },
                                          .now = [this] { return clock.now(); }}};
    Lagoonbank::Gateway::GatewayMetrics metrics;
    Lagoonbank::Http::Client client{{.loop = &loop}};
    Lagoonbank::Gateway::Gateway gateway{{.loop = &loop,
                                          .client = &client,
                                          .protocol = protocol(),
                                          .relay = relayProtocol(),
                                          .refuse = refuse,
                                          .ownDelay = [this] { return ownDelay; },
                                          .policy = policy,
                                          .startedAt = clock.now() - retryBudget.window,
                                          .retryBudget = retryBudget,
                                          .timeouts = {.settle = settle, .closeTime = settle},
                                          .log = &log,
                                          .metrics = &metrics}};
    Lagoonbank::Http::Server server{
        {.loop = &loop, .address = {"127.0.0.1", 0}, .halfCloseMeansDisconnect = true}};

private:
    static void refuse(Lagoonbank::Http::Responder &responder,
                       const Lagoonbank::Gateway::Refusal &refusal)
    {
        std::string text(Lagoonbank::Errors::toString(refusal.kind));
        text += " ran=";
        text += Lagoonbank::Errors::toString(refusal.ran);
        responder.send(refusal.ran == Lagoonbank::Errors::Ran::No ? 503 : 502, {}, text);
    }
    /// `x-relayed` gives the endpoints that a relayed request was sent to before, `x-endpoint` the
    /// one that produced the answer; `x-sends` says that a peer had sent it before it refused.
    static Lagoonbank::Gateway::RelayProtocol relayProtocol()
    {
        using namespace Lagoonbank;
        Gateway::EndpointProtocol peer = protocol();
        const auto makeCall = peer.makeCall;
        peer.makeCall = [makeCall](const Gateway::Send &send) {
            Http::Call call = makeCall(send);
            call.headers.add("x-relayed", std::to_string(send.earlierEndpoints));
            if (send.software)
                call.headers.add("x-goes-on-at", std::to_string(send.software->value()));
            return call;
        };
        const auto readHead = peer.readHead;
        peer.readHead = [readHead](const Gateway::CallerRequest &request, int status,
                                   const Http::Headers &headers) {
            Gateway::HeadFacts facts = readHead(request, status, headers);
            facts.endpoint = Base::EndpointId(std::string(headers.find("x-endpoint").value_or("")));
            facts.isLeaving = headers.find("x-leaving").has_value();
            if (const auto software = headers.find("x-software"))
                facts.software = Gateway::SoftwareHash(std::stoull(std::string(*software)));
            facts.peerRefusal.sends = headers.find("x-sends") ? 1 : 0;
            facts.peerRefusal.hasNoEndpoint = headers.find("x-no-endpoint").has_value();
            if (const auto peers = headers.find("x-reaching"))
                facts.peerRefusal.reachingPeers = {std::string(*peers)};
            return facts;
        };
        return {.peer = std::move(peer),
                .addEndpoint =
                    [](Http::Headers &headers, const Base::EndpointId &endpoint,
                       Gateway::SoftwareHash software) {
                        headers.add("x-endpoint", endpoint.value());
                        headers.add("x-software", std::to_string(software.value()));
                    },
                .headersForCaller =
                    [](const Http::Headers &headers) {
                        Http::Headers forwarded;
                        for (const Http::Header &field : headers.fields()) {
                            if (field.name != "x-endpoint" && field.name != "x-software")
                                forwarded.add(field.name, field.value);
                        }
                        return forwarded;
                    }};
    }
    /// `x-id` identifies the request in both directions; `x-not-run` marks a request that did not
    /// run.
    static Lagoonbank::Gateway::EndpointProtocol protocol()
    {
        using namespace Lagoonbank;
        return {.makeCall =
                    [](const Gateway::Send &send) {
                        Http::Call call;
                        call.server = send.endpoint->address;
                        call.method = send.request->method;
                        call.target = send.request->target;
                        call.headers.add("x-id", send.request->id.value());
                        call.headers.add("x-left-ms",
                                         std::to_string(Base::toMilliseconds(send.timeLeft)));
                        if (send.resumeAfter)
                            call.headers.add("x-resume", std::to_string(*send.resumeAfter));
                        return call;
                    },
                .readHead =
                    [](const Gateway::CallerRequest &request, int status,
                       const Http::Headers &headers) {
                        return Gateway::HeadFacts{.isOwn = headers.find("x-id").value_or("")
                                                      == request.id.value(),
                                                  .isNotRun = headers.find("x-not-run").has_value(),
                                                  .isOtherEndpoint = status == 421};
                    }};
    }
};
