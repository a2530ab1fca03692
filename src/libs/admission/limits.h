#pragma once

#include "base/units.h"

#include <optional>
#include <string>
#include <vector>

namespace Lagoonbank::Admission {

/// One limit of a contract with its source position in the contract, as `file:line`.
template<typename T>
struct Limit
{
    T value{};
    std::string source;
};

/// A priority that a contract allows; level 0 is the most urgent.
struct PriorityRule
{
    std::string name;
    int level = 0;
    std::string source;
};

/// All limits of one workspace over the whole fleet. A limit without a value is not enforced.
struct WorkspaceLimits
{
    std::optional<Limit<double>> requestsPerSecond;
    /// Number of requests accepted at once; by default the number that requestsPerSecond allows in
    /// one second.
    std::optional<Limit<double>> requestBurst;
    std::optional<Limit<double>> tokensPerSecond;
    /// Number of tokens accepted at once; by default the number that tokensPerSecond allows in one
    /// second.
    std::optional<Limit<double>> tokenBurst;
    /// Tokens by which one long prompt may exceed the burst.
    std::optional<Limit<double>> tokenDebt;
    std::optional<Limit<int>> concurrency;
    std::vector<PriorityRule> priorities; ///< Empty: every call has level 0.
    std::string defaultPriority; ///< Priority of a call that does not name one.
    std::optional<Limit<Base::Duration>> defaultDeadline;
    /// Maximum deadline of a call; a longer one is reduced to it.
    std::optional<Limit<Base::Duration>> maxDeadline;
    /// Names of the services that may be called; without a value, all of them.
    std::optional<Limit<std::vector<std::string>>> services;
};

} // namespace Lagoonbank::Admission
