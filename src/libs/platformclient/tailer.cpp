#include "platformclient/tailer.h"

#include <utility>

namespace Lagoonbank::PlatformClient {

namespace {

/// Delay after a poll without records, in case the log ignores the requested wait.
constexpr Base::Duration emptyPollDelay = std::chrono::milliseconds(5);

} // namespace

Tailer::Tailer(const Options &options)
    : m_options(options)
    , m_backoff(options.backoff)
    , m_ids(options.recentIdCapacity)
    , m_position(options.from)
{
    m_health.since = options.timers->clock().now();
}

Tailer::~Tailer()
{
    stop();
}

void Tailer::setRecordReceived(std::function<void(const StoredRecord &)> callback)
{
    m_recordReceived = std::move(callback);
}

void Tailer::setGapFound(std::function<void(Base::LogOffset, Base::LogOffset)> callback)
{
    m_gapFound = std::move(callback);
}

void Tailer::setHealthChanged(std::function<void(const LogHealth &)> callback)
{
    m_healthChanged = std::move(callback);
}

void Tailer::setCaughtUp(std::function<void()> callback)
{
    m_caughtUp = std::move(callback);
}

void Tailer::start()
{
    if (m_isRunning)
        return;
    m_isRunning = true;
    poll();
}

void Tailer::stop()
{
    m_isRunning = false;
    m_options.log->cancel(m_read);
    m_options.timers->cancel(m_timer);
}

std::optional<Base::Duration> Tailer::lag() const
{
    if (!m_lastEndReached)
        return std::nullopt;
    return m_options.timers->clock().now() - *m_lastEndReached;
}

void Tailer::poll()
{
    const bool mayWait = m_isCaughtUp && m_health.isUp;
    const LogClient::ReadRequest request{.stream = m_options.stream,
                                         .from = m_position,
                                         .limit = m_options.pageRecords,
                                         .wait = mayWait ? m_options.wait : Base::Duration::zero()};
    m_read = m_options.log->read(request,
                                 [this](const Errors::Result<ReadPage> &page) { pageRead(page); });
}

void Tailer::pollLater(Base::Duration delay)
{
    if (m_isRunning)
        m_timer = m_options.timers->start(delay, [this] { poll(); });
}

void Tailer::pageRead(const Errors::Result<ReadPage> &page)
{
    updateHealth(page.has_value());
    if (!page)
        return pollLater(m_backoff.next());
    m_backoff.reset();
    deliver(page.value());
    if (!m_isRunning)
        return;
    updateCaughtUp(page.value().records.size() < m_options.pageRecords);
    pollLater(page.value().records.empty() ? emptyPollDelay : Base::Duration::zero());
}

void Tailer::deliver(const ReadPage &page)
{
    if (page.first > m_position && m_gapFound)
        m_gapFound(m_position, page.first);
    for (const StoredRecord &record : page.records) {
        if (!m_isRunning)
            return;
        m_position = record.offset + Base::LogOffset(1);
        const bool isNew = record.id.empty() || m_ids.insert(record.id);
        if (isNew && m_recordReceived)
            m_recordReceived(record);
    }
    if (m_isRunning)
        m_position = page.next;
}

void Tailer::updateHealth(bool isUp)
{
    if (m_hasHealth && m_health.isUp == isUp)
        return;
    m_hasHealth = true;
    m_health = {.isUp = isUp, .since = m_options.timers->clock().now()};
    if (m_healthChanged)
        m_healthChanged(m_health);
}

void Tailer::updateCaughtUp(bool isAtEnd)
{
    if (isAtEnd)
        m_lastEndReached = m_options.timers->clock().now();
    const bool wasCaughtUp = std::exchange(m_isCaughtUp, isAtEnd);
    if (isAtEnd && !wasCaughtUp && m_caughtUp)
        m_caughtUp();
}

} // namespace Lagoonbank::PlatformClient
