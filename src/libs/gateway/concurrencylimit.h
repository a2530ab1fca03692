#pragma once

#include "base/units.h"
#include "gateway/endpointprotocol.h"

namespace Lagoonbank::Gateway {

/// Adaptive limit (AIMD) of the requests that this router has in flight at the endpoints of one
/// service. Answers of endpoints with free slots raise the limit: by one after as many answers as
/// the limit allows requests in flight (additive increase), or by one for each answer while the
/// endpoints are far from full. Requests that queue at an endpoint or are rejected by it lower the
/// limit by a factor (multiplicative decrease).
///
/// In a fleet of many routers no router can rely on load reports alone: it receives reports of each
/// endpoint so seldom that all routers see free slots where there are none.
///
/// The class reads no clock; time is an argument.
class ConcurrencyLimit
{
public:
    struct Options
    {
        /// Minimum number of routers for which the limit is enforced. With fewer, each router
        /// receives reports of every endpoint often enough; see
        /// Placement::Options::largeFleetRouters.
        double minRouters = 10;
        /// Requests queued at an endpoint, relative to its slots, above which the endpoint counts
        /// as short of slots.
        double maxWaitingShare = 0.1;
        double decreaseFactor = 0.7;
        /// Minimum time between two decreases: reports that follow a decrease still reflect the
        /// requests sent before it.
        Base::Duration decreaseInterval = std::chrono::milliseconds(300);
        /// Added to the limit after as many answers as the limit allows requests in flight.
        double raise = 1;
        /// Minimum of the limit, relative to the router's fair share of all slots.
        double minShare = 0.5;
        /// Maximum of the limit, relative to the router's fair share of all slots. It bounds
        /// the limit so that it falls quickly to a suitable value when load rises. While endpoints
        /// are far from full, the limit may rise to all slots, as callers may connect to few of
        /// the routers.
        double maxShare = 4;
        /// Requests at an endpoint, relative to its slots, below which it is far from full.
        double lowLoad = 0.5;
    };

    explicit ConcurrencyLimit(const Options &options)
        : m_options(options)
    { }

    /// Sets the slots of all endpoints in service and the number of routers that share them.
    void setCapacity(double slots, double routers);
    /// Handles a load report that came with an endpoint's answer.
    void loadReported(const LoadReport &report, double inFlight, Base::MonoTime now);
    /// Handles the rejection of a request by an endpoint that was full.
    void rejected(Base::MonoTime now) { decrease(now); }
    /// Whether one more request may be sent. \a usableShare is the share of the limit that the
    /// request may use; see LoadShedder::usableShare().
    bool admits(double inFlight, double usableShare) const;
    double value() const { return m_limit; }

private:
    void decrease(Base::MonoTime now);
    void clamp();

    Options m_options;
    double m_slots = 0; ///< Slots of all endpoints in service.
    double m_fairShare = 0; ///< Slots divided by routers.
    double m_limit = 0; ///< 0 until the slots are known.
    bool m_isEnforced = false;
    Base::MonoTime m_decreasedAt{};
};

} // namespace Lagoonbank::Gateway
