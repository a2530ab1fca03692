#pragma once

#include "errors/result.h"
#include "http/client.h"
#include "http/server.h"
#include "membership/controlbudget.h"
#include "membership/membership.h"
#include "membership/peercodec.h"
#include "runtime/loop.h"
#include "runtime/udpsocket.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace Lagoonbank::Membership {

/// Network transport of a Membership: datagrams over UDP, and pulls over TCP (HTTP with sealed
/// bodies) on the same address and port number.
class PeerTransport
{
public:
    struct Options
    {
        Runtime::Loop *loop = nullptr;
        Http::Client *client = nullptr;
        ControlBudget *budget = nullptr;
        Membership *membership = nullptr;
        Runtime::SocketAddress address; ///< Must be the address of Membership::self().
        std::vector<std::string> keys; ///< See PeerCodec::checkKeys().
    };
    /// Answers a pull, whose request body is `argument`. This class interprets neither the
    /// argument nor the answer.
    using Provider = std::function<Errors::Result<std::string>(std::string_view argument)>;
    using PullCallback = std::function<void(Errors::Result<std::string> answer)>;

    /// Binds both sockets and starts to call Membership::advance() by a timer.
    static Errors::Result<std::unique_ptr<PeerTransport>> start(Options options);
    ~PeerTransport();
    PeerTransport(const PeerTransport &) = delete;
    PeerTransport &operator=(const PeerTransport &) = delete;

    /// Sets the provider that answers pulls of \a name, a word without slashes.
    void setProvider(const std::string &name, Provider provider);
    /// Sends a pull request to the provider of this name at a peer. \a pulled is called once, never
    /// from within this call.
    void pull(const Runtime::SocketAddress &peer, const std::string &name,
              std::string_view argument, PullCallback pulled);
    /// Sends a sealed datagram that bypasses the Membership; \a body has to begin with directMark.
    /// False if the budget does not allow it or the socket can't send.
    bool sendDirect(const Runtime::SocketAddress &to, std::string_view body);
    /// First byte of the body of a direct datagram. No encoded PeerMessage begins with it.
    static constexpr char directMark = '\xbe';
    /// Called for a received datagram of sendDirect(), after its seal and its sequence number were
    /// checked.
    std::function<void(const Sender &sender, std::string_view body)> directReceived;
    void setKeys(std::vector<std::string> keys) { m_codec.setKeys(std::move(keys)); }
    const PeerCodec &codec() const { return m_codec; }
    const Runtime::SocketAddress &address() const { return m_socket->address(); }

private:
    explicit PeerTransport(Options options);
    void connect();
    void receive(const Runtime::SocketAddress &from, std::string_view datagram);
    void answer(const Http::Request &request, Http::Responder &responder);
    void finishPull(const std::string &binding, const Http::CallResult &result,
                    const PullCallback &pulled);
    void pullState(const Runtime::SocketAddress &peer, const StateRequest &request);
    void tick();
    Base::MonoTime now() const { return m_options.loop->clock().now(); }

    Options m_options;
    PeerCodec m_codec;
    std::unique_ptr<Runtime::UdpSocket> m_socket;
    std::unique_ptr<Http::Server> m_server;
    std::map<std::string, Provider> m_providers;
    std::uint64_t m_pullNumber = 0;
    Runtime::TimerId m_timer;
    /// False once this object is destroyed, so that pulls which finish later don't use it.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace Lagoonbank::Membership
