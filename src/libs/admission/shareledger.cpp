#include "admission/shareledger.h"

#include <algorithm>
#include <limits>

namespace Lagoonbank::Admission {

using Base::MonoTime;

namespace {

// Maximum number of pending credits of one cell; a further credit replaces the last one.
constexpr std::size_t maxPendingCredits = 8;

} // namespace

std::int64_t ShareLedger::initialUnits(std::size_t participants, std::size_t participant)
{
    const auto count = static_cast<std::int64_t>(participants);
    const std::int64_t remainder =
        static_cast<std::int64_t>(participant) < totalUnits % count ? 1 : 0;
    return totalUnits / count + remainder;
}

std::int64_t ShareLedger::units(std::size_t participant, MonoTime now) const
{
    std::int64_t units = initialUnits(participant);
    for (const auto &[cell, count] : m_cells) {
        if (cell.first == participant)
            units -= count.latest;
        if (cell.second == participant)
            units += creditedUnits(count, now);
    }
    return std::max<std::int64_t>(0, units);
}

bool ShareLedger::merge(Cell cell, std::uint32_t transferred, MonoTime now)
{
    if (cell.from >= m_participants || cell.to >= m_participants || cell.from == cell.to)
        return false;
    CellState &count = m_cells[{cell.from, cell.to}];
    if (transferred <= count.latest)
        return false;
    raise(count, transferred, now);
    return true;
}

std::int64_t ShareLedger::transferUnits(Cell cell, std::int64_t amount, MonoTime now)
{
    const std::int64_t available = std::min(amount, units(cell.from, now));
    if (available <= 0)
        return 0;
    const auto found = m_cells.find({cell.from, cell.to});
    const std::int64_t before = found == m_cells.end() ? 0 : found->second.latest;
    if (before + available > std::numeric_limits<std::uint32_t>::max())
        return 0;
    return merge(cell, static_cast<std::uint32_t>(before + available), now) ? available : 0;
}

void ShareLedger::raise(CellState &count, std::uint32_t transferred, MonoTime now) const
{
    count.latest = transferred;
    if (m_creditDelay == Base::Duration::zero()) {
        count.credited = transferred;
        return;
    }
    count.credited = creditedUnits(count, now);
    std::erase_if(count.pendingCredits,
                  [&](const PendingCredit &raise) { return raise.effectiveAt <= now; });
    if (count.pendingCredits.size() >= maxPendingCredits)
        count.pendingCredits.pop_back();
    count.pendingCredits.push_back({transferred, now + m_creditDelay});
}

std::uint32_t ShareLedger::creditedUnits(const CellState &count, MonoTime now)
{
    std::uint32_t credited = count.credited;
    for (const PendingCredit &raise : count.pendingCredits) {
        if (raise.effectiveAt <= now)
            credited = std::max(credited, raise.transferred);
    }
    return credited;
}

} // namespace Lagoonbank::Admission
