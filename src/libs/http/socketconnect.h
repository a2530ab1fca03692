#pragma once

#include "runtime/loop.h"
#include "runtime/udpsocket.h"

struct st_h2o_socket_t;

namespace Lagoonbank::Http::Internal {

/// Begins a connection; null if that is not possible at all, as with an address that is no IPv4
/// number.
st_h2o_socket_t *connectSocket(Runtime::Loop &loop, const Runtime::SocketAddress &server,
                               void (*connected)(st_h2o_socket_t *socket, const char *error));

} // namespace Lagoonbank::Http::Internal
