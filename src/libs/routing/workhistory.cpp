#include "routing/workhistory.h"

#include <algorithm>

namespace Lagoonbank::Routing {

void WorkHistory::set(double work, Base::MonoTime now)
{
    const std::int64_t slot = std::max(slotOf(now), m_slot);
    const auto count = static_cast<std::int64_t>(slotCount);
    if (m_slot >= 0) {
        const std::int64_t first = std::max(m_slot, slot - count);
        for (std::int64_t passed = first; passed < slot; ++passed)
            m_atEnd[static_cast<std::size_t>(passed % count)] = static_cast<float>(m_current);
    }
    m_slot = slot;
    m_current = std::max(work, 0.0);
}

double WorkHistory::workAt(Base::MonoTime time) const
{
    const std::int64_t slot = slotOf(time);
    const double before = endOf(slot - 1);
    const Base::Duration within = time.time_since_epoch() - slot * slotLength;
    return before + (endOf(slot) - before) * Base::toSeconds(within) / Base::toSeconds(slotLength);
}

double WorkHistory::endOf(std::int64_t slot) const
{
    const auto count = static_cast<std::int64_t>(slotCount);
    if (m_slot < 0 || slot >= m_slot)
        return m_current;
    const std::int64_t kept = std::max({slot, m_slot - count, std::int64_t{0}});
    return m_atEnd[static_cast<std::size_t>(kept % count)];
}

void WorkHistory::clear()
{
    *this = {};
}

} // namespace Lagoonbank::Routing
