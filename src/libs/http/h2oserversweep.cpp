#include "http/h2oserver.h"

#include <sys/socket.h>

#include <algorithm>
#include <limits>
#include <memory>
#include <tuple>
#include <utility>
#include <vector>

// Closes connections that are slow or idle, or that exceed the limit.

namespace Lagoonbank::Http::Internal {

namespace {

/// Interval between checks for slow and idle connections.
constexpr Base::Duration sweepInterval = std::chrono::milliseconds(250);
/// Age up to which a connection is about to receive its first request.
constexpr Base::Duration firstRequestTime = std::chrono::seconds(1);
constexpr std::size_t connectionsClosedAtOnce = 32;

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
        closeIdle(openConnections() - m_options.maxConnections, firstRequestTime);
    if (!m_isStopping || !m_options.sharesContext)
        return;
    const std::vector<ServerConnection *> left(m_connections.begin(), m_connections.end());
    for (ServerConnection *connection : left)
        closeIfIdle(*connection);
}

std::size_t H2oServer::maxOpenConnections() const
{
    const std::size_t limit = m_options.maxConnections;
    constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();
    return limit > unlimited / Server::connectionExcessFactor
        ? unlimited
        : limit * Server::connectionExcessFactor;
}

/// Closes new connections whose callers have left, or else some idle ones at once, so that this is
/// seldom needed, or else the latest one, unread, so that its caller goes elsewhere.
void H2oServer::makeRoomForConnection()
{
    while (!m_pending.empty() && closeIfDisconnected(m_pending.front()))
        m_pending.pop_front();
    if (openConnections() <= maxOpenConnections())
        return;
    closeIdle(connectionsClosedAtOnce, Base::Duration::zero());
    if (openConnections() <= maxOpenConnections())
        return;
    h2o_socket_close(m_pending.back().socket);
    m_pending.pop_back();
    reportClosed(LimitedConnection::New);
}

/// Closes up to \a count connections: first those without a request, if they are older than \a
/// minNewAge, then those that are idle for the longest time. Callers that open a new connection for
/// each request leave their old ones idle, hundreds per second. Once all descriptors are in use, no
/// caller can connect and no endpoint can be called.
void H2oServer::closeIdle(std::size_t count, Base::Duration minNewAge)
{
    struct Candidate
    {
        bool hadRequest;
        Base::MonoTime since;
        std::shared_ptr<Http1Connection> connection;
    };
    const Base::MonoTime now = m_loop.clock().now();
    std::vector<Candidate> idle;
    for (const ServerConnection *connection : m_connections) {
        const auto http1 = connection->http1;
        const auto since = http1 ? http1->idleSince() : std::nullopt;
        if (since && (http1->hadRequest() || now - *since >= minNewAge))
            idle.push_back({http1->hadRequest(), *since, http1});
    }
    const std::size_t closed = std::min(count, idle.size());
    std::partial_sort(idle.begin(), idle.begin() + static_cast<std::ptrdiff_t>(closed), idle.end(),
                      [](const Candidate &a, const Candidate &b) {
                          return std::tie(a.hadRequest, a.since) < std::tie(b.hadRequest, b.since);
                      });
    for (std::size_t i = 0; i < closed; ++i) {
        if (idle[i].connection->closeIfIdle())
            reportClosed(idle[i].hadRequest ? LimitedConnection::Idle
                                            : LimitedConnection::WithoutRequest);
    }
}

void H2oServer::reportClosed(LimitedConnection kind) const
{
    if (m_options.closedForLimit)
        m_options.closedForLimit(kind);
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
