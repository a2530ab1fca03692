#include "http/h2oserver.h"

#include "errors/errorbody.h"
#include "http/errorfilter.h"
#include "http/socketlook.h"

#include <h2o/http2.h>
#include <openssl/ssl.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <utility>
#include <vector>

namespace Lagoonbank::Http::Internal {

namespace {

/// New connections that are started in one iteration of the event loop. Limited so that answers in
/// progress take precedence.
constexpr std::size_t maxStartsPerIteration = 32;
/// Accepted connections that wait to be started. Connections are accepted immediately because the
/// age of one in the kernel's queue is unknown and a disconnect of its caller is not visible, and
/// when that queue is full callers wait for seconds. A router under full load receives 1,000
/// connections per second and has 4,200 descriptors.
constexpr std::size_t maxPendingConnections = 1024;
/// Age from which a pending connection is checked for a disconnect. Callers give up after 150 ms or
/// more, so a check of younger connections would be wasted.
constexpr Base::Duration minCloseCheckAge = std::chrono::milliseconds(50);
constexpr int listenBacklog = 4096;
/// Sizes of the system's buffers of a connection, of which it takes twice as much memory. They
/// allow for 600 KB/s from and 1.3 MB/s to a caller over a round trip of 50 ms. Without them the
/// system lets them grow to several MB.
constexpr int receiveBufferBytes = 32 * 1024;
constexpr int sendBufferBytes = 64 * 1024;

std::string_view view(h2o_iovec_t text)
{
    return {text.base, text.len};
}

Runtime::SocketAddress peerOf(h2o_socket_t *socket)
{
    sockaddr_storage storage{};
    if (h2o_socket_getpeername(socket, reinterpret_cast<sockaddr *>(&storage)) == 0)
        return {};
    const auto &native = reinterpret_cast<const sockaddr_in &>(storage);
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &native.sin_addr, text.data(), text.size());
    return {text.data(), ntohs(native.sin_port)};
}

ServerConnection *connectionOf(h2o_req_t *request)
{
    h2o_socket_t *socket = request->conn->callbacks->get_socket(request->conn);
    return static_cast<ServerConnection *>(socket->on_close.data);
}

bool hasUnsafeField(const Request &request)
{
    if (!isSafeHeaderValue(request.path) || !isSafeHeaderValue(request.query))
        return true;
    for (const Header &field : request.headers.fields()) {
        if (!isSafeHeaderName(field.name) || !isSafeHeaderValue(field.value))
            return true;
    }
    return false;
}

Request readRequest(h2o_req_t *source, const ServerConnection &connection)
{
    Request request;
    request.method = view(source->input.method);
    request.setTarget(view(source->input.path));
    for (std::size_t i = 0; i < source->headers.size; ++i) {
        const h2o_header_t &field = source->headers.entries[i];
        request.headers.add(view(*field.name), view(field.value));
    }
    request.body = view(source->entity);
    request.peer = connection.peer;
    request.arrivedAt = connection.server->clock().now();
    return request;
}

Errors::Error systemError(std::string_view step, const Runtime::SocketAddress &address)
{
    return Errors::makeError(Errors::ErrorKind::BadSettings,
                             "cannot " + std::string(step) + " " + Runtime::toString(address) + ": "
                                 + std::strerror(errno));
}

} // namespace

H2oServer::H2oServer(Server::Options options)
    : m_options(std::move(options))
    , m_loop(*m_options.loop)
    , m_memory(m_options.memory ? m_options.memory
                                : std::make_shared<MemoryBudget>(
                                    MemoryBudget::optionsFor(std::nullopt, m_loop.clock())))
    , m_context(
          m_options.sharesContext
              ? H2oContext::shared(m_loop, m_options.limits.bodyBytes, handleRequest)
              : std::make_shared<H2oContext>(m_loop, m_options.limits.bodyBytes, handleRequest))
{
    m_http1.loop = &m_loop;
    m_http1.limits = m_options.limits;
    m_http1.memory = m_memory;
    m_http1.halfCloseMeansDisconnect = m_options.halfCloseMeansDisconnect;
    m_http1.requestReceived = [this](Request request, std::shared_ptr<Responder> responder) {
        if (handler)
            handler(std::move(request), std::move(responder));
        else
            responder->abort();
    };
    m_http1.refusedRequestId = [this](Errors::ErrorKind kind) { return refusedRequestId(kind); };
    if (m_options.http2) {
        m_http1.http2Detected = [this](Http1Connection &connection) {
            if (ServerConnection *record = recordOf(connection))
                startHttp2(*record);
        };
    }
    m_accept.ctx = m_context->native();
    m_accept.hosts = m_context->hosts();
}

