#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace Lagoonbank::Routing {

/// Method by which an endpoint is chosen. All but Bounded are baselines for comparisons.
enum class Policy : std::uint8_t {
    RoundRobin, ///< Each endpoint in turn.
    LeastLoad, ///< The endpoint with the lowest estimated load for its capacity.
    TwoChoices, ///< The less loaded of two random endpoints.
    Rendezvous, ///< The first in the chat's weighted rendezvous order, whatever its load.
    Bounded ///< The chat's warm endpoint or the first in its order, if below the load bound.
};

std::string_view toString(Policy policy);
/// Parses a name as used in settings, such as "round-robin".
std::optional<Policy> policyFromName(std::string_view name);

} // namespace Lagoonbank::Routing
