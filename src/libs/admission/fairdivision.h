#pragma once

#include <algorithm>
#include <vector>

namespace Lagoonbank::Admission {

/// Max-min fair division of a whole: nobody gets more than asked while another lacks, and what is
/// left over after all demands is split equally. Two numbers say everyone's part.
struct FairDivision
{
    double level = 0; ///< Most that a demand is met with.
    double extra = 0; ///< What each gets besides; zero unless every demand is met.

    double shareOf(double demand) const { return std::min(demand, level) + extra; }
};

/// The division of `total` among these demands; the parts add up to it.
FairDivision divideFairly(std::vector<double> demands, double total);

} // namespace Lagoonbank::Admission
