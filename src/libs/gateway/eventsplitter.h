#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Lagoonbank::Gateway {

/// Splits a stream of server-sent events into complete events, so that a partial event is never
/// forwarded.
class EventSplitter
{
public:
    struct Event
    {
        std::string_view bytes; ///< Including the terminating empty line; valid during the call.
        std::optional<std::uint64_t> id;
        bool isComment = false; ///< Has comments only, such as one that keeps connections alive.
    };

    /// Calls \a event for each event that \a piece completes. False if an event exceeds the maximum
    /// size.
    bool read(std::string_view piece, const std::function<void(const Event &event)> &event);
    /// Bytes of the incomplete event at the end of the stream.
    const std::string &remainder() const { return m_remainder; }
    std::size_t memory() const { return m_remainder.capacity(); }
    void clear();

private:
    std::string m_remainder;
    std::size_t m_searchedBytes = 0; ///< Leading bytes of the remainder with no end of an event.
};

} // namespace Lagoonbank::Gateway
