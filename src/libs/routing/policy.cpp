#include "routing/policy.h"

#include <array>
#include <utility>

namespace Lagoonbank::Routing {

namespace {

constexpr std::array<std::pair<Policy, std::string_view>, 5> names{{
    {Policy::RoundRobin, "round-robin"},
    {Policy::LeastLoad, "least-load"},
    {Policy::TwoChoices, "two-choices"},
    {Policy::Rendezvous, "rendezvous"},
    {Policy::Bounded, "bounded"},
}};

} // namespace

std::string_view toString(Policy policy)
{
    return names[static_cast<std::size_t>(policy)].second;
}

std::optional<Policy> policyFromName(std::string_view name)
{
    for (const auto &[policy, text] : names) {
        if (text == name)
            return policy;
    }
    return std::nullopt;
}

} // namespace Lagoonbank::Routing
