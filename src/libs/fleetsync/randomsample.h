#pragma once

#include <algorithm>
#include <cstddef>
#include <random>
#include <utility>
#include <vector>

namespace Lagoonbank::FleetSync {

/// Returns at most \a count of the items, chosen at random.
template<typename Item>
std::vector<Item> randomSample(std::vector<Item> items, std::size_t count, std::mt19937_64 &random)
{
    std::shuffle(items.begin(), items.end(), random);
    items.resize(std::min(items.size(), count));
    return items;
}

} // namespace Lagoonbank::FleetSync
