#pragma once

#include <cstdint>

namespace Lagoonbank::Routing {

/// Load and capacity summed over the candidates of a pool.
struct PoolTotals
{
    double load = 0.0;
    double capacity = 0.0;
};

/// Whether an endpoint may take more work. Two rules, both in units of work:
///
/// - relative: before the request, the endpoint's load is under `multiple` times its share of the
///   pool's load with the request counted in. After it, the endpoint is over that share by at
///   most this one request. With multiple >= 1 some candidate always meets the rule, also when
///   the mean is zero.
/// - absolute: with the request, the load stays within `fullAt` times the capacity, less the
///   reserve for ordinary priorities. An idle endpoint may take one request of any size.
class LoadBound
{
public:
    struct Options
    {
        double multiple = 1.25; ///< c; at least 1.
        double fullAt = 2.0; ///< Times the capacity; beyond it requests wait or are refused.
        double reserve = 0.1; ///< Last part of the absolute bound, for urgent priorities only.
        std::uint8_t urgentBelow = 1; ///< Priorities under this one may use the reserve.
    };

    explicit LoadBound(Options options)
        : m_options(options)
    { }

    bool admitsRelative(double load, double capacity, double work, const PoolTotals &totals) const
    {
        return load * totals.capacity < m_options.multiple * (totals.load + work) * capacity;
    }

    bool admitsAbsolute(double load, double capacity, double work, std::uint8_t priority) const
    {
        if (load <= 0.0)
            return true;
        return load + work <= capacity * fullAt(priority);
    }

    bool admits(double load, double capacity, double work, const PoolTotals &totals,
                std::uint8_t priority) const
    {
        return admitsRelative(load, capacity, work, totals)
            && admitsAbsolute(load, capacity, work, priority);
    }

    /// Highest load per capacity that a request of this priority may bring about.
    double fullAt(std::uint8_t priority) const
    {
        if (priority < m_options.urgentBelow)
            return m_options.fullAt;
        return m_options.fullAt * (1.0 - m_options.reserve);
    }

    const Options &options() const { return m_options; }

private:
    Options m_options;
};

} // namespace Lagoonbank::Routing
