#pragma once

#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <deque>
#include <string>

namespace Lagoonbank::PlatformClient {

/// The ids of the most recent records of a stream, for detecting records that were appended twice.
class RecentIds
{
public:
    explicit RecentIds(std::size_t capacity)
        : m_capacity(capacity)
    { }

    /// Adds \a id; returns false if it is among the recent ids already.
    bool insert(const std::string &id);

private:
    std::size_t m_capacity;
    std::deque<std::string> m_order;
    absl::flat_hash_set<std::string> m_ids;
};

} // namespace Lagoonbank::PlatformClient
