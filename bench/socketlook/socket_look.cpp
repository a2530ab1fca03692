/// Measures the cost of checking a caller's connection before a request is forwarded: whether it is
/// closed behind unread bytes, and the time since its last bytes arrived.
#include "http/socketlook.h"

#include <benchmark/benchmark.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>

using namespace Lagoonbank::Http::Internal;

namespace {

/// Both ends of a TCP connection over loopback.
class Connection
{
public:
    Connection()
    {
        const int listener = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in native{};
        native.sin_family = AF_INET;
        native.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof native;
        auto *address = reinterpret_cast<sockaddr *>(&native);
        const bool isOpen = bind(listener, address, length) == 0 && listen(listener, 1) == 0
            && getsockname(listener, address, &length) == 0
            && connect(m_caller, address, length) == 0;
        m_server = isOpen ? accept(listener, nullptr, nullptr) : -1;
        close(listener);
        if (m_server < 0)
            std::abort();
    }
    ~Connection()
    {
        close(m_caller);
        close(m_server);
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    int server() const { return m_server; }
    void send() const
    {
        if (::send(m_caller, "x", 1, 0) != 1)
            std::abort();
    }

private:
    int m_caller = socket(AF_INET, SOCK_STREAM, 0);
    int m_server = -1;
};

void BM_LookAtQuietConnection(benchmark::State &state)
{
    const Connection connection;
    for ([[maybe_unused]] auto _ : state)
        benchmark::DoNotOptimize(detectPeerClose(connection.server()));
}

void BM_LookPastUnreadBytes(benchmark::State &state)
{
    const Connection connection;
    connection.send();
    for ([[maybe_unused]] auto _ : state)
        benchmark::DoNotOptimize(detectPeerClose(connection.server()));
}

void BM_SinceLastBytes(benchmark::State &state)
{
    const Connection connection;
    connection.send();
    for ([[maybe_unused]] auto _ : state)
        benchmark::DoNotOptimize(timeSinceLastReceive(connection.server()));
}

BENCHMARK(BM_LookAtQuietConnection);
BENCHMARK(BM_LookPastUnreadBytes);
BENCHMARK(BM_SinceLastBytes);

} // namespace

BENCHMARK_MAIN();
