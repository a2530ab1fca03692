#pragma once

#include "base/units.h"

#include <array>
#include <cstdint>

namespace Lagoonbank::Routing {

/// Time series of an amount of work over about the last two seconds, in slots of fixed length. It
/// gives the change since a load report was sampled.
class WorkHistory
{
public:
    static constexpr Base::Duration slotLength = std::chrono::milliseconds(100);
    static constexpr std::size_t slotCount = 24;

    double current() const { return m_current; }
    void set(double work, Base::MonoTime now);
    void add(double work, Base::MonoTime now) { set(m_current + work, now); }
    /// The amount at `time`, interpolated within its slot; for times before the oldest slot, the
    /// amount at the end of that slot.
    double workAt(Base::MonoTime time) const;
    /// Resets the amount to zero and discards its history.
    void clear();

private:
    static std::int64_t slotOf(Base::MonoTime time) { return time.time_since_epoch() / slotLength; }
    double endOf(std::int64_t slot) const;

    double m_current = 0.0;
    std::int64_t m_slot = -1; ///< Slot of the last change; -1 before the first change.
    std::array<float, slotCount> m_atEnd{}; ///< Amount at the end of each past slot.
};

} // namespace Lagoonbank::Routing
