#pragma once

#include "base/units.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace Lagoonbank::Capacity::Internal {

inline double toMs(Base::Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// Announced or declared counts may be wrong; none is negative.
inline double tokenCount(Base::Tokens tokens)
{
    return static_cast<double>(std::max<std::int64_t>(0, tokens.value()));
}

} // namespace Lagoonbank::Capacity::Internal
