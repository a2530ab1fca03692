#include "http/h2oserver.h"

#include <sys/socket.h>

#include <algorithm>
#include <utility>
#include <vector>

// Closes connections that are slow or idle, or that exceed the limit.

namespace Lagoonbank::Http::Internal {

namespace {

/// Interval between checks for slow and idle connections.
constexpr Base::Duration sweepInterval = std::chrono::milliseconds(250);

} // namespace

void H2oServer::startSweep()
{
    if (m_sweepTimer)
        return;
    m_sweepTimer = m_loop.timers().start(sweepInterval, [this] {
        m_sweepTimer.reset();
        const std::shared_ptr<H2oServer> alive = shared_from_this();
        sweep();
        if (!m_connections.empty())
            startSweep();
    });
}

void H2oServer::sweep()
{
    const Base::MonoTime now = m_loop.clock().now();
    const std::vector<ServerConnection *> connections(m_connections.begin(), m_connections.end());
    for (ServerConnection *connection : connections) {
        if (const auto http1 = connection->http1)
            http1->sweep(now);
        else if (connection->openResponders.empty())
            closeIfTimedOut(*connection, now);
    }
    updateConnectionLimit();
    if (m_http1.isOverConnectionLimit)
        closeLongestIdle();
    if (!m_isStopping || !m_options.sharesContext)
        return;
    const std::vector<ServerConnection *> left(m_connections.begin(), m_connections.end());
    for (ServerConnection *connection : left)
        closeIfIdle(*connection);
}

/// Callers that open a new connection for each request leave their old ones idle, hundreds per
/// second. Once all descriptors are in use, no caller can connect and no endpoint can be called.
void H2oServer::closeLongestIdle()
{
    std::vector<std::pair<Base::MonoTime, Http1Connection *>> idle;
    for (const ServerConnection *connection : m_connections) {
        const auto since = connection->http1 ? connection->http1->idleSince() : std::nullopt;
        if (since)
            idle.emplace_back(*since, connection->http1.get());
    }
    const std::size_t tooMany = openConnections() - m_options.maxConnections;
    const std::size_t closed = std::min(tooMany, idle.size());
    std::partial_sort(idle.begin(), idle.begin() + static_cast<std::ptrdiff_t>(closed), idle.end());
    for (std::size_t i = 0; i < closed; ++i)
        idle[i].second->closeIfIdle();
}

/// Closes a connection whose TLS handshake or first HTTP/2 request takes too long, or an idle one.
void H2oServer::closeIfTimedOut(ServerConnection &connection, Base::MonoTime now)
{
    const bool isPartial = !connection.hadRequest || connection.socket->input->size > 0;
    const Base::Duration limit =
        isPartial ? m_options.limits.requestTimeout : m_options.limits.idleTimeout;
    if (now - connection.idleSince >= limit)
        shutdown(h2o_socket_get_fd(connection.socket), SHUT_RDWR);
}

} // namespace Lagoonbank::Http::Internal
