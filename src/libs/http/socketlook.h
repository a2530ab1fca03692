#pragma once

#include "base/units.h"

#include <cstdint>
#include <optional>

namespace Lagoonbank::Http::Internal {

/// Directions of a connection that the peer has closed, even if the close has not been read yet.
enum class PeerClose : std::uint8_t {
    None,
    Sending, ///< The peer sends no more but may still read.
    Both ///< The connection has ended.
};

/// Detects a close even behind unread bytes. Takes one system call, or two if bytes are unread.
PeerClose detectPeerClose(int fd);
/// Whether the peer has neither closed nor reset the connection.
inline bool isOpen(int fd)
{
    return detectPeerClose(fd) == PeerClose::None;
}
/// Time since the kernel received the last bytes, read or not, in whole milliseconds; unset if the
/// system does not report it. Takes one system call.
std::optional<Base::Duration> timeSinceLastReceive(int fd);

} // namespace Lagoonbank::Http::Internal
