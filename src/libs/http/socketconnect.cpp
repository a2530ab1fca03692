#include "http/socketconnect.h"

#include <h2o.h>

#include <arpa/inet.h>
#include <netinet/in.h>

namespace Lagoonbank::Http::Internal {

h2o_socket_t *connectSocket(Runtime::Loop &loop, const Runtime::SocketAddress &server,
                            void (*connected)(h2o_socket_t *socket, const char *error))
{
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_port = htons(server.port);
    if (inet_pton(AF_INET, server.ip.c_str(), &native.sin_addr) != 1)
        return nullptr;
    return h2o_socket_connect(loop.native(), reinterpret_cast<sockaddr *>(&native), sizeof native,
                              connected);
}

} // namespace Lagoonbank::Http::Internal
