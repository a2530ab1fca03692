#include "http/socketlook.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <cstddef>

namespace Lagoonbank::Http::Internal {

PeerClose detectPeerClose(int fd)
{
    pollfd polled{fd, POLLIN | POLLRDHUP, 0};
    if (poll(&polled, 1, 0) <= 0)
        return PeerClose::None;
    if ((polled.revents & (POLLERR | POLLHUP)) != 0)
        return PeerClose::Both;
    if ((polled.revents & POLLRDHUP) != 0)
        return PeerClose::Sending;
    // For systems without POLLRDHUP, on which unread bytes hide the close.
    char byte = 0;
    const bool isEnd = recv(fd, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) == 0;
    return isEnd ? PeerClose::Sending : PeerClose::None;
}

std::optional<Base::Duration> timeSinceLastReceive(int fd)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    constexpr std::size_t needed =
        offsetof(tcp_info, tcpi_last_data_recv) + sizeof info.tcpi_last_data_recv;
    if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 || size < needed)
        return std::nullopt;
    // A system that does not track these times reports 0 for all of them. It is rare that all
    // three events happened within the current millisecond.
    if (info.tcpi_last_data_recv + info.tcpi_last_ack_recv + info.tcpi_last_data_sent == 0)
        return std::nullopt;
    return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

} // namespace Lagoonbank::Http::Internal
