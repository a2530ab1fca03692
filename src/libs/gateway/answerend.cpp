#include "gateway/answerend.h"

namespace Lagoonbank::Gateway {

AnswerEnd answerEnd(const ReceivedEnd &received)
{
    if (!received.isBodyComplete)
        return AnswerEnd::Broken;
    if (received.isStreaming && received.incompleteEventBytes > 0)
        return AnswerEnd::Broken;
    if (received.framing != Http::Framing::Connection)
        return AnswerEnd::Complete;
    // The endpoint may have crashed between the head and the first event. A stream that goes on may
    // have had all its events before.
    const bool isEmpty = received.isStreaming && !received.hasEvents && !received.goesOn;
    return isEmpty ? AnswerEnd::Broken : AnswerEnd::Unmarked;
}

} // namespace Lagoonbank::Gateway
