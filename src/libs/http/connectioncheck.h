#pragma once

#include "runtime/loop.h"
#include "runtime/udpsocket.h"

#include <functional>
#include <memory>
#include <optional>

struct st_h2o_socket_t;

namespace Lagoonbank::Http::Internal {

/// Opens a connection and closes it again to check whether a server is reachable and, with a hold
/// time, keeps the connection open for that time.
class ConnectionCheck : public std::enable_shared_from_this<ConnectionCheck>
{
public:
    using Checked = std::function<void(bool isReachable)>;

    ConnectionCheck(Runtime::Loop &loop, Checked checked);
    ~ConnectionCheck();
    ConnectionCheck(const ConnectionCheck &) = delete;
    ConnectionCheck &operator=(const ConnectionCheck &) = delete;

    void start(const Runtime::SocketAddress &server, Base::Duration timeout,
               Base::Duration holdTime);

private:
    static void connected(st_h2o_socket_t *socket, const char *error);
    static void receivedWhileHeld(st_h2o_socket_t *socket, const char *error);
    void hold();
    void finish(bool isReachable);

    Runtime::Loop &m_loop;
    Checked m_checked;
    Base::Duration m_holdTime{};
    st_h2o_socket_t *m_socket = nullptr;
    std::optional<Runtime::TimerId> m_timer;
};

} // namespace Lagoonbank::Http::Internal
