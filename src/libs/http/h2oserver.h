#pragma once

#include "http/h2ocontext.h"
#include "http/h2oresponder.h"
#include "http/http1connection.h"
#include "http/server.h"
#include "runtime/loop.h"

#include <absl/container/flat_hash_set.h>
#include <h2o.h>

#include <deque>
#include <memory>
#include <optional>

namespace Lagoonbank::Http::Internal {

class H2oServer;

/// An accepted connection. HTTP/1.1 is handled by Http1Connection and HTTP/2 by h2o; with TLS, the
/// protocol is known after the handshake.
struct ServerConnection
{
    H2oServer *server = nullptr;
    h2o_socket_t *socket = nullptr;
    Runtime::SocketAddress peer;
    std::shared_ptr<Http1Connection> http1; ///< Null unless the protocol is HTTP/1.1.
    std::optional<MemoryUse> http2Memory; ///< For all requests; see Server::Options::http2.
    bool hadRequest = false;
    ArrivalWindow arrival;
    Base::MonoTime idleSince; ///< When it was accepted or its last answer ended.
    absl::flat_hash_set<H2oResponder *> openResponders; ///< Of the HTTP/2 requests in progress.
};

/// Implementation of Server. Outlives it until the last connection is closed, as h2o needs its
/// context and configuration until then.
class H2oServer : public std::enable_shared_from_this<H2oServer>
{
public:
    explicit H2oServer(Server::Options options);
    ~H2oServer();
    H2oServer(const H2oServer &) = delete;
    H2oServer &operator=(const H2oServer &) = delete;

    Errors::Result<void> listen();
    Errors::Result<void> loadTls();
    void setLimits(const Server::Limits &limits);
    void startDraining() { m_http1.isDraining = true; }
    void stopAccepting();
    /// Closes every connection; the object is destroyed with the last one.
    void shutDown();

    const Runtime::SocketAddress &address() const { return m_options.address; }
    const Runtime::Clock &clock() const { return m_loop.clock(); }
    std::size_t openConnections() const { return m_connections.size() + m_pending.size(); }
    Server::Handler handler;
    Server::RefusalHandler refusalHandler;

    /// Id for a request that is refused without calling the handler; empty without refusalHandler.
    std::string refusedRequestId(Errors::ErrorKind kind) const
    {
        return refusalHandler ? refusalHandler(kind) : "";
    }
    static std::string refusedRequestId(h2o_req_t *request, Errors::ErrorKind kind);

private:
    struct RequestSlot
    {
        std::shared_ptr<H2oResponder> responder;
        ServerConnection *connection;
    };

    static int handleRequest(h2o_handler_t *handler, h2o_req_t *request);
    static void requestEnded(void *slot);
    static void connectionClosed(void *connection);
    /// An accepted connection that has not been started yet.
    struct PendingConnection
    {
        h2o_socket_t *socket;
        ArrivalWindow arrival;
    };
    void acceptAll();
    void startPending(std::size_t maxStarts);
    void scheduleStartPending();
    void closePending();
    bool hasDisconnected(const PendingConnection &pending) const;
    bool closeIfDisconnected(const PendingConnection &pending);
    void start(const PendingConnection &pending);
    static void tlsEstablished(h2o_socket_t *socket, const char *error);
    void startHttp1(ServerConnection &connection);
    void startHttp2(ServerConnection &connection);
    ServerConnection *recordOf(const Http1Connection &connection) const;
    int dispatch(h2o_req_t *request);
    void startSweep();
    void sweep();
    void updateConnectionLimit()
    {
        m_http1.isOverConnectionLimit = openConnections() > m_options.maxConnections;
    }
    std::size_t maxOpenConnections() const;
    void makeRoomForConnection();
    struct ClosedConnections
    {
        std::size_t count = 0; ///< At most so many.
        Http1Connection::Use lastUse = Http1Connection::Use::Idle; ///< None of a later use.
        Base::Duration minNewAge{}; ///< Of connections without a request.
    };
    void closeConnections(const ClosedConnections &which);
    void reportClosed(LimitedConnection kind) const;
    void closeIfTimedOut(ServerConnection &connection, Base::MonoTime now);
    static void closeIfIdle(ServerConnection &connection);

    Server::Options m_options;
    Runtime::Loop &m_loop;
    std::shared_ptr<MemoryBudget> m_memory;
    Http1Context m_http1;
    std::shared_ptr<H2oContext> m_context;
    h2o_accept_ctx_t m_accept{};
    h2o_socket_t *m_listener = nullptr;
    std::deque<PendingConnection> m_pending;
    bool m_isStartScheduled = false;
    std::optional<Runtime::TimerId> m_sweepTimer;
    bool m_isStopping = false;
    absl::flat_hash_set<ServerConnection *> m_connections;
    /// Keeps this object alive while it has connections.
    std::shared_ptr<H2oServer> m_self;
};

} // namespace Lagoonbank::Http::Internal
