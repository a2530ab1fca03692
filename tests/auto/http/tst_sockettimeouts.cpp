/// Connections to peers that have vanished end by TCP_USER_TIMEOUT. It also determines when
/// keep-alive probes give up, so that probes that a library switches on would end connections at
/// another time than intended.
#define BOOST_TEST_MODULE tst_sockettimeouts
#include "clientfixture.h"

#include <netinet/tcp.h>

#include <array>
#include <memory>
#include <optional>
#include <string>

using namespace Lagoonbank;
using namespace Lagoonbank::Http;
using Lagoonbank::Test::PausedLoop;
using Lagoonbank::Test::RawListener;
using Lagoonbank::Test::RawSocket;
using std::chrono::milliseconds;

namespace {

struct SocketTimeouts
{
    bool hasProbes = false;
    Base::Duration userTimeout{};
};

std::uint16_t portOf(int fd, int (*address)(int, sockaddr *, socklen_t *))
{
    sockaddr_in native{};
    socklen_t length = sizeof native;
    if (address(fd, reinterpret_cast<sockaddr *>(&native), &length) != 0
        || native.sin_family != AF_INET)
        return 0;
    return ntohs(native.sin_port);
}

int option(int fd, int level, int name)
{
    int value = 0;
    socklen_t length = sizeof value;
    BOOST_REQUIRE_EQUAL(getsockopt(fd, level, name, &value, &length), 0);
    return value;
}

/// Descriptor of the connection of this process from \a localPort to \a remotePort, or -1.
int findConnection(std::uint16_t localPort, std::uint16_t remotePort)
{
    constexpr int maxDescriptors = 1024;
    for (int fd = 0; fd < maxDescriptors; ++fd) {
        if (portOf(fd, getsockname) == localPort && portOf(fd, getpeername) == remotePort)
            return fd;
    }
    return -1;
}

/// The timeouts of the connection of this process from \a localPort to \a remotePort.
SocketTimeouts timeoutsOf(std::uint16_t localPort, std::uint16_t remotePort)
{
    const int fd = findConnection(localPort, remotePort);
    BOOST_REQUIRE(fd >= 0);
    return {.hasProbes = option(fd, SOL_SOCKET, SO_KEEPALIVE) != 0,
            .userTimeout = milliseconds(option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT))};
}

/// Checks the connection of the client of which \a server is the other end.
void checkClientTimeouts(const ClientFixture &f, const RawSocket &server)
{
    const SocketTimeouts timeouts =
        timeoutsOf(portOf(server.descriptor(), getpeername), f.listener.address.port);
    BOOST_TEST(!timeouts.hasProbes);
    BOOST_TEST((timeouts.userTimeout == std::chrono::seconds(10)));
}

constexpr std::string_view get = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";

/// A server whose callers may leave sent bytes unacknowledged for a short time.
struct ImpatientServer : PausedLoop
{
    ImpatientServer()
    {
        server = std::make_unique<Server>(
            Server::Options{.loop = &loop,
                            .address = {"127.0.0.1", 0},
                            .limits = {.headBytes = 2000,
                                       .bodyBytes = 1000,
                                       .requestTimeout = std::chrono::seconds(10)},
                            .userTimeout = milliseconds(300)});
        server->setHandler([this](const Request &, const std::shared_ptr<Responder> &responder) {
            responder->send(200, {}, std::string(16 * 1024 * 1024, 'x'));
            last = responder;
        });
        BOOST_REQUIRE(server->listen());
    }

    /// Sends a request of the caller; returns the port of the caller's end.
    std::uint16_t callFrom(RawSocket &caller)
    {
        caller.send(get);
        BOOST_REQUIRE(runUntil([&] { return last != nullptr; }));
        return portOf(caller.descriptor(), getsockname);
    }

    std::unique_ptr<Server> server;
    std::shared_ptr<Responder> last;
};

} // namespace

/// Guards against calls to engines, peers and the store that last longer than intended.
BOOST_AUTO_TEST_CASE(connectionOfACallHasUserTimeoutAndNoProbes)
{
    ClientFixture f;
    f.start(f.call());
    RawSocket server = f.acceptRequest();
    checkClientTimeouts(f, server);
}

/// Guards against another timeout on a connection that is used again.
BOOST_AUTO_TEST_CASE(reusedConnectionHasUserTimeoutAndNoProbes)
{
    ClientFixture f;
    f.start(f.call());
    RawSocket server = f.acceptRequest();
    server.send(completeAnswer);
    f.finished();
    Call second = f.call();
    second.target = "/second";
    f.start(std::move(second));
    BOOST_REQUIRE(f.runUntil([&] { return server.has("/second"); }));
    checkClientTimeouts(f, server);
}

/// Guards against callers that vanish and hold their connection longer than intended.
BOOST_AUTO_TEST_CASE(connectionOfACallerHasUserTimeoutAndNoProbes)
{
    ImpatientServer f;
    RawSocket caller(f.server->address());
    const std::uint16_t callerPort = f.callFrom(caller);
    const SocketTimeouts timeouts = timeoutsOf(f.server->address().port, callerPort);
    BOOST_TEST(!timeouts.hasProbes);
    BOOST_TEST((timeouts.userTimeout == milliseconds(300)));
}

/// Guards against a call that hangs in the write of its request when the server stops to read.
BOOST_AUTO_TEST_CASE(callWhoseBytesStayUnacknowledgedBreaks)
{
    PausedLoop f;
    const RawListener listener;
    Client client({.loop = &f.loop, .userTimeout = milliseconds(300)});
    std::optional<CallResult> result;
    Call call{.server = listener.address, .method = "POST", .target = "/"};
    call.body = std::string(16 * 1024 * 1024, 'x'); // Exceeds the socket buffers.
    client.start(std::move(call),
                 {.finished = [&](CallResult finished) { result = std::move(finished); }});
    BOOST_REQUIRE(f.runUntil([&] { return result.has_value(); }));
    BOOST_TEST(result->end == CallEnd::Broken);
}

/// Guards against an answer that is kept in memory for a caller that has stopped to read.
BOOST_AUTO_TEST_CASE(callerThatLeavesBytesUnacknowledgedIsDisconnected)
{
    ImpatientServer f;
    RawSocket caller(f.server->address());
    const std::uint16_t callerPort = f.callFrom(caller);
    const std::uint16_t serverPort = f.server->address().port;
    BOOST_TEST(f.runUntil([&] { return findConnection(serverPort, callerPort) < 0; }));
}
