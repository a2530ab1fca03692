#include "http/clientcall.h"

#include "http/socketconnect.h"
#include "http/socketlook.h"
#include "http/socketreset.h"

#include <h2o.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace Lagoonbank::Http::Internal {

namespace {

ClientCall &callOf(h2o_socket_t *socket)
{
    return *static_cast<ClientCall *>(socket->data);
}

bool isSafeTarget(std::string_view target)
{
    return !target.empty() && isSafeHeaderValue(target)
        && target.find_first_of(" \t") == std::string_view::npos;
}

bool belongsToConnection(std::string_view name)
{
    return name == "host" || name == "content-length" || name == "connection"
        || name == "transfer-encoding" || name == "keep-alive" || name == "expect"
        || name == "upgrade";
}

bool takesBody(std::string_view method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

/// Whether a socket could not be opened for lack of resources of this process or machine.
bool isLocalResourceShortage(int error)
{
    return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM
        || error == EADDRNOTAVAIL;
}

void appendField(std::string &head, std::string_view name, std::string_view value)
{
    head += name;
    head += ": ";
    head += value;
    head += "\r\n";
}

} // namespace

ClientCall::ClientCall(ClientContext &context, CallId id, Call call, Hooks hooks)
    : m_context(context)
    , m_id(id)
    , m_call(std::move(call))
    , m_hooks(std::move(hooks))
    , m_parser(m_call.method == "HEAD")
{ }

ClientCall::~ClientCall()
{
    drop();
}

void ClientCall::start()
{
    m_totalDeadline = m_context.loop.clock().now() + m_call.totalTimeout;
    if (!isRequestSafe()) {
        finishSoon(CallEnd::NotConnected, "the request has characters that HTTP does not allow");
        return;
    }
    const PooledConnection pooled =
        m_call.freshConnection ? PooledConnection() : m_context.pool.take(poolKey());
    if (!pooled.socket) {
        connect();
        return;
    }
    m_socket = pooled.socket;
    m_establishedAt = pooled.establishedAt;
    m_result.isConnectionReused = true;
    m_socket->data = this;
    sendRequest();
}

void ClientCall::drop()
{
    m_isEnded = true;
    if (m_timer)
        m_context.loop.timers().cancel(*std::exchange(m_timer, std::nullopt));
    if (m_settleTimer)
        m_context.loop.timers().cancel(*std::exchange(m_settleTimer, std::nullopt));
    if (!m_socket)
        return;
    // After an orderly close the system goes on sending the request, for as long as a partition
    // lasts. Once an answer has begun, the server has the request, and a close in order is better:
    // it is repeated if it is lost.
    const int fd = h2o_socket_get_fd(m_socket);
    const bool isUnanswered = m_result.mayHaveBeenSent && !m_isHeadDelivered;
    if (isUnanswered && mayHoldUnsentBytes(fd))
        resetOnClose(fd);
    h2o_socket_close(std::exchange(m_socket, nullptr));
}

void ClientCall::setReading(bool reads)
{
    if (m_isReading == reads || !m_socket || !m_result.mayHaveBeenSent)
        return;
    m_isReading = reads;
    if (!reads) {
        h2o_socket_read_stop(m_socket);
        return;
    }
    startStage(m_call.progressTimeout);
    m_context.loop.post([weak = weak_from_this()] {
        const std::shared_ptr<ClientCall> self = weak.lock();
        if (!self || !self->m_isReading || !self->m_socket)
            return;
        const char *end = std::exchange(self->m_unreadEnd, nullptr);
        if (!end)
            h2o_socket_read_start(self->m_socket, readable);
        self->readAnswer(end);
    });
}

bool ClientCall::hasOpenConnection(const Runtime::SocketAddress &server, Base::MonoTime time) const
{
    const bool isEstablished =
        m_socket && m_call.server == server && m_establishedAt && *m_establishedAt < time;
    return isEstablished && isOpen(h2o_socket_get_fd(m_socket));
}

bool ClientCall::isRequestSafe() const
{
    if (!isSafeHeaderName(m_call.method) || !isSafeTarget(m_call.target))
        return false;
    const auto &fields = m_call.headers.fields();
    if (!isSafeHeaderValue(m_call.host))
        return false;
    return std::all_of(fields.begin(), fields.end(), [](const Header &field) {
        return isSafeHeaderName(field.name) && isSafeHeaderValue(field.value);
    });
}

void ClientCall::connect()
{
    errno = 0;
    m_socket = connectSocket(m_context.loop, m_call.server, connected);
    if (!m_socket) {
        m_result.isLocalResourceShortage = isLocalResourceShortage(errno);
        finishSoon(CallEnd::NotConnected, "cannot connect to " + toString(m_call.server));
        return;
    }
    m_socket->data = this;
    startStage(m_call.connectTimeout);
}

void ClientCall::connected(h2o_socket_t *socket, const char *error)
{
    ClientCall &self = callOf(socket);
    if (error) {
        self.finish(CallEnd::NotConnected, "cannot connect to " + toString(self.m_call.server));
        return;
    }
    self.m_establishedAt = self.m_context.loop.clock().now();
    const int fd = h2o_socket_get_fd(socket);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto unacknowledged =
        static_cast<unsigned>(Base::toMilliseconds(self.m_context.userTimeout));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged, sizeof unacknowledged);
    if (const auto bytes = self.m_call.receiveBufferBytes)
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &*bytes, sizeof *bytes);
    if (!self.m_call.tls) {
        self.settle();
        return;
    }
    const std::string name =
        self.m_call.serverName.empty() ? self.m_call.server.ip : self.m_call.serverName;
    // A TLS connection copies these settings from the context when it is created, just below.
    X509_VERIFY_PARAM *checks = SSL_CTX_get0_param(self.m_context.tls);
    X509_VERIFY_PARAM_set1_host(checks, nullptr, 0);
    X509_VERIFY_PARAM_set1_ip(checks, nullptr, 0);
    if (X509_VERIFY_PARAM_set1_ip_asc(checks, name.c_str()) != 1)
        X509_VERIFY_PARAM_set1_host(checks, name.c_str(), name.size());
    h2o_socket_ssl_handshake(socket, self.m_context.tls, name.c_str(), tlsEstablished);
}

