#include "claims/claimer.h"

#include "claims/claimrecord.h"

#include <utility>
#include <variant>

namespace Lagoonbank::Claims {

using Errors::ErrorKind;
using PlatformClient::AppendState;

ErrorKind errorKind(Verdict verdict)
{
    switch (verdict) {
    case Verdict::Running:
        return ErrorKind::DuplicateRunning;
    case Verdict::Unknown:
        return ErrorKind::DuplicateUnknown;
    case Verdict::KeyReused:
        return ErrorKind::BadRequest;
    case Verdict::Unavailable:
        return ErrorKind::ClaimUnavailable;
    case Verdict::Granted:
    case Verdict::GrantedLocally:
    case Verdict::Ended:
        break;
    }
    return ErrorKind::Internal;
}

Claimer::Claimer(const Options &options)
    : m_options(options)
    , m_table(options.table)
    , m_backoff(options.backoff)
{ }

Claimer::~Claimer()
{
    for (const auto &[id, pending] : m_pending)
        m_options.timers->cancel(pending.deadline);
    for (const auto &[id, unrecorded] : m_unrecorded)
        m_options.timers->cancel(unrecorded.retry);
}

void Claimer::recordReceived(const PlatformClient::StoredRecord &record)
{
    const auto parsed = parseRecord(record.data);
    if (!parsed) {
        ++m_skippedRecords;
        return;
    }
    if (const auto *claimOutcome = std::get_if<ClaimOutcome>(&parsed.value())) {
        m_table.apply(*claimOutcome, now());
        return decideWaiting(claimOutcome->claim.key);
    }
    const Claim &claim = std::get<Claim>(parsed.value());
    m_table.apply(claim, now());
    const auto waiting = m_pendingByKey.find(claim.key);
    if (waiting == m_pendingByKey.end())
        return;
    for (const PendingId id : waiting->second) {
        Pending &pending = m_pending.at(id);
        pending.isRead = pending.isRead || pending.claim.request == claim.request;
    }
    decideWaiting(claim.key);
}

Claimer::PendingId Claimer::claim(const Claim &claim, LogOutPolicy policy, Base::Duration timeout,
                                  DecisionCallback decided)
{
    const PendingId id{++m_lastId};
    Pending &pending = m_pending[id];
    pending = {.claim = claim, .policy = policy, .decided = std::move(decided)};
    m_pendingByKey[claim.key].push_back(id);
    pending.deadline = m_options.timers->start({}, [this, id, timeout] {
        m_pending.at(id).deadline = m_options.timers->start(timeout, [this, id] { expire(id); });
        startClaim(id);
    });
    return id;
}

void Claimer::cancel(PendingId pending)
{
    if (m_pending.contains(pending))
        abandon(removePending(pending));
}

void Claimer::finish(const Claim &claim, Outcome outcome)
{
    const ClaimOutcome claimOutcome{claim, std::move(outcome)};
    m_table.apply(claimOutcome, now());
    decideWaiting(claim.key);
    if (m_unrecorded.size() >= m_options.maxUnrecordedOutcomes) {
        ++m_droppedOutcomes;
        return;
    }
    const std::uint64_t id = ++m_lastId;
    m_unrecorded[id].record = toRecord(claimOutcome);
    appendOutcome(id);
}

void Claimer::startClaim(PendingId id)
{
    if (decideFromTable(id))
        return;
    // Another request holds the key; its outcome may arrive before the deadline.
    if (claimStatus(m_pending.at(id).claim) != ClaimStatus::Free)
        return;
    if (!m_isLogUsable)
        return decideWithoutLog(id);
    if (m_table.isFull() || m_pending.size() > m_options.maxPendingClaims)
        return decide(id, {.verdict = Verdict::Unavailable});
    appendClaim(id);
}

void Claimer::appendClaim(PendingId id)
{
    Pending &pending = m_pending.at(id);
    pending.isSent = m_options.append(
        toRecord(pending.claim),
        [this, id](const PlatformClient::AppendOutcome &outcome) { appended(id, outcome.state); });
    if (!pending.isSent)
        decide(id, {.verdict = Verdict::Unavailable});
}

void Claimer::appended(PendingId id, AppendState state)
{
    // An appended claim is decided when it is read back from the log. If it is unknown whether the
    // claim was appended, it may still appear there.
    if (state != AppendState::NotAppended || !m_pending.contains(id))
        return;
    m_pending.at(id).isSent = false;
    if (claimStatus(m_pending.at(id).claim) == ClaimStatus::Free)
        decideWithoutLog(id);
}

void Claimer::decideWithoutLog(PendingId id)
{
    const Pending &pending = m_pending.at(id);
    if (pending.policy == LogOutPolicy::Refuse || m_table.isFull())
        return decide(id, {.verdict = Verdict::Unavailable});
    m_table.apply(pending.claim, now());
    decide(id, {.verdict = Verdict::GrantedLocally});
}

void Claimer::expire(PendingId id)
{
    if (decideFromTable(id))
        return;
    const Pending &pending = m_pending.at(id);
    if (claimStatus(pending.claim) == ClaimStatus::Free)
        return decide(id, {.verdict = Verdict::Unavailable});
    decide(id,
           {.verdict = Verdict::Running, .holder = m_table.find(pending.claim.key)->claim.request});
}

/// Decides the request if the table allows a final decision; returns whether it did.
bool Claimer::decideFromTable(PendingId id)
{
    const Claim &claim = m_pending.at(id).claim;
    const ClaimTable::Entry *entry = m_table.find(claim.key);
    Decision decision;
    switch (claimStatus(claim)) {
    case ClaimStatus::Free:
    case ClaimStatus::Running:
        return false;
    case ClaimStatus::Held:
        decision.verdict = Verdict::Granted;
        break;
    case ClaimStatus::Ended:
        decision.verdict = Verdict::Ended;
        decision.outcome = *entry->outcome;
        break;
    case ClaimStatus::Unknown:
        decision.verdict = Verdict::Unknown;
        break;
    case ClaimStatus::KeyReused:
        decision.verdict = Verdict::KeyReused;
        break;
    }
    decision.holder = entry->claim.request;
    decide(id, decision);
    return true;
}

void Claimer::decideWaiting(const ClaimKey &key)
{
    const auto waiting = m_pendingByKey.find(key);
    if (waiting == m_pendingByKey.end())
        return;
    const std::vector<PendingId> ids = waiting->second;
    for (const PendingId id : ids) {
        const auto found = m_pending.find(id);
        if (found == m_pending.end() || decideFromTable(id))
            continue;
        if (claimStatus(found->second.claim) == ClaimStatus::Free)
            holderReleased(id);
    }
}

/// Continues a waiting request after the holder of its key has ended without running.
void Claimer::holderReleased(PendingId id)
{
    const Pending &pending = m_pending.at(id);
    if (pending.isRead)
        return decide(id, {.verdict = Verdict::Running});
    if (!pending.isSent)
        startClaim(id);
}

void Claimer::decide(PendingId id, const Decision &decision)
{
    const Pending pending = removePending(id);
    if (decision.verdict != Verdict::Granted)
        abandon(pending);
    pending.decided(decision);
}

Claimer::Pending Claimer::removePending(PendingId id)
{
    const auto found = m_pending.find(id);
    Pending pending = std::move(found->second);
    m_pending.erase(found);
    m_options.timers->cancel(pending.deadline);
    const auto waiting = m_pendingByKey.find(pending.claim.key);
    std::erase(waiting->second, id);
    if (waiting->second.empty())
        m_pendingByKey.erase(waiting);
    return pending;
}

/// Records that the request did not run, if its claim may still appear on the log.
void Claimer::abandon(const Pending &pending)
{
    if (pending.isSent && !pending.isRead)
        finish(pending.claim, {.ran = Errors::Ran::No});
}

void Claimer::appendOutcome(std::uint64_t id)
{
    const bool isQueued = m_options.append(
        m_unrecorded.at(id).record, [this, id](const PlatformClient::AppendOutcome &outcome) {
            outcomeAppended(id, outcome.state);
        });
    if (!isQueued)
        outcomeAppended(id, AppendState::NotAppended);
}

void Claimer::outcomeAppended(std::uint64_t id, AppendState state)
{
    if (state == AppendState::Appended) {
        m_backoff.reset();
        m_unrecorded.erase(id);
        return;
    }
    // Appending an outcome twice is harmless: both records have the same id and the first counts.
    m_unrecorded.at(id).retry =
        m_options.timers->start(m_backoff.next(), [this, id] { appendOutcome(id); });
}

ClaimStatus Claimer::claimStatus(const Claim &claim) const
{
    return m_table.claimStatus(claim, now(), m_options.isGone);
}

} // namespace Lagoonbank::Claims
