#pragma once

#include "base/units.h"
#include "runtime/loop.h"
#include "runtime/udpsocket.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

struct st_h2o_socket_t;

namespace Lagoonbank::Http::Internal {

/// Properties that a connection must share with a call to be reused for it.
struct PoolKey
{
    Runtime::SocketAddress server;
    bool tls = false;
    std::string serverName;

    bool operator==(const PoolKey &) const = default;
    template<typename H>
    friend H AbslHashValue(H h, const PoolKey &key) // NOLINT(readability-identifier-naming)
    {
        return H::combine(std::move(h), key.server.ip, key.server.port, key.tls, key.serverName);
    }
};

/// A connection to a server.
struct PooledConnection
{
    st_h2o_socket_t *socket = nullptr;
    Base::MonoTime establishedAt{};
};

/// Idle connections of a client. The most recently used one is reused first.
class ConnectionPool
{
public:
    ConnectionPool(Runtime::Loop &loop, Base::Duration idleTimeout);
    ~ConnectionPool();
    ConnectionPool(const ConnectionPool &) = delete;
    ConnectionPool &operator=(const ConnectionPool &) = delete;

    /// Takes ownership of an idle connection; closes it if the pool has \a maxIdle for \a key.
    void put(const PoolKey &key, const PooledConnection &connection, std::size_t maxIdle);
    /// Removes and returns a connection that the server has not closed, or one without a socket.
    PooledConnection take(const PoolKey &key);
    /// Called after the server has ended an idle connection.
    std::function<void(const Runtime::SocketAddress &server)> endedByServer;

    /// Number of connections that were established before \a time and that the server has kept
    /// open.
    std::size_t openCount(const Runtime::SocketAddress &server, Base::MonoTime time) const;

private:
    struct Idle
    {
        PooledConnection connection;
        Base::MonoTime idleSince;
        ConnectionPool *pool = nullptr;
        PoolKey key;
    };

    static void becameReadable(st_h2o_socket_t *socket, const char *error);
    void drop(Idle *idle);
    void reportEnd(const Runtime::SocketAddress &server);
    void startExpiry();
    void expire();

    Runtime::Loop &m_loop;
    Base::Duration m_idleTimeout;
    std::optional<Runtime::TimerId> m_expiry;
    absl::flat_hash_map<PoolKey, std::deque<Idle *>> m_idle;
    /// Lets deferred work detect that this object was destroyed.
    std::shared_ptr<bool> m_isPresent = std::make_shared<bool>(true);
};

} // namespace Lagoonbank::Http::Internal
