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
    , m_order(options.limit)
{
    m_items.reserve(options.limit + 1);
}

void WaitQueue::setOptions(const Options &options)
{
    m_options = options;
    m_order.setLimit(options.limit);
}

std::optional<Errors::ErrorKind> WaitQueue::push(const Entry &entry, Base::MonoTime now)
{
    if (entry.deadline <= now)
        return Errors::ErrorKind::DeadlinePassed;
    if (m_options.limit == 0)
        return Errors::ErrorKind::QueueFull;
    const std::optional<Ticket> loser = m_order.push({.ticket = entry.ticket,
                                                      .workspace = entry.workspace,
                                                      .priority = entry.priority,
                                                      .work = entry.work,
                                                      .deadline = entry.deadline});
    if (loser == entry.ticket)
        return Errors::ErrorKind::QueueFull;
    m_items.push_back({.ticket = entry.ticket,
                       .deadline = entry.deadline,
                       .expiresAt = std::min(entry.deadline, now + m_options.maximumWait)});
    if (!loser)
        return std::nullopt;
    removeItem(*loser);
    if (requestRejected)
        requestRejected(*loser, Errors::ErrorKind::QueueFull);
    return std::nullopt;
}

std::optional<WaitQueue::Ticket> WaitQueue::front() const
{
    return m_order.front();
}

void WaitQueue::pop(Base::MonoTime now)
{
    if (const std::optional<Ticket> ticket = m_order.pop())
        removeItem(*ticket);
    if (m_lastPop) {
        const Base::Duration gap = std::max(now - *m_lastPop, shortestGap);
        const double pace = 1.0 / Base::toSeconds(gap);
        m_popRate = m_popRate > 0.0 ? m_popRate + paceGain * (pace - m_popRate) : pace;
    }
    m_lastPop = now;
}

bool WaitQueue::remove(Ticket ticket)
{
    removeItem(ticket);
    return m_order.remove(ticket);
}

void WaitQueue::removeItem(Ticket ticket)
{
    std::erase_if(m_items, [&](const Item &item) { return item.ticket == ticket; });
}

void WaitQueue::expire(Base::MonoTime now)
{
    for (;;) {
        const auto over = std::find_if(m_items.begin(), m_items.end(),
                                       [&](const Item &item) { return item.expiresAt <= now; });
        if (over == m_items.end())
            return;
        const Item item = *over;
        remove(item.ticket);
        const bool isLate = item.deadline <= now;
        if (requestRejected) {
            requestRejected(item.ticket,
                            isLate ? Errors::ErrorKind::DeadlinePassed
                                   : Errors::ErrorKind::Overloaded);
        }
    }
}

std::optional<Base::MonoTime> WaitQueue::nextExpiry() const
{
    std::optional<Base::MonoTime> next;
    for (const Item &item : m_items) {
        if (!next || item.expiresAt < *next)
            next = item.expiresAt;
    }
    return next;
}

Base::Duration WaitQueue::retryAfter(Base::MonoTime now) const
{
    // The pace fades while nothing moves: n seconds without a pop mean at most 1/n a second.
    double pace = m_popRate;
    if (m_lastPop && now > *m_lastPop)
        pace = std::min(pace, 1.0 / Base::toSeconds(now - *m_lastPop));
    if (pace <= 0.0 || !m_lastPop)
        return m_items.empty() ? m_options.minimumRetryAfter : m_options.maximumRetryAfter;
    const double seconds = std::ceil(static_cast<double>(m_items.size() + 1) / pace);
    const double most = Base::toSeconds(m_options.maximumRetryAfter);
    return std::max(Base::fromSeconds(std::min(seconds, most)), m_options.minimumRetryAfter);
}

} // namespace Lagoonbank::Routing
