#pragma once

#include "base/strongtype.h"
#include "base/units.h"
#include "http/framing.h"
#include "http/headers.h"
#include "http/sharedbody.h"
#include "runtime/udpsocket.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Lagoonbank::Runtime {
class Loop;
}

namespace Lagoonbank::Http {

/// How a call ended.
enum class CallEnd : std::uint8_t {
    Whole, ///< The complete answer was received.
    NotConnected, ///< No connection was established; no byte of the request was sent.
    TurnedAway, ///< The server closed a new connection before a byte of the request was sent.
    TimedOut, ///< A deadline of the call passed; its connection is not reused.
    Broken, ///< The connection broke before the answer was complete.
    TooLarge ///< The answer exceeded Call::maxBodyBytes.
};

struct CallResult
{
    CallEnd end = CallEnd::Whole;
    /// Whether the end is NotConnected because this process or machine lacks descriptors, ports or
    /// memory, which says nothing about the server.
    bool isLocalResourceShortage = false;
    bool mayHaveBeenSent = false; ///< Bytes of the request may have been sent.
    bool isRequestWritten = false; ///< The whole request was passed to the system.
    bool isConnectionReused = false; ///< Calls before this one have used the connection.
    int status = 0; ///< 0 if no head was received.
    std::optional<Framing> framing; ///< Unset if no head was received.
    Headers headers;
    std::string body; ///< Empty if Hooks::bodyReceived is set.
    std::string detail; ///< Description of the failure.
};

/// One exchange with a server.
struct Call
{
    Runtime::SocketAddress server;
    std::string method = "GET";
    std::string target = "/"; ///< Path and query.
    Headers headers; ///< Without host, content-length and connection.
    SharedBody body;
    std::string host; ///< Host header; the server's address if empty.
    /// Whether to use a new connection only, for calls that must run at most once.
    bool freshConnection = false;
    bool tls = false;
    std::string serverName; ///< For TLS: name that the certificate must match; the IP if empty.
    Base::Duration connectTimeout = std::chrono::seconds(1); ///< Includes the TLS handshake.
    /// Time for which a new connection must stay open before the request is sent. Detects a server
    /// that accepts connections beyond its limit and resets them at once, while it is certain that
    /// the request was not run. Not used for TLS, whose handshake detects this.
    Base::Duration settleTime{};
    /// Idle connections to keep to the server after this call, instead of maxIdlePerServer.
    std::optional<std::size_t> maxIdle;
    Base::Duration headTimeout = std::chrono::seconds(10); ///< From sending to the answer's head.
    Base::Duration progressTimeout = std::chrono::seconds(10); ///< Between pieces of the body.
    Base::Duration totalTimeout = std::chrono::minutes(10);
    std::size_t maxBodyBytes = 64 * 1024 * 1024;
    /// Size of the receive buffer of a new connection, and so of what is read at once from a server
    /// that sends without end; the system's default if unset.
    std::optional<int> receiveBufferBytes;
};

struct Hooks
{
    /// Called right before the first byte of the request may be sent. A failure before this call
    /// means that the request did not run; after it, that is unknown. On a pooled connection this
    /// is called from within start().
    std::function<void()> sending;
    std::function<void(int status, const Headers &headers)> headReceived;
    /// If set, receives each piece of the body, and CallResult::body stays empty.
    std::function<void(std::string_view piece)> bodyReceived;
    /// Called once, as the last hook, and never from within start() or cancel().
    std::function<void(CallResult result)> finished;
};

using CallId = Base::StrongNumber<struct CallIdTag, std::uint64_t>;

/// An HTTP/1.1 client that keeps idle connections open for reuse.
class Client
{
public:
    struct Options
    {
        Runtime::Loop *loop = nullptr;
        std::size_t maxIdlePerServer = 32;
        Base::Duration idleTimeout = std::chrono::seconds(5); ///< For idle connections.
        /// TCP_USER_TIMEOUT: time for which sent bytes may stay unacknowledged.
        Base::Duration userTimeout = std::chrono::seconds(10);
        std::string caFile; ///< In PEM format; the system's certificate authorities if empty.
    };

    explicit Client(Options options);
    ~Client();
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    CallId start(Call call, Hooks hooks);
    /// Opens a connection and closes it again. Calls \a checked once, after this function has
    /// returned, unless the client is destroyed first. The server is reachable if it accepts the
    /// connection within \a timeout and does not close it for \a holdTime.
    void checkReachable(const Runtime::SocketAddress &server, Base::Duration timeout,
                        std::function<void(bool isReachable)> checked,
                        Base::Duration holdTime = {});
    /// Number of connections to the server, idle or in use, that were established before \a time
    /// and that the server has neither closed nor reset, as far as the system knows.
    std::size_t openConnections(const Runtime::SocketAddress &server, Base::MonoTime time) const;
    /// Stops or goes on reading the answer of a call, such as while it cannot be passed on. The
    /// timeouts of the body do not apply meanwhile, only totalTimeout does.
    void setReading(CallId call, bool reads);
    /// Cancels the call and closes its connection. No hook is called afterwards.
    void cancel(CallId call);
    std::size_t activeCalls() const;
    /// Sets a function that is called after a server has ended an idle connection.
    void setIdleConnectionHandler(std::function<void(const Runtime::SocketAddress &server)> ended);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Lagoonbank::Http
