#include "admission/shareledger.h"

#include <algorithm>
#include <limits>

namespace Lagoonbank::Admission {

using Base::MonoTime;

namespace {

// Raises of one cell that wait apart; a later one joins the last.
constexpr std::size_t mostRaises = 8;

} // namespace

std::int64_t ShareLedger::base(std::size_t participants, std::size_t participant)
{
    const auto count = static_cast<std::int64_t>(participants);
    const std::int64_t extra = static_cast<std::int64_t>(participant) < whole % count ? 1 : 0;
    return whole / count + extra;
}

std::int64_t ShareLedger::units(std::size_t participant, MonoTime now) const
{
    std::int64_t units = base(participant);
    for (const auto &[cell, count] : m_cells) {
        if (cell.first == participant)
            units -= count.latest;
        if (cell.second == participant)
            units += countedAt(count, now);
    }
    return std::max<std::int64_t>(0, units);
}

bool ShareLedger::merge(Cell cell, std::uint32_t transferred, MonoTime now)
{
    if (cell.from >= m_participants || cell.to >= m_participants || cell.from == cell.to)
        return false;
    Count &count = m_cells[{cell.from, cell.to}];
    if (transferred <= count.latest)
        return false;
    raise(count, transferred, now);
    return true;
}

std::int64_t ShareLedger::transferUnits(Cell cell, std::int64_t amount, MonoTime now)
{
    const std::int64_t most = std::min(amount, units(cell.from, now));
    if (most <= 0)
        return 0;
    const auto found = m_cells.find({cell.from, cell.to});
    const std::int64_t before = found == m_cells.end() ? 0 : found->second.latest;
    if (before + most > std::numeric_limits<std::uint32_t>::max())
        return 0;
    return merge(cell, static_cast<std::uint32_t>(before + most), now) ? most : 0;
}

void ShareLedger::raise(Count &count, std::uint32_t transferred, MonoTime now) const
{
    count.latest = transferred;
    if (m_raiseDelay == Base::Duration::zero()) {
        count.counted = transferred;
        return;
    }
    count.counted = countedAt(count, now);
    std::erase_if(count.raises, [&](const Raise &raise) { return raise.countsAt <= now; });
    if (count.raises.size() >= mostRaises)
        count.raises.pop_back();
    count.raises.push_back({transferred, now + m_raiseDelay});
}

std::uint32_t ShareLedger::countedAt(const Count &count, MonoTime now)
{
    std::uint32_t counted = count.counted;
    for (const Raise &raise : count.raises) {
        if (raise.countsAt <= now)
            counted = std::max(counted, raise.transferred);
    }
    return counted;
}

} // namespace Lagoonbank::Admission
