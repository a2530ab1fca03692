#include "claims/claimtable.h"

#include <utility>

namespace Lagoonbank::Claims {

using Errors::Ran;

void ClaimTable::apply(const Claim &claim, Base::MonoTime now)
{
    evictExpired(now);
    const auto found = m_entries.find(claim.key);
    if (found == m_entries.end())
        return insert(claim, std::nullopt, now);
    const Entry &entry = found->second;
    const bool isReleased = entry.outcome && entry.outcome->ran == Ran::No;
    // A claim that is read after the outcome that released it has no effect.
    if (isReleased && entry.claim.request != claim.request)
        insert(claim, std::nullopt, now);
}

void ClaimTable::apply(const ClaimOutcome &claimOutcome, Base::MonoTime now)
{
    evictExpired(now);
    const auto found = m_entries.find(claimOutcome.claim.key);
    if (found == m_entries.end())
        return insert(claimOutcome.claim, claimOutcome.outcome, now);
    Entry &entry = found->second;
    if (entry.claim.request == claimOutcome.claim.request) {
        if (!entry.outcome || entry.outcome->ran == Ran::Unknown)
            entry.outcome = claimOutcome.outcome;
        return;
    }
    // A request that was granted locally has no claim on the log, but its outcome counts.
    const bool isReleased = entry.outcome && entry.outcome->ran == Ran::No;
    if (isReleased && claimOutcome.outcome.ran != Ran::No)
        insert(claimOutcome.claim, claimOutcome.outcome, now);
}

ClaimStatus ClaimTable::claimStatus(const Claim &claim, Base::MonoTime now,
                                    const IsGone &isGone) const
{
    const Entry *entry = find(claim.key);
    if (entry == nullptr)
        return ClaimStatus::Free;
    const bool isOwn = entry->claim.request == claim.request;
    if (entry->outcome && entry->outcome->ran == Ran::No)
        return isOwn ? ClaimStatus::Unknown : ClaimStatus::Free;
    if (entry->claim.call != claim.call)
        return ClaimStatus::KeyReused;
    if (entry->outcome)
        return entry->outcome->ran == Ran::Yes ? ClaimStatus::Ended : ClaimStatus::Unknown;
    if (isOwn)
        return ClaimStatus::Held;
    const bool isOverdue = now - entry->claimedAt > m_options.maxRunTime;
    return isOverdue || isGone(entry->claim.router) ? ClaimStatus::Unknown : ClaimStatus::Running;
}

const ClaimTable::Entry *ClaimTable::find(const ClaimKey &key) const
{
    const auto found = m_entries.find(key);
    return found == m_entries.end() ? nullptr : &found->second;
}

void ClaimTable::insert(const Claim &claim, std::optional<Outcome> outcome, Base::MonoTime now)
{
    const std::uint64_t sequence = ++m_lastSequence;
    m_order.push_back({claim.key, sequence, now});
    m_entries.insert_or_assign(claim.key, Entry{claim, now, sequence, std::move(outcome)});
    while (m_entries.size() > m_options.capacity || m_order.size() > 2 * m_options.capacity)
        evictOldest();
}

void ClaimTable::evictExpired(Base::MonoTime now)
{
    while (!m_order.empty() && now - m_order.front().claimedAt > m_options.window)
        evictOldest();
}

void ClaimTable::evictOldest()
{
    const EvictionEntry oldest = std::move(m_order.front());
    m_order.pop_front();
    const auto found = m_entries.find(oldest.key);
    if (found != m_entries.end() && found->second.sequence == oldest.sequence)
        m_entries.erase(found);
}

} // namespace Lagoonbank::Claims
