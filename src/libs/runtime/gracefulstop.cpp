#include "runtime/gracefulstop.h"

namespace Lagoonbank::Runtime {

namespace {

/// Interval of the idle checks; a stop is late by at most this much.
constexpr Base::Duration checkInterval = std::chrono::milliseconds(50);

} // namespace

GracefulStop::~GracefulStop()
{
    m_options.timers->cancel(m_timer);
}

void GracefulStop::begin()
{
    if (m_hasBegun)
        return;
    m_hasBegun = true;
    m_deadline = m_options.timers->clock().now() + m_options.timeout;
    m_options.announce();
    m_timer = m_options.timers->start(m_options.noticeTime, [this] { noticeEnded(); });
}

void GracefulStop::noticeEnded()
{
    m_options.stopAccepting();
    check();
}

void GracefulStop::check()
{
    if (m_options.isIdle() || m_options.timers->clock().now() >= m_deadline) {
        m_options.stopped();
        return;
    }
    m_timer = m_options.timers->start(checkInterval, [this] { check(); });
}

} // namespace Lagoonbank::Runtime
