#pragma once

#include <algorithm>
#include <vector>

namespace Lagoonbank::Admission {

/// Result of a max-min fair division: no participant gets more than its demand while the demand of
/// another one is unmet, and what remains after all demands are met is split equally. The two
/// values are enough to compute the share of each participant.
struct FairDivision
{
    double level = 0; ///< Upper bound up to which each demand is met.
    double extra = 0; ///< Added to each share; zero unless every demand is met.

    double shareOf(double demand) const { return std::min(demand, level) + extra; }
};

/// Divides \a total among \a demands; the shares add up to \a total.
FairDivision divideFairly(std::vector<double> demands, double total);

} // namespace Lagoonbank::Admission