/// Waits for settleTime, in which the server may close the connection, before sending the request.
void ClientCall::settle()
{
    if (m_call.settleTime <= Base::Duration::zero()) {
        sendRequest();
        return;
    }
    h2o_socket_read_start(m_socket, receivedWhileSettling);
    m_settleTimer = m_context.loop.timers().start(m_call.settleTime, [this] {
        m_settleTimer.reset();
        h2o_socket_read_stop(m_socket);
        sendRequest();
    });
}

/// Rejects the connection, as neither a close nor data may arrive before the request is sent.
void ClientCall::receivedWhileSettling(h2o_socket_t *socket, const char * /*error*/)
{
    ClientCall &self = callOf(socket);
    self.finish(CallEnd::TurnedAway, "the server ended a new connection");
}

void ClientCall::tlsEstablished(h2o_socket_t *socket, const char *error)
{
    ClientCall &self = callOf(socket);
    if (error)
        self.finish(CallEnd::NotConnected, std::string("no TLS connection: ") + error);
    else
        self.sendRequest();
}

void ClientCall::sendRequest()
{
    const std::shared_ptr<ClientCall> self = shared_from_this();
    startStage(m_call.headTimeout);
    m_result.mayHaveBeenSent = true;
    if (m_hooks.sending)
        m_hooks.sending();
    if (m_isEnded)
        return;
    writeHead();
    std::array<h2o_iovec_t, 2> buffers{h2o_iovec_init(m_head.data(), m_head.size()),
                                       h2o_iovec_init(m_call.body.data(), m_call.body.size())};
    h2o_socket_read_start(m_socket, readable);
    h2o_socket_write(m_socket, buffers.data(), m_call.body.empty() ? 1 : 2, written);
}

void ClientCall::writeHead()
{
    m_head.reserve(256);
    m_head += m_call.method;
    m_head += ' ';
    m_head += m_call.target;
    m_head += " HTTP/1.1\r\n";
    appendField(m_head, "host", m_call.host.empty() ? toString(m_call.server) : m_call.host);
    for (const Header &field : m_call.headers.fields()) {
        if (!belongsToConnection(field.name))
            appendField(m_head, field.name, field.value);
    }
    if (!m_call.body.empty() || takesBody(m_call.method))
        appendField(m_head, "content-length", std::to_string(m_call.body.size()));
    m_head += "\r\n";
}

void ClientCall::written(h2o_socket_t *socket, const char *error)
{
    // After a failed write an answer may still be readable; if not, the read reports the error.
    if (!error)
        callOf(socket).m_result.isRequestWritten = true;
}

void ClientCall::readable(h2o_socket_t *socket, const char *error)
{
    const std::shared_ptr<ClientCall> self = callOf(socket).shared_from_this();
    self->readAnswer(error);
}

void ClientCall::readAnswer(const char *error)
{
    while (m_socket && m_isReading) {
        const h2o_buffer_t *input = m_socket->input;
        const std::size_t consumed = m_parser.consume({input->bytes, input->size});
        if (!deliverParsed())
            return;
        h2o_buffer_consume(&m_socket->input, consumed);
        if (m_parser.state() == AnswerParser::State::Complete) {
            finish(CallEnd::Whole, {});
            return;
        }
        if (m_parser.state() == AnswerParser::State::Failed) {
            finish(CallEnd::Broken, m_parser.error());
            return;
        }
        if (consumed == 0)
            break;
    }
    if (!m_isReading)
        m_unreadEnd = error;
    else if (m_socket && error)
        inputEnded(error);
}

