#pragma once

#include "base/units.h"
#include "gateway/promptparts.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <cstddef>
#include <optional>
#include <utility>

namespace Lagoonbank::Gateway {

/// Remembers when an endpoint last began to answer a request with a prompt part. If there are too
/// many parts, those that were not used for longest are forgotten.
class PartHistory
{
public:
    struct Options
    {
        /// Number of parts that are remembered at least; up to twice as many take 24 bytes each.
        std::size_t minParts = 8192;
    };

    explicit PartHistory(Options options)
        : m_options(options)
    { }

    void record(PartHash part, Base::MonoTime at)
    {
        if (m_recent.size() >= m_options.minParts && !m_recent.contains(part))
            m_older = std::exchange(m_recent, {});
        m_recent[part] = std::max(at, lastBegin(part).value_or(at));
    }
    /// Unset if no begin is remembered.
    std::optional<Base::MonoTime> lastBegin(PartHash part) const
    {
        return std::max(find(m_recent, part), find(m_older, part));
    }
    /// Whether a begin at \a time or later is remembered.
    bool hasBegunSince(PartHash part, Base::MonoTime time) const
    {
        const auto last = lastBegin(part);
        return last && *last >= time;
    }

private:
    using Begins = absl::flat_hash_map<PartHash, Base::MonoTime>;

    static std::optional<Base::MonoTime> find(const Begins &begins, PartHash part)
    {
        const auto found = begins.find(part);
        return found != begins.end() ? std::optional(found->second) : std::nullopt;
    }

    Options m_options;
    Begins m_recent; ///< Those recorded since m_older was replaced.
    Begins m_older;
};

} // namespace Lagoonbank::Gateway
