#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace Lagoonbank::Routing {

/// How an endpoint is chosen.
enum class Policy : std::uint8_t {
    RoundRobin, ///< Each in turn; baseline.
    LeastLoad, ///< The least estimated load of all; baseline.
    TwoChoices, ///< The less loaded of two drawn at random; baseline.
    Rendezvous, ///< Always the chat's first in weighted rendezvous order; baseline.
    Bounded ///< The chat's warm or first endpoint whose load is under the bound.
};

std::string_view toString(Policy policy);
/// Reads the names that settings use, such as "round-robin".
std::optional<Policy> policyFromName(std::string_view name);

} // namespace Lagoonbank::Routing
