#pragma once

#include "admission/gcra.h"
#include "runtime/timerqueue.h"
#include "runtime/udpsocket.h"
#include "schema/generated/fleetsync.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <vector>

namespace Lagoonbank::FleetSync {

/// Tells the other routers under which requests endpoints have ended, so that a request that comes
/// to each router once is found out as soon as one that comes to one router, and which requests are
/// quarantined.
///
/// The ends under one request are counted by a few routers, the same whoever tells: an endpoint
/// with hundreds of requests ends under all of them, and telling each router of each would fill
/// small links. What is quarantined is told to all at once, and again and again to some, so that
/// it comes to who has missed it or has started since.
///
/// Pure: time comes from the timers, messages go out through the hooks.
class CrashGossip
{
public:
    struct Options
    {
        Runtime::TimerQueue *timers = nullptr;
        std::function<std::vector<Runtime::SocketAddress>()> peers;
        Runtime::SocketAddress self; ///< Where peers reach this router.
        std::uint64_t randomSeed = 1;
        /// Routers that count the ends under one request: some may be down, cut off or restarting.
        std::size_t countingRouters = 8;
        /// What this router may spend on ends. What is beyond is not told; the next ends are.
        double bytesPerSecond = 1000;
        /// An endpoint with 64 requests of this router ends: 1,100 bytes to eight peers.
        double burstBytes = 24000;
        /// Between two rounds in which some are told again what is quarantined.
        Base::Duration interval = std::chrono::seconds(1);
        /// Whom a round tells. A router hears it from two of the fleet a second, and so within 3 s
        /// but for one time in 400.
        std::size_t resendPeers = 2;
    };

    explicit CrashGossip(Options options);
    ~CrashGossip();
    CrashGossip(const CrashGossip &) = delete;
    CrashGossip &operator=(const CrashGossip &) = delete;

    std::function<void(const Runtime::SocketAddress &to, const Schema::CrashNews &news)> send;
    /// What is quarantined now.
    std::function<std::vector<Schema::SharedQuarantine>()> quarantined;
    std::function<void(const Schema::CrashNews &news)> received;

    void start();
    /// The first ones go first, for when the budget does not do for all.
    void sendEnds(const std::vector<Schema::SharedRequestEnd> &ends);
    /// Tells all routers.
    void sendQuarantine(const Schema::SharedQuarantine &quarantine);
    void receive(const Schema::CrashNews &news) const;
    /// Ends of which the routers that count them were not told for want of budget.
    std::uint64_t dropped() const { return m_dropped; }

private:
    struct Router
    {
        std::uint64_t hash = 0; ///< Of its address; the same at every router.
        std::optional<Runtime::SocketAddress> address; ///< None of this router itself.
    };

    void tick();
    /// So many as one datagram holds.
    void sendBatch(const std::vector<Schema::SharedRequestEnd> &ends,
                   const std::vector<Router> &routers);
    void resendQuarantined();
    std::vector<Runtime::SocketAddress> countingRoutersOf(std::uint64_t request,
                                                          const std::vector<Router> &routers) const;

    Options m_options;
    std::mt19937_64 m_random;
    Admission::Gcra m_bytes;
    std::uint64_t m_dropped = 0;
    Runtime::TimerId m_timer;
};

} // namespace Lagoonbank::FleetSync
