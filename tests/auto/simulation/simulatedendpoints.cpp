#include "auto/simulation/simulatedendpoints.h"

#include "auto/simulation/simulatedconfiguration.h"

#include <algorithm>
#include <utility>

namespace Simulation {

using namespace Lagoonbank;
using std::chrono::milliseconds;

namespace {

constexpr Base::Duration heartbeatInterval = milliseconds(1200);
constexpr int maxMissedHeartbeats = 3;
constexpr Base::Duration expiryCheckInterval = milliseconds(100);
/// Running endpoints whose entries expired write them again within this time after an outage.
constexpr Base::Duration rewriteTime = milliseconds(1900);
/// Shortest outage that every store reader notices: each reads every 0.7 s and waits as long for
/// the answer.
constexpr Base::Duration minNoticedOutage = milliseconds(1500);
constexpr Base::Duration drainTime = milliseconds(2500);
constexpr std::uint16_t firstPort = 8000;

} // namespace

SimulatedEndpoints::SimulatedEndpoints(Options options)
    : m_options(options)
    , m_random(options.seed)
    , m_endpoints(options.count)
{
    m_expiresDuringOutage = m_random.chance(50);
    for (std::size_t i = 0; i < m_endpoints.size(); ++i) {
        Fleet::Endpoint &endpoint = m_endpoints[i].endpoint;
        endpoint.id = Base::EndpointId(id(i));
        endpoint.service = Base::ServiceId("service");
        endpoint.address = {"10.1.0." + std::to_string(i + 1), firstPort};
        endpoint.startedAt = options.worldTimers->clock().wallNow();
        m_endpoints[i].starts.push_back(*endpoint.startedAt);
    }
}

void SimulatedEndpoints::start()
{
    for (std::size_t i = 0; i < m_endpoints.size(); ++i)
        heartbeat(i, m_random.between(Base::Duration::zero(), heartbeatInterval));
    checkExpiry();
}

void SimulatedEndpoints::drain(std::size_t number)
{
    Process &process = m_endpoints.at(number);
    if (!process.isAlive || process.endpoint.state == Fleet::EndpointState::Draining)
        return;
    process.endpoint.state = Fleet::EndpointState::Draining;
    process.sequence += Fleet::EntrySequence(1);
    recordLeft(process);
    write(process);
    process.end = m_options.worldTimers->start(drainTime, [this, number] { leave(number); });
}

void SimulatedEndpoints::leave(std::size_t number)
{
    Process &process = m_endpoints.at(number);
    if (!process.isAlive)
        return;
    crash(number);
    if (isStoreAvailable())
        m_options.store->append(Topic::Endpoints, id(number), std::nullopt);
}

void SimulatedEndpoints::crash(std::size_t number)
{
    Process &process = m_endpoints.at(number);
    recordLeft(process);
    process.isAlive = false;
    process.isExpired = false;
    m_options.worldTimers->cancel(process.heartbeat);
    m_options.worldTimers->cancel(process.end);
}

void SimulatedEndpoints::recordLeft(Process &process) const
{
    process.leftAt.try_emplace(*process.endpoint.startedAt, m_options.worldTimers->clock().now());
}

void SimulatedEndpoints::restart(std::size_t number, RestartTime startTime, bool isAtSameAddress)
{
    Process &process = m_endpoints.at(number);
    crash(number);
    process.previous = entryOf(process);
    process.sequence = Fleet::EntrySequence(1);
    process.isAlive = true;
    process.endpoint.state = Fleet::EndpointState::Ready;
    if (!isAtSameAddress)
        ++process.endpoint.address.port;
    switch (startTime) {
    case RestartTime::Later:
        process.endpoint.startedAt = m_options.worldTimers->clock().wallNow();
        break;
    case RestartTime::Equal:
        break;
    case RestartTime::Earlier:
        *process.endpoint.startedAt -= std::chrono::seconds(3);
        break;
    }
    process.starts.push_back(*process.endpoint.startedAt);
    heartbeat(number, Base::Duration::zero());
}

void SimulatedEndpoints::writeUnreadable(std::size_t number)
{
    Process &process = m_endpoints.at(number);
    if (!process.isAlive || !isStoreAvailable())
        return;
    process.wasUnreadable = true;
    m_options.store->append(Topic::Endpoints, id(number), unreadableEntry);
}

void SimulatedEndpoints::writeLate(std::size_t number)
{
    const Process &process = m_endpoints.at(number);
    // Only if the current start is running, as it soon overwrites the entry.
    if (process.previous && process.isAlive && isStoreAvailable())
        m_options.store->append(Topic::Endpoints, id(number), *process.previous);
}

void SimulatedEndpoints::storeFailed()
{
    m_storeFailedAt = m_options.worldTimers->clock().now();
}

void SimulatedEndpoints::storeRecovered()
{
    const Base::MonoTime now = m_options.worldTimers->clock().now();
    // Every reader notices a restoration by the era of the answers.
    const bool wasRestored = m_restoredAt && *m_restoredAt >= m_storeFailedAt;
    if (wasRestored || now - m_storeFailedAt >= minNoticedOutage)
        m_noticedRecoveryAt = now;
    const bool expiresAtRecovery = !std::exchange(m_expiresDuringOutage, false);
    for (Process &process : m_endpoints) {
        if (expiresAtRecovery && isExpiryDue(process))
            expire(process, true);
    }
    m_expiresDuringOutage = m_random.chance(50);
    for (std::size_t i = 0; i < m_endpoints.size(); ++i) {
        // The other endpoints continue to write at their usual interval.
        if (m_endpoints[i].isExpired)
            heartbeat(i, m_random.between(Base::Duration::zero(), rewriteTime));
    }
}

void SimulatedEndpoints::storeRestored()
{
    m_restoredAt = m_options.worldTimers->clock().now();
    const auto &keys = m_options.store->keys(Topic::Endpoints);
    for (Process &process : m_endpoints) {
        const auto entry = keys.find(process.endpoint.id.value());
        const bool isMissing = entry == keys.end() || !entry->second.value;
        process.isExpired = process.isAlive && (process.isExpired || isMissing);
    }
}

std::size_t SimulatedEndpoints::numberOf(const Base::EndpointId &id)
{
    const std::string &text = id.value();
    return std::stoul(text.substr(text.rfind('-') + 1));
}

bool SimulatedEndpoints::isExpiredByOutage(std::size_t number) const
{
    const Process &process = m_endpoints.at(number);
    if (!process.isAlive || !process.isExpired || process.wasUnreadable
        || process.endpoint.state == Fleet::EndpointState::Draining)
        return false;
    const Base::MonoTime now = m_options.worldTimers->clock().now();
    const bool isLongOutage = !isStoreAvailable() && now - m_storeFailedAt >= minNoticedOutage;
    return isLongOutage || (m_noticedRecoveryAt && now - *m_noticedRecoveryAt <= rewriteTime);
}

bool SimulatedEndpoints::isBefore(std::size_t number, Base::WallTime earlier,
                                  Base::WallTime later) const
{
    const std::vector<Base::WallTime> &starts = m_endpoints.at(number).starts;
    return std::find(starts.rbegin(), starts.rend(), earlier)
        > std::find(starts.rbegin(), starts.rend(), later);
}

bool SimulatedEndpoints::isClockSetBack(std::size_t number) const
{
    const Process &process = m_endpoints.at(number);
    return *process.endpoint.startedAt
        < *std::max_element(process.starts.begin(), process.starts.end());
}

bool SimulatedEndpoints::hasLeftBefore(std::size_t number, Base::WallTime startedAt,
                                       Base::MonoTime time) const
{
    const Process &process = m_endpoints.at(number);
    const bool isUnique = std::count(process.starts.begin(), process.starts.end(), startedAt) == 1;
    if (!isUnique || isClockSetBack(number) || process.wasUnreadable)
        return false;
    const auto left = process.leftAt.find(startedAt);
    return left != process.leftAt.end() && left->second < time;
}

std::string SimulatedEndpoints::entryOf(const Process &process)
{
    return toText(process.endpoint, process.sequence);
}

bool SimulatedEndpoints::isStoreAvailable() const
{
    return m_options.storeFaults->activeRefusals + m_options.storeFaults->activeSilences == 0;
}

void SimulatedEndpoints::heartbeat(std::size_t number, Base::Duration delay)
{
    Process &process = m_endpoints.at(number);
    m_options.worldTimers->cancel(process.heartbeat);
    process.heartbeat = m_options.worldTimers->start(delay, [this, number] {
        write(m_endpoints.at(number));
        heartbeat(number, heartbeatInterval);
    });
}

void SimulatedEndpoints::write(Process &process)
{
    if (!process.isAlive || !isStoreAvailable())
        return;
    process.writtenAt = m_options.worldTimers->clock().now();
    m_options.store->append(Topic::Endpoints, process.endpoint.id.value(), entryOf(process));
    // An entry that is written again at once was never missing for routers.
    process.isExpired = false;
}

void SimulatedEndpoints::checkExpiry()
{
    for (Process &process : m_endpoints) {
        if (isExpiryDue(process) && (isStoreAvailable() || m_expiresDuringOutage))
            expire(process, !isStoreAvailable());
    }
    m_options.worldTimers->start(expiryCheckInterval, [this] { checkExpiry(); });
}

bool SimulatedEndpoints::isExpiryDue(const Process &process) const
{
    const Base::MonoTime since =
        std::max(process.writtenAt, m_restoredAt.value_or(process.writtenAt));
    return m_options.worldTimers->clock().now() - since > maxMissedHeartbeats * heartbeatInterval;
}

void SimulatedEndpoints::expire(Process &process, bool isByOutage)
{
    const auto &keys = m_options.store->keys(Topic::Endpoints);
    const auto known = keys.find(process.endpoint.id.value());
    if (known == keys.end() || !known->second.value)
        return;
    // Routers may remove an entry at once that a previous start wrote or that cannot be parsed.
    process.isExpired = process.isAlive && isByOutage && *known->second.value == entryOf(process);
    m_options.store->append(Topic::Endpoints, process.endpoint.id.value(), std::nullopt);
}

} // namespace Simulation
