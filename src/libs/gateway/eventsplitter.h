#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Lagoonbank::Gateway {

/// Cuts a stream of server-sent events into whole events, so that a torn one is never passed on.
class EventSplitter
{
public:
    struct Event
    {
        std::string_view bytes; ///< With the empty line that ends it; valid during the call.
        std::optional<std::uint64_t> id;
    };

    /// Calls \a event for each event that \a piece completes. False once an event is longer than
    /// any sender makes.
    bool read(std::string_view piece, const std::function<void(const Event &event)> &event);
    /// Bytes of an event that is not whole.
    const std::string &remainder() const { return m_remainder; }
    void clear();

private:
    std::string m_remainder;
    std::size_t m_searched = 0; ///< Bytes of the rest in which no end of an event was found.
};

} // namespace Lagoonbank::Gateway
