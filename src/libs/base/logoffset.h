#pragma once

#include "base/ids.h"

#include <algorithm>
#include <cstdint>

// A log that is restored from an older copy of itself loses its last records and gives their
// positions out again. The upper bits of a LogOffset therefore hold the era, so that each offset of
// a later era is higher than all those of earlier ones, and offsets of one era remain consecutive.

namespace Lagoonbank::Base {

constexpr unsigned positionBits = 40;
constexpr std::uint64_t maxPosition = (std::uint64_t{1} << positionBits) - 1;
constexpr std::uint64_t maxEra = UINT64_MAX >> positionBits;

/// Returns the offset of the record at \a position of the log in \a era. Values that do not fit are
/// reduced to the highest possible one.
constexpr LogOffset makeLogOffset(LogEra era, std::uint64_t position)
{
    return LogOffset(std::min(era.value(), maxEra) << positionBits
                     | std::min(position, maxPosition));
}

constexpr LogEra eraOf(LogOffset offset)
{
    return LogEra(offset.value() >> positionBits);
}

/// Position in the log, as the platform gives it.
constexpr std::uint64_t positionOf(LogOffset offset)
{
    return offset.value() & maxPosition;
}

} // namespace Lagoonbank::Base
