/// Processor time of a router's thread for a request that is answered by an endpoint and for one
/// that is refused, over loopback. Callers and endpoint live on a thread of their own, whose time
/// does not count; the column CPU is what counts.
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

constexpr std::size_t inFlight = 64;
constexpr int places = 4;

/// Callers that keep a number of requests in flight, and the endpoint, on their own thread.
class Others
{
public:
    Others()
    {
        std::atomic<bool> isListening = false;
        m_thread = std::thread([this, &isListening] { run(isListening); });
        while (!isListening)
            std::this_thread::yield();
    }
    ~Others()
    {
        m_isStopped = true;
        m_thread.join();
    }
    Others(const Others &) = delete;
    Others &operator=(const Others &) = delete;

    const Runtime::SocketAddress &endpoint() const { return m_endpointAddress; }
    /// Starts to send to a router; the first \a held requests stay unanswered.
    void call(const Runtime::SocketAddress &router, std::size_t held)
    {
        m_router = router;
        m_held = held;
        m_isCalling = true;
    }
    std::size_t done() const { return m_done; }
    std::size_t running() const { return m_running; }

private:
    void run(std::atomic<bool> &isListening)
    {
        Runtime::Loop loop;
        Http::Client client({.loop = &loop, .maxIdlePerServer = 2 * inFlight});
        Http::Server endpoint({.loop = &loop, .address = {"127.0.0.1", 0}});
        std::vector<std::shared_ptr<Http::Responder>> held;
        endpoint.setHandler([&](const Http::Request &request, auto responder) {
            if (held.size() < m_held) {
                held.push_back(std::move(responder));
                ++m_running;
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
            while (m_isCalling && started < m_done + m_held + inFlight) {
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
        client.start(std::move(call), {.finished = [this](const Http::CallResult &) { ++m_done; }});
    }

    Runtime::SocketAddress m_endpointAddress;
    Runtime::SocketAddress m_router;
    std::size_t m_held = 0;
    std::atomic<bool> m_isCalling = false;
    std::atomic<bool> m_isStopped = false;
    std::atomic<std::size_t> m_done = 0;
    std::atomic<std::size_t> m_running = 0;
    std::thread m_thread;
};

/// Takes answers without a network.
class NoCaller : public Http::Responder
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
        m_gateway.endpoints().put(
            {.id = Base::EndpointId("e"), .service = service, .address = endpoint, .slots = places},
            m_loop.clock().now());
        Fleet::ConfigurationParts parts{.revision = Base::Revision(1)};
        // As many kinds of request as a small deployment has.
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
    /// A request of a caller without a network.
    void ask(std::size_t number)
    {
        handle({.method = "POST",
                .path = "/v1/chat/completions",
                .headers = {{"x-request", std::to_string(number)}}},
               std::make_shared<NoCaller>());
    }
    void turn()
    {
        m_loop.runOnce(std::chrono::milliseconds(10));
        const Base::MonoTime now = m_loop.clock().now();
        if (now < m_flushAt)
            return;
        m_flushAt = now + std::chrono::milliseconds(100);
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
        const auto back = refusal.retryAfter.value_or(Base::Duration::zero());
        responder.send(503,
                       {{"content-type", "application/json"},
                        {"retry-after", std::to_string(Base::toSeconds(back))}},
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
    Base::MonoTime m_flushAt;
    Logging::BoundedOutput m_output{{.descriptor = ::open("/dev/null", O_WRONLY | O_CLOEXEC)}};
    Logging::DecisionLog m_log{{.output = &m_output,
                                .wallNow = [this] { return m_loop.clock().wallNow(); },
                                .now = [this] { return m_loop.clock().now(); }}};
    Gateway::GatewayMetrics m_metrics;
    Http::Client m_client{{.loop = &m_loop, .maxIdlePerServer = 2 * inFlight}};
    Gateway::Gateway m_gateway;
    Http::Server m_server{
        {.loop = &m_loop, .address = {"127.0.0.1", 0}, .halfCloseMeansDisconnect = true}};
};

void measure(benchmark::State &state, std::size_t held, Base::Duration ownDelay)
{
    Others others;
    Router router(others.endpoint(), ownDelay);
    others.call(router.address(), held);
    while (others.running() < held || others.done() < 10 * inFlight)
        router.turn();
    std::size_t counted = others.done();
    const std::size_t first = counted;
    for (auto _ : state) {
        while (others.done() <= counted)
            router.turn();
        ++counted;
    }
    state.SetItemsProcessed(static_cast<std::int64_t>(others.done() - first));
}

void BM_Answered(benchmark::State &state)
{
    measure(state, 0, Base::Duration::zero());
}

/// All places of the endpoint are taken, those for waiting there too.
void BM_RefusedForRoom(benchmark::State &state)
{
    measure(state, places * 4, Base::Duration::zero());
}

/// The router itself is far behind.
void BM_RefusedForOwnDelay(benchmark::State &state)
{
    measure(state, 0, std::chrono::seconds(1));
}

/// The same without reading and writing sockets: what deciding costs.
void BM_RefusalDecided(benchmark::State &state)
{
    Others others;
    Router router(others.endpoint(), std::chrono::seconds(1));
    std::size_t number = 0;
    for (auto _ : state) {
        router.ask(++number);
        if (number % inFlight == 0)
            router.turn();
    }
}

BENCHMARK(BM_Answered)->MinTime(1);
BENCHMARK(BM_RefusedForRoom)->MinTime(1);
BENCHMARK(BM_RefusedForOwnDelay)->MinTime(1);
BENCHMARK(BM_RefusalDecided)->MinTime(1);

} // namespace

BENCHMARK_MAIN();
