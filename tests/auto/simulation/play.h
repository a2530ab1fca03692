#pragma once

#include "auto/simulation/checks.h"
#include "auto/simulation/history.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>

namespace Simulation {

struct Outcome
{
    std::optional<Violation> violation;
    std::uint64_t fingerprint = 0; ///< See Checks.
    std::set<std::uint64_t> states; ///< See Checks.
};

/// \a trace is told what routers do, a line each.
Outcome play(const History &history,
             const std::function<void(const std::string &line)> &trace = nullptr);

/// The shortest history that is found to break the same rule as \a red does, by leaving out steps,
/// routers and endpoints, and by making faults shorter.
History shrink(const History &failing, const Violation &violation);

} // namespace Simulation
