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

double WorkHistory::at(Base::MonoTime time) const
{
    // The end of the slot before the one of `time`, so that work sent in the same slot counts as
    // sent after the sample: the estimate errs on the high side.
    const std::int64_t slot = slotOf(time) - 1;
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
