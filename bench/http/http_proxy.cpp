/// Measures requests per second and latency of the HTTP server alone and of a proxy built from the
/// server and the client, all on one event loop and one core over loopback. The difference is the
/// cost of the proxy.
#include "http/client.h"
#include "http/server.h"
#include "runtime/loop.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace Lagoonbank;

namespace {

constexpr std::size_t answerBytes = 512;
constexpr std::size_t maxIdle = 1024;

/// An origin server and a proxy in front of it.
class OriginAndProxy
{
public:
    explicit OriginAndProxy(Runtime::Loop &loop)
        : m_origin({.loop = &loop, .address = {"127.0.0.1", 0}})
        , m_proxy({.loop = &loop, .address = {"127.0.0.1", 0}})
        , m_upstream({.loop = &loop, .maxIdlePerServer = maxIdle})
    {
        m_origin.setHandler(
            [](const Http::Request &, const std::shared_ptr<Http::Responder> &responder) {
                responder->send(200, {{"content-type", "application/json"}},
                                std::string(answerBytes, 'x'));
            });
        m_proxy.setHandler(
            [this](Http::Request request, std::shared_ptr<Http::Responder> responder) {
                pass(std::move(request), std::move(responder));
            });
        if (!m_origin.listen() || !m_proxy.listen())
            std::abort();
    }

    const Runtime::SocketAddress &origin() const { return m_origin.address(); }
    const Runtime::SocketAddress &proxy() const { return m_proxy.address(); }

private:
    void pass(Http::Request request, std::shared_ptr<Http::Responder> responder)
    {
        Http::Call call{.server = m_origin.address(),
                        .method = std::move(request.method),
                        .target = std::move(request.path),
                        .headers = std::move(request.headers),
                        .body = std::move(request.body)};
        m_upstream.start(std::move(call),
                         {.finished = [responder = std::move(responder)](Http::CallResult result) {
                             responder->send(result.status, result.headers, std::move(result.body));
                         }});
    }

    Http::Server m_origin;
    Http::Server m_proxy;
    Http::Client m_upstream;
};

/// Keeps a number of requests in flight.
class Load
{
public:
    Load(Runtime::Loop &loop, Runtime::SocketAddress server)
        : m_loop(loop)
        , m_client({.loop = &loop, .maxIdlePerServer = maxIdle})
        , m_server(std::move(server))
    { }

    void send()
    {
        const Base::MonoTime sent = m_loop.clock().now();
        Http::Call call{.server = m_server,
                        .method = "POST",
                        .target = "/v1/chat/completions",
                        .headers = {{"authorization", "Bearer key"}},
                        .body = R"({"model":"m","messages":[{"role":"user","content":"hello"}]})"};
        m_client.start(std::move(call), {.finished = [this, sent](const Http::CallResult &result) {
                           m_failed += result.end != Http::CallEnd::Whole || result.status != 200;
                           m_latencies.push_back(m_loop.clock().now() - sent);
                       }});
    }
    std::size_t finished() const { return m_latencies.size(); }
    std::size_t failed() const { return m_failed; }
    double quantileMicroseconds(double quantile)
    {
        const auto index =
            static_cast<std::size_t>(quantile * static_cast<double>(m_latencies.size() - 1));
        std::nth_element(m_latencies.begin(),
                         m_latencies.begin() + static_cast<std::ptrdiff_t>(index),
                         m_latencies.end());
        return Base::toSeconds(m_latencies[index]) * 1e6;
    }

private:
    Runtime::Loop &m_loop;
    Http::Client m_client;
    Runtime::SocketAddress m_server;
    std::vector<Base::Duration> m_latencies;
    std::size_t m_failed = 0;
};

void measure(benchmark::State &state, Runtime::Loop &loop, bool throughProxy, std::size_t inFlight)
{
    OriginAndProxy servers(loop);
    Load load(loop, throughProxy ? servers.proxy() : servers.origin());
    std::size_t sent = 0;
    std::size_t done = 0;
    for (auto _ : state) {
        while (sent < done + inFlight) {
            load.send();
            ++sent;
        }
        while (load.finished() <= done)
            loop.runOnce(std::chrono::milliseconds(100));
        ++done;
    }
    while (load.finished() < sent)
        loop.runOnce(std::chrono::milliseconds(100));
    state.SetItemsProcessed(static_cast<std::int64_t>(done));
    state.counters["p50_us"] = load.quantileMicroseconds(0.5);
    state.counters["p99_us"] = load.quantileMicroseconds(0.99);
    state.counters["failed"] = static_cast<double>(load.failed());
}

void BM_ServerAlone(benchmark::State &state)
{
    Runtime::Loop loop;
    measure(state, loop, false, static_cast<std::size_t>(state.range(0)));
}

void BM_ThroughProxy(benchmark::State &state)
{
    Runtime::Loop loop;
    measure(state, loop, true, static_cast<std::size_t>(state.range(0)));
}

/// Measures the cost of idle servers in the same process.
void besideIdleServers(benchmark::State &state, bool shareContext)
{
    Runtime::Loop loop;
    std::vector<std::unique_ptr<Http::Server>> idle;
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        const std::string ip =
            "127.9." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1);
        idle.push_back(std::make_unique<Http::Server>(Http::Server::Options{
            .loop = &loop, .address = {ip, 0}, .sharesContext = shareContext}));
        if (!idle.back()->listen())
            std::abort();
    }
    measure(state, loop, false, 1);
}

void BM_BesideIdleServers(benchmark::State &state)
{
    besideIdleServers(state, false);
}

void BM_BesideIdleSharingServers(benchmark::State &state)
{
    besideIdleServers(state, true);
}

BENCHMARK(BM_BesideIdleServers)->Arg(0)->Arg(100)->Arg(400);
BENCHMARK(BM_BesideIdleSharingServers)->Arg(400);
BENCHMARK(BM_ServerAlone)->Arg(1)->Arg(16)->Arg(128);
BENCHMARK(BM_ThroughProxy)->Arg(1)->Arg(16)->Arg(128);

} // namespace

BENCHMARK_MAIN();
