#pragma once

#include "admission/gcra.h"
#include "fleetsync/peersilence.h"
#include "fleetsync/routerranking.h"
#include "runtime/timerqueue.h"
#include "runtime/udpsocket.h"
#include "schema/generated/fleetsync.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <random>
#include <vector>

namespace Lagoonbank::FleetSync {

/// Gossip about crashes: reports to other routers which requests were running when an endpoint
/// crashed, and which requests are quarantined. A crash report names one such request and the
/// endpoint. A crashing request that reaches each router only once is thus detected as early as one
/// that reaches the same router every time.
///
/// The crashes during one request are counted by a few routers, which are chosen by the request's
/// hash, so that every reporting router chooses the same ones. An endpoint that crashes while it
/// runs hundreds of requests causes a crash report for each of them, and sending all of these to
/// every router would saturate small links. A quarantine is sent to all routers at
/// once and then repeated to a few of them in every round, so that it also reaches routers that
/// missed it or started later.
///
/// Pure: time comes from the timers, messages go out through the hooks.
class CrashGossip
{
public:
    struct Options
    {
        Runtime::TimerQueue *timers = nullptr;
        std::function<std::vector<Runtime::SocketAddress>()> peers;
        PeerSilence *silence = nullptr;
        Runtime::SocketAddress self; ///< Address at which peers reach this router.
        std::uint64_t randomSeed = 1;
        /// Number of routers that count the crashes during one request. There are several because
        /// some may be down, cut off or restarting.
        std::size_t countingRouters = 8;
        /// Budget for crash reports. Reports beyond it are dropped, not delayed.
        double bytesPerSecond = 1000;
        /// Maximum size of a burst of crash reports. An endpoint that crashes while it runs 64
        /// requests of this router costs 1,100 bytes to each of eight peers.
        double burstBytes = 24000;
        /// Time between two rounds in which quarantines are sent again to a few peers.
        Base::Duration interval = std::chrono::seconds(1);
        /// Number of peers to which each round sends. Each router then receives the quarantines
        /// about twice a second, and misses them for 3 s only in one case of 400.
        std::size_t resendPeerCount = 2;
    };

    explicit CrashGossip(Options options);
    ~CrashGossip();
    CrashGossip(const CrashGossip &) = delete;
    CrashGossip &operator=(const CrashGossip &) = delete;

    std::function<void(const Runtime::SocketAddress &to, const Schema::CrashUpdate &message)> send;
    /// Returns the requests that are quarantined now.
    std::function<std::vector<Schema::SharedQuarantine>()> quarantined;
    std::function<void(const Schema::CrashUpdate &message)> received;

    void start();
    /// Sends crash reports in the order given; the last ones are dropped if the budget is too
    /// small.
    void sendCrashReports(const std::vector<Schema::SharedCrash> &crashes);
    /// Sends a new quarantine to all routers.
    void sendQuarantine(const Schema::SharedQuarantine &quarantine);
    void receive(const Schema::CrashUpdate &message) const;
    /// Number of crash reports that were not sent for lack of budget. A report counts once for each
    /// receiver.
    std::uint64_t dropped() const { return m_dropped; }

private:
    void tick();
    /// Sends crash reports to the routers that count them, in one datagram to each.
    void sendBatch(const std::vector<Schema::SharedCrash> &crashes, const RouterRanking &routers);
    void resendQuarantined();

    Options m_options;
    std::mt19937_64 m_random;
    Admission::Gcra m_byteBudget;
    std::uint64_t m_dropped = 0;
    Runtime::TimerId m_timer;
};

} // namespace Lagoonbank::FleetSync
