#pragma once

#include "base/units.h"

#include <optional>

namespace Lagoonbank::Admission {

struct GcraOptions
{
    double rate = 0; ///< Units a second.
    double burst = 1; ///< Units that may pass at once.
    double debt = 0; ///< Units that one charge may go beyond the burst.
};

/// Generic cell rate algorithm: a rate with a burst, kept as one time (the theoretical arrival
/// time). A cost above the burst may pass into a bounded debt, and only when the burst is whole.
class Gcra
{
public:
    using Options = GcraOptions;

    explicit Gcra(Options options = {})
        : m_options(options)
    { }

    const Options &options() const { return m_options; }
    /// Takes other figures over; the units in use now stay in use.
    void setOptions(Options options, Base::MonoTime now);

    /// Time to wait until the cost passes: zero means now, nothing means never.
    std::optional<Base::Duration> waitFor(double cost, Base::MonoTime now) const;
    /// Charges the cost whether or not it passes; negative gives back. Never beyond burst + debt.
    void charge(double cost, Base::MonoTime now);
    /// Units in use now, from 0 to burst + debt.
    double used(Base::MonoTime now) const;

private:
    Options m_options;
    Base::MonoTime m_arrival{};
};

} // namespace Lagoonbank::Admission
