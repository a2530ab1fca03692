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
    Base::Tokens tokens; ///< Of the chat's prefix that are cached after the event.
};

/// Cache events by offset in a bounded ring; readers see them late and with gaps.
class CacheEventLog
{
public:
    struct Options
    {
        std::size_t maxEvents = 4096;
        Base::Duration delay{}; ///< From an event to its showing.
        std::uint64_t gapEvery = 0; ///< Each such event never shows; 0 for none.
        std::size_t maxPerRead = 1000;
    };
    struct Page
    {
        std::uint64_t first = 0; ///< Oldest offset that the ring still reaches.
        std::uint64_t next = 0; ///< Where to read on.
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
        bool lost = false;
    };

    Options m_options;
    std::uint64_t m_first = 0;
    std::deque<Entry> m_entries;
};

} // namespace Lagoonbank::Standins
