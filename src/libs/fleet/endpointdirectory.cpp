#include "fleet/endpointdirectory.h"

#include "base/logoffset.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <numeric>
#include <string>
#include <tuple>
#include <utility>

namespace Lagoonbank::Fleet {

namespace {

std::string startText(const Endpoint &endpoint)
{
    return endpoint.startedAt ? std::to_string(endpoint.startedAt->time_since_epoch().count())
                              : std::string();
}

bool isOfEarlierStart(const Endpoint &endpoint, const Endpoint &known)
{
    return endpoint.startedAt && known.startedAt && *endpoint.startedAt < *known.startedAt;
}

/// Whether an endpoint wrote the entry with \a startedAt and \a sequence before the other one.
bool isWrittenBefore(const std::optional<Base::WallTime> &startedAt, EntrySequence sequence,
                     const std::optional<Base::WallTime> &otherStartedAt,
                     EntrySequence otherSequence)
{
    if (startedAt && otherStartedAt && *startedAt != *otherStartedAt)
        return *startedAt < *otherStartedAt;
    return sequence < otherSequence;
}

/// Routers compare these hashes, so the hash function must not depend on the process.
std::uint64_t contentHash(const Endpoint &endpoint)
{
    std::string text = endpoint.id.value();
    for (const std::string &part :
         {endpoint.service.value(), Runtime::toString(endpoint.address),
          endpoint.dataCentre.value(), endpoint.softwareVersion, std::to_string(endpoint.slots),
          std::to_string(static_cast<int>(endpoint.state)), startText(endpoint),
          std::string(endpoint.isWarmingUp ? "warming up" : "")}) {
        text += '\n';
        text += part;
    }
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

std::size_t digestBucket(const Base::EndpointId &id)
{
    return XXH3_64bits(id.value().data(), id.value().size()) % std::tuple_size_v<EndpointDigest>;
}

EndpointDirectory::~EndpointDirectory()
{
    if (m_rewriteTimer)
        m_options.timers->cancel(*m_rewriteTimer);
}

void EndpointDirectory::put(Entry entry)
{
    Endpoint &endpoint = entry.endpoint;
    const Base::EndpointId id = endpoint.id;
    const auto known = m_entries.find(id);
    const Base::LogOffset newest =
        known != m_entries.end() ? known->second.version + Base::LogOffset(1) : m_completeTo;
    const bool isOld = entry.version < newest;
    if (isOld || isGone(id, entry.version))
        return;
    const bool isEarlier =
        known != m_entries.end() && isOfEarlierStart(endpoint, known->second.endpoint);
    const bool isOutdated = mayHaveOutdatedCopies() && isOutdatedCopy(entry);
    if (!entry.isConfirmed && (isEarlier || isOutdated) && isUnconfirmed(entry))
        return;
    m_unconfirmed.erase(id);
    if (known != m_entries.end() && !endpoint.startedAt)
        endpoint.startedAt = known->second.endpoint.startedAt;
    std::erase_if(m_pendingRemovals, [&](const GoneEndpoint &one) {
        return one.id == id && one.version < entry.version;
    });
    if (known != m_entries.end()) {
        known->second.version = entry.version;
        known->second.sequence = entry.sequence;
        known->second.isConfirmed = known->second.isConfirmed || entry.isConfirmed;
        if (known->second.endpoint == endpoint) {
            if (renewed)
                renewed(known->second);
            return;
        }
        toggleInDigest(known->second.endpoint);
    }
    toggleInDigest(endpoint);
    entry.isConfirmed = entry.isConfirmed || isEarlier;
    Entry &current = m_entries[id];
    current = std::move(entry);
    if (changed)
        changed(current);
}

void EndpointDirectory::entryDropped(const Base::EndpointId &id, Base::LogOffset version)
{
    const auto known = m_entries.find(id);
    if (known == m_entries.end()) {
        forgetRestoredEntry(id, version);
        return;
    }
    if (known->second.version > version)
        return;
    const bool mayReturn = (m_rewriteTimer || m_holdsRemovals)
        && known->second.endpoint.state != EndpointState::Draining;
    if (!mayReturn) {
        remove({id, version});
        return;
    }
    std::erase_if(m_pendingRemovals, [&](const GoneEndpoint &one) { return one.id == id; });
    m_pendingRemovals.push_back({id, version});
}

void EndpointDirectory::remove(const GoneEndpoint &gone)
{
    const auto known = m_entries.find(gone.id);
    if (known == m_entries.end()) {
        if (!isGone(gone.id, gone.version))
            rememberGone(gone);
        return;
    }
    if (known->second.version > gone.version)
        return;
    std::erase_if(m_pendingRemovals, [&](const GoneEndpoint &one) { return one.id == gone.id; });
    Entry last = std::move(known->second);
    last.version = gone.version;
    m_entries.erase(known);
    m_unconfirmed.erase(gone.id);
    toggleInDigest(last.endpoint);
    rememberGone({.id = gone.id,
                  .version = gone.version,
                  .startedAt = last.endpoint.startedAt,
                  .sequence = last.sequence});
    if (removed)
        removed(last);
}

void EndpointDirectory::reconcile(const absl::flat_hash_set<Base::EndpointId> &present,
                                  Base::LogOffset end)
{
    std::vector<Base::EndpointId> missing;
    for (const auto &[id, entry] : m_entries) {
        if (entry.version < end && !present.contains(id))
            missing.push_back(id);
    }
    for (const auto &[id, entry] : m_unconfirmed) {
        if (entry.version < end && !present.contains(id) && !m_entries.contains(id))
            missing.push_back(id);
    }
    m_completeTo = std::max(m_completeTo, end);
    // The record at \a end is not part of the listing and may be the endpoint's next entry.
    for (const Base::EndpointId &id : missing)
        entryDropped(id, end - Base::LogOffset(1));
}

void EndpointDirectory::storeReturned()
{
    m_holdsRemovals = false;
    if (m_rewriteTimer)
        m_options.timers->cancel(*m_rewriteTimer);
    m_rewriteTimer = m_options.timers->start(m_options.rewriteTime, [this] { rewriteTimeEnded(); });
}

void EndpointDirectory::rewriteTimeEnded()
{
    m_rewriteTimer.reset();
    m_removesAtNextRead =
        m_readAt && m_options.timers->clock().now() - *m_readAt > m_options.maxReadAge;
    if (!m_removesAtNextRead)
        removePending();
}

void EndpointDirectory::storeRestored()
{
    m_restoredAt = m_options.timers->clock().now();
    m_hasFailedSinceRestored = false;
    storeReturned();
}

void EndpointDirectory::storeRead()
{
    m_readAt = m_options.timers->clock().now();
    if (std::exchange(m_removesAtNextRead, false) && !isWaiting())
        removePending();
    if (!m_restoredAt)
        return;
    if (std::exchange(m_hasFailedSinceRestored, false))
        m_restoredAt = m_options.timers->clock().now();
    if (mayHaveOutdatedCopies())
        return;
    m_restoredAt.reset();
    adoptRestoredEntries();
}

void EndpointDirectory::storeFailed()
{
    m_hasFailedSinceRestored = true;
    if (!m_rewriteTimer)
        return;
    m_options.timers->cancel(*std::exchange(m_rewriteTimer, std::nullopt));
    m_holdsRemovals = true;
}

const Endpoint *EndpointDirectory::find(const Base::EndpointId &id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second.endpoint;
}

bool EndpointDirectory::isGone(const Base::EndpointId &id, Base::LogOffset version) const
{
    return std::any_of(m_gone.begin(), m_gone.end(), [&](const GoneEndpoint &one) {
        return one.id == id && one.version >= version;
    });
}

bool EndpointDirectory::isRemovalPending(const Base::EndpointId &id, Base::LogOffset version) const
{
    return std::any_of(m_pendingRemovals.begin(), m_pendingRemovals.end(),
                       [&](const GoneEndpoint &one) {
                           return one.id == id && one.version < version
                               && Base::eraOf(one.version) == Base::eraOf(version);
                       });
}

bool EndpointDirectory::mayHaveOutdatedCopies() const
{
    return m_restoredAt
        && m_options.timers->clock().now() - *m_restoredAt < m_options.restoredEntryExpiry;
}

bool EndpointDirectory::isOutdatedCopy(const Entry &entry) const
{
    const auto isOfLaterEra = [&entry](Base::LogOffset version) {
        return Base::eraOf(entry.version) > Base::eraOf(version);
    };
    const std::optional<Base::WallTime> &startedAt = entry.endpoint.startedAt;
    const auto known = m_entries.find(entry.endpoint.id);
    if (known != m_entries.end()) {
        return isOfLaterEra(known->second.version)
            && isWrittenBefore(startedAt, entry.sequence, known->second.endpoint.startedAt,
                               known->second.sequence);
    }
    return std::any_of(m_gone.begin(), m_gone.end(), [&](const GoneEndpoint &one) {
        // An endpoint that is missing in an empty log has gone just before the log's first offset.
        return one.id == entry.endpoint.id && isOfLaterEra(one.version + Base::LogOffset(1))
            && !isWrittenBefore(one.startedAt, one.sequence, startedAt, entry.sequence);
    });
}

/// An entry written after the store dropped that of the known start is current, whatever its start
/// time. Otherwise an entry has to be written twice. The same write may be read again in a later
/// era.
bool EndpointDirectory::isUnconfirmed(const Entry &entry)
{
    const Base::EndpointId &id = entry.endpoint.id;
    if (isRemovalPending(id, entry.version))
        return false;
    const auto previous = m_unconfirmed.find(id);
    const bool isRepeated = previous != m_unconfirmed.end()
        && previous->second.endpoint.startedAt == entry.endpoint.startedAt
        && Base::eraOf(previous->second.version) == Base::eraOf(entry.version);
    if (!isRepeated)
        m_unconfirmed.insert_or_assign(id, entry);
    return !isRepeated || previous->second.version >= entry.version;
}

/// Uses the entries that were taken for outdated copies but that the store has kept.
void EndpointDirectory::adoptRestoredEntries()
{
    std::vector<Entry> kept;
    for (const auto &[id, entry] : m_unconfirmed) {
        if (isOutdatedCopy(entry))
            kept.push_back(entry);
    }
    for (Entry &entry : kept) {
        entry.isConfirmed = true;
        put(std::move(entry));
    }
}

/// The store has dropped an entry that this router has ignored. Peers that have used it get the new
/// tombstone when they pull the difference.
void EndpointDirectory::forgetRestoredEntry(const Base::EndpointId &id, Base::LogOffset version)
{
    const auto restored = m_unconfirmed.find(id);
    if (restored == m_unconfirmed.end() || restored->second.version > version)
        return;
    rememberGone({.id = id,
                  .version = version,
                  .startedAt = restored->second.endpoint.startedAt,
                  .sequence = restored->second.sequence});
    m_unconfirmed.erase(restored);
}

void EndpointDirectory::rememberGone(const GoneEndpoint &gone)
{
    std::erase_if(m_gone, [&](const GoneEndpoint &one) {
        return one.id == gone.id && one.version <= gone.version;
    });
    m_gone.push_back(gone);
    if (m_gone.size() > m_options.maxGoneEndpoints)
        m_gone.pop_front();
}

std::uint64_t EndpointDirectory::hash() const
{
    return std::accumulate(m_digest.begin(), m_digest.end(), std::uint64_t{0}, std::bit_xor());
}

void EndpointDirectory::toggleInDigest(const Endpoint &endpoint)
{
    m_digest.at(digestBucket(endpoint.id)) ^= contentHash(endpoint);
}

void EndpointDirectory::removePending()
{
    for (const GoneEndpoint &one : std::exchange(m_pendingRemovals, {}))
        remove(one);
}

} // namespace Lagoonbank::Fleet
