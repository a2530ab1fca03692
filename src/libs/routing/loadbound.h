#pragma once

#include <algorithm>
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
/// - relative: before the request, the endpoint's load is under a multiple of its share of the
///   pool's load with the request counted in. After it, the endpoint is over that multiple by at
///   most this one request. As the multiple is at least 1, some candidate always meets the rule,
///   also when the mean is zero.
/// - absolute: with the request, the load stays within `maximumLoadFactor` times the capacity, less
/// the
///   reserve for ordinary priorities. An idle endpoint may take one request of any size.
class LoadBound
{
public:
    struct Options
    {
        /// c: for the chat's warm endpoint and for its home; at least 1.
        double multiple = 1.25;
        /// For any other endpoint; from 1 to `multiple`. What lies between the two is room for
        /// the chats that live there.
        double overflowMultiple = 1.1;
        double maximumLoadFactor =
            2.0; ///< Times the capacity; beyond it requests wait or are refused.
        double reserve = 0.1; ///< Last part of the absolute bound, for urgent priorities only.
        std::uint8_t urgentBelow = 1; ///< Priorities under this one may use the reserve.
    };

    /// Sets multiples that are out of range to the nearest that is in it.
    explicit LoadBound(Options options)
        : m_options(options)
    {
        m_options.multiple = std::max(options.multiple, 1.0);
        m_options.overflowMultiple = std::clamp(options.overflowMultiple, 1.0, m_options.multiple);
    }

    /// For the chat's warm endpoint or its home.
    bool admitsPreferred(double load, double capacity, double work, const PoolTotals &totals,
                         std::uint8_t priority) const
    {
        return isWithinRelativeBound(m_options.multiple, load, capacity, work, totals)
            && isWithinAbsoluteBound(load, capacity, work, priority);
    }

    /// For any other endpoint.
    bool admitsOverflow(double load, double capacity, double work, const PoolTotals &totals,
                        std::uint8_t priority) const
    {
        return isWithinRelativeBound(m_options.overflowMultiple, load, capacity, work, totals)
            && isWithinAbsoluteBound(load, capacity, work, priority);
    }

    /// Highest load per capacity that a request of this priority may bring about.
    double maximumLoadFactor(std::uint8_t priority) const
    {
        if (priority < m_options.urgentBelow)
            return m_options.maximumLoadFactor;
        return m_options.maximumLoadFactor * (1.0 - m_options.reserve);
    }

    const Options &options() const { return m_options; }

private:
    static bool isWithinRelativeBound(double multiple, double load, double capacity, double work,
                                      const PoolTotals &totals)
    {
        return load * totals.capacity < multiple * (totals.load + work) * capacity;
    }

    bool isWithinAbsoluteBound(double load, double capacity, double work,
                               std::uint8_t priority) const
    {
        return load <= 0.0 || load + work <= capacity * maximumLoadFactor(priority);
    }

    Options m_options;
};

} // namespace Lagoonbank::Routing
