#pragma once

#include "base/units.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Lagoonbank::Exchange {

/// The last event of an engine's stream.
struct StreamDone
{
    Base::Tokens tokens; ///< All tokens of the answer, including those of earlier attempts.
    Base::Tokens promptTokens;
    Base::Tokens cachedTokens; ///< Prompt tokens that were found in the engine's cache.
    std::string requestId;
    std::string load; ///< In the format of an X-Load header; empty if the event has no load.
};

/// One event of an engine's stream.
struct StreamEvent
{
    std::optional<std::int64_t> index; ///< Index of the token; not set in the last event.
    std::string text;
    std::optional<StreamDone> done;
};

/// Parses an engine's event stream incrementally. An event may be split over any number of pieces.
class EventStreamReader
{
public:
    /// Calls \a event for each event that \a piece completes. Returns false if the stream is
    /// malformed.
    bool read(std::string_view piece, const std::function<void(const StreamEvent &)> &event);

private:
    bool readLine(std::string_view line, const std::function<void(const StreamEvent &)> &event);

    std::string m_incompleteLine;
};

} // namespace Lagoonbank::Exchange
