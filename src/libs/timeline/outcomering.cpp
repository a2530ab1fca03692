#include "timeline/outcomering.h"

#include <algorithm>
#include <iterator>

namespace Lagoonbank::Timeline {

using Base::MonoTime;
using Base::RequestId;

OutcomeRing::OutcomeRing(std::size_t capacity)
    : m_capacity(std::max<std::size_t>(1, capacity))
{ }

void OutcomeRing::started(Outcome outcome, MonoTime now)
{
    if (m_byRequest.contains(outcome.request))
        return;
    evictIfFull();
    outcome.end = {.kind = OutcomeKind::Running};
    const RequestId request = outcome.request;
    if (outcome.key)
        m_byKey[Key(outcome.workspace.value(), outcome.key->value())] = request;
    m_entries.push_back({std::move(outcome), now});
    m_byRequest.emplace(request, std::prev(m_entries.end()));
    ++m_running;
}

void OutcomeRing::attemptStarted(const RequestId &request, const Base::EndpointId &endpoint,
                                 MonoTime now)
{
    if (Entry *found = entry(request))
        found->outcome.attempts.push_back(
            {.endpoint = endpoint, .startedMs = msSinceStart(*found, now)});
}

void OutcomeRing::attemptEnded(const RequestId &request, std::string result, MonoTime now)
{
    Entry *found = entry(request);
    if (!found || found->outcome.attempts.empty())
        return;
    OutcomeAttempt &attempt = found->outcome.attempts.back();
    attempt.endedMs = msSinceStart(*found, now);
    attempt.result = std::move(result);
}

void OutcomeRing::ended(const RequestId &request, OutcomeEnd end, MonoTime now)
{
    Entry *found = entry(request);
    if (!found || !isRunning(*found))
        return;
    found->outcome.end = std::move(end);
    found->outcome.tookMs = msSinceStart(*found, now);
    --m_running;
}

const Outcome *OutcomeRing::find(const RequestId &request) const
{
    const auto found = m_byRequest.find(request);
    return found == m_byRequest.end() ? nullptr : &found->second->outcome;
}

const Outcome *OutcomeRing::find(const Base::WorkspaceId &workspace,
                                 const Base::IdempotencyKey &key) const
{
    const auto found = m_byKey.find(Key(workspace.value(), key.value()));
    return found == m_byKey.end() ? nullptr : find(found->second);
}

OutcomeRing::Entry *OutcomeRing::entry(const RequestId &request)
{
    const auto found = m_byRequest.find(request);
    return found == m_byRequest.end() ? nullptr : &*found->second;
}

// Running requests at the front are moved to the back, so that each is skipped only once per pass.
void OutcomeRing::evictIfFull()
{
    if (m_entries.size() < m_capacity)
        return;
    if (m_running < m_entries.size()) {
        while (isRunning(m_entries.front()))
            m_entries.splice(m_entries.end(), m_entries, m_entries.begin());
    }
    evict(m_entries.begin());
}

void OutcomeRing::evict(Entries::iterator entry)
{
    const Outcome &outcome = entry->outcome;
    if (outcome.key) {
        const auto byKey = m_byKey.find(Key(outcome.workspace.value(), outcome.key->value()));
        if (byKey != m_byKey.end() && byKey->second == outcome.request)
            m_byKey.erase(byKey);
    }
    if (isRunning(*entry))
        --m_running;
    m_byRequest.erase(outcome.request);
    m_entries.erase(entry);
    ++m_dropped;
}

bool OutcomeRing::isRunning(const Entry &entry)
{
    return entry.outcome.end.kind == OutcomeKind::Running;
}

std::int64_t OutcomeRing::msSinceStart(const Entry &entry, MonoTime now)
{
    return Base::toMilliseconds(now - entry.started);
}

} // namespace Lagoonbank::Timeline
