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

/// What a request that wants to run a matter finds.
enum class ClaimStatus : std::uint8_t {
    Free, ///< Nobody holds it.
    Held, ///< This request holds it.
    Running, ///< Another request holds it and may be running.
    Ended, ///< It ran; its outcome is known.
    Unknown, ///< Another request held it and it cannot be known whether it ran.
    KeyReused ///< The key was used for a different call.
};

/// The claims of the log's stream, applied in the order of their offsets. Pure: the same records
/// give the same holders on every router, since the first claim of a key wins.
class ClaimTable
{
public:
    struct Options
    {
        Base::Duration window = std::chrono::hours(1); ///< For which a claim is remembered.
        /// New claims should be refused above this many.
        std::size_t fullThreshold = 200'000;
        /// The oldest claims are forgotten above this many, whatever their age.
        std::size_t capacity = 400'000;
        /// After which a claim without an outcome is Unknown, though its router may be alive.
        Base::Duration maxRunTime = std::chrono::minutes(15);
    };
    struct Entry
    {
        Claim claim;
        Base::MonoTime since;
        std::uint64_t sequence = 0;
        std::optional<Outcome> outcome;
    };
    /// Whether that run of a router has ended for sure.
    using IsGone = std::function<bool(const RouterInstance &)>;

    explicit ClaimTable(const Options &options)
        : m_options(options)
    { }

    /// A claim loses to an earlier one of the same key, unless that ended without having run.
    void apply(const Claim &claim, Base::MonoTime now);
    /// The first outcome of a request stays, except that a known one replaces an unknown one.
    void apply(const ClaimOutcome &end, Base::MonoTime now);

    ClaimStatus claimStatus(const Claim &claim, Base::MonoTime now, const IsGone &isGone) const;
    /// The holder of \a key; null if there is none.
    const Entry *find(const ClaimKey &key) const;
    std::size_t size() const { return m_entries.size(); }
    bool isFull() const { return m_entries.size() >= m_options.fullThreshold; }

private:
    struct EvictionEntry
    {
        ClaimKey key;
        std::uint64_t sequence;
        Base::MonoTime since;
    };

    void insert(const Claim &claim, std::optional<Outcome> outcome, Base::MonoTime now);
    void evictExpired(Base::MonoTime now);
    void evictOldest();

    Options m_options;
    absl::flat_hash_map<ClaimKey, Entry> m_entries;
    std::deque<EvictionEntry>
        m_order; ///< By age; places of entries that were replaced stay until then.
    std::uint64_t m_lastSequence = 0;
};

} // namespace Lagoonbank::Claims
