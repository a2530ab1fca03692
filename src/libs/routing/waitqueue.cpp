#include "routing/waitqueue.h"

#include <algorithm>
#include <cmath>

namespace Lagoonbank::Routing {

namespace {

constexpr double paceGain = 0.2;
constexpr Base::Duration shortestGap = std::chrono::milliseconds(1);

} // namespace

WaitQueue::WaitQueue(Options options)
    : m_options(options)
{
    m_items.reserve(options.limit + 1);
}

bool WaitQueue::moreUrgent(const Item &a, const Item &b)
{
    if (a.entry.priority != b.entry.priority)
        return a.entry.priority < b.entry.priority;
    if (a.entry.deadline != b.entry.deadline)
        return a.entry.deadline < b.entry.deadline;
    return a.arrival < b.arrival;
}

std::optional<Errors::ErrorKind> WaitQueue::push(const Entry &entry, Base::MonoTime now)
{
    if (entry.deadline <= now)
        return Errors::ErrorKind::DeadlinePassed;
    const Item item{.entry = entry,
                    .giveUpAt = std::min(entry.deadline, now + m_options.longestWait),
                    .arrival = ++m_arrivals};
    if (m_options.limit == 0)
        return Errors::ErrorKind::QueueFull;
    std::optional<Ticket> loser;
    if (m_items.size() >= m_options.limit) {
        if (!moreUrgent(item, m_items.front()))
            return Errors::ErrorKind::QueueFull;
        loser = m_items.front().entry.ticket;
        m_items.erase(m_items.begin());
    }
    const auto lessUrgent = [](const Item &a, const Item &b) { return moreUrgent(b, a); };
    m_items.insert(std::upper_bound(m_items.begin(), m_items.end(), item, lessUrgent), item);
    if (loser && gaveUp)
        gaveUp(*loser, Errors::ErrorKind::QueueFull);
    return std::nullopt;
}

std::optional<WaitQueue::Ticket> WaitQueue::front() const
{
    if (m_items.empty())
        return std::nullopt;
    return m_items.back().entry.ticket;
}

void WaitQueue::pop(Base::MonoTime now)
{
    m_items.pop_back();
    if (m_lastPop) {
        const Base::Duration gap = std::max(now - *m_lastPop, shortestGap);
        const double pace = 1.0 / Base::toSeconds(gap);
        m_pace = m_pace > 0.0 ? m_pace + paceGain * (pace - m_pace) : pace;
    }
    m_lastPop = now;
}

bool WaitQueue::remove(Ticket ticket)
{
    return std::erase_if(m_items, [&](const Item &item) { return item.entry.ticket == ticket; })
        > 0;
}

void WaitQueue::expire(Base::MonoTime now)
{
    for (;;) {
        const auto over = std::find_if(m_items.begin(), m_items.end(),
                                       [&](const Item &item) { return item.giveUpAt <= now; });
        if (over == m_items.end())
            return;
        const Entry entry = over->entry;
        m_items.erase(over);
        const bool late = entry.deadline <= now;
        if (gaveUp) {
            gaveUp(entry.ticket,
                   late ? Errors::ErrorKind::DeadlinePassed : Errors::ErrorKind::Overloaded);
        }
    }
}

std::optional<Base::MonoTime> WaitQueue::nextExpiry() const
{
    std::optional<Base::MonoTime> next;
    for (const Item &item : m_items) {
        if (!next || item.giveUpAt < *next)
            next = item.giveUpAt;
    }
    return next;
}

Base::Duration WaitQueue::retryAfter(Base::MonoTime now) const
{
    // The pace fades while nothing moves: n seconds without a pop mean at most 1/n a second.
    double pace = m_pace;
    if (m_lastPop && now > *m_lastPop)
        pace = std::min(pace, 1.0 / Base::toSeconds(now - *m_lastPop));
    if (pace <= 0.0 || !m_lastPop)
        return m_items.empty() ? m_options.shortestRetry : m_options.longestRetry;
    const double seconds = std::ceil(static_cast<double>(m_items.size() + 1) / pace);
    const double most = Base::toSeconds(m_options.longestRetry);
    return std::max(Base::fromSeconds(std::min(seconds, most)), m_options.shortestRetry);
}

} // namespace Lagoonbank::Routing
