#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>

namespace Lagoonbank::Gateway {

/// One router's part of the retry budget that all routers of a fleet share. In any window, a
/// service may have as many retries as a ratio of its requests, plus a slack for the whole fleet
/// that is divided equally among the routers.
class FleetRetryBudget
{
public:
    struct Options
    {
        double ratio = 0.1; ///< Retries for each request.
        Base::Duration window = std::chrono::seconds(10);
        double slack = 0; ///< Retries in a window beyond the ratio, for the whole fleet.
        /// Part of the budget that is used. The rest covers differences between the routers' counts
        /// of their peers, and windows that are not aligned with this router's.
        double usedShare = 0.7;
    };

    explicit FleetRetryBudget(Options options)
        : m_options(options)
    { }

    void setOptions(const Options &options) { m_options = options; }
    /// Sets the number of routers that share the slack, including this one.
    void setRouterCount(int routers) { m_routers = routers > 1 ? routers : 1; }

    void requestArrived(const Base::ServiceId &service, Base::MonoTime now);
    /// Withdraws one retry; returns false without withdrawing if none remains.
    bool spend(const Base::ServiceId &service, Base::MonoTime now);
    /// Returns a withdrawn retry that reached no endpoint to the budget.
    void refund(const Base::ServiceId &service, Base::MonoTime now);
    /// Retries that remain in the current window.
    double remaining(const Base::ServiceId &service, Base::MonoTime now);

private:
    /// Number of slices in which the window is counted, so that it slides in small steps.
    static constexpr std::size_t sliceCount = 20;
    struct Counts
    {
        std::array<std::uint32_t, sliceCount> requests{};
        std::array<std::uint32_t, sliceCount> retries{};
        std::int64_t slice = 0; ///< Number of the newest slice, counted from the clock's epoch.
    };

    Counts &countsAt(const Base::ServiceId &service, Base::MonoTime now);
    double remainingOf(const Counts &counts) const;

    Options m_options;
    int m_routers = 1;
    absl::flat_hash_map<Base::ServiceId, Counts> m_services;
};

} // namespace Lagoonbank::Gateway
