#pragma once

#include "fleet/endpoint.h"
#include "runtime/timerqueue.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

namespace Lagoonbank::Fleet {

/// A tombstone of an endpoint that has gone. Entries up to this version are ignored.
struct GoneEndpoint
{
    Base::EndpointId id;
    Base::LogOffset version;
    // Of the last known entry.
    std::optional<Base::WallTime> startedAt;
    EntrySequence sequence;
};

/// Digest of all known endpoints: one content hash for each bucket of ids. Versions are left out,
/// so that routers with the same endpoints have the same digest. Routers compare digests and
/// exchange only the buckets that differ. With 64 buckets and 1,500 endpoints, one change costs
/// about 24 transferred entries instead of 1,500.
using EndpointDigest = std::array<std::uint64_t, 64>;
/// The digest bucket of an endpoint. It is the same on every router.
std::size_t digestBucket(const Base::EndpointId &id);

/// The running endpoints according to the records of the platform's store, which are either read by
/// this router or received from a peer. The offset of a record is its version; records with an
/// older version than the known one are ignored, whatever their source.
///
/// Entries expire during an outage of the store although their endpoints are alive. An entry that
/// the store drops within `rewriteTime` after an outage is therefore removed only at the end of
/// that time, unless its endpoint was draining.
///
/// A store that was restored from an older copy has outdated entries under new versions until the
/// endpoints have written theirs again. For `restoredEntryExpiry`, an entry of a later era is
/// therefore compared with the known one by the endpoint's own count of its writes. If it is older,
/// or if the endpoint has gone since, it is ignored unless the store still has it after that time.
class EndpointDirectory
{
public:
    struct Options
    {
        Runtime::TimerQueue *timers = nullptr;
        /// Time in which endpoints write their entries again after an outage of the store.
        Base::Duration rewriteTime = std::chrono::milliseconds(2200);
        /// Maximum age of the last read when pending removals take effect; the store is read more
        /// often. After a longer time they wait for the next read, which may bring the entries
        /// back.
        Base::Duration maxReadAge = std::chrono::milliseconds(800);
        /// Time after which the store has dropped a restored entry if its endpoint does not write
        /// any more: three missed heartbeats of 1.2 s, and the next read.
        Base::Duration restoredEntryExpiry = std::chrono::seconds(5);
        /// Maximum number of gone endpoints to remember. It is far above the number of endpoints
        /// that can go while an older entry is still being propagated.
        std::size_t maxGoneEndpoints = 256;
    };
    struct Entry
    {
        Endpoint endpoint;
        Base::LogOffset version;
        EntrySequence sequence;
        /// Whether the entry seems to be older than a previous one, but the endpoint has written it
        /// repeatedly or keeps it alive, which shows that it is current.
        bool isConfirmed = false;
    };
    using Entries = absl::flat_hash_map<Base::EndpointId, Entry>;

    explicit EndpointDirectory(Options options)
        : m_options(options)
    { }
    ~EndpointDirectory();
    EndpointDirectory(const EndpointDirectory &) = delete;
    EndpointDirectory &operator=(const EndpointDirectory &) = delete;

