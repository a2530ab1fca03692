#include "admission/shareledger.h"

#include <algorithm>
#include <limits>

namespace Lagoonbank::Admission {

using Base::MonoTime;

namespace {

// Maximum number of pending credits per sender and receiver; a further credit replaces the last
// one.
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
    for (const auto &[direction, total] : m_totals) {
        if (direction.first == participant)
            units -= total.latest;
        if (direction.second == participant)
            units += creditedUnits(total, now);
    }
    return std::max<std::int64_t>(0, units);
}

bool ShareLedger::merge(Direction direction, std::uint32_t transferred, MonoTime now)
{
    if (direction.from >= m_participants || direction.to >= m_participants
        || direction.from == direction.to)
        return false;
    Total &total = m_totals[{direction.from, direction.to}];
    if (transferred <= total.latest)
        return false;
    raise(total, transferred, now);
    return true;
}

std::int64_t ShareLedger::transferUnits(Direction direction, std::int64_t amount, MonoTime now)
{
    const std::int64_t available = std::min(amount, units(direction.from, now));
    if (available <= 0)
        return 0;
    const auto found = m_totals.find({direction.from, direction.to});
    const std::int64_t before = found == m_totals.end() ? 0 : found->second.latest;
    if (before + available > std::numeric_limits<std::uint32_t>::max())
        return 0;
    return merge(direction, static_cast<std::uint32_t>(before + available), now) ? available : 0;
}

void ShareLedger::raise(Total &total, std::uint32_t transferred, MonoTime now) const
{
    total.latest = transferred;
    if (m_creditDelay == Base::Duration::zero()) {
        total.credited = transferred;
        return;
    }
    total.credited = creditedUnits(total, now);
    std::erase_if(total.pendingCredits,
                  [&](const PendingCredit &raise) { return raise.effectiveAt <= now; });
    if (total.pendingCredits.size() >= maxPendingCredits)
        total.pendingCredits.pop_back();
    total.pendingCredits.push_back({transferred, now + m_creditDelay});
}

std::uint32_t ShareLedger::creditedUnits(const Total &total, MonoTime now)
{
    std::uint32_t credited = total.credited;
    for (const PendingCredit &raise : total.pendingCredits) {
        if (raise.effectiveAt <= now)
            credited = std::max(credited, raise.transferred);
    }
    return credited;
}

} // namespace Lagoonbank::Admission
