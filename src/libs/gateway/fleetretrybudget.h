#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>

namespace Lagoonbank::Gateway {

/// One router's part of the retry budget that all routers of a fleet share. In any window, the
/// retries of a service are limited to a ratio of its requests plus a fixed number. The fixed
/// number, the slack, applies to the whole fleet and is divided equally among the routers.
///
/// A process has no slack before it is one window old, as the process that it replaces may have
/// used the router's part just before, and none before it knows how many routers share it.
class FleetRetryBudget
{
public:
    struct Options
    {
        double ratio = 0.1; ///< Retries allowed per request.
        Base::Duration window = std::chrono::seconds(10);
        /// Retries of the whole fleet allowed per window in addition to the ratio.
        double slack = 0;
        /// Part of the budget that this router uses. The rest is a safety margin: routers may count
        /// different numbers of peers, and their windows are not aligned with each other.
        double usedShare = 0.7;
    };

    FleetRetryBudget(Options options, Base::MonoTime startedAt)
        : m_options(options)
        , m_startedAt(startedAt)
    { }

    void setOptions(const Options &options) { m_options = options; }
    /// Sets the number of routers that share the slack, including this one.
    void setRouterCount(int routers) { m_routerCount = routers > 1 ? routers : 1; }

    void requestArrived(const Base::ServiceId &service, Base::MonoTime now);
    /// Takes one retry from the budget; returns false and takes none if none remains.
    bool spend(const Base::ServiceId &service, Base::MonoTime now);
    /// Adds a retry that was taken from the budget but reached no endpoint to the budget again.
    void refund(const Base::ServiceId &service, Base::MonoTime now);
    /// What determines the retries of a service that remain in the current window.
    struct Usage
    {
        std::uint32_t requests = 0; ///< Requests that arrived within the window.
        std::uint32_t retries = 0; ///< Retries taken within the window.
        double slack = 0; ///< This router's part of the slack; 0 while it has none yet.
    };
    Usage usage(const Base::ServiceId &service, Base::MonoTime now);
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
    Usage usageOf(const Counts &counts, Base::MonoTime now) const;
    double remainingOf(const Counts &counts, Base::MonoTime now) const;

    Options m_options;
    Base::MonoTime m_startedAt; ///< When this process started.
    int m_routerCount = 0; ///< 0 while unknown.
    absl::flat_hash_map<Base::ServiceId, Counts> m_services;
};

} // namespace Lagoonbank::Gateway
