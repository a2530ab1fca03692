#include "runtime/timerqueue.h"

#include <algorithm>
#include <utility>

namespace Lagoonbank::Runtime {

namespace {

constexpr std::size_t minEntriesToSweep = 256;

} // namespace

TimerId TimerQueue::start(Base::Duration delay, Callback callback)
{
    const TimerId id{++m_lastId};
    m_entries.push({m_clock.now() + std::max(delay, Base::Duration::zero()), id});
    m_callbacks.insert_or_assign(id, std::move(callback));
    return id;
}

void TimerQueue::cancel(TimerId timer)
{
    m_callbacks.erase(timer);
    // Most timers are cancelled long before they are due: HTTP calls cancel nearly all of theirs.
    if (m_entries.size() > minEntriesToSweep && m_entries.size() > 4 * m_callbacks.size())
        sweepCancelled();
}

std::optional<Base::MonoTime> TimerQueue::nextDue()
{
    dropCancelled();
    if (m_entries.empty())
        return std::nullopt;
    return m_entries.top().due;
}

std::size_t TimerQueue::runDue(Base::MonoTime until)
{
    // Timers started by a callback run in the next call, so that a zero delay cannot loop forever.
    const TimerId last{m_lastId};
    std::size_t count = 0;
    std::vector<Entry> startedMeanwhile;
    while (!m_entries.empty() && m_entries.top().due <= until) {
        const Entry entry = m_entries.top();
        m_entries.pop();
        if (entry.id > last) {
            startedMeanwhile.push_back(entry);
            continue;
        }
        auto found = m_callbacks.find(entry.id);
        if (found == m_callbacks.end())
            continue;
        const Callback callback = std::move(found->second);
        m_callbacks.erase(found);
        callback();
        ++count;
    }
    for (const Entry &entry : startedMeanwhile)
        m_entries.push(entry);
    return count;
}

void TimerQueue::sweepCancelled()
{
    std::vector<Entry> kept;
    kept.reserve(m_callbacks.size());
    while (!m_entries.empty()) {
        if (m_callbacks.contains(m_entries.top().id))
            kept.push_back(m_entries.top());
        m_entries.pop();
    }
    m_entries = decltype(m_entries)(std::greater<>(), std::move(kept));
}

void TimerQueue::dropCancelled()
{
    while (!m_entries.empty() && !m_callbacks.contains(m_entries.top().id))
        m_entries.pop();
}

} // namespace Lagoonbank::Runtime
