#pragma once

#include "http/framing.h"

#include <cstddef>
#include <cstdint>

namespace Lagoonbank::Gateway {

/// What an answer itself tells about its end.
enum class AnswerEnd : std::uint8_t {
    Complete,
    Broken, ///< It lacks something.
    /// Nothing but an orderly close of the connection marks the end. The system closes all
    /// connections of a process that ends in the same way.
    Unmarked
};

/// The end of an answer, as received.
struct ReceivedEnd
{
    bool isBodyComplete = false; ///< According to the framing.
    Http::Framing framing = Http::Framing::Length;
    bool isStreaming = false;
    bool hasEvents = false; ///< For a stream: this answer had events.
    bool goesOn = false; ///< For a stream: events of an earlier endpoint were forwarded before.
    std::size_t incompleteEventBytes = 0; ///< For a stream: received of an event without its end.
};

/// Decides whether an answer is whole. The only place that does, for plain answers and streams,
/// from endpoints and from peers.
AnswerEnd answerEnd(const ReceivedEnd &received);

} // namespace Lagoonbank::Gateway
