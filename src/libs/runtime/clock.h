#pragma once

#include "base/units.h"

namespace Lagoonbank::Runtime {

/// Source of time for everything that waits. Decisions take it or a time, never the system's clock.
class Clock
{
public:
    virtual ~Clock() = default;
    virtual Base::MonoTime now() const = 0;
    /// For time lines and people; may jump.
    virtual Base::WallTime wallNow() const = 0;
};

/// The machine's clocks.
class SystemClock final : public Clock
{
public:
    Base::MonoTime now() const override;
    Base::WallTime wallNow() const override;
};

/// Stands still until it is advanced; for tests.
class ManualClock final : public Clock
{
public:
    Base::MonoTime now() const override { return m_now; }
    Base::WallTime wallNow() const override { return m_wall; }
    void advance(Base::Duration duration);
    /// Makes the wall clock jump; the monotonic clock stays.
    void setWall(Base::WallTime wall) { m_wall = wall; }

private:
    Base::MonoTime m_now{std::chrono::hours(1)};
    Base::WallTime m_wall{std::chrono::hours(24) * 20000};
};

} // namespace Lagoonbank::Runtime
