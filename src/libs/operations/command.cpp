#include "operations/command.h"

namespace Lagoonbank::Operations {

void Patience::renew()
{
    m_deadline = m_context.timers->clock().now() + m_context.timeout;
    m_backoff.reset();
    m_hasRetried = false;
}

std::optional<Base::Duration> Patience::next()
{
    const Base::Duration delay = m_backoff.next();
    const bool isOver = m_context.timers->clock().now() + delay >= m_deadline;
    if (isOver && m_hasRetried)
        return std::nullopt;
    m_hasRetried = true;
    return delay;
}

} // namespace Lagoonbank::Operations
