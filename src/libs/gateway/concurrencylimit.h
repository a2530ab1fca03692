#pragma once

#include "base/units.h"
#include "gateway/endpointprotocol.h"

namespace Lagoonbank::Gateway {

/// How many requests this router may have at the endpoints of one service, found out from what they
/// answer: one more for each limit's worth of answers from endpoints that have places (additive
/// increase), and a part of it less when requests wait there or are rejected (multiplicative
/// decrease). Among many routers none knows how much work endpoints have: each hears of one so
/// seldom that all see places where there are none.
///
/// Pure: time is an argument.
class ConcurrencyLimit
{
public:
    struct Options
    {
        /// With fewer routers each hears of every endpoint's load soon enough; see Placement.
        double minRouters = 10;
        /// Requests that wait at an endpoint for it to be short of places, as a part of those.
        double maxWaitingShare = 0.1;
        double decreaseFactor = 0.7; ///< What is left of the limit then.
        /// Between two cuts: what was sent before the last one still shows its load.
        Base::Duration decreaseInterval = std::chrono::milliseconds(300);
        double raise = 1; ///< For each limit's worth of answers.
        /// Never less than this part of the router's even part of all places.
        double minShare = 0.5;
        /// Nor more than so many times that, so that it is cut soon when load comes.
        double maxShare = 4;
    };

    explicit ConcurrencyLimit(const Options &options)
        : m_options(options)
    { }

    /// Places of all endpoints in service, and routers that share them.
    void setCapacity(double places, double routers);
    /// An endpoint has told its load with an answer.
    void loadReported(const LoadReport &report, double inFlight, Base::MonoTime now);
    /// An endpoint has rejected a request as it was full.
    void rejected(Base::MonoTime now) { decrease(now); }
    /// Whether one request more may be sent; \a usableShare as for an endpoint's places.
    bool admits(double inFlight, double usableShare) const;
    double value() const { return m_limit; }

private:
    void decrease(Base::MonoTime now);
    void clamp();

    Options m_options;
    double m_fairShare = 0;
    double m_limit = 0; ///< 0 until the places are known.
    bool m_isEnforced = false;
    Base::MonoTime m_decreasedAt{};
};

} // namespace Lagoonbank::Gateway
