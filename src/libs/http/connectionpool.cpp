#include "http/connectionpool.h"

#include "http/socketlook.h"

#include <h2o.h>

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace Lagoonbank::Http::Internal {

namespace {

/// Whether an idle connection is usable: it has no data to read, no end of stream and no error.
bool isAlive(h2o_socket_t *socket)
{
    if (socket->input->size > 0)
        return false;
    char byte = 0;
    const ssize_t size =
        recv(h2o_socket_get_fd(socket), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
    return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

ConnectionPool::ConnectionPool(Runtime::Loop &loop, Base::Duration idleTimeout)
    : m_loop(loop)
    , m_idleTimeout(idleTimeout)
{ }

ConnectionPool::~ConnectionPool()
{
    if (m_expiry)
        m_loop.timers().cancel(*m_expiry);
    for (auto &[key, connections] : m_idle) {
        for (Idle *idle : connections) {
            h2o_socket_close(idle->connection.socket);
            delete idle;
        }
    }
}

void ConnectionPool::put(const PoolKey &key, const PooledConnection &connection,
                         std::size_t maxIdle)
{
    const auto found = m_idle.find(key);
    const std::size_t count = found == m_idle.end() ? 0 : found->second.size();
    if (count >= maxIdle) {
        h2o_socket_close(connection.socket);
        return;
    }
    auto *idle = new Idle{connection, m_loop.clock().now(), this, key};
    connection.socket->data = idle;
    // Reading detects a server that closes the connection or sends data without a request.
    h2o_socket_read_start(connection.socket, becameReadable);
    m_idle[key].push_back(idle);
    startExpiry();
}

PooledConnection ConnectionPool::take(const PoolKey &key)
{
    const auto found = m_idle.find(key);
    if (found == m_idle.end())
        return {};
    auto &connections = found->second;
    const Base::MonoTime expiredBefore = m_loop.clock().now() - m_idleTimeout;
    bool hasEnded = false;
    PooledConnection taken;
    while (!connections.empty() && !taken.socket) {
        Idle *idle = connections.back();
        connections.pop_back();
        const PooledConnection connection = idle->connection;
        const bool isUnused = isAlive(connection.socket);
        const bool isUsable = idle->idleSince > expiredBefore && isUnused;
        delete idle;
        hasEnded = hasEnded || !isUnused;
        if (isUsable)
            taken = connection;
        else
            h2o_socket_close(connection.socket);
    }
    if (hasEnded)
        reportEnd(key.server);
    return taken;
}

/// Calls endedByServer() later, as the caller is about to use another connection.
void ConnectionPool::reportEnd(const Runtime::SocketAddress &server)
{
    m_loop.post([this, server, isPresent = std::weak_ptr<bool>(m_isPresent)] {
        if (!isPresent.expired() && endedByServer)
            endedByServer(server);
    });
}

std::size_t ConnectionPool::openCount(const Runtime::SocketAddress &server,
                                      Base::MonoTime time) const
{
    std::size_t count = 0;
    for (const auto &[key, connections] : m_idle) {
        if (key.server != server)
            continue;
        for (const Idle *idle : connections) {
            const bool isOld = idle->connection.establishedAt < time;
            count += isOld && isOpen(h2o_socket_get_fd(idle->connection.socket)) ? 1 : 0;
        }
    }
    return count;
}

void ConnectionPool::becameReadable(h2o_socket_t *socket, const char *error)
{
    const bool isTlsOnly = !error && socket->ssl && socket->input->size == 0;
    if (isTlsOnly)
        return; // For example, a session ticket.
    auto *idle = static_cast<Idle *>(socket->data);
    ConnectionPool &pool = *idle->pool;
    pool.reportEnd(idle->key.server);
    pool.drop(idle);
}

void ConnectionPool::drop(Idle *idle)
{
    auto &connections = m_idle[idle->key];
    connections.erase(std::find(connections.begin(), connections.end(), idle));
    if (connections.empty())
        m_idle.erase(idle->key);
    h2o_socket_close(idle->connection.socket);
    delete idle;
}

void ConnectionPool::startExpiry()
{
    if (!m_expiry)
        m_expiry = m_loop.timers().start(m_idleTimeout, [this] { expire(); });
}

void ConnectionPool::expire()
{
    m_expiry.reset();
    const Base::MonoTime expiredBefore = m_loop.clock().now() - m_idleTimeout;
    for (auto it = m_idle.begin(); it != m_idle.end();) {
        auto &connections = it->second;
        while (!connections.empty() && connections.front()->idleSince <= expiredBefore) {
            h2o_socket_close(connections.front()->connection.socket);
            delete connections.front();
            connections.pop_front();
        }
        if (connections.empty())
            m_idle.erase(it++);
        else
            ++it;
    }
    if (!m_idle.empty())
        startExpiry();
}

} // namespace Lagoonbank::Http::Internal
