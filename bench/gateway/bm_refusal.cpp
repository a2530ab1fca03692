/// Measures the processor time of a router's thread for a request that an endpoint answers and for
/// one that the router refuses, over loopback. Callers and endpoint run on a thread of their own,
/// which is not measured; see the column CPU of the output.
#include "gateway/gateway.h"
#include "http/client.h"
#include "http/server.h"
#include "runtime/loop.h"

#include <benchmark/benchmark.h>

#include <fcntl.h>

#include <atomic>
#include <cstdlib>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

using namespace Lagoonbank;

namespace {

constexpr std::size_t callsInFlight = 64;
constexpr int endpointSlots = 4;

/// Callers that keep a fixed number of requests in flight, and an endpoint, on a thread of their
/// own.
class CallersAndEndpoint
{
public:
    CallersAndEndpoint()
    {
        std::atomic<bool> isListening = false;
        m_thread = std::thread([this, &isListening] { run(isListening); });
        while (!isListening)
            std::this_thread::yield();
    }
    ~CallersAndEndpoint()
    {
        m_isStopped = true;
        m_thread.join();
    }
    CallersAndEndpoint(const CallersAndEndpoint &) = delete;
    CallersAndEndpoint &operator=(const CallersAndEndpoint &) = delete;

    const Runtime::SocketAddress &endpoint() const { return m_endpointAddress; }
    /// Starts to send requests to a router. The endpoint never answers the first \a unanswered
    /// ones.
    void startCalling(const Runtime::SocketAddress &router, std::size_t unanswered)
    {
        m_router = router;
        m_unanswered = unanswered;
        m_isCalling = true;
    }
    std::size_t answeredCount() const { return m_answeredCount; }
    std::size_t unansweredCount() const { return m_unansweredCount; }

private:
    void run(std::atomic<bool> &isListening)
    {
        Runtime::Loop loop;
        Http::Client client({.loop = &loop, .maxIdlePerServer = 2 * callsInFlight});
        Http::Server endpoint({.loop = &loop, .address = {"127.0.0.1", 0}});
        std::vector<std::shared_ptr<Http::Responder>> unanswered;
        endpoint.setHandler([&](const Http::Request &request, auto responder) {
            if (unanswered.size() < m_unanswered) {
                unanswered.push_back(std::move(responder));
                ++m_unansweredCount;
                return;
            }
            responder->send(200, {{"x-id", std::string(*request.headers.find("x-id"))}},
                            std::string(512, 'x'));
        });
        if (!endpoint.listen())
            std::abort();
        m_endpointAddress = endpoint.address();
        isListening = true;
        std::size_t started = 0;
        while (!m_isStopped) {
            while (m_isCalling && started < m_answeredCount + m_unanswered + callsInFlight) {
                start(client, ++started);
            }
            loop.runOnce(std::chrono::milliseconds(1));
        }
    }
    void start(Http::Client &client, std::size_t number)
    {
        Http::Call call{.server = m_router,
                        .method = "POST",
                        .target = "/v1/chat/completions",
                        .headers = {{"x-request", std::to_string(number)}},
                        .body = R"({"model":"m","messages":[{"role":"user","content":"hello"}]})"};
        client.start(std::move(call),
                     {.finished = [this](const Http::CallResult &) { ++m_answeredCount; }});
    }

    Runtime::SocketAddress m_endpointAddress;
    Runtime::SocketAddress m_router;
    std::size_t m_unanswered = 0;
    std::atomic<bool> m_isCalling = false;
    std::atomic<bool> m_isStopped = false;
    std::atomic<std::size_t> m_answeredCount = 0;
    std::atomic<std::size_t> m_unansweredCount = 0;
    std::thread m_thread;
};

/// Discards answers, for requests that do not come over the network.
class DiscardingResponder : public Http::Responder
{
public:
    void send(int, const Http::Headers &, std::string) override { }
    void begin(int, const Http::Headers &) override { }
    void write(std::string_view) override { }
    void end() override { }
    void abort() override { }
    std::size_t queuedBytes() const override { return 0; }
    bool isDisconnected() const override { return false; }
    void setDisconnectHandler(std::function<void()>) override { }
    void setDrainHandler(std::function<void()>) override { }
};

/// A router with one endpoint.
class Router
{
public:
    Router(const Runtime::SocketAddress &endpoint, Base::Duration ownDelay)
        : m_gateway({.loop = &m_loop,
                     .client = &m_client,
                     .protocol = protocol(),
                     .refuse = refuse,
                     .ownDelay = [ownDelay] { return ownDelay; },
                     .log = &m_log,
                     .metrics = &m_metrics})
    {
        const Base::ServiceId service("service");
        m_gateway.endpoints().put({.id = Base::EndpointId("e"),
                                   .service = service,
                                   .address = endpoint,
                                   .slots = endpointSlots},
                                  m_loop.clock().now());
        Fleet::ConfigurationParts parts{.revision = Base::Revision(1)};
        // As many routes as a small deployment has.
        for (const char *prefix : {"/v1/", "/a/", "/b/", "/c/", "/d/", "/e/"}) {
            parts.routes.push_back({.name = prefix,
                                    .host = "a",
                                    .prefix = prefix,
                                    .kind = Fleet::RouteKind::Idempotent,
                                    .services = {{service}},
                                    .targetLatency = std::chrono::milliseconds(300)});
        }
        m_gateway.setConfiguration(std::make_shared<const Fleet::Configuration>(std::move(parts)));
        m_server.setHandler([this](const Http::Request &request, auto responder) {
            handle(request, std::move(responder));
        });
        if (!m_server.listen())
            std::abort();
    }