H2oServer::~H2oServer()
{
    if (m_sweepTimer)
        m_loop.timers().cancel(*m_sweepTimer);
    if (m_listener)
        h2o_socket_close(m_listener);
    closePending();
    if (m_accept.ssl_ctx)
        SSL_CTX_free(m_accept.ssl_ctx);
}

Errors::Result<void> H2oServer::listen()
{
    if (m_options.tls) {
        if (const auto loaded = loadTls(); !loaded)
            return loaded.error();
    }
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_port = htons(m_options.address.port);
    if (inet_pton(AF_INET, m_options.address.ip.c_str(), &native.sin_addr) != 1) {
        return Errors::makeError(Errors::ErrorKind::BadSettings,
                                 "\"" + m_options.address.ip + "\" is not an IPv4 address");
    }
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return systemError("open a socket for", m_options.address);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    // Accepted connections inherit these.
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
    setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &sendBufferBytes, sizeof sendBufferBytes);
    socklen_t length = sizeof native;
    if (bind(fd, reinterpret_cast<sockaddr *>(&native), length) != 0
        || ::listen(fd, listenBacklog) != 0
        || getsockname(fd, reinterpret_cast<sockaddr *>(&native), &length) != 0) {
        const Errors::Error error = systemError("listen on", m_options.address);
        close(fd);
        return error;
    }
    m_options.address.port = ntohs(native.sin_port);
    m_listener = h2o_evloop_socket_create(m_loop.native(), fd, H2O_SOCKET_FLAG_DONT_READ);
    m_listener->data = this;
    h2o_socket_read_start(m_listener, [](h2o_socket_t *listener, const char *error) {
        if (!error)
            static_cast<H2oServer *>(listener->data)->acceptAll();
    });
    return boost::outcome_v2::success();
}

Errors::Result<void> H2oServer::loadTls()
{
    const auto bad = [](std::string_view what, const std::string &file) {
        return Errors::makeError(Errors::ErrorKind::BadSettings,
                                 "cannot read the " + std::string(what) + " in " + file
                                     + "; it must be PEM and the two must belong together");
    };
    if (!m_options.tls)
        return Errors::makeError(Errors::ErrorKind::BadSettings, "no certificate is set");
    const std::unique_ptr<SSL_CTX, void (*)(SSL_CTX *)> context(SSL_CTX_new(TLS_server_method()),
                                                                SSL_CTX_free);
    SSL_CTX_set_min_proto_version(context.get(), TLS1_2_VERSION);
    if (SSL_CTX_use_certificate_chain_file(context.get(), m_options.tls->certificateFile.c_str())
        != 1) {
        return bad("certificate", m_options.tls->certificateFile);
    }
    if (SSL_CTX_use_PrivateKey_file(context.get(), m_options.tls->keyFile.c_str(), SSL_FILETYPE_PEM)
            != 1
        || SSL_CTX_check_private_key(context.get()) != 1) {
        return bad("key", m_options.tls->keyFile);
    }
    if (m_options.http2)
        h2o_ssl_register_alpn_protocols(context.get(), h2o_alpn_protocols);
    // Open connections hold their own reference to the old context.
    SSL_CTX_up_ref(context.get());
    if (m_accept.ssl_ctx)
        SSL_CTX_free(m_accept.ssl_ctx);
    m_accept.ssl_ctx = context.get();
    return boost::outcome_v2::success();
}

void H2oServer::setLimits(const Server::Limits &limits)
{
    m_options.limits = limits;
    m_http1.limits = limits;
}

void H2oServer::stopAccepting()
{
    m_isStopping = true;
    startDraining();
    if (m_listener)
        h2o_socket_close(std::exchange(m_listener, nullptr));
    startPending(m_pending.size());
    if (!m_options.sharesContext)
        h2o_context_request_shutdown(m_context->native());
    const std::vector<ServerConnection *> connections(m_connections.begin(), m_connections.end());
    for (ServerConnection *connection : connections) {
        if (connection->http1 || m_options.sharesContext)
            closeIfIdle(*connection);
    }
}

