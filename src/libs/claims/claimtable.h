#pragma once

#include "base/units.h"
#include "claims/claim.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>

namespace Lagoonbank::Claims {

/// State of a key from the point of view of one request.
enum class ClaimStatus : std::uint8_t {
    Free, ///< No request holds the key.
    Held, ///< This request holds the key.
    Running, ///< Another request holds the key and may be running.
    Ended, ///< The operation has run; its outcome is known.
    Unknown, ///< The request that held the key may or may not have run.
    KeyReused ///< The key was used for a different call.
};

/// The claims of the log stream, applied in the order of their offsets. Does no I/O. The same
/// records result in the same holders on every router, as the first claim of a key wins.
class ClaimTable
{
public:
    struct Options
    {
        Base::Duration window = std::chrono::hours(1); ///< Age at which a claim expires.
        /// Number of entries from which new claims should be refused.
        std::size_t fullThreshold = 200'000;
        /// Number of entries above which the oldest ones are evicted, whatever their age.
        std::size_t capacity = 400'000;
        /// A claim without an outcome becomes Unknown after this time, even if its router may be
        /// alive.
        Base::Duration maxRunTime = std::chrono::minutes(15);
    };
    struct Entry
    {
        Claim claim;
        Base::MonoTime claimedAt;
        std::uint64_t sequence = 0;
        std::optional<Outcome> outcome;
    };
    /// Whether the router instance is known to have ended.
    using IsGone = std::function<bool(const RouterInstance &)>;

    explicit ClaimTable(const Options &options)
        : m_options(options)
    { }

    /// Applies a claim; an earlier claim of the same key wins unless it ended without having run.
    void apply(const Claim &claim, Base::MonoTime now);
    /// Applies an outcome; the first one of a request is kept, except that a known outcome replaces
    /// an unknown one.
    void apply(const ClaimOutcome &claimOutcome, Base::MonoTime now);

    /// The state of the claim's key, from the point of view of the request that made the claim.
    ClaimStatus claimStatus(const Claim &claim, Base::MonoTime now, const IsGone &isGone) const;
    /// The entry of the holder of \a key; null if there is none.
    const Entry *find(const ClaimKey &key) const;
    std::size_t size() const { return m_entries.size(); }
    bool isFull() const { return m_entries.size() >= m_options.fullThreshold; }

private:
    struct EvictionEntry
    {
        ClaimKey key;
        std::uint64_t sequence;
        Base::MonoTime claimedAt;
    };

    void insert(const Claim &claim, std::optional<Outcome> outcome, Base::MonoTime now);
    void evictExpired(Base::MonoTime now);
    void evictOldest();

    Options m_options;
    absl::flat_hash_map<ClaimKey, Entry> m_entries;
    std::deque<EvictionEntry> m_order; ///< Oldest first; includes entries that were replaced.
    std::uint64_t m_lastSequence = 0;
};

} // namespace Lagoonbank::Claims
