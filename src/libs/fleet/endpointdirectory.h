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

/// An endpoint that has gone, so that older news of it are not believed.
struct GoneEndpoint
{
    Base::EndpointId id;
    Base::LogOffset version;
};

/// Of what is known of all endpoints, whatever the versions: a hash for each bucket of ids, the
/// same on routers that know the same. Routers compare digests to pass on only what differs; with
/// 64 buckets one change of 1,500 endpoints costs 24 entries in place of all.
using EndpointDigest = std::array<std::uint64_t, 64>;
/// The bucket of an endpoint; the same on every router.
std::size_t digestBucket(const Base::EndpointId &id);

/// The endpoints that are there, as records of the platform's store tell, whether this router read
/// them or heard of them from another one. A record's offset is its version; older ones change
/// nothing, whichever way they come.
///
/// Entries lapse while the store is away, although their endpoints live. So an entry that is
/// dropped within `rewriteTime` of the store's return is believed gone only after that time, unless
/// it was draining.
class EndpointDirectory
{
public:
    struct Options
    {
        Runtime::TimerQueue *timers = nullptr;
        /// How long endpoints take to write their entries again after the store's return.
        Base::Duration rewriteTime = std::chrono::milliseconds(2200);
        /// Gone endpoints that are remembered; far more than leave while news are on their way.
        std::size_t maxGoneEndpoints = 256;
    };
    struct Entry
    {
        Endpoint endpoint;
        Base::LogOffset version;
        /// It came again after one of a later start, so that it is no late write.
        bool isConfirmed = false;
    };
    using Entries = absl::flat_hash_map<Base::EndpointId, Entry>;

    explicit EndpointDirectory(Options options)
        : m_options(options)
    { }
    ~EndpointDirectory();
    EndpointDirectory(const EndpointDirectory &) = delete;
    EndpointDirectory &operator=(const EndpointDirectory &) = delete;

    /// An entry was written. One of a start before the one that is known came late, and changes
    /// nothing unless it comes again: late writes come once, and a start whose clock was set back
    /// writes again and again. One that names no start is of the one that is known. \a isConfirmed
    /// says that a peer has seen it come again.
    void put(Endpoint endpoint, Base::LogOffset version, bool isConfirmed = false);
    /// The store has dropped the entry; see the class for when that is believed.
    void entryDropped(const Base::EndpointId &id, Base::LogOffset version);
    /// The endpoint is not to be used: another router, which has waited where that was needed,
    /// knows that it has gone, or its newest entry cannot be read. Remembered also where the
    /// endpoint is not known, as an older entry may still come from a peer.
    void remove(const Base::EndpointId &id, Base::LogOffset version);
    /// All entries that the store had at \a end were read; others of before have gone.
    void reconcile(const absl::flat_hash_set<Base::EndpointId> &present, Base::LogOffset end);
    /// The store answers again after it was away.
    void storeReturned();
    /// The store is away again. Entries that it dropped lately are kept until it has returned.
    void storeFailed();
    /// Whether it does so.
    bool holdsRemovals() const { return m_holdsRemovals; }
    /// Whether entries that are dropped now are kept for a while.
    bool isWaiting() const { return m_rewriteTimer || m_holdsRemovals; }
    /// Whether entries have been dropped that may still come back, or have come that may be late
    /// writes; only the store can tell.
    bool hasUnconfirmedEntries() const
    {
        return !m_pendingRemovals.empty() || !m_unconfirmed.empty();
    }

    const Entries &entries() const { return m_entries; }
    const std::deque<GoneEndpoint> &gone() const { return m_gone; }
    const Endpoint *find(const Base::EndpointId &id) const;
    const EndpointDigest &digest() const { return m_digest; }
    /// Of the whole digest.
    std::uint64_t hash() const;

    /// An endpoint is new or something of it has changed.
    std::function<void(const Entry &entry)> changed;
    std::function<void(const Entry &last)> removed;

private:
    bool isGone(const Base::EndpointId &id, Base::LogOffset version) const;
    bool isRemovalPending(const Base::EndpointId &id, Base::LogOffset version) const;
    /// Whether this entry of an earlier start is a write that came late.
    bool isLateWrite(const Endpoint &endpoint, Base::LogOffset version);
    void rememberGone(const Base::EndpointId &id, Base::LogOffset version);
    /// Adds the endpoint to the digest, or takes it out again.
    void toggleInDigest(const Endpoint &endpoint);
    void removePending();

    Options m_options;
    Entries m_entries;
    std::deque<GoneEndpoint> m_gone; ///< The last one last.
    /// All entries of before that were there were read, so others have gone. A peer that has not
    /// heard of that may still tell of one, and the store would never tell again that it has gone.
    Base::LogOffset m_completeTo;
    EndpointDigest m_digest{};
    /// Entries of earlier starts that came last, and changed nothing.
    absl::flat_hash_map<Base::EndpointId, Entry> m_unconfirmed;
    std::vector<GoneEndpoint> m_pendingRemovals; ///< Dropped by the store, not yet believed.
    std::optional<Runtime::TimerId> m_rewriteTimer; ///< Runs for rewriteTime after a return.
    bool m_holdsRemovals = false; ///< The store went away while the timer ran.
};

} // namespace Lagoonbank::Fleet
