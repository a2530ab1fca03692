#include "standins/engine/cacheeventlog.h"

#include <algorithm>
#include <utility>

namespace Lagoonbank::Standins {

void CacheEventLog::append(Base::MonoTime now, CacheOp op, Base::ChatId chat, Base::Tokens tokens)
{
    const std::uint64_t offset = m_firstOffset + m_entries.size();
    const bool isLost = m_options.gapInterval > 0 && (offset + 1) % m_options.gapInterval == 0;
    m_entries.push_back({now, {offset, op, std::move(chat), tokens}, isLost});
    if (m_entries.size() <= m_options.maxEvents)
        return;
    m_entries.pop_front();
    ++m_firstOffset;
}

CacheEventLog::Page CacheEventLog::read(std::uint64_t from, Base::MonoTime now) const
{
    Page page{.first = m_firstOffset, .next = std::max(from, m_firstOffset), .events = {}};
    if (page.next - m_firstOffset > m_entries.size())
        page.next = m_firstOffset + m_entries.size();
    for (std::size_t i = page.next - m_firstOffset; i < m_entries.size(); ++i) {
        const Entry &entry = m_entries[i];
        if (entry.time + m_options.delay > now || page.events.size() >= m_options.maxEventsPerRead)
            break;
        if (!entry.isLost)
            page.events.push_back(entry.event);
        page.next = entry.event.offset + 1;
    }
    return page;
}

} // namespace Lagoonbank::Standins
