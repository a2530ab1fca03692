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

namespace Lagoonbank::Http::Internal {

class H2oServer;

/// One accepted connection, from accept to close. HTTP/1.1 is read by Http1Connection and HTTP/2 by
/// h2o; before either is known the TLS handshake runs.
struct ServerConnection
{
    H2oServer *server = nullptr;
    h2o_socket_t *socket = nullptr;
    Runtime::SocketAddress peer;
    std::shared_ptr<Http1Connection> http1; ///< Null while the protocol is not HTTP/1.1.
    bool hadRequest = false;
    Arrival arrival;
    Base::MonoTime quietSince; ///< Accepted, or the last answer ended.
    absl::flat_hash_set<H2oResponder *> open; ///< Requests that h2o has handed out.
};

/// What of a server must outlive it until its last connection is closed: h2o's context and
/// configuration.
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
    /// Breaks every connection off; the object goes with the last one.
    void shutDown();

    const Runtime::SocketAddress &address() const { return m_options.address; }
    const Runtime::Clock &clock() const { return m_loop.clock(); }
    std::size_t openConnections() const { return m_connections.size() + m_waiting.size(); }
    Server::Handler handler;
    Server::RefusalHandler refusalHandler;

    /// The id for a request that is answered without the handler; empty if none is given.
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
    /// Accepted, and not looked at yet.
    struct Waiting
    {
        h2o_socket_t *socket;
        Arrival arrival;
    };
    void acceptAll();
    void takeUp(std::size_t most);
    void takeUpLater();
    void closeWaiting();
    bool hasLeft(const Waiting &waiting) const;
    void start(const Waiting &waiting);
    static void secured(h2o_socket_t *socket, const char *error);
    void startHttp1(ServerConnection &connection);
    void startHttp2(ServerConnection &connection);
    ServerConnection *recordOf(const Http1Connection &connection) const;
    int dispatch(h2o_req_t *request);
    void startSweep();
    void sweep();
    void noteCrowd() { m_http1.isCrowded = openConnections() > m_options.maxConnections; }
    void closeLongestIdle();
    void cutIfSlow(ServerConnection &connection, Base::MonoTime now);
    static void closeIfIdle(ServerConnection &connection);

    Server::Options m_options;
    Runtime::Loop &m_loop;
    Http1Context m_http1;
    std::shared_ptr<H2oContext> m_context;
    h2o_accept_ctx_t m_accept{};
    h2o_socket_t *m_listener = nullptr;
    std::deque<Waiting> m_waiting;
    bool m_isTakingUpLater = false;
    std::optional<Runtime::TimerId> m_sweepTimer;
    bool m_isStopping = false;
    absl::flat_hash_set<ServerConnection *> m_connections;
    /// Holds this while it has connections.
    std::shared_ptr<H2oServer> m_self;
};

} // namespace Lagoonbank::Http::Internal
