#include "http/connectioncheck.h"

#include "http/socketconnect.h"
#include "http/socketlook.h"

#include <h2o.h>

#include <utility>

namespace Lagoonbank::Http::Internal {

ConnectionCheck::ConnectionCheck(Runtime::Loop &loop, Checked checked)
    : m_loop(loop)
    , m_checked(std::move(checked))
{ }

ConnectionCheck::~ConnectionCheck()
{
    if (m_timer)
        m_loop.timers().cancel(*m_timer);
    if (m_socket)
        h2o_socket_close(m_socket);
}

void ConnectionCheck::start(const Runtime::SocketAddress &server, Base::Duration timeout,
                            Base::Duration holdTime)
{
    m_holdTime = holdTime;
    m_timer = m_loop.timers().start(timeout, [this] {
        m_timer.reset();
        finish(false);
    });
    m_socket = connectSocket(m_loop, server, connected);
    if (m_socket) {
        m_socket->data = this;
        return;
    }
    m_loop.post([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->finish(false);
    });
}

void ConnectionCheck::connected(h2o_socket_t *socket, const char *error)
{
    auto *self = static_cast<ConnectionCheck *>(socket->data);
    if (error || self->m_holdTime <= Base::Duration::zero())
        self->finish(error == nullptr);
    else
        self->hold();
}

void ConnectionCheck::hold()
{
    m_loop.timers().cancel(*m_timer);
    m_timer = m_loop.timers().start(m_holdTime, [this] {
        m_timer.reset();
        finish(isOpen(h2o_socket_get_fd(m_socket))); // A close may not have been read yet.
    });
    h2o_socket_read_start(m_socket, receivedWhileHeld);
}

/// Data that the server sends without a request shows as well that it is reachable.
void ConnectionCheck::receivedWhileHeld(h2o_socket_t *socket, const char *error)
{
    static_cast<ConnectionCheck *>(socket->data)->finish(error == nullptr);
}

void ConnectionCheck::finish(bool isReachable)
{
    const std::shared_ptr<ConnectionCheck> self = shared_from_this();
    if (m_timer)
        m_loop.timers().cancel(*std::exchange(m_timer, std::nullopt));
    if (m_socket)
        h2o_socket_close(std::exchange(m_socket, nullptr));
    if (const auto checked = std::exchange(m_checked, nullptr))
        checked(isReachable);
}

} // namespace Lagoonbank::Http::Internal
