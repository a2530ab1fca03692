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

/// Gossip about prompt parts that may crash endpoints: reports crashes to the routers that compare
/// them, asks all routers about suspects, and tells all of quarantines and of their early end.
///
/// All crashes are reported to the same few routers, unlike those of CrashGossip: which part is to
/// blame shows only where the crashes of all parts are known.
///
/// Pure: time comes from the timers, messages go out through the hooks.
class PartGossip
{
public:
    struct Options
    {
        Runtime::TimerQueue *timers = nullptr;
        std::function<std::vector<Runtime::SocketAddress>()> peers;
        PeerSilence *silence = nullptr;
        Runtime::SocketAddress self; ///< Address at which peers reach this router.
        std::uint64_t randomSeed = 1;
        /// Number of routers that compare crashes. There are several because some may be down, cut
        /// off or restarting.
        std::size_t comparingRouters = 8;
        /// Budget for crash reports. What exceeds it is dropped, not delayed.
        double bytesPerSecond = 1000;
        /// Maximum size of a burst. An endpoint that crashes while it runs 16 requests of this
        /// router, with three parts each, costs 1,600 bytes to each of eight peers.
        double burstBytes = 48000;
        /// Budget for questions, which is apart so that many crashes don't keep a sound part from
        /// being acquitted.
        double questionBytesPerSecond = 1000;
        /// Maximum size of a burst of questions. One to each of 329 peers takes 24 KB.
        double questionBurstBytes = 96000;
        /// Time between two rounds in which quarantines are sent again to a few peers.
        Base::Duration interval = std::chrono::seconds(1);
        /// Number of peers to which each round sends.
        std::size_t resendPeerCount = 2;
    };

    /// All routers rank each other by this key to find those that compare crashes.
    static constexpr std::uint64_t comparingRoutersKey = 0x7061727473;

    explicit PartGossip(Options options);
    ~PartGossip();
    PartGossip(const PartGossip &) = delete;
    PartGossip &operator=(const PartGossip &) = delete;

    std::function<void(const Runtime::SocketAddress &to, const Schema::PartUpdate &message)> send;
    /// Returns the parts that are quarantined now.
    std::function<std::vector<Schema::SharedPartTime>()> quarantined;
    /// Answers a question; a time of a begin for each part that has one.
    std::function<std::vector<Schema::SharedPartTime>(
        const std::vector<Schema::SharedPartTime> &asked)>
        answer;
    /// Called for a message that holds anything but questions.
    std::function<void(const Schema::PartUpdate &message)> received;

    void start();
    void sendCrashes(const std::vector<Schema::SharedPartCrash> &crashes);
    /// Asks all peers; returns false and asks none if the budget is too small.
    bool ask(const std::vector<Schema::SharedPartTime> &questions);
    void sendQuarantine(const Schema::SharedPartTime &quarantine);
    /// Tells all routers that an answer has begun with a part that was quarantined.
    void sendBegin(const Schema::SharedPartTime &begin);
    void receive(const Runtime::SocketAddress &from, const Schema::PartUpdate &message) const;
    /// Number of datagrams with crash reports that were not sent for lack of budget.
    std::uint64_t dropped() const { return m_dropped; }

private:
    void tick();
    void sendToAll(const Schema::PartUpdate &message);
    /// Sends crash reports to the receivers as long as the budget lasts.
    void sendReports(const std::vector<Runtime::SocketAddress> &receivers,
                     const Schema::PartUpdate &message, double bytes);

    Options m_options;
    std::mt19937_64 m_random;
    Admission::Gcra m_byteBudget;
    Admission::Gcra m_questionBudget;
    std::uint64_t m_dropped = 0;
    Runtime::TimerId m_timer;
};

} // namespace Lagoonbank::FleetSync
