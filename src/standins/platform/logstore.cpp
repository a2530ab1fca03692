#include "standins/platform/logstore.h"

#include <algorithm>
#include <utility>

namespace Lagoonbank::Standins::Platform {

namespace {

constexpr Base::LogOffset one{1};

std::size_t sizeOf(const Record &record)
{
    return record.id.size() + record.data.size();
}

} // namespace

std::vector<Base::LogOffset> LogStream::append(std::vector<NewRecord> records, Base::MonoTime now)
{
    std::vector<Base::LogOffset> offsets;
    offsets.reserve(records.size());
    for (NewRecord &record : records) {
        offsets.push_back(m_next);
        m_records.push_back({m_next, std::move(record.id), std::move(record.data), now});
        m_bytes += sizeOf(m_records.back());
        m_next += one;
    }
    return offsets;
}

Page LogStream::read(Base::LogOffset from, std::size_t limit) const
{
    if (from > m_next)
        return {m_first, m_next, {}};
    Page page;
    page.first = std::max(from, m_first);
    const auto begin =
        m_records.begin() + static_cast<std::ptrdiff_t>((page.first - m_first).value());
    const auto count =
        std::min<std::ptrdiff_t>(m_records.end() - begin, static_cast<std::ptrdiff_t>(limit));
    page.records.assign(begin, begin + count);
    page.next = page.first + Base::LogOffset(page.records.size());
    return page;
}

bool LogStream::hasResultFrom(Base::LogOffset from) const
{
    return from != m_next;
}

void LogStream::purge(const Retention &retention, Base::MonoTime now)
{
    while (!m_records.empty() && now - m_records.front().appendedAt > retention.age)
        dropOldest();
    while (m_records.size() > retention.records || m_bytes > retention.bytes)
        dropOldest();
}

void LogStream::dropOldest()
{
    m_bytes -= sizeOf(m_records.front());
    m_records.pop_front();
    m_first += one;
}

LogStream *LogStore::stream(const std::string &name, Base::MonoTime now)
{
    auto found = m_streams.find(name);
    if (found == m_streams.end()) {
        if (m_streams.size() >= maxStreams)
            return nullptr;
        found = m_streams.emplace(name, LogStream()).first;
    }
    found->second.purge(m_retention, now);
    return &found->second;
}

bool RateLimit::tryAcquire(Base::MonoTime now)
{
    if (!m_isInitialized) {
        m_tokens = burst();
        m_isInitialized = true;
    } else {
        m_tokens = std::min(burst(), m_tokens + m_perSecond * Base::toSeconds(now - m_refilledAt));
    }
    m_refilledAt = now;
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

Base::Duration RateLimit::timeToNextToken() const
{
    if (m_tokens >= 1)
        return {};
    return Base::fromSeconds((1 - m_tokens) / m_perSecond);
}

double RateLimit::burst() const
{
    return std::max(1.0, m_perSecond / 10);
}

} // namespace Lagoonbank::Standins::Platform
