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

/// Decides whether an endpoint may take another request. Two rules, both in units of work:
///
/// - relative: without the request, the endpoint's load is below a multiple of its share, by
///   capacity, of the pool's load including the request. With the request, the load exceeds that
///   multiple by at most this one request. As the multiple is at least 1, at least one candidate
///   always meets the rule, even if the average load is zero.
/// - absolute: with the request, the load is at most `maximumLoadFactor` times the capacity; the
///   reserve is subtracted for ordinary priorities. An idle endpoint may take one request of any
///   size.
class LoadBound
{
public:
    struct Options
    {
        /// Multiple of the relative rule for the chat's warm and home endpoints; at least 1.
        double preferredShareMultiple = 1.25;
        /// Multiple of the relative rule for any other endpoint; from 1 to
        /// `preferredShareMultiple`. The difference between the two is capacity reserved for chats
        /// whose warm or home endpoint it is.
        double overflowShareMultiple = 1.1;
        /// Maximum load as a multiple of the capacity; beyond it, requests wait or are refused.
        double maximumLoadFactor = 2.0;
        /// Fraction of the maximum load that only requests of urgent priorities may use.
        double reserve = 0.1;
        std::uint8_t urgentBelow = 1; ///< Priorities below this value may use the reserve.
    };

    /// Clamps multiples that are out of range.
    explicit LoadBound(Options options)
        : m_options(options)
    {
        m_options.preferredShareMultiple = std::max(options.preferredShareMultiple, 1.0);
        m_options.overflowShareMultiple =
            std::clamp(options.overflowShareMultiple, 1.0, m_options.preferredShareMultiple);
    }

    /// Whether the chat's warm or home endpoint may take the request.
    bool admitsPreferred(double load, double capacity, double work, const PoolTotals &totals,
                         std::uint8_t priority) const
    {
        return isWithinRelativeBound(m_options.preferredShareMultiple, load, capacity, work, totals)
            && isWithinAbsoluteBound(load, capacity, work, priority);
    }

    /// Whether any other endpoint may take the request.
    bool admitsOverflow(double load, double capacity, double work, const PoolTotals &totals,
                        std::uint8_t priority) const
    {
        return isWithinRelativeBound(m_options.overflowShareMultiple, load, capacity, work, totals)
            && isWithinAbsoluteBound(load, capacity, work, priority);
    }

    /// Maximum ratio of load to capacity that a request of this priority may cause.
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
