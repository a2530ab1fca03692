#pragma once

#include "base/units.h"

namespace Lagoonbank::Retry {

struct RetryBudgetOptions
{
    double ratio = 0.1; ///< Retries for each success.
    double perSecond = 0.5; ///< Retries a second without any success.
    double capacity = 20; ///< Most retries that can be saved up.
};

/// Limits retries to a part of the successes: each success adds `ratio` of a retry, and a small
/// steady rate lets a quiet workspace or endpoint still have one. One per workspace and one per
/// endpoint (of the one that the retry would go to).
class RetryBudget
{
public:
    using Options = RetryBudgetOptions;

    /// Starts whole.
    RetryBudget(Options options, Base::MonoTime now)
        : m_options(options)
        , m_balance(options.capacity)
        , m_last(now)
    { }

    void noteSuccess(Base::MonoTime now);
    bool available(Base::MonoTime now) const { return balance(now) >= 1; }
    /// Takes one retry out; false and nothing taken where none is left.
    bool spend(Base::MonoTime now);
    double balance(Base::MonoTime now) const;

private:
    Options m_options;
    double m_balance;
    Base::MonoTime m_last;
};

} // namespace Lagoonbank::Retry
