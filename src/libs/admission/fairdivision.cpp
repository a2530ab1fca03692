#include "admission/fairdivision.h"

namespace Lagoonbank::Admission {

FairDivision divideFairly(std::vector<double> demands, double total)
{
    std::sort(demands.begin(), demands.end());
    double remaining = total;
    auto unserved = static_cast<double>(demands.size());
    for (const double demand : demands) {
        if (demand * unserved > remaining)
            return {.level = remaining / unserved, .extra = 0};
        remaining -= demand;
        --unserved;
    }
    return {.level = total, .extra = remaining / static_cast<double>(demands.size())};
}

} // namespace Lagoonbank::Admission
