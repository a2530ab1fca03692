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
        closeConnections({.count = openConnections() - m_options.maxConnections,
                          .lastUse = Http1Connection::Use::Idle,
                          .minNewAge = firstRequestTime});
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

/// Closes new connections whose callers have left, or else some connections without a request in
/// progress at once, so that this is seldom needed, or else the latest one, unread, so that its
/// caller goes elsewhere.
void H2oServer::makeRoomForConnection()
{
    while (!m_pending.empty() && closeIfDisconnected(m_pending.front()))
        m_pending.pop_front();
    if (openConnections() <= maxOpenConnections())
        return;
    closeConnections(
        {.count = connectionsClosedAtOnce, .lastUse = Http1Connection::Use::Receiving});
    if (openConnections() <= maxOpenConnections())
        return;
    h2o_socket_close(m_pending.back().socket);
    m_pending.pop_back();
    reportClosed(LimitedConnection::New);
}

/// Closes connections in the order of their use, and then those whose use began first. Callers that
/// open a new connection for each request leave their old ones idle, hundreds per second. Once all
/// descriptors are in use, no caller can connect and no endpoint can be called.
void H2oServer::closeConnections(const ClosedConnections &which)
{
    struct Candidate
    {
        Http1Connection::Use use;
        Base::MonoTime since;
        std::shared_ptr<Http1Connection> connection;
    };
    const Base::MonoTime now = m_loop.clock().now();
    std::vector<Candidate> candidates;
    for (const ServerConnection *connection : m_connections) {
        const auto http1 = connection->http1;
        if (!http1 || http1->use() > which.lastUse)
            continue;
        const Candidate candidate{http1->use(), http1->useBeganAt(), http1};
        const bool isNew = candidate.use == Http1Connection::Use::WithoutRequest
            && now - candidate.since < which.minNewAge;
        if (!isNew)
            candidates.push_back(candidate);
    }
    const std::size_t closed = std::min(which.count, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(closed),
                      candidates.end(), [](const Candidate &a, const Candidate &b) {
                          return std::tie(a.use, a.since) < std::tie(b.use, b.since);
                      });
    for (std::size_t i = 0; i < closed; ++i) {
        const bool isIdle = candidates[i].use == Http1Connection::Use::Idle;
        if (candidates[i].connection->yield())
            reportClosed(isIdle ? LimitedConnection::Idle : LimitedConnection::WithoutRequest);
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
