#pragma once

#include "admission/gcra.h"
#include "runtime/timerqueue.h"
#include "runtime/udpsocket.h"
#include "schema/generated/fleetsync.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <vector>

namespace Lagoonbank::FleetSync {

/// Gossip about endpoints that seem to have ended: tells all other routers at once, as those
/// without connections to such an endpoint do not notice that it has started again.
///
/// Pure: time comes from the timers, messages go out through the hooks.
class EndpointEndGossip
{
public:
    struct Options
    {
        Runtime::TimerQueue *timers = nullptr;
        std::function<std::vector<Runtime::SocketAddress>()> peers;
        std::uint64_t randomSeed = 1;
        /// Budget for reports. Those beyond it are dropped, not delayed.
        double bytesPerSecond = 1000;
        /// Maximum size of a burst. One report to each of 300 peers costs 17,400 bytes.
        double burstBytes = 24000;
        /// Time in which reports are collected. The endpoints of a rack end at the same moment.
        Base::Duration collectTime = std::chrono::milliseconds(2);
        /// Time in which an endpoint is not reported again, and further reports of it are ignored.
        Base::Duration repeatInterval = std::chrono::milliseconds(200);
    };

    explicit EndpointEndGossip(Options options);
    ~EndpointEndGossip();
    EndpointEndGossip(const EndpointEndGossip &) = delete;
    EndpointEndGossip &operator=(const EndpointEndGossip &) = delete;

    std::function<void(const Runtime::SocketAddress &to, const Schema::EndpointEndUpdate &message)>
        send;
    /// Called for each endpoint that a peer reports.
    std::function<void(std::uint64_t startHash, Base::Duration age)> received;

    /// Reports an endpoint, given by the hash of its id and start time, whose end was first noticed
    /// \a age ago.
    void report(std::uint64_t startHash, Base::Duration age);
    void receive(const Schema::EndpointEndUpdate &message);
    /// Number of datagrams that were not sent for lack of budget.
    std::uint64_t dropped() const { return m_dropped; }

private:
    using Times = absl::flat_hash_map<std::uint64_t, Base::MonoTime>;

    /// Whether the endpoint is not in \a times yet. Adds it, and drops the old ones.
    bool isNew(std::uint64_t startHash, Times &times) const;
    void sendCollected();

    Options m_options;
    std::mt19937_64 m_random;
    Admission::Gcra m_byteBudget;
    std::vector<Schema::SharedEndpointEnd> m_collected;
    std::optional<Runtime::TimerId> m_timer; ///< Set while reports are collected.
    Times m_reportedAt;
    Times m_receivedAt;
    std::uint64_t m_dropped = 0;
};

} // namespace Lagoonbank::FleetSync
