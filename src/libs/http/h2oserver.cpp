#include "http/h2oserver.h"

#include "http/errorfilter.h"

#include <h2o/http1.h>
#include <h2o/http2.h>
#include <openssl/ssl.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <utility>
#include <vector>

namespace Lagoonbank::Http::Internal {

namespace {

/// How often connections are looked at for slow senders and resets.
constexpr Base::Duration sweepInterval = std::chrono::milliseconds(250);
/// How long a connection may stay without a request.
constexpr Base::Duration idleTimeout = std::chrono::seconds(60);
constexpr int maxAcceptsPerTurn = 32;
constexpr int listenBacklog = 4096;

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
    const std::string_view target = view(source->input.path);
    const std::size_t question = target.find('?');
    request.path = target.substr(0, question);
    if (question != std::string_view::npos)
        request.query = target.substr(question + 1);
    for (std::size_t i = 0; i < source->headers.size; ++i) {
        const h2o_header_t &field = source->headers.entries[i];
        request.headers.add(view(*field.name), view(field.value));
    }
    request.body = view(source->entity);
    request.peer = connection.peer;
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
    , m_context(m_options.sharesContext
                    ? H2oContext::shared(m_loop, m_options.maxBodyBytes, handleRequest)
                    : std::make_shared<H2oContext>(m_loop, m_options.maxBodyBytes, handleRequest))
{
    m_accept.ctx = m_context->native();
    m_accept.hosts = m_context->hosts();
}

H2oServer::~H2oServer()
{
    if (m_sweepTimer)
        m_loop.timers().cancel(*m_sweepTimer);
    if (m_listener)
        h2o_socket_close(m_listener);
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
    h2o_ssl_register_alpn_protocols(context.get(), h2o_alpn_protocols);
    // Connections that are open hold their own reference.
    SSL_CTX_up_ref(context.get());
    if (m_accept.ssl_ctx)
        SSL_CTX_free(m_accept.ssl_ctx);
    m_accept.ssl_ctx = context.get();
    return boost::outcome_v2::success();
}

void H2oServer::stopAccepting()
{
    m_isStopping = true;
    if (m_listener)
        h2o_socket_close(std::exchange(m_listener, nullptr));
    if (!m_options.sharesContext)
        h2o_context_request_shutdown(m_context->native());
    for (ServerConnection *connection : m_connections) {
        for (H2oResponder *responder : connection->open)
            responder->closeAfterAnswer();
        if (!connection->isHttp2 || m_options.sharesContext)
            closeIfIdle(*connection);
    }
}

void H2oServer::closeIfIdle(ServerConnection &connection)
{
    if (connection.open.empty() && connection.socket->input->size == 0)
        shutdown(h2o_socket_get_fd(connection.socket), SHUT_RDWR);
}

void H2oServer::shutDown()
{
    handler = nullptr;
    if (m_listener)
        h2o_socket_close(std::exchange(m_listener, nullptr));
    if (m_sweepTimer)
        m_loop.timers().cancel(*std::exchange(m_sweepTimer, std::nullopt));
    const std::vector<ServerConnection *> connections(m_connections.begin(), m_connections.end());
    for (ServerConnection *connection : connections) {
        const std::vector<H2oResponder *> open(connection->open.begin(), connection->open.end());
        shutdown(h2o_socket_get_fd(connection->socket), SHUT_RDWR);
        for (H2oResponder *responder : open) {
            responder->setGone(nullptr);
            responder->abort();
        }
    }
}

void H2oServer::acceptAll()
{
    for (int i = 0; i < maxAcceptsPerTurn && m_listener; ++i) {
        h2o_socket_t *socket = h2o_evloop_socket_accept(m_listener);
        if (!socket)
            return;
        start(socket);
    }
}

void H2oServer::start(h2o_socket_t *socket)
{
    const int fd = h2o_socket_get_fd(socket);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto unacknowledged = static_cast<unsigned>(Base::toMilliseconds(m_options.userTimeout));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged, sizeof unacknowledged);
    auto *connection = new ServerConnection{.server = this,
                                            .socket = socket,
                                            .peer = peerOf(socket),
                                            .isTls = m_accept.ssl_ctx != nullptr,
                                            .quietSince = m_loop.clock().now()};
    socket->on_close.cb = connectionClosed;
    socket->on_close.data = connection;
    m_connections.insert(connection);
    m_self = shared_from_this();
    startSweep();
    h2o_accept(&m_accept, socket);
}

void H2oServer::connectionClosed(void *data)
{
    const std::unique_ptr<ServerConnection> connection(static_cast<ServerConnection *>(data));
    H2oServer *server = connection->server;
    server->m_connections.erase(connection.get());
    // h2o still runs on the context, so this may go in a later turn only.
    if (server->m_connections.empty())
        server->m_loop.post([last = std::exchange(server->m_self, nullptr)] {});
}

int H2oServer::handleRequest(h2o_handler_t * /*handler*/, h2o_req_t *request)
{
    return connectionOf(request)->server->dispatch(request);
}

std::string H2oServer::refusedId(h2o_req_t *request, Errors::ErrorKind kind)
{
    return connectionOf(request)->server->refusedId(kind);
}

int H2oServer::dispatch(h2o_req_t *source)
{
    ServerConnection *connection = connectionOf(source);
    connection->hadRequest = true;
    connection->isHttp2 = source->version >= 0x200;
    connection->partialSince.reset();
    const auto responder = std::make_shared<H2oResponder>(source);
    // h2o disposes of what lives in its request's pool when the request ends, however it ends.
    auto *slot = new (h2o_mem_alloc_shared(&source->pool, sizeof(RequestSlot), requestEnded))
        RequestSlot{responder, connection};
    connection->open.insert(slot->responder.get());
    markAsHandled(source);
    if (m_isStopping)
        source->http1_is_persistent = 0;
    Request request = readRequest(source, *connection);
    if (hasUnsafeField(request)) {
        responder->closeAfterAnswer();
        const std::string id = refusedId(Errors::ErrorKind::BadRequest);
        Headers headers{{"content-type", "application/json"}};
        if (!id.empty())
            headers.add("x-request-id", id);
        responder->send(400, headers, errorBody(Errors::ErrorKind::BadRequest, id));
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
    connection->open.erase(responder.get());
    connection->quietSince = connection->server->m_loop.clock().now();
    responder->detach();
}

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
    for (ServerConnection *connection : m_connections) {
        if (connection->open.empty())
            cutIfSlow(*connection, now);
        if (m_isStopping && m_options.sharesContext)
            closeIfIdle(*connection);
    }
    findResets();
}

void H2oServer::cutIfSlow(ServerConnection &connection, Base::MonoTime now)
{
    // Over TLS and HTTP/2 the first request counts from the first byte, handshake included.
    const bool isBeforeFirst =
        !connection.hadRequest && (connection.isTls || connection.socket->bytes_read > 0);
    const bool isPartial = isBeforeFirst || connection.socket->input->size > 0;
    if (!isPartial)
        connection.partialSince.reset();
    else if (!connection.partialSince)
        connection.partialSince = now;
    const int fd = h2o_socket_get_fd(connection.socket);
    if (isPartial && now - *connection.partialSince >= m_options.requestTimeout) {
        if (!connection.isTls && !connection.isHttp2) {
            constexpr auto kind = Errors::ErrorKind::SlowSender;
            const std::string answer = rawErrorAnswer(kind, refusedId(kind));
            send(fd, answer.data(), answer.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        }
        shutdown(fd, SHUT_RDWR);
        return;
    }
    if (!isPartial && now - connection.quietSince >= idleTimeout)
        shutdown(fd, SHUT_RDWR);
}

/// h2o does not read from an HTTP/1.1 connection while it waits for the answer, so a reset then
/// goes unseen.
void H2oServer::findResets()
{
    std::vector<pollfd> polled;
    std::vector<ServerConnection *> waiting;
    for (ServerConnection *connection : m_connections) {
        if (connection->open.empty() || connection->isHttp2)
            continue;
        polled.push_back({h2o_socket_get_fd(connection->socket), 0, 0});
        waiting.push_back(connection);
    }
    if (polled.empty() || poll(polled.data(), polled.size(), 0) <= 0)
        return;
    std::vector<std::shared_ptr<Responder>> reset;
    for (std::size_t i = 0; i < polled.size(); ++i) {
        if ((polled[i].revents & (POLLERR | POLLHUP)) == 0)
            continue;
        for (H2oResponder *responder : waiting[i]->open)
            reset.push_back(responder->shared_from_this());
    }
    for (const auto &responder : reset)
        static_cast<H2oResponder &>(*responder).connectionReset();
}

} // namespace Lagoonbank::Http::Internal
