#pragma once

#include "base/units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Lagoonbank::Timeline {

/// A hybrid logical time: the highest wall time that the process has seen, its own or another's,
/// and a counter. What caused an event always has a lower time than the event.
struct HybridTime
{
    std::int64_t wallMs = 0; ///< Milliseconds since 1970.
    std::uint32_t counter = 0;

    bool operator==(const HybridTime &) const = default;
    friend bool operator<(const HybridTime &a, const HybridTime &b)
    {
        return a.wallMs != b.wallMs ? a.wallMs < b.wallMs : a.counter < b.counter;
    }

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(wallMs, counter);
    }
};

/// `2026-12-02T17:48:31.123Z+4`; the counter is left out where it is zero.
std::string toString(HybridTime time);
/// Only the time of day, `17:48:31.123+4`.
std::string timeOfDay(HybridTime time);
std::optional<HybridTime> parseHybridTime(std::string_view text);

/// Gives events their times. Every message between processes carries the sender's tick() and the
/// receiver hands it to received() before it acts on the message.
class HybridClock
{
public:
    /// A time further ahead of the own wall clock than this is not believed.
    explicit HybridClock(Base::Duration maxDrift = std::chrono::seconds(60))
        : m_maxDrift(maxDrift)
    { }

    /// The time of a new event or message: higher than every one before it.
    HybridTime tick(Base::WallTime wall);
    /// False if the time is too far ahead and was not merged.
    bool received(HybridTime remote, Base::WallTime wall);
    HybridTime last() const { return m_last; }
    /// How many received times were too far ahead.
    std::uint64_t refused() const { return m_refused; }

private:
    Base::Duration m_maxDrift;
    HybridTime m_last;
    std::uint64_t m_refused = 0;
};

} // namespace Lagoonbank::Timeline
