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

/// What all calls of a client share.
struct ClientContext
{
    Runtime::Loop &loop;
    ConnectionPool pool;
    std::size_t maxIdlePerServer;
    Base::Duration userTimeout;
    ssl_ctx_st *tls = nullptr;
    /// Forgets a call that has ended.
    std::function<void(CallId)> ended;
};

/// One exchange of the client with a connection of its own while it runs.
class ClientCall : public std::enable_shared_from_this<ClientCall>
{
public:
    ClientCall(ClientContext &context, CallId id, Call call, Hooks hooks);
    ~ClientCall();
    ClientCall(const ClientCall &) = delete;
    ClientCall &operator=(const ClientCall &) = delete;

    void start();
    /// Closes the connection; no hook is called any more.
    void drop();

private:
    static void connected(st_h2o_socket_t *socket, const char *error);
    static void settling(st_h2o_socket_t *socket, const char *error);
    static void secured(st_h2o_socket_t *socket, const char *error);
    static void written(st_h2o_socket_t *socket, const char *error);
    static void readable(st_h2o_socket_t *socket, const char *error);

    bool isRequestSafe() const;
    void connect();
    void settle();
    void sendRequest();
    void writeHead();
    void readAnswer(const char *error);
    bool deliver();
    void reachedEnd(const char *error);
    void setStage(Base::Duration timeout);
    void arm();
    void deadlinePassed();
    void finishSoon(CallEnd end, std::string detail);
    void finish(CallEnd end, std::string detail);
    void release(bool isWhole);
    PoolKey poolKey() const;

    ClientContext &m_context;
    CallId m_id;
    Call m_call;
    Hooks m_hooks;
    CallResult m_result;
    AnswerParser m_parser;
    st_h2o_socket_t *m_socket = nullptr;
    std::string m_head;
    bool m_isWritten = false;
    bool m_isHeadDelivered = false;
    bool m_isEnded = false;
    std::size_t m_bodyBytes = 0;
    Base::MonoTime m_totalDeadline;
    Base::MonoTime m_stageDeadline;
    Base::MonoTime m_armedFor;
    std::optional<Runtime::TimerId> m_timer;
    std::optional<Runtime::TimerId> m_settleTimer;
};

} // namespace Lagoonbank::Http::Internal
