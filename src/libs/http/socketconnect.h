#pragma once

#include "runtime/loop.h"
#include "runtime/udpsocket.h"

struct st_h2o_socket_t;

namespace Lagoonbank::Http::Internal {

/// Starts to connect to \a server. Returns null if that fails at once, for example because the
/// address is not an IPv4 address.
st_h2o_socket_t *connectSocket(Runtime::Loop &loop, const Runtime::SocketAddress &server,
                               void (*connected)(st_h2o_socket_t *socket, const char *error));

} // namespace Lagoonbank::Http::Internal
