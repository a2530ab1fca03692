#pragma once

#include "http/answerparser.h"
#include "http/client.h"
#include "http/connectionpool.h"
#include "runtime/loop.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

struct ssl_ctx_st;
struct st_h2o_socket_t;

namespace Lagoonbank::Http::Internal {

class ClientCall;

/// State shared by all calls of a client.
struct ClientContext
{
    Runtime::Loop &loop;
    ConnectionPool pool;
    std::size_t maxIdlePerServer;
    Base::Duration userTimeout;
    ssl_ctx_st *tls = nullptr;
    /// Called when a call has ended; removes it from the client.
    std::function<void(CallId)> callEnded;
};

/// A call in progress, which uses a connection exclusively.
class ClientCall : public std::enable_shared_from_this<ClientCall>
{
public:
    ClientCall(ClientContext &context, CallId id, Call call, Hooks hooks);
    ~ClientCall();
    ClientCall(const ClientCall &) = delete;
    ClientCall &operator=(const ClientCall &) = delete;

    void start();
    /// Closes the connection. No hook is called afterwards.
    void drop();
    /// See Client::setReading().
    void setReading(bool reads);
    /// Whether the call has a connection to the server that was established before \a time and
    /// that the server has kept open.
    bool hasOpenConnection(const Runtime::SocketAddress &server, Base::MonoTime time) const;

private:
    static void connected(st_h2o_socket_t *socket, const char *error);
    static void receivedWhileSettling(st_h2o_socket_t *socket, const char *error);
    static void tlsEstablished(st_h2o_socket_t *socket, const char *error);
    static void written(st_h2o_socket_t *socket, const char *error);
    static void readable(st_h2o_socket_t *socket, const char *error);

    bool isRequestSafe() const;
    void connect();
    void settle();
    void sendRequest();
    void writeHead();
    void readAnswer(const char *error);
    bool deliverParsed();
    void inputEnded(const char *error);
    void startStage(Base::Duration timeout);
    void armTimer();
    void deadlinePassed();
    void finishSoon(CallEnd end, std::string detail);
    void finish(CallEnd end, std::string detail);
    void returnToPool(bool isComplete);
    PoolKey poolKey() const;

    ClientContext &m_context;
    CallId m_id;
    Call m_call;
    Hooks m_hooks;
    CallResult m_result;
    AnswerParser m_parser;
    st_h2o_socket_t *m_socket = nullptr;
    std::optional<Base::MonoTime> m_establishedAt; ///< Of the connection.
    std::string m_head;
    bool m_isHeadDelivered = false;
    bool m_isEnded = false;
    bool m_isReading = true; ///< See setReading().
    const char *m_unreadEnd = nullptr; ///< End of the connection that came while not reading.
    std::size_t m_bodyBytes = 0;
    Base::MonoTime m_totalDeadline;
    Base::MonoTime m_stageDeadline;
    Base::MonoTime m_timerDue;
    std::optional<Runtime::TimerId> m_timer;
    std::optional<Runtime::TimerId> m_settleTimer;
};

} // namespace Lagoonbank::Http::Internal
