#pragma once

#include "base/strongtype.h"

#include <chrono>
#include <cstdint>

namespace Lagoonbank::Base {

/// Number of tokens of a prompt or an answer.
using Tokens = StrongNumber<struct TokensTag, std::int64_t>;
/// Load of an engine: uncached prompt tokens plus weighted expected output tokens.
using WorkUnits = StrongNumber<struct WorkUnitsTag, double>;
/// Size of a message or body.
using Bytes = StrongNumber<struct BytesTag, std::uint64_t>;

using Duration = std::chrono::nanoseconds;

/// The monotonic clock of the runtime; independent of the wall clock and never set back.
struct MonotonicClockTag
{
    using rep = Duration::rep; // NOLINT(readability-identifier-naming)
    using period = Duration::period; // NOLINT(readability-identifier-naming)
    using duration = Duration; // NOLINT(readability-identifier-naming)
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};
using MonoTime = std::chrono::time_point<MonotonicClockTag, Duration>;
/// Wall-clock time; only for output, never for deadlines or leases.
using WallTime = std::chrono::sys_time<Duration>;

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""us;

constexpr double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

constexpr std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

constexpr Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace Lagoonbank::Base
