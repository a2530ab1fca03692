#pragma once

#include "http/client.h"
#include "http/server.h"
#include "runtime/clock.h"
#include "runtime/loop.h"

#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace Lagoonbank::Test {

/// An event loop on a manual clock, which advances only when told to.
struct PausedLoop
{
    static constexpr int maxIterations = 3000;

    bool runUntil(const std::function<bool()> &condition)
    {
        for (int iteration = 0; iteration < maxIterations; ++iteration) {
            if (condition())
                return true;
            loop.runOnce(std::chrono::milliseconds(5));
        }
        return condition();
    }
    void runIterations(int count)
    {
        for (int iteration = 0; iteration < count; ++iteration)
            loop.runOnce(std::chrono::milliseconds(1));
    }
    void advance(Base::Duration duration)
    {
        clock.advance(duration);
        runIterations(3);
    }

    /// Advances the clock in small steps and runs the loop after each.
    void pass(Base::Duration duration)
    {
        constexpr Base::Duration step = std::chrono::milliseconds(5);
        for (auto remaining = duration; remaining > remaining.zero(); remaining -= step)
            advance(step);
    }

    Runtime::ManualClock clock;
    Runtime::Loop loop{Runtime::Loop::Options{.clock = &clock}};
};

/// A TCP connection on which a test sends and receives raw bytes.
class RawSocket
{
public:
    explicit RawSocket(int fd)
        : m_fd(fd)
    {
        fcntl(m_fd, F_SETFL, O_NONBLOCK);
    }
    explicit RawSocket(const Runtime::SocketAddress &server)
        : m_fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in native{};
        native.sin_family = AF_INET;
        native.sin_port = htons(server.port);
        inet_pton(AF_INET, server.ip.c_str(), &native.sin_addr);
        BOOST_REQUIRE_EQUAL(connect(m_fd, reinterpret_cast<sockaddr *>(&native), sizeof native), 0);
        fcntl(m_fd, F_SETFL, O_NONBLOCK);
    }
    RawSocket(RawSocket &&other) noexcept
        : m_fd(std::exchange(other.m_fd, -1))
    { }
    ~RawSocket() { close(); }

    void send(std::string_view bytes)
    {
        BOOST_REQUIRE_EQUAL(::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL),
                            static_cast<ssize_t>(bytes.size()));
    }
    /// Returns all bytes received so far.
    const std::string &receive()
    {
        std::array<char, 65536> buffer{};
        while (!m_isEnded) {
            const ssize_t size = recv(m_fd, buffer.data(), buffer.size(), MSG_DONTWAIT);
            if (size < 0 && errno == EAGAIN)
                break;
            m_isReset = size < 0;
            m_isEnded = size <= 0;
            if (size > 0)
                m_received.append(buffer.data(), static_cast<std::size_t>(size));
        }
        return m_received;
    }
    bool has(std::string_view text) { return receive().find(text) != std::string::npos; }
    bool isEnded()
    {
        receive();
        return m_isEnded;
    }
    bool isReset() const { return m_isReset; }
    int descriptor() const { return m_fd; }
    void finishSending() { shutdown(m_fd, SHUT_WR); }
    void reset()
    {
        const linger now{1, 0};
        setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        close();
    }
    void close()
    {
        if (m_fd >= 0)
            ::close(std::exchange(m_fd, -1));
    }

private:
    int m_fd;
    bool m_isEnded = false;
    bool m_isReset = false;
    std::string m_received;
};

/// Loopback address of this process alone. On 127.0.0.1 a test running beside this one may listen
/// on a port as soon as this one has closed it.
inline std::string processIp()
{
    const auto process = static_cast<unsigned>(getpid());
    const std::array<unsigned, 3> octets{64 + (process >> 16U) % 64, process >> 8U & 0xffU,
                                         process & 0xffU};
    return "127." + std::to_string(octets[0]) + '.' + std::to_string(octets[1]) + '.'
        + std::to_string(octets[2]);
}

/// Accepts raw connections on processIp().
class RawListener
{
public:
    /// Port 0 selects a free port.
    explicit RawListener(std::uint16_t port = 0)
        : m_fd(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
    {
        const int isReused = 1;
        setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &isReused, sizeof isReused);
        sockaddr_in native{};
        native.sin_port = htons(port);
        native.sin_family = AF_INET;
        inet_pton(AF_INET, processIp().c_str(), &native.sin_addr);
        socklen_t length = sizeof native;
        BOOST_REQUIRE_EQUAL(bind(m_fd, reinterpret_cast<sockaddr *>(&native), length), 0);
        BOOST_REQUIRE_EQUAL(listen(m_fd, 16), 0);
        getsockname(m_fd, reinterpret_cast<sockaddr *>(&native), &length);
        address = {processIp(), ntohs(native.sin_port)};
    }
    ~RawListener() { close(); }
    /// Refuses connections from now on.
    void close()
    {
        if (m_fd >= 0)
            ::close(std::exchange(m_fd, -1));
    }
    /// Returns the descriptor of a new connection, or -1 if there is none.
    int accept() { return ::accept(m_fd, nullptr, nullptr); }

    Runtime::SocketAddress address;

private:
    int m_fd;
};

/// Returns an address on which nobody listens.
inline std::string freeAddress()
{
    static std::uint16_t port = 20000;
    return Runtime::toString({processIp(), port++});
}

} // namespace Lagoonbank::Test
