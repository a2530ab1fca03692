#include "runtime/clock.h"

#include <ctime>

#include <chrono>

namespace Lagoonbank::Runtime {

Base::MonoTime SystemClock::now() const
{
    // CLOCK_BOOTTIME includes the time that the VM is suspended, so that leases expire meanwhile.
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return Base::MonoTime(std::chrono::seconds(time.tv_sec)
                          + std::chrono::nanoseconds(time.tv_nsec));
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
