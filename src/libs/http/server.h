#pragma once

#include "base/units.h"
#include "errors/result.h"
#include "http/headers.h"
#include "http/memorybudget.h"
#include "runtime/udpsocket.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Lagoonbank::Runtime {
class Loop;
}

namespace Lagoonbank::Http {

/// A complete request of a caller.
struct Request
{
    std::string method;
    std::string path; ///< Without the query.
    std::string query; ///< Without the question mark; empty if there is none.
    bool hasEmptyQuery = false; ///< Whether the target ends with the question mark.
    Headers headers;
    std::string body;
    Runtime::SocketAddress peer;
    /// Estimated arrival of its last bytes. Can be long before they were read if the event loop was
    /// behind.
    Base::MonoTime arrivedAt;
    /// Memory that the request occupies. Keep it for as long as its body or headers.
    std::shared_ptr<MemoryUse> memory;

    /// Sets path and query.
    void setTarget(std::string_view target);
    /// The query with its question mark; empty if there is none.
    std::string queryPart() const;
};

/// Sends the answer to one request; can outlive the connection. Calls have no effect after send(),
/// end(), abort() or a disconnect of the caller.
class Responder
{
public:
    virtual ~Responder() = default;

    /// Sends a complete answer with a Content-Length.
    virtual void send(int status, const Headers &headers, std::string body) = 0;
    /// Starts a streamed answer. The head is sent with the first piece.
    virtual void begin(int status, const Headers &headers) = 0;
    /// Queues a piece of a streamed answer.
    virtual void write(std::string_view piece) = 0;
    /// Completes a streamed answer.
    virtual void end() = 0;
    /// Aborts the answer so that the caller can detect that it is incomplete.
    virtual void abort() = 0;
    /// Bytes that were written but not sent yet.
    virtual std::size_t queuedBytes() const = 0;
    virtual bool isDisconnected() const = 0;
    /// Checks for a disconnect of the caller that has not been read yet and handles it as if it had
    /// been read. HTTP/1.1 without TLS only; costs a system call.
    virtual void checkForDisconnect() { }
    /// Sets a handler that is called once if the caller disconnects before the answer has ended.
    virtual void setDisconnectHandler(std::function<void()> handler) = 0;
    /// Sets a handler that is called each time that all written bytes have been sent. Whoever
    /// streams an answer should write no more than maxQueuedBytes before that.
    virtual void setDrainHandler(std::function<void()> handler) = 0;

    static constexpr std::size_t maxQueuedBytes = 64 * 1024;
};

/// What a connection was for that is closed because too many are open.
enum class LimitedConnection : std::uint8_t {
    WithoutRequest, ///< It has sent no request.
    Idle, ///< It waits for its next request.
    New ///< It was not read.
};
std::string_view toString(LimitedConnection kind);

/// An HTTP/1.1 server, with TLS if certificates are configured, and with HTTP/2 if enabled.
class Server
{
public:
    struct Tls
    {
        std::string certificateFile; ///< In PEM format.
        std::string keyFile; ///< In PEM format.
    };
    /// Limits for requests.
    struct Limits
    {
        std::size_t headBytes = 64 * 1024; ///< HTTP/1.1 only.
        std::size_t bodyBytes = 8 * 1024 * 1024;
        /// Time to receive a request's head, and between two pieces of its body.
        Base::Duration requestTimeout = std::chrono::seconds(10);
        /// HTTP/1.1: a body must have arrived after this time plus that which its bytes take at
        /// minBodyBytesPerSecond. Longer than callers wait for an answer.
        Base::Duration bodyTimeout = std::chrono::seconds(20);
        std::size_t minBodyBytesPerSecond = 1024;
        Base::Duration idleTimeout = std::chrono::seconds(60); ///< Time between two requests.
    };
    struct Options
    {
        Runtime::Loop *loop = nullptr;
        Runtime::SocketAddress address; ///< Port 0 selects a free port.
        Limits limits;
        /// HTTP/1.1: treat a caller that closes its sending side while it waits for an answer as
        /// disconnected. Otherwise it still receives its answer, and a real disconnect is detected
        /// at the next write.
        bool halfCloseMeansDisconnect = false;
        /// TCP_USER_TIMEOUT: time for which sent bytes may stay unacknowledged because a caller is
        /// unreachable or does not read.
        Base::Duration userTimeout = std::chrono::seconds(30);
        /// HTTP/1.1: while more connections than this are open, each is closed after its next
        /// answer, and those are closed that have sent no request or are idle for the longest time,
        /// which keeps descriptors free for calls. There are never more than
        /// connectionExcessFactor times as many: new ones are closed unread if no other can be.
        std::size_t maxConnections = std::numeric_limits<std::size_t>::max();
        /// Memory for clients, which several servers may share. If null, the server has a budget of
        /// its own by the memory of the machine.
        std::shared_ptr<MemoryBudget> memory;
        /// Whether callers may use HTTP/2. As h2o buffers the bodies of its requests, each
        /// connection occupies maxHttp2RequestBytes times maxHttp2Requests of the memory.
        bool http2 = false;
        /// Called for each connection that is closed because of maxConnections.
        std::function<void(LimitedConnection kind)> closedForLimit;
        /// Called for each new connection closed without being read because its caller has
        /// disconnected.
        std::function<void()> disconnectedUnread;
        std::optional<Tls> tls;
        /// Share an h2o context with other servers of the loop, so that an idle one costs nothing.
        /// For programs with hundreds of servers. stopAccepting() then closes idle HTTP/2
        /// connections without sending GOAWAY first.
        bool sharesContext = false;
    };
    using Handler = std::function<void(Request request, std::shared_ptr<Responder> responder)>;

    static constexpr std::size_t connectionExcessFactor = 2;
    static constexpr std::size_t maxHttp2Requests = 8;
    static constexpr std::size_t maxHttp2RequestBytes = 1024 * 1024;

    /// Value for maxConnections if each request needs another connection to an endpoint: a third of
    /// the process's limit of descriptors. Another third is for calls in progress, the rest for
    /// idle connections to endpoints, for peers and files. Without this limit, a router with 4,200
    /// descriptors had 3,800 idle connections of callers and could not call any endpoint.
    static std::size_t callerConnectionLimit();

    explicit Server(Options options);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    void setHandler(Handler handler);
    /// Called when the server itself refuses a request that is malformed, too large or too slow.
    /// Returns the request id for the answer.
    using RefusalHandler = std::function<std::string(Errors::ErrorKind kind)>;
    void setRefusalHandler(RefusalHandler handler);
    Errors::Result<void> listen();
    const Runtime::SocketAddress &address() const;
    /// Reloads the certificate files. After an error the old ones stay in use.
    Errors::Result<void> reloadTls();
    /// Sets the limits for subsequent requests.
    void setLimits(const Limits &limits);
    /// Continues to serve new and open connections but closes each after its next answer, so that
    /// callers reconnect elsewhere without losing a request.
    void startDraining();
    /// Accepts no new connections and closes idle ones; others are closed after their current
    /// answer.
    void stopAccepting();
    std::size_t openConnections() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Lagoonbank::Http
