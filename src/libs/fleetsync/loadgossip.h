#pragma once

#include "runtime/timerqueue.h"
#include "runtime/udpsocket.h"
#include "schema/generated/fleetsync.h"

#include <cstdint>
#include <functional>
#include <random>
#include <vector>

namespace Lagoonbank::FleetSync {

/// Propagates the loads of endpoints by gossip: ten times a second each router sends the latest
/// loads that it has seen or received to one random peer of the whole fleet. A router sends and
/// receives the same amount however large the fleet is, at most 1,300 bytes a second. Short,
/// frequent messages carry as much as long, rare ones and arrive earlier: half of 300 routers have
/// a load within 0.5 s.
///
/// Pure: time comes from the timers, messages go out through the hooks.
class LoadGossip
{
public:
    struct Options
    {
        Runtime::TimerQueue *timers = nullptr;
        std::function<std::vector<Runtime::SocketAddress>()> peers;
        std::uint64_t randomSeed = 1;
        Base::Duration interval = std::chrono::milliseconds(100);
        /// Number of intervals between two messages while no endpoint is far above the average
        /// load. Messages then contain only average loads.
        int idleIntervals = 10;
    };

    explicit LoadGossip(Options options);
    ~LoadGossip();
    LoadGossip(const LoadGossip &) = delete;
    LoadGossip &operator=(const LoadGossip &) = delete;

    std::function<void(const Runtime::SocketAddress &to, const Schema::LoadUpdate &message)> send;
    /// Returns the loads that this router has now, to be sent to peers.
    std::function<Schema::LoadUpdate()> latest;
    /// Called for each message of a peer. The message arrived \a delay ago.
    std::function<void(const Schema::LoadUpdate &message, Base::Duration delay)> received;

    void start();
    void receive(const Schema::LoadUpdate &message, Base::Duration delay) const;

private:
    void tick();
    void sendLoads();

    Options m_options;
    std::mt19937_64 m_random;
    int m_intervalsSinceSent = 0;
    Runtime::TimerId m_timer;
};

} // namespace Lagoonbank::FleetSync
