#pragma once

#include "base/units.h"

#include <optional>

namespace Lagoonbank::Admission {

struct GcraOptions
{
    double rate = 0; ///< Units per second.
    double burst = 1; ///< Units that may be used at once.
    double debt = 0; ///< Units by which one charge may exceed the burst.
};

/// Generic cell rate algorithm: limits a rate with a burst, with a single time (the theoretical
/// arrival time) as its state. A cost above the burst is accepted into a bounded debt, but only
/// when nothing of the burst is in use.
class Gcra
{
public:
    using Options = GcraOptions;

    explicit Gcra(Options options = {})
        : m_options(options)
    { }

    const Options &options() const { return m_options; }
    /// Replaces the options; the units in use are kept.
    void setOptions(Options options, Base::MonoTime now);

    /// Time until \a cost is accepted: zero means now, no value means never.
    std::optional<Base::Duration> waitFor(double cost, Base::MonoTime now) const;
    /// Charges \a cost without checking whether it is accepted; a negative cost is a refund. The
    /// units in use are clamped to burst + debt.
    void charge(double cost, Base::MonoTime now);
    /// Units in use at \a now, from 0 to burst + debt.
    double unitsInUse(Base::MonoTime now) const;

private:
    Options m_options;
    Base::MonoTime m_theoreticalArrival{};
};

} // namespace Lagoonbank::Admission
