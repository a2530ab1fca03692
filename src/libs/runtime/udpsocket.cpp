#include "runtime/udpsocket.h"

#include "runtime/loop.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <utility>

namespace Lagoonbank::Runtime {

namespace {

constexpr std::size_t maxDatagramBytes = 65536;
/// Datagrams read per loop iteration, so that a flood does not starve other sockets and timers.
constexpr int maxReadsPerIteration = 64;

bool toNative(const SocketAddress &address, sockaddr_in &native)
{
    native = {};
    native.sin_family = AF_INET;
    native.sin_port = htons(address.port);
    return inet_pton(AF_INET, address.ip.c_str(), &native.sin_addr) == 1;
}

SocketAddress fromNative(const sockaddr_in &native)
{
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &native.sin_addr, text.data(), text.size());
    return {text.data(), ntohs(native.sin_port)};
}

Errors::Error bindError(const SocketAddress &address, std::string_view step)
{
    return Errors::makeError(Errors::ErrorKind::BadSettings,
                             "cannot " + std::string(step) + " UDP " + toString(address) + ": "
                                 + std::strerror(errno));
}

} // namespace

Errors::Result<SocketAddress> parseSocketAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return Errors::makeError(Errors::ErrorKind::BadSettings,
                                 "\"" + std::string(text) + "\" has no port; write \"ip:port\"");
    }
    SocketAddress address;
    address.ip = text.substr(0, colon);
    in_addr ignored{};
    // A null character would end the address for inet_pton().
    const bool hasNull = address.ip.find('\0') != std::string::npos;
    if (hasNull || inet_pton(AF_INET, address.ip.c_str(), &ignored) != 1) {
        return Errors::makeError(Errors::ErrorKind::BadSettings,
                                 "\"" + address.ip + "\" is not an IPv4 address");
    }
    const std::string_view digits = text.substr(colon + 1);
    const char *digitsEnd = digits.data() + digits.size();
    const auto [end, error] = std::from_chars(digits.data(), digitsEnd, address.port);
    if (error != std::errc() || end != digitsEnd) {
        return Errors::makeError(Errors::ErrorKind::BadSettings,
                                 "\"" + std::string(digits) + "\" is not a port from 0 to 65535");
    }
    return address;
}

std::string toString(const SocketAddress &address)
{
    return address.ip + ":" + std::to_string(address.port);
}

Errors::Result<std::unique_ptr<UdpSocket>> UdpSocket::bind(const Options &options)
{
    sockaddr_in native{};
    if (!toNative(options.address, native)) {
        return Errors::makeError(Errors::ErrorKind::BadSettings,
                                 "\"" + options.address.ip + "\" is not an IPv4 address");
    }
    const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return bindError(options.address, "open");
    socklen_t length = sizeof native;
    if (::bind(fd, reinterpret_cast<sockaddr *>(&native), length) != 0
        || getsockname(fd, reinterpret_cast<sockaddr *>(&native), &length) != 0) {
        const Errors::Error error = bindError(options.address, "bind");
        close(fd);
        return error;
    }
    return std::unique_ptr<UdpSocket>(new UdpSocket(*options.loop, fd, fromNative(native)));
}

UdpSocket::UdpSocket(Loop &loop, int fd, SocketAddress address)
    : m_loop(loop)
    , m_fd(fd)
    , m_address(std::move(address))
{
    m_loop.watchReadable(m_fd, [this] { readAll(); });
}

UdpSocket::~UdpSocket()
{
    m_loop.unwatch(m_fd);
    close(m_fd);
}

bool UdpSocket::send(const SocketAddress &to, std::string_view datagram)
{
    sockaddr_in native{};
    if (!toNative(to, native))
        return false;
    const ssize_t sent = sendto(m_fd, datagram.data(), datagram.size(), MSG_DONTWAIT,
                                reinterpret_cast<const sockaddr *>(&native), sizeof native);
    return sent == static_cast<ssize_t>(datagram.size());
}

void UdpSocket::readAll()
{
    static thread_local std::array<char, maxDatagramBytes> buffer;
    // The callback may destroy this socket.
    const std::weak_ptr<bool> alive = m_alive;
    for (int i = 0; i < maxReadsPerIteration && !alive.expired(); ++i) {
        sockaddr_in native{};
        socklen_t length = sizeof native;
        const ssize_t size = recvfrom(m_fd, buffer.data(), buffer.size(), MSG_DONTWAIT,
                                      reinterpret_cast<sockaddr *>(&native), &length);
        if (size < 0 && errno != ECONNREFUSED)
            return;
        if (size < 0 || !m_received)
            continue;
        const Received received = m_received;
        received(fromNative(native), {buffer.data(), static_cast<std::size_t>(size)});
    }
}

} // namespace Lagoonbank::Runtime
