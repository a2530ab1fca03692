#pragma once

#include "base/units.h"

namespace Lagoonbank::Runtime {

/// Source of time for timers and decisions, which never read the system clock directly, so that
/// tests can control the time.
class Clock
{
public:
    virtual ~Clock() = default;
    virtual Base::MonoTime now() const = 0;
    /// For logs and other output for people; may jump.
    virtual Base::WallTime wallNow() const = 0;
};

/// The clocks of the operating system.
class SystemClock final : public Clock
{
public:
    Base::MonoTime now() const override;
    Base::WallTime wallNow() const override;
};

/// Only moves when it is advanced; for tests.
class ManualClock final : public Clock
{
public:
    Base::MonoTime now() const override { return m_now; }
    Base::WallTime wallNow() const override { return m_wall; }
    void advance(Base::Duration duration);
    /// Sets the wall clock only; the monotonic clock is not changed.
    void setWall(Base::WallTime wall) { m_wall = wall; }

private:
    Base::MonoTime m_now{std::chrono::hours(1)};
    Base::WallTime m_wall{std::chrono::hours(24) * 20000};
};

} // namespace Lagoonbank::Runtime
