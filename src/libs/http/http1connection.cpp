#include "http/http1connection.h"

#include "http/errorfilter.h"
#include "http/http1responder.h"
#include "http/socketlook.h"
#include "http/socketreset.h"
#include "runtime/loop.h"

#include <h2o.h>

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace Lagoonbank::Http::Internal {

namespace {

constexpr std::string_view http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
/// Bytes to buffer after a request that is being processed; reading pauses beyond that.
constexpr std::size_t maxReadAheadBytes = 64 * 1024;
/// Bytes that are passed to the system at once, so that it shows whether the caller reads.
constexpr std::size_t maxWriteBytes = 64 * 1024;
/// What the system's buffer of a connection that is not read takes; see receiveBufferBytes of
/// H2oServer.
constexpr std::size_t unreadBufferBytes = 64 * 1024;
/// Memory that a request takes beside its body, as a multiple of the size of its head: the fields
/// are kept as they came, to be forwarded, and in the call of an endpoint.
constexpr std::size_t headCopies = 3;
/// Time after which there is room for a request that was refused for want of memory, as stalled
/// ones have yielded by then.
constexpr Base::Duration memoryRetryAfter = std::chrono::seconds(1);
/// Time for the caller to read the last answer and then close the connection.
constexpr Base::Duration lingerTimeout = std::chrono::seconds(2);
/// Uncertainty up to which an arrival time is accepted; beyond it, the kernel is asked.
constexpr Base::Duration arrivalTolerance = std::chrono::milliseconds(20);

Http1Connection &connectionOf(h2o_socket_t *socket)
{
    return *static_cast<Http1Connection *>(socket->data);
}

std::string_view inputOf(const h2o_socket_t *socket)
{
    return {socket->input->bytes, socket->input->size};
}

/// Whether the kernel holds bytes that the event loop has not read yet.
bool hasUnreadBytes(h2o_socket_t *socket)
{
    char byte = 0;
    return recv(h2o_socket_get_fd(socket), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/// Whether a caller that had closed its sending side has since reset the connection.
bool isBroken(h2o_socket_t *socket)
{
    pollfd polled{h2o_socket_get_fd(socket), 0, 0};
    return poll(&polled, 1, 0) > 0 && (polled.revents & (POLLERR | POLLHUP)) != 0;
}

} // namespace

Http1Connection::Http1Connection(Http1Context &context, h2o_socket_t *socket,
                                 Runtime::SocketAddress peer, ArrivalWindow arrival)
    : m_context(context)
    , m_socket(socket)
    , m_peer(std::move(peer))
    , m_arrival(arrival)
    , m_startedAt(context.loop->clock().now())
    , m_inputMemory(context.memory, MemoryKind::Arriving, [this] { reclaimInput(); })
    , m_answerMemory(context.memory, MemoryKind::Answers, [this] { disconnectSoon(); })
    , m_requestBeganAt(m_startedAt)
    , m_lastProgressAt(m_startedAt)
{ }

Http1Connection::~Http1Connection()
{
    close();
}

void Http1Connection::start()
{
    m_socket->data = this;
    h2o_socket_read_start(m_socket, readable);
    if (m_socket->input->size > 0)
        readInput();
}

h2o_socket_t *Http1Connection::release()
{
    m_state = State::Closed;
    m_inputMemory.release();
    if (m_socket)
        h2o_socket_read_stop(m_socket);
    return std::exchange(m_socket, nullptr);
}

void Http1Connection::readable(h2o_socket_t *socket, const char *error)
{
    const std::shared_ptr<Http1Connection> self = connectionOf(socket).shared_from_this();
    // The next request arrives when its last byte does. If bytes that came during the previous
    // answer were only a part of it, their time of arrival does not count.
    if (self->m_state != State::Answering)
        self->m_pipelinedSince.reset();
    else if (socket->input->size > 0 && !self->m_pipelinedSince)
        self->m_pipelinedSince = self->m_context.loop->clock().now();
    if (self->m_state == State::Lingering)
        h2o_buffer_consume(&socket->input, socket->input->size);
    if (!error)
        self->readInput();
    else
        self->inputEnded(error);
}

void Http1Connection::readInput()
{
    const Base::MonoTime now = m_context.loop->clock().now();
    m_inputMemory.progressed(now);
    while (m_state == State::Reading && m_socket && m_socket->input->size > 0) {
        if (m_context.http2Detected && !m_hadRequest && !m_parser && isHttp2Preface()) {
            if (m_socket->input->size >= http2Preface.size())
                m_context.http2Detected(*this);
            return;
        }
        const bool isFirst = !m_parser;
        if (isFirst) {
            m_parser.emplace(
                RequestParser::Limits{m_context.limits.headBytes, m_context.limits.bodyBytes});
            m_isContinueSent = false;
            m_requestBeganAt = now;
        }
        const auto before = m_parser->state();
        if (before == RequestParser::State::Body
            && !takeMemory(m_parser->bodyCapacityFor(m_socket->input->size))) {
            refuseForMemory();
            return;
        }
        if (m_state == State::Closed)
            return; // What was left to be written has yielded.
        const std::size_t consumed = m_parser->consume(inputOf(m_socket));
        h2o_buffer_consume(&m_socket->input, consumed);
        if (isFirst || before == RequestParser::State::Body)
            m_lastProgressAt = now;
        if (m_parser->state() == RequestParser::State::Failed) {
            refuse(m_parser->error());
            return;
        }
        if (m_parser->state() == RequestParser::State::Complete)
            dispatch();
        else if (consumed == 0)
            break;
    }
    const bool awaitsContinue = m_state == State::Reading && m_parser && !m_isContinueSent
        && m_parser->state() == RequestParser::State::Body && m_parser->awaitsContinue();
    if (awaitsContinue) {
        m_isContinueSent = true;
        write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (!m_socket)
        return;
    releaseEmptyInput();
    if (m_state == State::Answering && m_socket->input->size > maxReadAheadBytes) {
        h2o_socket_read_stop(m_socket);
        m_isReadStopped = true;
    }
    if (takeMemory(m_parser ? m_parser->bodyCapacity() : 0))
        return;
    if (m_state == State::Reading)
        refuseForMemory();
    else if (m_state != State::Closed)
        disconnectSoon();
}

/// Frees the buffer of the socket, which h2o keeps, if nothing is left in it.
void Http1Connection::releaseEmptyInput()
{
    if (m_socket->input->size > 0 || m_socket->ssl)
        return;
    h2o_buffer_dispose(&m_socket->input);
    h2o_buffer_init(&m_socket->input, &h2o_socket_buffer_prototype);
}

/// Counts the memory of what was read and of a body of this capacity. False if there is no room.
/// The connection may be closed afterwards, as its own unread answer may yield.
bool Http1Connection::takeMemory(std::size_t bodyCapacity)
{
    const h2o_buffer_t &input = *m_socket->input;
    const std::size_t unparsed = input.size > 0 ? input.capacity : 0;
    return m_inputMemory.resize(bodyCapacity + unparsed
                                + (m_isReadStopped ? unreadBufferBytes : 0));
}

void Http1Connection::refuseForMemory()
{
    if (m_state == State::Closed)
        return;
    refuse(Errors::ErrorKind::OutOfMemory);
}

/// Yields the memory of an unfinished request, or of what follows a request, to another client.
void Http1Connection::reclaimInput()
{
    if (m_state == State::Reading) {
        refuseForMemory();
        return;
    }
    m_inputMemory.release();
    disconnectSoon();
}

/// Closes the connection at once, and reports that from the loop, as this may be called for another
/// connection or by whoever writes the answer.
void Http1Connection::disconnectSoon()
{
    const std::shared_ptr<Http1Connection> self = shared_from_this();
    const std::shared_ptr<Http1Responder> responder = m_responder.lock();
    close();
    if (!responder)
        return;
    m_context.loop->post([responder] { responder->connectionClosed(true); });
}

/// Whether the first bytes are the HTTP/2 preface or a prefix of it.
bool Http1Connection::isHttp2Preface() const
{
    const std::string_view input = inputOf(m_socket);
    const std::size_t size = std::min(input.size(), http2Preface.size());
    return input.substr(0, size) == http2Preface.substr(0, size);
}

void Http1Connection::inputEnded(const char *error)
{
    m_isInputEnded = true;
    h2o_socket_read_stop(m_socket);
    const bool isInOrder = error == h2o_socket_error_closed;
    switch (m_state) {
    case State::Answering:
        if (!isInOrder || m_context.halfCloseMeansDisconnect)
            callerDisconnected();
        return;
    case State::Aborting:
        if (!isInOrder)
            close();
        return;
    case State::Reading:
    case State::Lingering:
        close();
        return;
    case State::Closed:
        return;
    }
}

void Http1Connection::dispatch()
{
    RequestParser &parser = *m_parser;
    m_state = State::Answering;
    const bool isFirst = !std::exchange(m_hadRequest, true);
    m_isAnswerQueued = false;
    m_isHttp10 = parser.isHttp10();
    Request request;
    request.method = parser.method();
    request.setTarget(parser.target());
    request.headers = std::move(parser.headers());
    request.body = std::move(parser.body());
    request.peer = m_peer;
    request.arrivedAt = requestArrivalTime(isFirst);
    m_inputMemory.release();
    request.memory = std::make_shared<MemoryUse>(m_context.memory, MemoryKind::Waiting);
    const std::size_t held = request.body.capacity() + headCopies * parser.headBytes();
    if (!request.memory->resize(held)) {
        refuseForMemory();
        return;
    }
    if (m_state == State::Closed)
        return; // What was left to be written has yielded.
    m_pipelinedSince.reset();
    if (m_socket->input->size > 0)
        m_pipelinedSince = request.arrivedAt;
    const auto responder = std::make_shared<Http1Responder>(
        Http1Responder::Options{.connection = weak_from_this(),
                                .isHead = request.method == "HEAD",
                                .isHttp10 = m_isHttp10,
                                .keepsConnection = parser.keepsConnection()});
    m_responder = responder;
    m_parser.reset();
    if (m_context.requestReceived)
        m_context.requestReceived(std::move(request), responder);
    else
        responder->abort();
}

/// Bytes found by the first read of a new connection are about as old as the connection, which may
/// have been pending for long; other bytes arrived after the previous poll of the event loop. If
/// these bounds are far apart, the kernel is asked; if it does not know, the maximum age is used.
Base::MonoTime Http1Connection::requestArrivalTime(bool isFirst) const
{
    const Base::MonoTime now = m_context.loop->clock().now();
    if (m_pipelinedSince)
        return *m_pipelinedSince;
    const Base::Duration maxEventAge = m_context.loop->lag().maxPolledEventAge();
    const bool isFirstRead = isFirst && now - m_startedAt <= maxEventAge + arrivalTolerance;
    const Base::Duration minAge = isFirstRead ? now - m_arrival.latest : Base::Duration::zero();
    const Base::Duration maxAge = isFirstRead ? now - m_arrival.earliest : maxEventAge;
    if (maxAge - minAge < arrivalTolerance)
        return now - minAge;
    const auto kernelAge = timeSinceLastReceive(h2o_socket_get_fd(m_socket));
    return now - std::clamp(kernelAge.value_or(maxAge), minAge, maxAge);
}

void Http1Connection::checkForDisconnect()
{
    if (!m_socket || m_state != State::Answering || m_isInputEnded)
        return;
    const PeerClose peerClose = Internal::detectPeerClose(h2o_socket_get_fd(m_socket));
    if (peerClose == PeerClose::Both
        || (peerClose == PeerClose::Sending && m_context.halfCloseMeansDisconnect))
        callerDisconnected();
}

void Http1Connection::refuse(Errors::ErrorKind kind)
{
    m_parser.reset();
    m_inputMemory.release();
    h2o_buffer_consume(&m_socket->input, m_socket->input->size);
    releaseEmptyInput();
    m_state = State::Answering;
    m_isCutOff = true;
    const bool isTemporary = kind == Errors::ErrorKind::OutOfMemory;
    write(rawErrorAnswer(kind, m_context.refusedRequestId(kind),
                         isTemporary ? std::optional(memoryRetryAfter) : std::nullopt));
    answerQueued(false);
}

void Http1Connection::write(std::string bytes)
{
    if (!m_socket || bytes.empty())
        return;
    if (m_queued.empty())
        m_queued = std::move(bytes);
    else
        m_queued += bytes;
    if (m_writing.empty())
        startWriting();
    updateAnswerMemory();
}

void Http1Connection::startWriting()
{
    if (m_writtenBytes == m_writing.size()) {
        m_writing = std::exchange(m_queued, {});
        m_writtenBytes = 0;
    }
    m_writeSize = std::min(maxWriteBytes, m_writing.size() - m_writtenBytes);
    h2o_iovec_t buffer = h2o_iovec_init(m_writing.data() + m_writtenBytes, m_writeSize);
    h2o_socket_write(m_socket, &buffer, 1, written);
}

/// Counts what is queued. If more than whoever writes the answer should queue, that one's source is
/// not read either and occupies the system's buffers.
void Http1Connection::updateAnswerMemory()
{
    const std::size_t queued = m_writing.capacity() + m_queued.capacity();
    const bool isSourceStopped = queuedBytes() > Responder::maxQueuedBytes;
    if (!m_answerMemory.resize(queued + (isSourceStopped ? unreadBufferBytes : 0)))
        disconnectSoon();
}

void Http1Connection::written(h2o_socket_t *socket, const char *error)
{
    const std::shared_ptr<Http1Connection> self = connectionOf(socket).shared_from_this();
    self->writeEnded(error);
}

void Http1Connection::writeEnded(const char *error)
{
    m_writtenBytes += m_writeSize;
    if (error) {
        callerDisconnected();
        return;
    }
    m_answerMemory.progressed(m_context.loop->clock().now());
    if (queuedBytes() > 0) {
        startWriting();
        updateAnswerMemory();
        return;
    }
    m_writing = {};
    m_writtenBytes = 0;
    m_answerMemory.release();
    if (m_state == State::Aborting)
        close();
    else if (m_state == State::Answering && m_isAnswerQueued)
        answerSent();
    else if (const std::shared_ptr<Http1Responder> responder = m_responder.lock())
        responder->drained();
}

void Http1Connection::answerQueued(bool keepsConnection)
{
    m_isAnswerQueued = true;
    m_keepsConnection = keepsConnection;
    if (!m_writing.empty() || !m_queued.empty())
        return;
    m_context.loop->post([weak = weak_from_this()] {
        const std::shared_ptr<Http1Connection> self = weak.lock();
        if (self && self->m_state == State::Answering)
            self->answerSent();
    });
}

void Http1Connection::answerSent()
{
    if (!m_keepsConnection || (m_isInputEnded && m_socket->input->size == 0)) {
        lingerThenClose();
        return;
    }
    m_state = State::Reading;
    m_lastProgressAt = m_context.loop->clock().now();
    m_requestBeganAt = m_lastProgressAt;
    if (std::exchange(m_isReadStopped, false) && !m_isInputEnded)
        h2o_socket_read_start(m_socket, readable);
    readInput();
    if (m_isInputEnded && m_state == State::Reading)
        close();
}

void Http1Connection::abortAnswer()
{
    m_state = State::Aborting;
    if (!m_socket)
        return;
    // With HTTP/1.0 only a reset shows the caller that a streamed answer is incomplete.
    if (m_isHttp10)
        resetOnClose(h2o_socket_get_fd(m_socket));
    if (m_writing.empty())
        close();
}

void Http1Connection::callerDisconnected()
{
    const std::shared_ptr<Http1Connection> self = shared_from_this();
    const std::shared_ptr<Http1Responder> responder = m_responder.lock();
    close();
    if (responder)
        responder->connectionClosed(true);
}

/// Closing a socket with unread bytes would reset the connection, and the caller could lose the
/// answer in transit.
void Http1Connection::lingerThenClose()
{
    const bool hasUnreadInput = m_isCutOff || m_socket->input->size > 0 || hasUnreadBytes(m_socket);
    if (m_isInputEnded || m_socket->ssl || !hasUnreadInput) {
        close();
        return;
    }
    m_state = State::Lingering;
    m_lastProgressAt = m_context.loop->clock().now();
    h2o_buffer_consume(&m_socket->input, m_socket->input->size);
    releaseEmptyInput();
    m_inputMemory.release();
    if (std::exchange(m_isReadStopped, false))
        h2o_socket_read_start(m_socket, readable);
    shutdown(h2o_socket_get_fd(m_socket), SHUT_WR);
}

void Http1Connection::close()
{
    m_state = State::Closed;
    if (m_socket)
        h2o_socket_close(std::exchange(m_socket, nullptr));
    m_parser.reset();
    m_writing = {};
    m_queued = {};
    m_writtenBytes = 0;
    m_inputMemory.release();
    m_answerMemory.release();
}

bool Http1Connection::isInputEmpty() const
{
    return !m_parser && m_socket->input->size == 0;
}

void Http1Connection::sweep(Base::MonoTime now)
{
    const Base::Duration elapsed = now - m_lastProgressAt;
    if (m_state == State::Lingering && elapsed >= lingerTimeout)
        close();
    if (m_state == State::Answering && m_isInputEnded && isBroken(m_socket))
        callerDisconnected();
    if (m_state != State::Reading)
        return;
    if (!isInputEmpty() && isTooSlow(now))
        refuse(Errors::ErrorKind::SlowSender);
    else if (isInputEmpty() && elapsed >= m_context.limits.idleTimeout)
        closeIfIdle();
}

/// Whether the current request pauses for too long, or arrives too slowly as a whole.
bool Http1Connection::isTooSlow(Base::MonoTime now) const
{
    const Server::Limits &limits = m_context.limits;
    if (now - m_lastProgressAt >= limits.requestTimeout)
        return true;
    const std::size_t bytes = m_parser ? m_parser->bodyBytes() : 0;
    const auto transferTime =
        std::chrono::duration_cast<Base::Duration>(std::chrono::duration<double>(
            static_cast<double>(bytes) / static_cast<double>(limits.minBodyBytesPerSecond)));
    return now - m_requestBeganAt >= limits.bodyTimeout + transferTime;
}

bool Http1Connection::closeIfIdle()
{
    if (m_state != State::Reading || !isInputEmpty() || hasUnreadBytes(m_socket))
        return false;
    close();
    return true;
}

Http1Connection::Use Http1Connection::use() const
{
    switch (m_state) {
    case State::Reading:
        if (!isInputEmpty())
            return Use::Receiving;
        return m_hadRequest ? Use::Idle : Use::WithoutRequest;
    case State::Lingering:
        return Use::Closing;
    case State::Answering:
    case State::Aborting:
    case State::Closed:
        break;
    }
    return Use::Answering;
}

Base::MonoTime Http1Connection::useBeganAt() const
{
    return use() == Use::Receiving ? m_requestBeganAt : m_lastProgressAt;
}

bool Http1Connection::yield()
{
    switch (use()) {
    case Use::WithoutRequest:
    case Use::Idle:
        return closeIfIdle();
    case Use::Closing:
    case Use::Receiving:
        close();
        return true;
    case Use::Answering:
        break;
    }
    return false;
}

void Http1Connection::closeSilently()
{
    const std::shared_ptr<Http1Responder> responder = m_responder.lock();
    close();
    if (responder)
        responder->connectionClosed(false);
}

} // namespace Lagoonbank::Http::Internal
