#pragma once

#include "errors/result.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Lagoonbank::Runtime {

class Loop;

/// An IPv4 address and a port.
struct SocketAddress
{
    std::string ip;
    std::uint16_t port = 0;

    auto operator<=>(const SocketAddress &) const = default;
};

/// Parses "ip:port"; the error says what is wrong.
Errors::Result<SocketAddress> parseSocketAddress(std::string_view text);
std::string toString(const SocketAddress &address);

/// A UDP socket that is read by an event loop.
class UdpSocket
{
public:
    struct Options
    {
        Loop *loop = nullptr;
        SocketAddress address; ///< Port 0 chooses a free one.
    };
    using Received = std::function<void(const SocketAddress &from, std::string_view datagram)>;

    static Errors::Result<std::unique_ptr<UdpSocket>> bind(const Options &options);
    ~UdpSocket();
    UdpSocket(const UdpSocket &) = delete;
    UdpSocket &operator=(const UdpSocket &) = delete;

    const SocketAddress &address() const { return m_address; }
    void setReceived(Received received) { m_received = std::move(received); }
    /// Sends at once without blocking; returns false if the datagram was dropped.
    bool send(const SocketAddress &to, std::string_view datagram);

private:
    UdpSocket(Loop &loop, int fd, SocketAddress address);
    void readAll();

    Loop &m_loop;
    int m_fd;
    SocketAddress m_address;
    Received m_received;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Lagoonbank::Runtime