void H2oServer::closeIfIdle(ServerConnection &connection)
{
    if (const auto http1 = connection.http1)
        http1->closeIfIdle();
    else if (connection.openResponders.empty() && connection.socket->input->size == 0)
        shutdown(h2o_socket_get_fd(connection.socket), SHUT_RDWR);
}

void H2oServer::closePending()
{
    for (const PendingConnection &pending : std::exchange(m_pending, {}))
        h2o_socket_close(pending.socket);
}

void H2oServer::shutDown()
{
    handler = nullptr;
    closePending();
    if (m_listener)
        h2o_socket_close(std::exchange(m_listener, nullptr));
    if (m_sweepTimer)
        m_loop.timers().cancel(*std::exchange(m_sweepTimer, std::nullopt));
    const std::vector<ServerConnection *> connections(m_connections.begin(), m_connections.end());
    for (ServerConnection *connection : connections) {
        if (const auto http1 = connection->http1) {
            http1->closeSilently();
            continue;
        }
        const std::vector<H2oResponder *> open(connection->openResponders.begin(),
                                               connection->openResponders.end());
        shutdown(h2o_socket_get_fd(connection->socket), SHUT_RDWR);
        for (H2oResponder *responder : open) {
            responder->setDisconnectHandler(nullptr);
            responder->abort();
        }
    }
}

void H2oServer::acceptAll()
{
    const Base::MonoTime now = m_loop.clock().now();
    const ArrivalWindow arrival{.earliest = now - m_loop.lag().maxPolledEventAge(), .latest = now};
    while (m_listener && m_pending.size() < maxPendingConnections) {
        h2o_socket_t *socket = h2o_evloop_socket_accept(m_listener);
        if (!socket)
            break;
        m_pending.push_back({socket, arrival});
        if (openConnections() > maxOpenConnections())
            makeRoomForConnection();
    }
    if (!m_isStartScheduled)
        startPending(maxStartsPerIteration);
}

/// Starts pending connections, the oldest first. Closes those whose callers have disconnected
/// without reading them; each costs three system calls, and they do not count against \a maxStarts.
void H2oServer::startPending(std::size_t maxStarts)
{
    const Base::MonoTime now = m_loop.clock().now();
    while (maxStarts > 0 && !m_pending.empty()) {
        const PendingConnection next = m_pending.front();
        m_pending.pop_front();
        m_loop.lag().noteDeferredWork(now - next.arrival.latest);
        if (closeIfDisconnected(next))
            continue;
        start(next);
        --maxStarts;
    }
    if (!m_pending.empty())
        scheduleStartPending();
}

void H2oServer::scheduleStartPending()
{
    m_isStartScheduled = true;
    m_loop.post([weak = weak_from_this()] {
        const std::shared_ptr<H2oServer> self = weak.lock();
        if (!self)
            return;
        self->m_isStartScheduled = false;
        self->startPending(maxStartsPerIteration);
    });
}

bool H2oServer::hasDisconnected(const PendingConnection &pending) const
{
    if (m_loop.clock().now() - pending.arrival.earliest < minCloseCheckAge)
        return false;
    const PeerClose peerClose = detectPeerClose(h2o_socket_get_fd(pending.socket));
    return peerClose == PeerClose::Both
        || (peerClose == PeerClose::Sending && m_options.halfCloseMeansDisconnect);
}

bool H2oServer::closeIfDisconnected(const PendingConnection &pending)
{
    if (!hasDisconnected(pending))
        return false;
    h2o_socket_close(pending.socket);
    if (m_options.disconnectedUnread)
        m_options.disconnectedUnread();
    return true;
}

void H2oServer::start(const PendingConnection &pending)
{
    h2o_socket_t *socket = pending.socket;
    const int fd = h2o_socket_get_fd(socket);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto unacknowledged = static_cast<unsigned>(Base::toMilliseconds(m_options.userTimeout));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged, sizeof unacknowledged);
    auto *connection = new ServerConnection{.server = this,
                                            .socket = socket,
                                            .peer = peerOf(socket),
                                            .arrival = pending.arrival,
                                            .idleSince = m_loop.clock().now()};
    socket->on_close.cb = connectionClosed;
    socket->on_close.data = connection;
    m_connections.insert(connection);
    updateConnectionLimit();
    m_self = shared_from_this();
    startSweep();
    if (!m_accept.ssl_ctx) {
        startHttp1(*connection);
        return;
    }
    socket->data = connection;
    h2o_socket_ssl_handshake(socket, m_accept.ssl_ctx, nullptr, tlsEstablished);
}

