#pragma once

#include "admission/gcra.h"
#include "errors/result.h"
#include "fleetsync/crashgossip.h"
#include "fleetsync/endpointendgossip.h"
#include "fleetsync/fleetsync.h"
#include "fleetsync/loadgossip.h"
#include "fleetsync/partgossip.h"
#include "fleetsync/peersilence.h"
#include "fleetsync/promptgossip.h"
#include "fleetsync/quarantinepull.h"
#include "fleetsync/streamgossip.h"
#include "http/client.h"
#include "http/server.h"
#include "runtime/loop.h"
#include "runtime/udpsocket.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>

namespace Lagoonbank::FleetSync {

/// One pull that a peer answered.
struct Pull
{
    Runtime::SocketAddress peer;
    std::size_t bytes = 0; ///< Size of the answer.
    Base::Duration duration{};
    std::size_t inFlight = 0; ///< Pulls in flight when this one ended, itself included.
};

/// Network transport of a FleetSync and of the gossips: beacons and gossip in UDP datagrams, pulls
/// and relayed requests over HTTP on the TCP port of the same number.
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
        PartGossip *parts = nullptr;
        StreamGossip *streams = nullptr;
        EndpointEndGossip *endpointEnds = nullptr;
        PeerSilence *silence = nullptr;
        Runtime::SocketAddress address;
        std::shared_ptr<Http::MemoryBudget> memory; ///< For requests of peers.
        /// See Http::Server::Options.
        std::size_t maxConnections = std::numeric_limits<std::size_t>::max();
        /// Rate limit for answers to pulls. A pull beyond it is refused, and the peer pulls from
        /// another router. A single answer may exceed it.
        double stateBytesPerSecond = 1e6;
        /// Returns the quarantines and crashes that this router knows, for a peer that starts.
        std::function<Schema::QuarantineAnswer(const Schema::QuarantineRequest &request)>
            quarantines;
        /// Returns the software versions and streams that this router knows, for a peer that
        /// starts.
        std::function<Schema::StreamStateAnswer(const Schema::StreamStateRequest &request)>
            streamState;
        /// Called for each state that a peer has sent in answer to a pull.
        std::function<void(const Pull &pull, const Schema::FleetStateAnswer &state)> received;
        /// Called for each request that a peer relays, with the path that the caller sent.
        std::function<void(Http::Request request,
                           const std::shared_ptr<Http::Responder> &responder)>
            relayed;
        /// Called with the size of each message that is sent.
        std::function<void(std::size_t bytes)> sent;
        /// Called for messages that could not be read or encoded and for pulls that failed.
        std::function<void(const Errors::Error &error)> failed;
    };

    /// Precedes the path of a relayed request.
    static constexpr std::string_view relayPath = "/fleet/relay";

    /// Binds both sockets and connects the send and pull hooks of the sync and of the gossips.
    static Errors::Result<std::unique_ptr<FleetLink>> open(Options options);
    ~FleetLink();
    FleetLink(const FleetLink &) = delete;
    FleetLink &operator=(const FleetLink &) = delete;

    /// Asks a peer for quarantines; calls back once, asynchronously. The answer of a peer that does
    /// not support this is empty.
    void askForQuarantines(const Runtime::SocketAddress &peer, const std::string &router,
                           QuarantinePull::Answered answered);
    using StreamStateAnswered =
        std::function<void(const Errors::Result<Schema::StreamStateAnswer> &answer)>;
    /// The same for software versions and streams.
    void askForStreamState(const Runtime::SocketAddress &peer, StreamStateAnswered answered);

private:
    explicit FleetLink(Options options);
    template<typename Message>
    void send(const Runtime::SocketAddress &to, const Message &message);
    void receive(const Runtime::SocketAddress &from, std::string_view datagram);
    /// Decodes a datagram and passes the message to \a handle.
    template<typename Message, typename Handler>
    void read(std::string_view datagram, const Handler &handle);
    void pull(const Runtime::SocketAddress &peer, const Schema::FleetStateRequest &request);
    void pullFinished(const Runtime::SocketAddress &peer, Base::MonoTime startedAt,
                      const Http::CallResult &result);
    void handleCall(Http::Request request, const std::shared_ptr<Http::Responder> &responder);
    void answerState(const Http::Request &request, Http::Responder &responder);
    template<typename Answer, typename Request>
    void askAtStart(const Runtime::SocketAddress &peer, std::string_view path,
                    const Request &request,
                    std::function<void(const Errors::Result<Answer> &)> answered);
    /// Answers a router that starts with what \a state returns.
    template<typename Answer, typename Request>
    void answerStart(const Http::Request &request,
                     const std::function<Answer(const Request &)> &state,
                     Http::Responder &responder);
    template<typename Message>
    void sendAnswer(const Message &message, Http::Responder &responder);

    Options m_options;
    Admission::Gcra m_stateByteBudget;
    std::unique_ptr<Runtime::UdpSocket> m_socket;
    std::unique_ptr<Http::Server> m_server;
    std::size_t m_pullsInFlight = 0;
    Base::Duration m_pullTimeout; ///< Timeout of the next pull.
    /// Lets callbacks of pulls detect that this object has been destroyed.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace Lagoonbank::FleetSync
