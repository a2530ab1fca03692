#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>

namespace Lagoonbank::Gateway {

/// One router's part of the budget that all routers of a fleet share for sending a request once
/// more. In any window a service may get so many repeats: a ratio of its requests, plus a slack
/// for the whole fleet of which each router takes an equal share.
class FleetRetryBudget
{
public:
    struct Options
    {
        double ratio = 0.1; ///< Repeats for each request.
        Base::Duration window = std::chrono::seconds(10);
        double slack = 0; ///< Repeats in a window beyond the ratio, for the whole fleet.
        /// Part of the budget that is used. The rest covers routers that count their peers
        /// differently and windows that lie across ours.
        double usedShare = 0.7;
    };

    explicit FleetRetryBudget(Options options)
        : m_options(options)
    { }

    void setOptions(const Options &options) { m_options = options; }
    /// Routers that share the slack, this one included.
    void setRouterCount(int routers) { m_routers = routers > 1 ? routers : 1; }

    void requestArrived(const Base::ServiceId &service, Base::MonoTime now);
    /// Takes one repeat out; false and nothing taken where none is left.
    bool spend(const Base::ServiceId &service, Base::MonoTime now);
    /// A repeat that was taken out has reached no endpoint.
    void refund(const Base::ServiceId &service, Base::MonoTime now);
    /// Repeats that are left now.
    double remaining(const Base::ServiceId &service, Base::MonoTime now);

private:
    /// The window is counted in slices, so that it slides in small steps.
    static constexpr std::size_t sliceCount = 20;
    struct Counts
    {
        std::array<std::uint32_t, sliceCount> requests{};
        std::array<std::uint32_t, sliceCount> retries{};
        std::int64_t slice = 0; ///< Number of the newest one, since the clock's beginning.
    };

    Counts &countsAt(const Base::ServiceId &service, Base::MonoTime now);
    double remainingOf(const Counts &counts) const;

    Options m_options;
    int m_routers = 1;
    absl::flat_hash_map<Base::ServiceId, Counts> m_services;
};

} // namespace Lagoonbank::Gateway
