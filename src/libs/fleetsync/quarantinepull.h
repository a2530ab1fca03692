#pragma once

#include "errors/result.h"
#include "runtime/timerqueue.h"
#include "runtime/udpsocket.h"
#include "schema/generated/fleetsync.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string_view>
#include <vector>

namespace Lagoonbank::FleetSync {

/// Obtains the quarantines of the fleet for a router that starts, so that it knows them before it
/// takes its first request. Peers are asked first. If none of them knows the quarantines, as all
/// routers have started together, the store is read.
///
/// Pure: time comes from the timers, requests go out through the hooks.
class QuarantinePull
{
public:
    struct Options
    {
        Runtime::TimerQueue *timers = nullptr;
        std::function<std::vector<Runtime::SocketAddress>()> peers;
        /// Whether the registered routers have been read, so that no further peers are to be
        /// expected.
        std::function<bool()> arePeersKnown;
        Runtime::SocketAddress self; ///< Address at which peers reach this router.
        std::uint64_t randomSeed = 1;
        /// Number of peers that are asked at the same time. Some may be starting or gone.
        std::size_t parallelRequests = 3;
        /// Maximum number of peers that are asked. If half of the routers are gone or starting, one
        /// of nine knows the quarantines in 99.8% of the cases.
        std::size_t maxRequests = 9;
        /// Interval at which the router looks for peers that have become known.
        Base::Duration peerCheckInterval = std::chrono::milliseconds(10);
        /// Time after which the router takes requests without the quarantines. It is less than the
        /// interval of two readiness checks, after which callers are sent to other routers. Gossip
        /// brings the quarantines later.
        Base::Duration timeout = std::chrono::seconds(1);
    };
    /// How the pull has ended.
    enum class Source : std::uint8_t { Peer, Store, None };
    using Answered = std::function<void(const Errors::Result<Schema::QuarantineAnswer> &answer)>;

    explicit QuarantinePull(Options options);
    ~QuarantinePull();
    QuarantinePull(const QuarantinePull &) = delete;
    QuarantinePull &operator=(const QuarantinePull &) = delete;

    /// Asks a peer; calls back once, asynchronously.
    std::function<void(const Runtime::SocketAddress &peer, Answered answered)> ask;
    /// Reads the quarantines from the store; storeRead() is to be called at the end.
    std::function<void()> readStore;
    /// Called with the answer of a peer that knows the quarantines.
    std::function<void(const Schema::QuarantineAnswer &answer)> received;
    /// Called once, when this router may take requests.
    std::function<void(Source source)> finished;

    void start();
    /// All quarantines in the store have been read.
    void storeRead();
    bool isFinished() const { return m_isFinished; }
    /// Whether the store has to be read for the pull.
    bool needsStore() const { return m_isReadingStore && !m_isFinished; }

private:
    void checkPeers();
    void askPeers();
    void answered(const Errors::Result<Schema::QuarantineAnswer> &answer);
    void finish(Source source);
    /// Peers that have not been asked, in the order in which they are to be asked.
    std::vector<Runtime::SocketAddress> candidates();

    Options m_options;
    std::mt19937_64 m_random;
    std::vector<Runtime::SocketAddress> m_asked;
    std::size_t m_pendingRequests = 0;
    bool m_isReadingStore = false;
    bool m_isFinished = false;
    Runtime::TimerId m_checkTimer;
    Runtime::TimerId m_timeoutTimer;
    /// Lets callbacks detect that this object has been destroyed.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

std::string_view toString(QuarantinePull::Source source);

} // namespace Lagoonbank::FleetSync
