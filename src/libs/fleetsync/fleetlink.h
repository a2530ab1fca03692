#pragma once

#include "admission/gcra.h"
#include "errors/result.h"
#include "fleetsync/crashgossip.h"
#include "fleetsync/fleetsync.h"
#include "fleetsync/loadgossip.h"
#include "fleetsync/promptgossip.h"
#include "http/client.h"
#include "http/server.h"
#include "runtime/loop.h"
#include "runtime/udpsocket.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace Lagoonbank::FleetSync {

/// One pull that a peer answered.
struct Pull
{
    Runtime::SocketAddress peer;
    std::size_t bytes = 0; ///< Of the answer.
    Base::Duration duration{};
    std::size_t inFlight = 0; ///< Pulls of this router when it ended, this one among them.
};

/// Carries a FleetSync over the network: beacons in datagrams, pulls over TCP on the same port.
class FleetLink
{
public:
    struct Options
    {
        Runtime::Loop *loop = nullptr;
        Http::Client *client = nullptr;
        FleetSync *sync = nullptr;
        PromptGossip *prompts = nullptr;
        LoadGossip *loads = nullptr;
        CrashGossip *crashes = nullptr;
        Runtime::SocketAddress address;
        /// Of answers to pulls; an asker beyond that is turned away and asks another router. One
        /// answer may be larger than that.
        double stateBytesPerSecond = 1e6;
        /// Told of each state that a peer has sent.
        std::function<void(const Pull &pull, const Schema::FleetStateAnswer &state)> received;
        /// Told the bytes that leave and why a message could not be read.
        std::function<void(std::size_t bytes)> sent;
        std::function<void(const Errors::Error &error)> failed;
    };

    /// Binds both sockets and connects the hooks of the sync.
    static Errors::Result<std::unique_ptr<FleetLink>> open(Options options);
    ~FleetLink();
    FleetLink(const FleetLink &) = delete;
    FleetLink &operator=(const FleetLink &) = delete;

private:
    explicit FleetLink(Options options);
    template<typename Message>
    void send(const Runtime::SocketAddress &to, const Message &message);
    void receive(const Runtime::SocketAddress &from, std::string_view datagram);
    /// Reads a datagram and hands it on.
    template<typename Message, typename Take>
    void read(std::string_view datagram, const Take &take);
    void pull(const Runtime::SocketAddress &peer, const Schema::FleetStateRequest &request);
    void pullFinished(const Runtime::SocketAddress &peer, Base::MonoTime startedAt,
                      const Http::CallResult &result);
    void answer(const Http::Request &request, Http::Responder &responder);

    Options m_options;
    Admission::Gcra m_stateBytes;
    std::unique_ptr<Runtime::UdpSocket> m_socket;
    std::unique_ptr<Http::Server> m_server;
    std::size_t m_pulls = 0; ///< Under way.
    Base::Duration m_pullTimeout; ///< Of the next pull.
    /// Pulls that end after this object is gone find it out by this.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace Lagoonbank::FleetSync
