#pragma once

#include "runtime/timerqueue.h"
#include "runtime/udpsocket.h"
#include "schema/generated/fleetsync.h"

#include <cstdint>
#include <functional>
#include <random>
#include <vector>

namespace Lagoonbank::FleetSync {

/// Passes news of endpoints' loads from router to router: each tells one other, any of the fleet,
/// ten times a second, what it has seen and heard last. A router sends and receives the same few
/// bytes however large the fleet is: 1,300 a second at most. Short messages that are often sent
/// carry as much as long ones that are not, and sooner: half of 300 routers know within 0.5 s.
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
        /// While no endpoint has far more to do than others: only what is usual has to be told.
        int idleIntervals = 10;
    };

    explicit LoadGossip(Options options);
    ~LoadGossip();
    LoadGossip(const LoadGossip &) = delete;
    LoadGossip &operator=(const LoadGossip &) = delete;

    std::function<void(const Runtime::SocketAddress &to, const Schema::LoadNews &latest)> send;
    /// What this router knows now.
    std::function<Schema::LoadNews()> latest;
    /// A peer has told this; it came \a delay ago.
    std::function<void(const Schema::LoadNews &latest, Base::Duration delay)> received;

    void start();
    void receive(const Schema::LoadNews &latest, Base::Duration delay) const;

private:
    void tick();
    void sendLoads();

    Options m_options;
    std::mt19937_64 m_random;
    int m_intervalsSinceSent = 0; ///< Intervals.
    Runtime::TimerId m_timer;
};

} // namespace Lagoonbank::FleetSync
