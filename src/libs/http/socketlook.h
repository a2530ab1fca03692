#pragma once

#include "base/units.h"

#include <cstdint>
#include <optional>

namespace Lagoonbank::Http::Internal {

/// What the peer of a connection has closed, whether or not that has been read.
enum class PeerClose : std::uint8_t {
    None,
    Sending, ///< It sends no more; it may still read.
    Both ///< The connection is over.
};

/// Looks at a socket, past bytes that are unread. One system call, two where something is unread.
PeerClose lookForClose(int fd);
/// How long ago the last bytes came, read or not; nothing where the system does not tell. To a
/// millisecond; a system call.
std::optional<Base::Duration> sinceLastBytes(int fd);

} // namespace Lagoonbank::Http::Internal
