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
    Base::Tokens tokens; ///< Tokens of the whole answer, from 0.
    Base::Tokens promptTokens;
    Base::Tokens cachedTokens; ///< Of the prompt, found in the engine's cache.
    std::string requestId;
    std::string load; ///< As an X-Load header says it; empty if the event tells none.
};

/// What one event of an engine's stream says.
struct StreamEvent
{
    std::optional<std::int64_t> index; ///< Of the token; none in the last event.
    std::string text;
    std::optional<StreamDone> done;
};

/// Cuts an engine's event stream into its events. An event may come in any number of pieces.
class EventStreamReader
{
public:
    /// Calls \a event for each event that \a piece completes; false if the stream is malformed.
    bool read(std::string_view piece, const std::function<void(const StreamEvent &)> &event);

private:
    bool readLine(std::string_view line, const std::function<void(const StreamEvent &)> &event);

    std::string m_rest;
};

} // namespace Lagoonbank::Exchange
