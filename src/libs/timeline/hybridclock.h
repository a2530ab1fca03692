#pragma once

#include "base/units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Lagoonbank::Timeline {

/// A hybrid logical time: the highest wall time that the process has read from its own clock or
/// received from other processes, and a counter. Every event has a higher time than its causes.
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

/// Formats the time as `2026-12-02T17:48:31.123Z+4`. A counter of zero is omitted.
std::string toString(HybridTime time);
/// Formats only the time of day, as `17:48:31.123+4`.
std::string timeOfDay(HybridTime time);
std::optional<HybridTime> parseHybridTime(std::string_view text);

/// Hybrid logical clock that assigns times to events. Every message between processes includes the
/// sender's tick(). The receiver passes it to received() before it processes the message.
class HybridClock
{
public:
    /// Received times that are more than \a maxDrift ahead of the wall clock are rejected.
    explicit HybridClock(Base::Duration maxDrift = std::chrono::seconds(60))
        : m_maxDrift(maxDrift)
    { }

    /// Returns the time of a new event or message. It is higher than all earlier ones.
    HybridTime tick(Base::WallTime wall);
    /// Merges a received time. Returns false, without merging it, if it is too far ahead.
    bool received(HybridTime remote, Base::WallTime wall);
    HybridTime last() const { return m_last; }
    /// Number of received times that were rejected as too far ahead.
    std::uint64_t refused() const { return m_refused; }

private:
    Base::Duration m_maxDrift;
    HybridTime m_last;
    std::uint64_t m_refused = 0;
};

} // namespace Lagoonbank::Timeline
