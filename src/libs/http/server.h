#pragma once

#include "base/units.h"
#include "errors/result.h"
#include "http/headers.h"
#include "runtime/udpsocket.h"

#include <chrono>
#include <cstddef>
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

/// One whole request of a caller.
struct Request
{
    std::string method;
    std::string path; ///< Without the query.
    std::string query; ///< Without the question mark; empty if there is none.
    Headers headers;
    std::string body;
    Runtime::SocketAddress peer;
    /// When its last bytes came, as far as it can be told; long before it was read if the loop was
    /// behind.
    Base::MonoTime arrivedAt;
};

/// The answer to one request; can outlive the connection. After end(), abort() or gone, calls do
/// nothing.
class Responder
{
public:
    virtual ~Responder() = default;

    /// A whole answer with Content-Length.
    virtual void send(int status, const Headers &headers, std::string body) = 0;
    /// The head of a streamed answer; it leaves with the first piece.
    virtual void begin(int status, const Headers &headers) = 0;
    /// Queues a piece of a streamed answer.
    virtual void write(std::string_view piece) = 0;
    /// Ends a streamed answer as whole.
    virtual void end() = 0;
    /// Breaks the answer off so that the caller can see that it is not whole.
    virtual void abort() = 0;
    /// Bytes written but not yet taken by the connection.
    virtual std::size_t queuedBytes() const = 0;
    virtual bool isDisconnected() const = 0;
    /// Looks at the connection: a caller may have left although that has not been read yet. If it
    /// has, it is gone as if it had been. HTTP/1.1 without TLS alone; costs a system call.
    virtual void checkForDisconnect() { }
    /// Called once if the caller leaves before the answer has ended.
    virtual void setDisconnectHandler(std::function<void()> handler) = 0;
};

/// An HTTP/1.1 and HTTP/2 server on the loop, with TLS if certificates are given.
class Server
{
public:
    struct Tls
    {
        std::string certificateFile; ///< PEM
        std::string keyFile; ///< PEM
    };
    /// What callers may send and how long they may take.
    struct Limits
    {
        std::size_t headBytes = 64 * 1024; ///< HTTP/1.1 only.
        std::size_t bodyBytes = 8 * 1024 * 1024;
        /// For a request's head to come in, and between two pieces of its body.
        Base::Duration requestTimeout = std::chrono::seconds(10);
        Base::Duration idleTimeout = std::chrono::seconds(60); ///< Between two requests.
    };
    struct Options
    {
        Runtime::Loop *loop = nullptr;
        Runtime::SocketAddress address; ///< Port 0 takes a free one.
        Limits limits;
        /// HTTP/1.1: a caller that closes its side while it waits for an answer has left. Without
        /// it such a caller still gets its answer, and one that has really left is noticed at the
        /// next write.
        bool halfCloseMeansDisconnect = false;
        /// TCP_USER_TIMEOUT: how long sent bytes may stay unacknowledged, by a caller that vanished
        /// or does not read.
        Base::Duration userTimeout = std::chrono::seconds(30);
        /// HTTP/1.1: with more open connections than this, answers end theirs and those that idle
        /// longest are closed, so that the process keeps descriptors for its calls.
        std::size_t maxConnections = std::numeric_limits<std::size_t>::max();
        /// Called for each new connection that is closed unread, as its caller has left.
        std::function<void()> disconnectedUnread;
        std::optional<Tls> tls;
        /// Set by programs with hundreds of servers on a loop, so that the idle ones cost nothing.
        /// stopAccepting() then closes HTTP/2 connections when they are idle, without telling
        /// before.
        bool sharesContext = false;
    };
    using Handler = std::function<void(Request request, std::shared_ptr<Responder> responder)>;

    /// Connections for maxConnections where a request needs another one to an endpoint: a third of
    /// the descriptors that this process may have. A second third is for the calls under way, the
    /// rest for idle connections to endpoints, for peers and files. Without it a router with 4,200
    /// descriptors had 3,800 idle connections of callers and could call nobody.
    static std::size_t callerConnectionLimit();

    explicit Server(Options options);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    void setHandler(Handler handler);
    /// Called when the server refuses a request itself: malformed, too large or too slow. Returns
    /// the id that the answer names.
    using RefusalHandler = std::function<std::string(Errors::ErrorKind kind)>;
    void setRefusalHandler(RefusalHandler handler);
    Errors::Result<void> listen();
    const Runtime::SocketAddress &address() const;
    /// Reads the certificate files again; on an error the old ones stay in use.
    Errors::Result<void> reloadTls();
    /// For requests from now on.
    void setLimits(const Limits &limits);
    /// Goes on serving new and open connections, but each ends with its next answer, so that
    /// callers move away without losing a request.
    void startDraining();
    /// Takes no new connections and closes idle ones; others end with their current answer.
    void stopAccepting();
    std::size_t openConnections() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Lagoonbank::Http
