#pragma once

#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <deque>
#include <string>

namespace Lagoonbank::PlatformClient {

/// The ids of the last records of a stream, so that a record that was appended twice counts once.
class RecentIds
{
public:
    explicit RecentIds(std::size_t capacity)
        : m_capacity(capacity)
    { }

    /// False if \a id is among the last ones; remembers it otherwise.
    bool insert(const std::string &id);

private:
    std::size_t m_capacity;
    std::deque<std::string> m_order;
    absl::flat_hash_set<std::string> m_ids;
};

} // namespace Lagoonbank::PlatformClient
