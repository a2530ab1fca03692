#include "keyedlog/keyedrefresh.h"

#include <utility>

namespace Lagoonbank::KeyedLog {

KeyedRefresh::KeyedRefresh(Options options)
    : m_options(std::move(options))
    , m_isAlive(std::make_shared<bool>(true))
{ }

KeyedRefresh::~KeyedRefresh()
{
    if (m_timer)
        m_options.timers->cancel(*m_timer);
}

void KeyedRefresh::refresh(Refreshed refreshed)
{
    m_waiting.push_back(std::move(refreshed));
    scheduleRead();
}

void KeyedRefresh::scheduleRead()
{
    if (m_waiting.empty() || m_isReading || m_timer)
        return;
    const Base::MonoTime due = m_startedAt ? *m_startedAt + m_options.minInterval : now();
    if (due <= now()) {
        startRead();
        return;
    }
    m_timer = m_options.timers->start(due - now(), [this] {
        m_timer.reset();
        startRead();
    });
}

void KeyedRefresh::startRead()
{
    m_current = std::exchange(m_waiting, {});
    m_isReading = true;
    m_startedAt = now();
    if (m_readAt && *m_startedAt - *m_readAt <= m_options.maxTailAge)
        readTail();
    else
        startListing();
}

void KeyedRefresh::startListing()
{
    m_lastKey.clear();
    m_listingEnd.reset();
    readNewest();
}

void KeyedRefresh::readNewest()
{
    m_options.source.readNewest(
        m_lastKey,
        [this, isAlive = std::weak_ptr<bool>(m_isAlive)](const Errors::Result<NewestPage> &page) {
            if (!isAlive.expired())
                newestRead(page);
        });
}

void KeyedRefresh::readTail()
{
    m_options.source.readTail(
        m_position, Base::Duration::zero(),
        [this, isAlive = std::weak_ptr<bool>(m_isAlive)](const Errors::Result<TailPage> &page) {
            if (!isAlive.expired())
                tailRead(page);
        });
}

void KeyedRefresh::newestRead(const Errors::Result<NewestPage> &page)
{
    const Base::LogEra knownEra = Base::eraOf(m_listingEnd.value_or(m_position));
    const bool isLate = page && Base::eraOf(page.value().end) < knownEra;
    const bool isRestored = page && m_listingEnd && Base::eraOf(page.value().end) > knownEra;
    if (!page || isLate || isRestored) {
        readEnded(false);
        return;
    }
    if (!m_listingEnd)
        m_listingEnd = page.value().end;
    report(page.value().records);
    if (const auto next = page.value().nextAfter()) {
        m_lastKey = *next;
        readNewest();
        return;
    }
    m_position = *m_listingEnd;
    readEnded(true);
}

void KeyedRefresh::tailRead(const Errors::Result<TailPage> &page)
{
    if (!page) {
        readEnded(false);
        return;
    }
    // The records that follow the position are unknown if they are no longer retained, or if the
    // log was restored from an older copy.
    if (page.value().isOutOfRange || Base::eraOf(page.value().end) != Base::eraOf(m_position)) {
        startListing();
        return;
    }
    report(page.value().records);
    const Base::LogOffset before = m_position;
    m_position = page.value().nextPosition(before);
    if (m_position > before && m_position < page.value().end)
        readTail();
    else
        readEnded(true);
}

void KeyedRefresh::report(const std::vector<KeyedRecord> &records)
{
    for (const KeyedRecord &record : records) {
        if (record.value && recordRead)
            recordRead(record);
    }
}

/// After a failure the calls that wait for the next read are answered as well: the log is not
/// expected to answer before their callers give up.
void KeyedRefresh::readEnded(bool isCurrent)
{
    m_isReading = false;
    m_isFailing = !isCurrent;
    if (isCurrent)
        m_readAt = m_startedAt;
    else
        m_readAt.reset();
    std::vector<Refreshed> answered = std::exchange(m_current, {});
    if (!isCurrent) {
        for (Refreshed &waiting : std::exchange(m_waiting, {}))
            answered.push_back(std::move(waiting));
    }
    const std::weak_ptr<bool> isAlive = m_isAlive;
    for (const Refreshed &refreshed : answered) {
        refreshed(isCurrent);
        if (isAlive.expired())
            return;
    }
    scheduleRead();
}

} // namespace Lagoonbank::KeyedLog
