#pragma once

#include "base/units.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

namespace Lagoonbank::Gateway {

/// A bounded set of quarantined items, each until a certain time.
///
/// The class reads no clock; time is an argument.
template<typename Item>
class QuarantineTable
{
public:
    struct Options
    {
        Base::Duration maxTime{}; ///< Longest time of a quarantine.
        std::size_t maxItems = 0; ///< Beyond it, the quarantine that ends first is dropped.
    };

    explicit QuarantineTable(Options options)
        : m_options(options)
    { }

    /// Adds an item; returns false if it is present or no time remains.
    bool add(const Item &item, Base::Duration remaining, Base::MonoTime now)
    {
        absl::erase_if(m_until, [now](const auto &entry) { return entry.second <= now; });
        const Base::Duration limited = std::min(remaining, m_options.maxTime);
        if (limited <= Base::Duration::zero() || m_until.contains(item))
            return false;
        if (m_until.size() >= m_options.maxItems) {
            m_until.erase(
                std::min_element(m_until.begin(), m_until.end(),
                                 [](const auto &a, const auto &b) { return a.second < b.second; }));
        }
        m_until.emplace(item, now + limited);
        return true;
    }
    /// Removes an item; returns whether it was present.
    bool remove(const Item &item) { return m_until.erase(item) > 0; }
    /// Remaining time of an item's quarantine; empty if there is none.
    std::optional<Base::Duration> timeLeft(const Item &item, Base::MonoTime now) const
    {
        const auto found = m_until.find(item);
        if (found == m_until.end() || found->second <= now)
            return std::nullopt;
        return found->second - now;
    }
    /// All items with their remaining times.
    std::vector<std::pair<Item, Base::Duration>> items(Base::MonoTime now) const
    {
        std::vector<std::pair<Item, Base::Duration>> all;
        for (const auto &[item, until] : m_until) {
            if (until > now)
                all.emplace_back(item, until - now);
        }
        return all;
    }
    bool isEmpty() const { return m_until.empty(); }

private:
    Options m_options;
    absl::flat_hash_map<Item, Base::MonoTime> m_until;
};

} // namespace Lagoonbank::Gateway
