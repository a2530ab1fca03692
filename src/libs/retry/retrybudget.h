#pragma once

#include "base/units.h"

namespace Lagoonbank::Retry {

struct RetryBudgetOptions
{
    double retriesPerSuccess = 0.1; ///< Retries added for each successful attempt.
    double retriesPerSecond = 0.5; ///< Retries added per second, regardless of successes.
    double capacity = 20; ///< Maximum balance.
};

/// Token bucket that limits retries to a fraction of the successes: each success adds
/// `retriesPerSuccess`, and `retriesPerSecond` gives a workspace or endpoint with little traffic
/// some as well.
/// Each workspace and each endpoint has a budget. A retry is taken from the budget of its workspace
/// and from the budget of the endpoint that it is sent to; both must have one left.
class RetryBudget
{
public:
    using Options = RetryBudgetOptions;

    /// Starts with a full balance.
    RetryBudget(Options options, Base::MonoTime now)
        : m_options(options)
        , m_balance(options.capacity)
        , m_balanceAt(now)
    { }

    void noteSuccess(Base::MonoTime now);
    bool available(Base::MonoTime now) const { return balance(now) >= 1; }
    /// Takes one retry from the balance; returns false if less than one is left.
    bool spend(Base::MonoTime now);
    /// Number of retries available now; may be fractional.
    double balance(Base::MonoTime now) const;

private:
    Options m_options;
    double m_balance;
    Base::MonoTime m_balanceAt;
};

} // namespace Lagoonbank::Retry