    const Runtime::SocketAddress &address() const { return m_server.address(); }
    /// Handles a request as if it came from a caller, without the network.
    void handleWithoutNetwork(std::size_t number)
    {
        handle({.method = "POST",
                .path = "/v1/chat/completions",
                .headers = {{"x-request", std::to_string(number)}}},
               std::make_shared<DiscardingResponder>());
    }
    void runLoopOnce()
    {
        m_loop.runOnce(std::chrono::milliseconds(10));
        const Base::MonoTime now = m_loop.clock().now();
        if (now < m_nextLogFlush)
            return;
        m_nextLogFlush = now + std::chrono::milliseconds(100);
        m_log.flush();
    }

private:
    void handle(const Http::Request &request, std::shared_ptr<Http::Responder> responder)
    {
        Gateway::CallerRequest decoded;
        decoded.id = Base::RequestId(std::string(*request.headers.find("x-request")));
        decoded.method = request.method;
        decoded.host = "a";
        decoded.path = request.path;
        decoded.target = decoded.path;
        decoded.headers = request.headers;
        decoded.body = request.body;
        decoded.remainingTimeout = std::chrono::seconds(100);
        m_gateway.run(std::move(decoded), std::move(responder));
    }
    static void refuse(Http::Responder &responder, const Gateway::Refusal &refusal)
    {
        const auto retryAfter = refusal.retryAfter.value_or(Base::Duration::zero());
        responder.send(503,
                       {{"content-type", "application/json"},
                        {"retry-after", std::to_string(Base::toSeconds(retryAfter))}},
                       std::string(Errors::toString(refusal.kind)));
    }
    static Gateway::EndpointProtocol protocol()
    {
        return {.makeCall =
                    [](const Gateway::Send &send) {
                        Http::Call call;
                        call.server = send.endpoint->address;
                        call.method = send.request->method;
                        call.target = send.request->target;
                        call.headers = send.request->headers;
                        call.headers.add("x-id", send.request->id.value());
                        call.body = send.request->body;
                        return call;
                    },
                .readHead =
                    [](const Gateway::CallerRequest &request, int, const Http::Headers &headers) {
                        return Gateway::HeadFacts{.isOwn = headers.find("x-id").value_or("")
                                                      == request.id.value()};
                    }};
    }

    Runtime::Loop m_loop;
    Base::MonoTime m_nextLogFlush;
    Logging::BoundedOutput m_output{{.descriptor = ::open("/dev/null", O_WRONLY | O_CLOEXEC)}};
    Logging::DecisionLog m_log{{.output = &m_output,
                                .wallNow = [this] { return m_loop.clock().wallNow(); },
                                .now = [this] { return m_loop.clock().now(); }}};
    Gateway::GatewayMetrics m_metrics;
    Http::Client m_client{{.loop = &m_loop, .maxIdlePerServer = 2 * callsInFlight}};
    Gateway::Gateway m_gateway;
    Http::Server m_server{
        {.loop = &m_loop, .address = {"127.0.0.1", 0}, .halfCloseMeansDisconnect = true}};
};

void measure(benchmark::State &state, std::size_t unanswered, Base::Duration ownDelay)
{
    CallersAndEndpoint peers;
    Router router(peers.endpoint(), ownDelay);
    peers.startCalling(router.address(), unanswered);
    while (peers.unansweredCount() < unanswered || peers.answeredCount() < 10 * callsInFlight)
        router.runLoopOnce();
    std::size_t answered = peers.answeredCount();
    const std::size_t answeredAtStart = answered;
    for (auto _ : state) {
        while (peers.answeredCount() <= answered)
            router.runLoopOnce();
        ++answered;
    }
    state.SetItemsProcessed(static_cast<std::int64_t>(peers.answeredCount() - answeredAtStart));
}

void BM_Answered(benchmark::State &state)
{
    measure(state, 0, Base::Duration::zero());
}

/// All slots of the endpoint are taken, including those for queued requests.
void BM_RefusedForRoom(benchmark::State &state)
{
    measure(state, endpointSlots * 4, Base::Duration::zero());
}

/// The router is overloaded itself: its event loop lags by a second.
void BM_RefusedForOwnDelay(benchmark::State &state)
{
    measure(state, 0, std::chrono::seconds(1));
}

/// The same without reading and writing sockets, which is the cost of the decision alone.
void BM_RefusalDecided(benchmark::State &state)
{
    CallersAndEndpoint peers;
    Router router(peers.endpoint(), std::chrono::seconds(1));
    std::size_t number = 0;
    for (auto _ : state) {
        router.handleWithoutNetwork(++number);
        if (number % callsInFlight == 0)
            router.runLoopOnce();
    }
}

BENCHMARK(BM_Answered)->MinTime(1);
BENCHMARK(BM_RefusedForRoom)->MinTime(1);
BENCHMARK(BM_RefusedForOwnDelay)->MinTime(1);
BENCHMARK(BM_RefusalDecided)->MinTime(1);

} // namespace

BENCHMARK_MAIN();
