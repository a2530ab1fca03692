#include "admission/fairdivision.h"

namespace Lagoonbank::Admission {

FairDivision divideFairly(std::vector<double> demands, double total)
{
    std::sort(demands.begin(), demands.end());
    double left = total;
    auto waiting = static_cast<double>(demands.size());
    for (const double demand : demands) {
        if (demand * waiting > left)
            return {.level = left / waiting, .extra = 0};
        left -= demand;
        --waiting;
    }
    return {.level = total, .extra = left / static_cast<double>(demands.size())};
}

} // namespace Lagoonbank::Admission
