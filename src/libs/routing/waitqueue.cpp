#include "routing/waitqueue.h"

#include <algorithm>
#include <cmath>

namespace Lagoonbank::Routing {

namespace {

constexpr double popRateSmoothing = 0.2;
constexpr Base::Duration minimumPopInterval = std::chrono::milliseconds(1);

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
    const std::optional<Ticket> evicted = m_order.push({.ticket = entry.ticket,
                                                        .workspace = entry.workspace,
                                                        .priority = entry.priority,
                                                        .work = entry.work,
                                                        .deadline = entry.deadline});
    if (evicted == entry.ticket)
        return Errors::ErrorKind::QueueFull;
    m_items.push_back({.ticket = entry.ticket,
                       .deadline = entry.deadline,
                       .expiresAt = std::min(entry.deadline, now + m_options.maximumWait)});
    if (!evicted)
        return std::nullopt;
    removeItem(*evicted);
    if (requestRejected)
        requestRejected(*evicted, Errors::ErrorKind::QueueFull);
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
        const Base::Duration gap = std::max(now - *m_lastPop, minimumPopInterval);
        const double rate = 1.0 / Base::toSeconds(gap);
        m_popRate = m_popRate > 0.0 ? m_popRate + popRateSmoothing * (rate - m_popRate) : rate;
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
        const auto expired = std::find_if(m_items.begin(), m_items.end(),
                                          [&](const Item &item) { return item.expiresAt <= now; });
        if (expired == m_items.end())
            return;
        const Item item = *expired;
        remove(item.ticket);
        const bool isDeadlinePassed = item.deadline <= now;
        if (requestRejected) {
            requestRejected(item.ticket,
                            isDeadlinePassed ? Errors::ErrorKind::DeadlinePassed
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
    // The rate decays without pops: if the last pop was n seconds ago, it is at most 1/n.
    double rate = m_popRate;
    if (m_lastPop && now > *m_lastPop)
        rate = std::min(rate, 1.0 / Base::toSeconds(now - *m_lastPop));
    if (rate <= 0.0 || !m_lastPop)
        return m_items.empty() ? m_options.minimumRetryAfter : m_options.maximumRetryAfter;
    const double seconds = std::ceil(static_cast<double>(m_items.size() + 1) / rate);
    const double maximum = Base::toSeconds(m_options.maximumRetryAfter);
    return std::max(Base::fromSeconds(std::min(seconds, maximum)), m_options.minimumRetryAfter);
}

} // namespace Lagoonbank::Routing
