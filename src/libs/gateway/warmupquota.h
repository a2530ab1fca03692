#pragma once

#include "base/units.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Lagoonbank::Gateway {

/// What a router knows of one endpoint's warm-up.
struct WarmupRecord
{
    std::optional<Base::MonoTime> since; ///< When it was found to be cold last.
    std::vector<Base::MonoTime> sends; ///< Of this router, within a window.
    /// Routers that go before this one at the endpoint, as of this generation of the fleet.
    std::size_t routerRank = 0;
    std::uint64_t generation = 0;
};

/// Divides what a cold endpoint bears among the routers of the fleet without a word between them:
/// each endpoint has its own order of the routers, and so many of the first ones as it bears
/// requests in a second send it one each, or all of them several where they are few. Where routers
/// know different fleets, those that know of fewer send too much; an endpoint bears that.
///
/// A part of the rate for each router, rounded up, would come to a request a second from each of
/// hundreds, and news of what others have sent would come too late.
class WarmupQuota
{
public:
    struct Options
    {
        /// In which the requests of one router are counted: a second, and what they may be held up.
        Base::Duration window = std::chrono::milliseconds(1050);
        /// Routers that a fleet is taken to have while it is not known: as many as the largest.
        std::size_t assumedFleetSize = 330;
    };
    struct Fleet
    {
        std::string self; ///< This router's name.
        std::vector<std::string> others;
        bool isComplete = false; ///< All that were registered are among them.

        bool operator==(const Fleet &) const = default;
    };

    explicit WarmupQuota(Options options)
        : m_options(options)
    { }

    void setFleet(Fleet fleet);
    /// Whether this router may send a request to the cold endpoint now; \a bearable requests a
    /// second are what that can do.
    bool admits(WarmupRecord &record, std::uint64_t endpointHash, double sustainableRate,
                Base::MonoTime now) const;
    void recordSend(WarmupRecord &record, Base::MonoTime now) const;

private:
    std::size_t share(WarmupRecord &record, std::uint64_t endpointHash,
                      double sustainableRate) const;
    std::size_t routerRank(std::uint64_t endpointHash) const;
    bool isFleetKnown() const
    {
        return m_fleet.isComplete || m_fleet.others.size() >= m_options.assumedFleetSize;
    }

    Options m_options;
    Fleet m_fleet;
    std::uint64_t m_self = 0; ///< Hash of its name, the same at every router.
    std::vector<std::uint64_t> m_others;
    std::uint64_t m_generation = 1;
};

} // namespace Lagoonbank::Gateway