void H2oServer::tlsEstablished(h2o_socket_t *socket, const char *error)
{
    auto *connection = static_cast<ServerConnection *>(socket->data);
    if (error) {
        h2o_socket_close(socket);
        return;
    }
    const std::string_view protocol = view(h2o_socket_ssl_get_selected_protocol(socket));
    if (protocol.starts_with("h2"))
        connection->server->startHttp2(*connection);
    else
        connection->server->startHttp1(*connection);
}

void H2oServer::startHttp1(ServerConnection &connection)
{
    connection.http1 = std::make_shared<Http1Connection>(m_http1, connection.socket,
                                                         connection.peer, connection.arrival);
    const std::shared_ptr<Http1Connection> http1 = connection.http1;
    http1->start();
}

void H2oServer::startHttp2(ServerConnection &connection)
{
    if (const auto http1 = std::exchange(connection.http1, nullptr))
        http1->release();
    connection.http2Memory.emplace(m_memory, MemoryKind::Arriving);
    if (!connection.http2Memory->resize(Server::maxHttp2Requests * Server::maxHttp2RequestBytes)) {
        h2o_socket_close(connection.socket);
        return;
    }
    timeval now{};
    gettimeofday(&now, nullptr);
    h2o_http2_accept(&m_accept, connection.socket, now);
}

ServerConnection *H2oServer::recordOf(const Http1Connection &connection) const
{
    const auto found =
        std::find_if(m_connections.begin(), m_connections.end(),
                     [&](const ServerConnection *one) { return one->http1.get() == &connection; });
    return found == m_connections.end() ? nullptr : *found;
}

void H2oServer::connectionClosed(void *data)
{
    const std::unique_ptr<ServerConnection> connection(static_cast<ServerConnection *>(data));
    H2oServer *server = connection->server;
    server->m_connections.erase(connection.get());
    server->updateConnectionLimit();
    // h2o is still using the context, so this object must not be destroyed before h2o returns.
    if (server->m_connections.empty())
        server->m_loop.post([last = std::exchange(server->m_self, nullptr)] {});
}

int H2oServer::handleRequest(h2o_handler_t * /*handler*/, h2o_req_t *request)
{
    return connectionOf(request)->server->dispatch(request);
}

std::string H2oServer::refusedRequestId(h2o_req_t *request, Errors::ErrorKind kind)
{
    return connectionOf(request)->server->refusedRequestId(kind);
}

int H2oServer::dispatch(h2o_req_t *source)
{
    ServerConnection *connection = connectionOf(source);
    connection->hadRequest = true;
    const auto responder = std::make_shared<H2oResponder>(source, m_memory);
    // h2o disposes the objects in the request's pool when the request ends for any reason.
    auto *slot = new (h2o_mem_alloc_shared(&source->pool, sizeof(RequestSlot), requestEnded))
        RequestSlot{responder, connection};
    connection->openResponders.insert(slot->responder.get());
    markAsHandled(source);
    Request request = readRequest(source, *connection);
    request.memory = std::make_shared<MemoryUse>(m_memory, MemoryKind::Waiting);
    if (!request.memory->resize(request.body.capacity())) {
        responder->abort();
        return 0;
    }
    if (hasUnsafeField(request)) {
        const std::string id = refusedRequestId(Errors::ErrorKind::BadRequest);
        Headers headers{{"content-type", "application/json"}};
        if (!id.empty())
            headers.add("x-request-id", id);
        responder->send(400, headers,
                        Errors::errorBody(Errors::ErrorKind::BadRequest, Errors::Ran::No, id));
        return 0;
    }
    if (handler)
        handler(std::move(request), responder);
    else
        responder->abort();
    return 0;
}

void H2oServer::requestEnded(void *data)
{
    auto *slot = static_cast<RequestSlot *>(data);
    const std::shared_ptr<H2oResponder> responder = std::move(slot->responder);
    ServerConnection *connection = slot->connection;
    slot->~RequestSlot();
    connection->openResponders.erase(responder.get());
    connection->idleSince = connection->server->m_loop.clock().now();
    responder->detach();
}

} // namespace Lagoonbank::Http::Internal
