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

/// When something came that was found after a while: between two looks of the loop.
struct Arrival
{
    Base::MonoTime earliest;
    Base::MonoTime latest;
};

/// What the HTTP/1.1 connections of one server share. Outlives them.
struct Http1Context
{
    Runtime::Loop *loop = nullptr;
    Server::Limits limits;
    bool halfCloseMeansDisconnect = false; ///< See Server::Options.
    bool isDraining = false; ///< Every answer ends its connection.
    bool isCrowded = false; ///< The same while too many connections are open.
    std::function<void(Request request, std::shared_ptr<Responder> responder)> requestCame;
    /// The id for a request that is refused here.
    std::function<std::string(Errors::ErrorKind kind)> refusedRequestId;
    /// The bytes are HTTP/2; takes the socket over with release().
    std::function<void(Http1Connection &connection)> foundHttp2;
};

/// One connection of a caller that speaks HTTP/1.1. It goes on reading while an answer is made, so
/// that a caller who leaves is noticed at once.
class Http1Connection : public std::enable_shared_from_this<Http1Connection>
{
public:
    Http1Connection(Http1Context &context, st_h2o_socket_t *socket, Runtime::SocketAddress peer,
                    Arrival arrival);
    ~Http1Connection();
    Http1Connection(const Http1Connection &) = delete;
    Http1Connection &operator=(const Http1Connection &) = delete;

    void start();
    /// Gives the socket, with the bytes that were read, to another reader.
    st_h2o_socket_t *release();
    /// Cuts what is too slow or idle for too long.
    void sweep(Base::MonoTime now);
    /// Closes the connection if no request is in it or on its way in.
    void closeIfIdle();
    /// Since when no request is in it; nothing if one is.
    std::optional<Base::MonoTime> idleSince() const;
    /// Closes the connection whatever it does; nobody is told.
    void breakOff();

private:
    friend class Http1Responder;

    enum class State : std::uint8_t {
        Reading, ///< A request, or nothing yet.
        Answering,
        Aborting, ///< The connection ends after what is queued.
        Lingering, ///< All is sent; waits for the caller to close, so that nothing is lost.
        Closed
    };

    static void readable(st_h2o_socket_t *socket, const char *error);
    static void written(st_h2o_socket_t *socket, const char *error);

    void readInput();
    bool isHttp2Preface() const;
    void inputEnded(const char *error);
    void dispatch();
    void refuse(Errors::ErrorKind kind);
    void write(std::string bytes);
    void startWriting();
    void writeEnded(const char *error);
    /// When the bytes of the request that has just been read came.
    Base::MonoTime requestCameAt(bool isFirst) const;
    /// The caller may have closed although that has not been read.
    void checkForDisconnect();
    /// The current answer has been queued to its end.
    void answerQueued(bool keepsConnection);
    void answerSent();
    /// The answer is broken off; what is queued still leaves.
    void abortAnswer();
    void callerLeft();
    void lingerThenClose();
    void close();
    bool isInputBlank() const;
    std::size_t queuedBytes() const { return m_queued.size() + m_writing.size(); }

    Http1Context &m_context;
    st_h2o_socket_t *m_socket;
    Runtime::SocketAddress m_peer;
    Arrival m_arrival; ///< Of the connection.
    Base::MonoTime m_startedAt; ///< When it began to be read.
    State m_state = State::Reading;
    std::optional<RequestParser> m_parser;
    std::weak_ptr<Http1Responder> m_responder;
    bool m_hadRequest = false;
    bool m_isReadStopped = false;
    bool m_isInputEnded = false;
    bool m_isContinueSent = false;
    bool m_isAnswerQueued = false;
    bool m_keepsConnection = true;
    bool m_isHttp10 = false;
    /// Since when bytes lie behind the request that is being answered.
    std::optional<Base::MonoTime> m_aheadSince;
    std::string m_writing;
    std::string m_queued;
    Base::MonoTime m_since; ///< Of idleness, of the last progress of a request, or of lingering.
};

} // namespace Lagoonbank::Http::Internal
