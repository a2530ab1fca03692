#pragma once

#include "base/units.h"
#include "http/requestparser.h"
#include "http/server.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

struct st_h2o_socket_t;

namespace Lagoonbank::Http::Internal {

class Http1Connection;
class Http1Responder;

/// Bounds for the time of an arrival that was noticed later, between two polls of the event loop.
struct ArrivalWindow
{
    Base::MonoTime earliest;
    Base::MonoTime latest;
};

/// State shared by the HTTP/1.1 connections of a server. Outlives them.
struct Http1Context
{
    Runtime::Loop *loop = nullptr;
    Server::Limits limits;
    bool halfCloseMeansDisconnect = false; ///< See Server::Options.
    bool isDraining = false; ///< Close connections after their current answer.
    bool isOverConnectionLimit = false; ///< The same, while too many connections are open.
    std::shared_ptr<MemoryBudget> memory;
    std::function<void(Request request, std::shared_ptr<Responder> responder)> requestReceived;
    /// Returns the id for a request that the connection refuses itself.
    std::function<std::string(Errors::ErrorKind kind)> refusedRequestId;
    /// Called if the caller speaks HTTP/2; takes over the socket with release(). Null if callers
    /// may not use it.
    std::function<void(Http1Connection &connection)> http2Detected;
};

/// A caller's connection that uses HTTP/1.1. It continues to read while a request is processed, so
/// that a disconnect of the caller is detected immediately.
class Http1Connection : public std::enable_shared_from_this<Http1Connection>
{
public:
    Http1Connection(Http1Context &context, st_h2o_socket_t *socket, Runtime::SocketAddress peer,
                    ArrivalWindow arrival);
    ~Http1Connection();
    Http1Connection(const Http1Connection &) = delete;
    Http1Connection &operator=(const Http1Connection &) = delete;

    void start();
    /// Hands over the socket with the bytes that were read but not consumed.
    st_h2o_socket_t *release();
    /// Closes the connection if its caller is too slow, idle for too long or disconnected.
    void sweep(Base::MonoTime now);
    /// Closes the connection unless a request is being received or processed; returns whether it
    /// did.
    bool closeIfIdle();
    /// What a connection is used for, in the order in which connections yield to others.
    enum class Use : std::uint8_t {
        WithoutRequest, ///< It has sent no request.
        Idle, ///< It waits for its next request.
        Closing, ///< It waits for its caller to close it.
        Receiving, ///< Its request is incomplete.
        Answering
    };
    Use use() const;
    /// When the current use began; not for Use::Answering.
    Base::MonoTime useBeganAt() const;
    /// Closes the connection unless it is answering or has unread bytes while idle; returns whether
    /// it did.
    bool yield();
    /// Closes the connection in any state, without calling the disconnect handler.
    void closeSilently();

private:
    friend class Http1Responder;

    enum class State : std::uint8_t {
        Reading, ///< Receives or waits for a request.
        Answering,
        Aborting, ///< Sends the queued bytes, then closes.
        Lingering, ///< Everything is sent; waits for the caller to close so that nothing is lost.
        Closed
    };

    static void readable(st_h2o_socket_t *socket, const char *error);
    static void written(st_h2o_socket_t *socket, const char *error);

    void readInput();
    bool isHttp2Preface() const;
    void inputEnded(const char *error);
    void dispatch();
    void refuse(Errors::ErrorKind kind);
    bool isTooSlow(Base::MonoTime now) const;
    bool takeMemory(std::size_t bodyCapacity);
    void releaseEmptyInput();
    void refuseForMemory();
    void reclaimInput();
    void updateAnswerMemory();
    void disconnectSoon();
    void write(std::string bytes);
    void startWriting();
    void writeEnded(const char *error);
    /// Time at which the last bytes of the current request arrived.
    Base::MonoTime requestArrivalTime(bool isFirst) const;
    /// Detects a close by the caller that has not been read yet.
    void checkForDisconnect();
    /// Called when the current answer has been queued completely.
    void answerQueued(bool keepsConnection);
    void answerSent();
    /// Aborts the answer; bytes already queued are still sent.
    void abortAnswer();
    void callerDisconnected();
    void lingerThenClose();
    void close();
    bool isInputEmpty() const;
    std::size_t queuedBytes() const { return m_queued.size() + m_writing.size() - m_writtenBytes; }

    Http1Context &m_context;
    st_h2o_socket_t *m_socket;
    Runtime::SocketAddress m_peer;
    ArrivalWindow m_arrival; ///< Arrival of the connection.
    Base::MonoTime m_startedAt; ///< When reading began.
    State m_state = State::Reading;
    std::optional<RequestParser> m_parser;
    std::weak_ptr<Http1Responder> m_responder;
    bool m_hadRequest = false;
    bool m_isReadStopped = false;
    bool m_isCutOff = false; ///< The rest of the current request will not be read.
    bool m_isInputEnded = false;
    bool m_isContinueSent = false;
    bool m_isAnswerQueued = false;
    bool m_keepsConnection = true;
    bool m_isHttp10 = false;
    /// Arrival of the bytes after the request that is being processed.
    std::optional<Base::MonoTime> m_pipelinedSince;
    std::string m_writing;
    std::size_t m_writtenBytes = 0; ///< Bytes at the front of m_writing that have been sent.
    std::size_t m_writeSize = 0; ///< Bytes of m_writing that are being sent.
    std::string m_queued;
    MemoryUse m_inputMemory;
    MemoryUse m_answerMemory;
    Base::MonoTime m_requestBeganAt; ///< Arrival of the first bytes of the current request.
    /// When the connection became idle, the current request progressed, or lingering began.
    Base::MonoTime m_lastProgressAt;
};

} // namespace Lagoonbank::Http::Internal