    /// Adds or updates an entry. An entry whose start time is earlier than the known one is taken
    /// for a delayed write and ignored until it is written a second time: a delayed write arrives
    /// once, whereas an endpoint that restarted with its clock set back keeps writing. An entry
    /// without a start time is attributed to the known start. An entry that a peer has confirmed is
    /// not ignored.
    void put(Entry entry);
    /// Handles an entry that the store has dropped. See the class documentation for when the
    /// endpoint is removed.
    void entryDropped(const Base::EndpointId &id, Base::LogOffset version);
    /// Removes an endpoint at once, because its newest entry cannot be read or because a peer
    /// reports that it has gone (the peer has waited for `rewriteTime` if that was needed). An
    /// unknown endpoint is remembered as gone too, as an older entry may still arrive from a peer.
    void remove(const GoneEndpoint &gone);
    /// Handles a complete listing of the store: entries older than \a end that are not in
    /// \a present have been dropped.
    void reconcile(const absl::flat_hash_set<Base::EndpointId> &present, Base::LogOffset end);
    /// Called when the store answers again after an outage.
    void storeReturned();
    /// Called when the store has been restored from an older copy, before it is read.
    void storeRestored();
    /// Called after each successful read of the store.
    void storeRead();
    /// Called when the store fails. If that happens within `rewriteTime` after an outage, pending
    /// removals are held until the store has returned.
    void storeFailed();
    /// Whether pending removals are held until the store returns.
    bool holdsRemovals() const { return m_holdsRemovals; }
    /// Whether the directory waits for endpoints to write their entries again after an outage of
    /// the store. Until then it defers the removal of entries that the store drops.
    bool isWaiting() const { return m_rewriteTimer || m_holdsRemovals; }
    /// Whether there are pending removals, or entries that may be delayed writes or outdated
    /// copies. Only further reads of the store can resolve them.
    bool hasUnconfirmedEntries() const
    {
        return !m_pendingRemovals.empty() || !m_unconfirmed.empty();
    }

    const Entries &entries() const { return m_entries; }
    const std::deque<GoneEndpoint> &gone() const { return m_gone; }
    const Endpoint *find(const Base::EndpointId &id) const;
    const EndpointDigest &digest() const { return m_digest; }
    /// A hash of the whole digest.
    std::uint64_t hash() const;

    /// Called after an endpoint was added or any of its fields has changed.
    std::function<void(const Entry &entry)> changed;
    /// Called after an entry was written again without a change.
    std::function<void(const Entry &entry)> renewed;
    /// Called after an endpoint was removed, with its last entry.
    std::function<void(const Entry &last)> removed;

private:
    bool isGone(const Base::EndpointId &id, Base::LogOffset version) const;
    /// Whether the store has dropped the endpoint's entry before the record with this version.
    bool isRemovalPending(const Base::EndpointId &id, Base::LogOffset version) const;
    /// Whether the entry comes from the copy that the store was restored from and is older than
    /// what is known.
    bool isOutdatedCopy(const Entry &entry) const;
    /// Whether this entry, which seems to be older than the known one, has to be ignored for now.
    bool isUnconfirmed(const Entry &entry);
    /// Whether the store may still have entries that are as old as the copy.
    bool mayHaveOutdatedCopies() const;
    void adoptRestoredEntries();
    void forgetRestoredEntry(const Base::EndpointId &id, Base::LogOffset version);
    void rememberGone(const GoneEndpoint &gone);
    /// Adds the endpoint to the digest, or removes it if it is included already.
    void toggleInDigest(const Endpoint &endpoint);
    /// Handles the end of rewriteTime.
    void rewriteTimeEnded();
    void removePending();

    Options m_options;
    Entries m_entries;
    std::deque<GoneEndpoint> m_gone; ///< In order of removal.
    /// End of the last complete listing. An unknown endpoint with an entry older than this has
    /// gone. Such an entry may still arrive from a peer that lags behind, and has to be ignored, as
    /// the store would never report its removal again.
    Base::LogOffset m_completeTo;
    EndpointDigest m_digest{};
    /// For each endpoint the last entry that was ignored as a possibly delayed write or outdated
    /// copy.
    absl::flat_hash_map<Base::EndpointId, Entry> m_unconfirmed;
    /// Start of restoredEntryExpiry; set until the first read after that time.
    std::optional<Base::MonoTime> m_restoredAt;
    bool m_hasFailedSinceRestored = false; ///< Entries may not expire while the store is down.
    std::vector<GoneEndpoint> m_pendingRemovals; ///< Dropped by the store, not removed yet.
    std::optional<Runtime::TimerId> m_rewriteTimer; ///< Runs for rewriteTime after an outage.
    std::optional<Base::MonoTime> m_readAt; ///< Time of the last read of the store.
    bool m_removesAtNextRead = false; ///< The last read was too old when rewriteTime ended.
    bool m_holdsRemovals = false; ///< The store failed again while the timer ran.
};

} // namespace Lagoonbank::Fleet