/// Passes the parsed head or piece to the hooks. Returns false if the call has ended as a result.
bool ClientCall::deliverParsed()
{
    const auto state = m_parser.state();
    const bool hasHead =
        state == AnswerParser::State::Body || state == AnswerParser::State::Complete;
    if (hasHead && !m_isHeadDelivered) {
        m_isHeadDelivered = true;
        m_result.status = m_parser.status();
        m_result.headers = std::move(m_parser.headers());
        m_result.framing = m_parser.framing();
        startStage(m_call.progressTimeout);
        if (m_hooks.headReceived)
            m_hooks.headReceived(m_result.status, m_result.headers);
        if (m_isEnded)
            return false;
    }
    const std::string_view piece = m_parser.piece();
    if (piece.empty())
        return true;
    m_stageDeadline = m_context.loop.clock().now() + m_call.progressTimeout;
    m_bodyBytes += piece.size();
    if (m_bodyBytes > m_call.maxBodyBytes) {
        finish(CallEnd::TooLarge,
               "the answer has more than " + std::to_string(m_call.maxBodyBytes) + " bytes");
        return false;
    }
    if (m_hooks.bodyReceived)
        m_hooks.bodyReceived(piece);
    else
        m_result.body += piece;
    return !m_isEnded;
}

void ClientCall::inputEnded(const char *error)
{
    // With TLS an orderly close cannot be distinguished from a cut connection, so an answer without
    // a length is never complete. Neither can it while the request is being written: the system
    // reports a reset only once, and may have reported it to the write.
    const bool isClosedInOrder =
        error == h2o_socket_error_closed && !m_call.tls && m_result.isRequestWritten;
    if (isClosedInOrder) {
        m_parser.handleClose();
        if (m_parser.state() == AnswerParser::State::Complete) {
            finish(CallEnd::Whole, {});
            return;
        }
    }
    finish(CallEnd::Broken, "the connection broke before the answer was whole");
}

void ClientCall::startStage(Base::Duration timeout)
{
    m_stageDeadline = m_context.loop.clock().now() + timeout;
    armTimer();
}

/// Keeps a timer that is due earlier; when it fires, it is armed again for the current deadline.
/// This makes it cheap to postpone a deadline.
void ClientCall::armTimer()
{
    const Base::MonoTime due = std::min(m_stageDeadline, m_totalDeadline);
    if (m_timer && m_timerDue <= due)
        return;
    Runtime::TimerQueue &timers = m_context.loop.timers();
    if (m_timer)
        timers.cancel(*m_timer);
    m_timerDue = due;
    m_timer = timers.start(due - m_context.loop.clock().now(), [this] { deadlinePassed(); });
}

void ClientCall::deadlinePassed()
{
    m_timer.reset();
    const Base::MonoTime now = m_context.loop.clock().now();
    if (!m_isReading)
        m_stageDeadline = now + m_call.progressTimeout;
    if (now < m_stageDeadline && now < m_totalDeadline) {
        armTimer();
        return;
    }
    const bool isConnecting = !m_result.mayHaveBeenSent;
    if (isConnecting && now < m_totalDeadline) {
        finish(CallEnd::NotConnected, "no connection to " + toString(m_call.server) + " in time");
        return;
    }
    finish(CallEnd::TimedOut, m_isHeadDelivered ? "the answer stopped" : "no answer came");
}

/// Ends the call in a later iteration of the event loop, so never from within start().
void ClientCall::finishSoon(CallEnd end, std::string detail)
{
    m_context.loop.post([weak = weak_from_this(), end, detail = std::move(detail)] {
        const std::shared_ptr<ClientCall> self = weak.lock();
        if (self && !self->m_isEnded)
            self->finish(end, detail);
    });
}

void ClientCall::finish(CallEnd end, std::string detail)
{
    const std::shared_ptr<ClientCall> self = shared_from_this();
    m_isEnded = true;
    m_result.end = end;
    m_result.detail = std::move(detail);
    returnToPool(end == CallEnd::Whole);
    drop();
    m_context.callEnded(m_id);
    const auto finished = std::move(m_hooks.finished);
    if (finished)
        finished(std::move(m_result));
}

void ClientCall::returnToPool(bool isComplete)
{
    const bool isReusable = isComplete && m_socket && m_result.isRequestWritten
        && m_parser.isReusable() && m_socket->input->size == 0;
    if (!isReusable)
        return;
    m_context.pool.put(
        poolKey(), {.socket = std::exchange(m_socket, nullptr), .establishedAt = *m_establishedAt},
        m_call.maxIdle.value_or(m_context.maxIdlePerServer));
}

PoolKey ClientCall::poolKey() const
{
    return {m_call.server, m_call.tls, m_call.serverName};
}

} // namespace Lagoonbank::Http::Internal
