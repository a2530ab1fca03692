#pragma once

#include "base/units.h"

#include <optional>
#include <string>
#include <vector>

namespace Lagoonbank::Admission {

/// One limit of a contract and the place that it comes from, as `file:line`.
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

/// All limits of one workspace over the whole fleet. A limit that is not set does not hold.
struct WorkspaceLimits
{
    std::optional<Limit<double>> requestsPerSecond;
    std::optional<Limit<double>> requestBurst; ///< Requests at once; one second's worth if not set.
    std::optional<Limit<double>> tokensPerSecond;
    std::optional<Limit<double>> tokenBurst; ///< Tokens at once; one second's worth if not set.
    std::optional<Limit<double>> tokenDebt; ///< Tokens that one long prompt may go below zero.
    std::optional<Limit<int>> concurrency;
    std::vector<PriorityRule> priorities; ///< Empty: every call has level 0.
    std::string defaultPriority; ///< Name of the priority of a call that names none.
    std::optional<Limit<Base::Duration>> defaultDeadline;
    std::optional<Limit<Base::Duration>> maxDeadline; ///< A longer wish is cut down to it.
    std::optional<Limit<std::vector<std::string>>> services; ///< Not set: every service.
};

} // namespace Lagoonbank::Admission
