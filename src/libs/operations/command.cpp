#include "operations/command.h"

namespace Lagoonbank::Operations {

void RetryPolicy::restart()
{
    m_deadline = m_context.timers->clock().now() + m_context.timeout;
    m_backoff.reset();
    m_hasRetried = false;
}

std::optional<Base::Duration> RetryPolicy::nextDelay()
{
    const Base::Duration delay = m_backoff.next();
    const bool isDeadlineReached = m_context.timers->clock().now() + delay >= m_deadline;
    if (isDeadlineReached && m_hasRetried)
        return std::nullopt;
    m_hasRetried = true;
    return delay;
}

} // namespace Lagoonbank::Operations
