#include "fleet/endpointdirectory.h"

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

void EndpointDirectory::put(Endpoint endpoint, Base::LogOffset version, bool isConfirmed)
{
    const Base::EndpointId id = endpoint.id;
    const auto known = m_entries.find(id);
    const Base::LogOffset newest =
        known != m_entries.end() ? known->second.version + Base::LogOffset(1) : m_completeTo;
    const bool isOld = version < newest;
    if (isOld || isGone(id, version))
        return;
    const bool isEarlier =
        known != m_entries.end() && isOfEarlierStart(endpoint, known->second.endpoint);
    if (isEarlier && !isConfirmed && isDelayedWrite(endpoint, version))
        return;
    m_unconfirmed.erase(id);
    if (known != m_entries.end() && !endpoint.startedAt)
        endpoint.startedAt = known->second.endpoint.startedAt;
    std::erase_if(m_pendingRemovals,
                  [&](const GoneEndpoint &one) { return one.id == id && one.version < version; });
    if (known != m_entries.end()) {
        known->second.version = version;
        known->second.isConfirmed = known->second.isConfirmed || isConfirmed;
        if (known->second.endpoint == endpoint)
            return;
        toggleInDigest(known->second.endpoint);
    }
    toggleInDigest(endpoint);
    Entry &entry = m_entries[id];
    entry = {std::move(endpoint), version, isEarlier || isConfirmed};
    if (changed)
        changed(entry);
}

void EndpointDirectory::entryDropped(const Base::EndpointId &id, Base::LogOffset version)
{
    const auto known = m_entries.find(id);
    if (known == m_entries.end() || known->second.version > version)
        return;
    const bool mayReturn = (m_rewriteTimer || m_holdsRemovals)
        && known->second.endpoint.state != EndpointState::Draining;
    if (!mayReturn) {
        remove(id, version);
        return;
    }
    std::erase_if(m_pendingRemovals, [&](const GoneEndpoint &one) { return one.id == id; });
    m_pendingRemovals.push_back({id, version});
}

void EndpointDirectory::remove(const Base::EndpointId &id, Base::LogOffset version)
{
    const auto known = m_entries.find(id);
    if (known == m_entries.end()) {
        if (!isGone(id, version))
            rememberGone(id, version);
        return;
    }
    if (known->second.version > version)
        return;
    std::erase_if(m_pendingRemovals, [&](const GoneEndpoint &one) { return one.id == id; });
    Entry last = std::move(known->second);
    last.version = version;
    m_entries.erase(known);
    m_unconfirmed.erase(id);
    toggleInDigest(last.endpoint);
    rememberGone(id, version);
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
    m_rewriteTimer = m_options.timers->start(m_options.rewriteTime, [this] {
        m_rewriteTimer.reset();
        removePending();
    });
}

void EndpointDirectory::storeFailed()
{
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
    return std::any_of(
        m_pendingRemovals.begin(), m_pendingRemovals.end(),
        [&](const GoneEndpoint &one) { return one.id == id && one.version < version; });
}

/// An entry written after the store dropped that of the known start is not a delayed write,
/// whatever its start time.
bool EndpointDirectory::isDelayedWrite(const Endpoint &endpoint, Base::LogOffset version)
{
    if (isRemovalPending(endpoint.id, version))
        return false;
    const auto unconfirmed = m_unconfirmed.find(endpoint.id);
    if (unconfirmed != m_unconfirmed.end()
        && unconfirmed->second.endpoint.startedAt == endpoint.startedAt
        && unconfirmed->second.version < version)
        return false;
    m_unconfirmed.insert_or_assign(endpoint.id, Entry{endpoint, version});
    return true;
}

void EndpointDirectory::rememberGone(const Base::EndpointId &id, Base::LogOffset version)
{
    m_gone.push_back({id, version});
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
        remove(one.id, one.version);
}

} // namespace Lagoonbank::Fleet
