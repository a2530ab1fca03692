#include "gateway/admissionqueue.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace Lagoonbank::Gateway {

int QueuePriority::compare(const QueuePriority &other) const
{
    if (isRepeat != other.isRepeat)
        return isRepeat ? -1 : 1;
    if (usableShare != other.usableShare)
        return usableShare > other.usableShare ? -1 : 1;
    if (urgency != other.urgency)
        return urgency < other.urgency ? -1 : 1;
    return 0;
}

bool AdmissionQueue::Key::operator<(const Key &other) const
{
    const int order = priority.compare(other.priority);
    return order != 0 ? order < 0 : number < other.number;
}

AdmissionQueue::~AdmissionQueue()
{
    if (m_retryTimer)
        m_options.timers->cancel(*m_retryTimer);
    if (m_tickTimer)
        m_options.timers->cancel(*m_tickTimer);
}

std::optional<AdmissionQueue::Ticket> AdmissionQueue::add(const QueueId &queueId, Waiter waiter)
{
    Waiters &waiters = m_queues[queueId];
    if (waiters.size() >= m_options.maxWaiters) {
        const Key last = std::prev(waiters.end())->first;
        if (waiter.priority.compare(last.priority) >= 0)
            return std::nullopt;
        fail(queueId, last);
    }
    const Key key{.priority = waiter.priority, .number = ++m_lastNumber};
    m_queues[queueId].emplace(key, std::move(waiter));
    startTicking();
    return Ticket{.queueId = queueId, .priority = key.priority, .number = key.number};
}

void AdmissionQueue::remove(const Ticket &ticket)
{
    const auto waiters = m_queues.find(ticket.queueId);
    if (waiters == m_queues.end())
        return;
    waiters->second.erase({.priority = ticket.priority, .number = ticket.number});
    if (waiters->second.empty())
        m_queues.erase(waiters);
}

bool AdmissionQueue::mustWait(const QueueId &queueId, const QueuePriority &priority,
                              bool mayRepeat) const
{
    const auto waiters = m_queues.find(queueId);
    if (waiters == m_queues.end())
        return false;
    // Repeats are skipped: they may be excluded from endpoints that are open to this request.
    const auto first =
        std::find_if(waiters->second.begin(), waiters->second.end(), [&](const auto &entry) {
            return !entry.first.priority.isRepeat && (entry.second.mayRepeat || !mayRepeat);
        });
    return first != waiters->second.end() && first->first.priority.compare(priority) <= 0;
}

void AdmissionQueue::slotMayBeFree(const Base::ServiceId &service)
{
    const auto first = m_queues.lower_bound({.service = service});
    if (first == m_queues.end() || first->first.service != service)
        return;
    m_freed.insert(service);
    if (!m_retryTimer) {
        m_retryTimer = m_options.timers->start(Base::Duration::zero(), [this] {
            m_retryTimer.reset();
            retryFreed();
        });
    }
}

std::size_t AdmissionQueue::size() const
{
    std::size_t sum = 0;
    for (const auto &[queueId, waiters] : m_queues)
        sum += waiters.size();
    return sum;
}

void AdmissionQueue::retryFreed()
{
    for (const Base::ServiceId &service : std::exchange(m_freed, {})) {
        for (const QueueId &queueId : queueIds(service))
            tryPlace(queueId, m_options.maxFailedAttempts);
    }
}

std::vector<AdmissionQueue::QueueId>
AdmissionQueue::queueIds(const std::optional<Base::ServiceId> &service) const
{
    std::vector<QueueId> ids;
    ids.reserve(m_queues.size());
    for (const auto &[queueId, waiters] : m_queues) {
        if (!service || queueId.service == *service)
            ids.push_back(queueId);
    }
    std::stable_partition(ids.begin(), ids.end(), [](const QueueId &queueId) {
        return queueId.software != SoftwareHash() || queueId.awaitsMemory;
    });
    return ids;
}

/// Tries the waiters of a queue in turn, until \a maxFailedAttempts of them found no slot.
/// Callbacks may add and remove waiters, so no iterator is kept across a call.
void AdmissionQueue::tryPlace(const QueueId &queueId, int maxFailedAttempts)
{
    Key current;
    int failedAttempts = 0;
    for (bool isFirst = true; failedAttempts < maxFailedAttempts; isFirst = false) {
        const auto waiters = m_queues.find(queueId);
        if (waiters == m_queues.end())
            return;
        const auto next = isFirst ? waiters->second.begin() : waiters->second.upper_bound(current);
        if (next == waiters->second.end())
            return;
        current = next->first;
        const auto tryPlace = next->second.tryPlace;
        if (tryPlace())
            remove({.queueId = queueId, .priority = current.priority, .number = current.number});
        else
            ++failedAttempts;
    }
}

void AdmissionQueue::fail(const QueueId &queueId, const Key &key)
{
    const auto waiters = m_queues.find(queueId);
    if (waiters == m_queues.end())
        return;
    auto node = waiters->second.extract(key);
    if (waiters->second.empty())
        m_queues.erase(waiters);
    if (!node.empty())
        node.mapped().fail();
}

void AdmissionQueue::failExpired()
{
    // Waiters whose deadline comes before the next tick fail now, as they would be late then.
    const Base::MonoTime nextTick = m_options.timers->clock().now() + m_options.retryInterval;
    std::vector<std::pair<QueueId, Key>> expired;
    for (const auto &[queueId, waiters] : m_queues) {
        for (const auto &[key, waiter] : waiters) {
            if (waiter.deadline < nextTick)
                expired.emplace_back(queueId, key);
        }
    }
    for (const auto &[queueId, key] : expired)
        fail(queueId, key);
}

void AdmissionQueue::startTicking()
{
    if (m_tickTimer)
        return;
    m_tickTimer = m_options.timers->start(m_options.retryInterval, [this] {
        m_tickTimer.reset();
        tick();
    });
}

void AdmissionQueue::tick()
{
    for (const QueueId &queueId : queueIds(std::nullopt))
        // Waiters for memory need different amounts of it, so that the first may block none.
        tryPlace(queueId, queueId.awaitsMemory ? m_options.maxFailedAttempts : 1);
    failExpired();
    if (!m_queues.empty())
        startTicking();
}

} // namespace Lagoonbank::Gateway
