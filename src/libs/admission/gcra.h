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

/// Generic cell rate algorithm: limits a rate and allows a burst. Its only state is a time, the
/// theoretical arrival time. A cost above the burst is accepted if no units are in use; the excess
/// is a debt, which is bounded.
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

    /// Time until \a cost is accepted; zero if it is accepted now, no value if it never is.
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
