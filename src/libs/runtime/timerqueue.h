#pragma once

#include "base/strongtype.h"
#include "base/units.h"
#include "runtime/clock.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <vector>

namespace Lagoonbank::Runtime {

using TimerId = Base::StrongNumber<struct TimerIdTag, std::uint64_t>;

/// One-shot timers over a Clock. Not thread safe; lives on the loop's thread.
class TimerQueue
{
public:
    using Callback = std::function<void()>;

    explicit TimerQueue(const Clock &clock)
        : m_clock(clock)
    { }
    TimerQueue(const TimerQueue &) = delete;
    TimerQueue &operator=(const TimerQueue &) = delete;

    const Clock &clock() const { return m_clock; }

    /// Calls \a callback once from runDue(), after \a delay at the earliest.
    TimerId start(Base::Duration delay, Callback callback);
    /// Does nothing if the timer has already fired or was cancelled.
    void cancel(TimerId timer);
    std::optional<Base::MonoTime> nextDue();
    /// Runs all timers due now, ordered by due time and then by start; returns their number.
    std::size_t runDue() { return runDue(m_clock.now()); }
    /// Runs all timers that were due at \a until, which must not be in the future.
    std::size_t runDue(Base::MonoTime until);
    /// Number of timers that will still fire.
    std::size_t pending() const { return m_callbacks.size(); }

private:
    struct Entry
    {
        Base::MonoTime due;
        TimerId id;
        friend bool operator>(const Entry &a, const Entry &b)
        {
            return a.due != b.due ? a.due > b.due : a.id > b.id;
        }
    };
    void dropCancelled();
    void sweepCancelled();

    const Clock &m_clock;
    std::uint64_t m_lastId = 0;
    std::priority_queue<Entry, std::vector<Entry>, std::greater<>> m_entries;
    absl::flat_hash_map<TimerId, Callback> m_callbacks;
};

} // namespace Lagoonbank::Runtime
