#pragma once

#include "base/units.h"
#include "capacity/prefillrate.h"
#include "capacity/urgency.h"

#include <map>
#include <optional>
#include <utility>

namespace Lagoonbank::Capacity {

/// The kinds of request of one service that arrived in the last seconds. A kind is an urgency
/// together with a target for the first event.
class RecentKinds
{
public:
    struct Options
    {
        /// Time since the last arrival after which a kind is removed.
        Base::Duration lifetime = std::chrono::seconds(5);
        /// Weight of a new arrival in the mean length.
        double weight = 0.05;
        /// Share of the target that is kept free for errors in the forecast.
        double margin = 0.25;
        /// Maximum number of kinds. Services have fewer than ten.
        std::size_t maxKinds = 32;
    };

    RecentKinds() = default;
    explicit RecentKinds(const Options &options)
        : m_options(options)
    { }

    /// \a uncached is the number of prompt tokens that the request's home has not cached.
    void requestArrived(const Urgency &urgency, Base::Duration target, Base::Tokens uncached,
                        Base::MonoTime now);
    /// Longest wait time at an endpoint with which all kinds that are more urgent than \a urgency
    /// are in time; empty if there are none. Kinds that are late even without a wait have no
    /// effect.
    std::optional<Base::Duration> longestWait(const Urgency &urgency, const PrefillRate &rate,
                                              double slowdown, Base::MonoTime now) const;
    /// Part of a target that may be used for the wait and the prefill.
    Base::Duration usableTime(Base::Duration target) const;

private:
    using Kind = std::pair<Urgency, Base::Duration>;
    struct Arrivals
    {
        double meanTokens = 0;
        Base::MonoTime lastAt;
    };

    void removeOld(Base::MonoTime now);

    Options m_options;
    std::map<Kind, Arrivals> m_kinds;
};

} // namespace Lagoonbank::Capacity
