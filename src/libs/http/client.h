#pragma once

#include "base/strongtype.h"
#include "base/units.h"
#include "http/headers.h"
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
    Whole, ///< The whole answer came.
    NotConnected, ///< No connection; no byte of the request left.
    TurnedAway, ///< The server ended a new connection before a byte of the request left.
    TimedOut, ///< A deadline of the call passed; its connection is never used again.
    Broken, ///< The connection broke before the answer was whole.
    TooLarge ///< The answer exceeded Call::maxBodyBytes.
};

struct CallResult
{
    CallEnd end = CallEnd::Whole;
    /// NotConnected for want of descriptors, ports or memory of this process or machine: tells
    /// nothing of the server.
    bool isLocalResourceShortage = false;
    bool mayHaveBeenSent = false; ///< Whether a byte of the request may have left this process.
    int status = 0; ///< 0 if no head came.
    Headers headers;
    std::string body; ///< Empty where Hooks::bodyReceived took the pieces.
    std::string detail; ///< The library's words for what went wrong.
};

/// One exchange with a server.
struct Call
{
    Runtime::SocketAddress server;
    std::string method = "GET";
    std::string target = "/"; ///< Path and query.
    Headers headers; ///< Without host, content-length and connection.
    std::string body;
    std::string host; ///< The host field; the server's address if empty.
    bool freshConnection = false; ///< Never a pooled one: for calls that must run at most once.
    bool tls = false;
    std::string serverName; ///< For TLS: the name that the certificate must hold; the ip if empty.
    Base::Duration connectTimeout = std::chrono::seconds(1); ///< With the TLS handshake.
    /// How long a new connection has to stay open before the request leaves on it. A server that
    /// accepts connections beyond its limit only to reset them is found out so while it is sure
    /// that it has not run the request. Not for TLS, whose handshake shows it.
    Base::Duration settleTime{};
    /// Idle connections to the server that may be kept afterwards, if other than the client's.
    std::optional<std::size_t> maxIdle;
    Base::Duration headTimeout = std::chrono::seconds(10); ///< From sending to the answer's head.
    Base::Duration progressTimeout = std::chrono::seconds(10); ///< Between pieces of the body.
    Base::Duration totalTimeout = std::chrono::minutes(10);
    std::size_t maxBodyBytes = 64 * 1024 * 1024;
};

struct Hooks
{
    /// The first byte may leave from now on: the line between "did not run" and "unknown". On a
    /// pooled connection this is called from within start().
    std::function<void()> sending;
    std::function<void(int status, const Headers &headers)> headReceived;
    /// If set, gets each piece of the body and CallResult::body stays empty.
    std::function<void(std::string_view piece)> bodyReceived;
    /// Called once, last, and never from within start() or cancel().
    std::function<void(CallResult result)> finished;
};

using CallId = Base::StrongNumber<struct CallIdTag, std::uint64_t>;

/// An HTTP/1.1 client on the loop that keeps idle connections for a while.
class Client
{
public:
    struct Options
    {
        Runtime::Loop *loop = nullptr;
        std::size_t maxIdlePerServer = 32;
        Base::Duration idleTimeout =
            std::chrono::seconds(5); ///< Idle connections are closed after it.
        /// TCP_USER_TIMEOUT: how long sent bytes may stay unacknowledged.
        Base::Duration userTimeout = std::chrono::seconds(10);
        std::string caFile; ///< PEM; the system's authorities if empty.
    };

    explicit Client(Options options);
    ~Client();
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    CallId start(Call call, Hooks hooks);
    /// Only opens a connection and closes it; \a checked is called once, later, unless the client
    /// goes before.
    void checkReachable(const Runtime::SocketAddress &server, Base::Duration timeout,
                        std::function<void(bool isReachable)> checked);
    /// Drops the call and its connection; no hook is called any more.
    void cancel(CallId call);
    std::size_t activeCalls() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Lagoonbank::Http
