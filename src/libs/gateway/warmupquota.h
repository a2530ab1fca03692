#pragma once

#include "base/units.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Lagoonbank::Gateway {

/// State of one endpoint's warm-up on this router.
struct WarmupRecord
{
    std::optional<Base::MonoTime> coldSince; ///< When the endpoint was last found to be cold.
    Base::MonoTime pausedUntil{}; ///< This router sends nothing before this time.
    std::vector<Base::MonoTime> sends; ///< Times of this router's requests within the window.
    /// Position of this router in the endpoint's order of routers, from 0, and the generation of
    /// the fleet that it was computed for.
    std::size_t routerRank = 0;
    std::uint64_t generation = 0;
};

/// Divides the request rate of a cold endpoint among the routers of the fleet without
/// communication. For each endpoint the routers are ordered by a hash. If the endpoint sustains N
/// requests a second, the first N routers may send one each; with fewer than N routers, each may
/// send several. A router that knows only some of its peers exceeds its share, which endpoints
/// tolerate.
///
/// An endpoint that becomes cold while it is in service has received the requests of a warm one
/// until the routers learned that. They pause for a window then, so that these requests and the
/// rate of the cold endpoint do not add up.
///
/// If the rate were divided evenly and rounded up, each of hundreds of routers could send one
/// request a second. Reports of what other routers have sent would arrive too late.
class WarmupQuota
{
public:
    struct Options
    {
        /// Window in which the requests of this router are counted: one second plus an allowance
        /// for delays on their way.
        Base::Duration window = std::chrono::milliseconds(1050);
        /// Number of routers assumed while the fleet is unknown: that of the largest fleet.
        std::size_t assumedFleetSize = 330;
        /// When the process started. Nothing is sent to cold endpoints within a window after that,
        /// as the process that it replaces may have used the router's share just before.
        std::optional<Base::MonoTime> startedAt;
    };
    struct Fleet
    {
        std::string self; ///< Name of this router.
        std::vector<std::string> others;
        bool isComplete = false; ///< Whether `others` includes all registered routers.

        bool operator==(const Fleet &) const = default;
    };

    explicit WarmupQuota(Options options)
        : m_options(options)
    { }

    void setFleet(Fleet fleet);
    /// Whether this router may send a request to the cold endpoint now. \a sustainableRate is the
    /// rate that the endpoint sustains while cold, in requests per second.
    bool admits(WarmupRecord &record, std::uint64_t endpointHash, double sustainableRate,
                Base::MonoTime now) const;
    void recordSend(WarmupRecord &record, Base::MonoTime now) const;
    /// Sends the endpoint nothing for a window.
    void pause(WarmupRecord &record, Base::MonoTime now) const
    {
        record.pausedUntil = now + m_options.window;
    }

private:
    std::size_t requestsPerWindow(WarmupRecord &record, std::uint64_t endpointHash,
                                  double sustainableRate) const;
    std::size_t routerRank(std::uint64_t endpointHash) const;
    bool isFleetKnown() const
    {
        return m_fleet.isComplete || m_fleet.others.size() >= m_options.assumedFleetSize;
    }

    Options m_options;
    Fleet m_fleet;
    /// Hash of this router's name. All routers use the same hash function, and so agree on the
    /// order of the routers.
    std::uint64_t m_selfHash = 0;
    std::vector<std::uint64_t> m_otherHashes;
    std::uint64_t m_generation = 1;
};

} // namespace Lagoonbank::Gateway
