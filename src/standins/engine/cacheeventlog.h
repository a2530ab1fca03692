#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace Lagoonbank::Standins {

enum class CacheOp : std::uint8_t { Stored, Evicted };

struct CacheEvent
{
    std::uint64_t offset = 0;
    CacheOp op = CacheOp::Stored;
    Base::ChatId chat;
    Base::Tokens tokens; ///< Tokens of the chat's prefix that are cached after the event.
};

/// Bounded ring of cache events, addressed by offset. Readers can be made to see events with a
/// delay and with gaps.
class CacheEventLog
{
public:
    struct Options
    {
        std::size_t maxEvents = 4096;
        Base::Duration delay{}; ///< Time until readers see an event.
        std::uint64_t gapInterval = 0; ///< Readers never see each n-th event; 0 for no gaps.
        std::size_t maxEventsPerRead = 1000;
    };
    struct Page
    {
        std::uint64_t first = 0; ///< Oldest offset in the ring.
        std::uint64_t next = 0; ///< Offset at which the next read continues.
        std::vector<CacheEvent> events;
    };

    explicit CacheEventLog(const Options &options)
        : m_options(options)
    { }

    void append(Base::MonoTime now, CacheOp op, Base::ChatId chat, Base::Tokens tokens);
    Page read(std::uint64_t from, Base::MonoTime now) const;

private:
    struct Entry
    {
        Base::MonoTime time;
        CacheEvent event;
        bool isLost = false;
    };

    Options m_options;
    std::uint64_t m_firstOffset = 0;
    std::deque<Entry> m_entries;
};

} // namespace Lagoonbank::Standins
