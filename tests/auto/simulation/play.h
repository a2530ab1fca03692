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
    std::uint64_t fingerprint = 0; ///< See Checks::fingerprint().
    std::set<std::uint64_t> states; ///< See Checks::states().
};

/// Runs the history. \a trace is called with one line of text for each router event.
Outcome play(const History &history,
             const std::function<void(const std::string &line)> &trace = nullptr);

/// Minimises \a failing: removes steps, routers and endpoints and shortens faults as long as the
/// history still breaks the same rule.
History shrink(const History &failing, const Violation &violation);

} // namespace Simulation
