#include "runtime/clock.h"

#include <chrono>

namespace Lagoonbank::Runtime {

Base::MonoTime SystemClock::now() const
{
    return Base::MonoTime(std::chrono::steady_clock::now().time_since_epoch());
}

Base::WallTime SystemClock::wallNow() const
{
    return std::chrono::system_clock::now();
}

void ManualClock::advance(Base::Duration duration)
{
    m_now += duration;
    m_wall += duration;
}

} // namespace Lagoonbank::Runtime
