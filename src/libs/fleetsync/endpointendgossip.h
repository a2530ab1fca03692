#pragma once

#include "admission/gcra.h"
#include "runtime/timerqueue.h"
#include "runtime/udpsocket.h"
#include "schema/generated/fleetsync.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
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
        /// Budget for reports. Those beyond it are dropped, not delayed.
        double bytesPerSecond = 1000;
        /// Maximum size of a burst. One report to each of 300 peers costs 17,400 bytes.
        double burstBytes = 24000;
        /// Time in which an endpoint is not reported again after this router or a peer has.
        Base::Duration repeatInterval = std::chrono::milliseconds(200);
    };

    explicit EndpointEndGossip(Options options);

    std::function<void(const Runtime::SocketAddress &to, const Schema::EndpointEndUpdate &message)>
        send;
    /// Called for each endpoint that a peer reports.
    std::function<void(std::uint64_t startHash, Base::Duration age)> received;

    /// Reports an endpoint, given by the hash of its id and start time, whose end was first noticed
    /// \a age ago.
    void report(std::uint64_t startHash, Base::Duration age);
    void receive(const Schema::EndpointEndUpdate &message);
    /// Number of reports that were not sent for lack of budget, counted for each receiver.
    std::uint64_t dropped() const { return m_dropped; }

private:
    /// Whether the endpoint was not reported within the repeat interval. Notes that it is now.
    bool noteReport(std::uint64_t startHash);

    Options m_options;
    Admission::Gcra m_byteBudget;
    absl::flat_hash_map<std::uint64_t, Base::MonoTime> m_reportedAt;
    std::uint64_t m_dropped = 0;
};

} // namespace Lagoonbank::FleetSync
