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
constexpr Base::Duration lapseStep = milliseconds(100);
/// In which those that live write again after the store's return.
constexpr Base::Duration returnTime = milliseconds(1900);
/// No reader has to see a shorter one; each reads every 0.7 s and waits as long for the answer.
constexpr Base::Duration noticedOutage = milliseconds(1500);
/// From a drain to the end.
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
    Process &one = m_endpoints.at(number);
    if (!one.isAlive || one.endpoint.state == Fleet::EndpointState::Draining)
        return;
    one.endpoint.state = Fleet::EndpointState::Draining;
    write(one);
    one.end = m_options.worldTimers->start(drainTime, [this, number] { leave(number); });
}

void SimulatedEndpoints::leave(std::size_t number)
{
    Process &one = m_endpoints.at(number);
    if (!one.isAlive)
        return;
    crash(number);
    if (isStoreAvailable())
        m_options.store->append(Topic::Endpoints, id(number), std::nullopt);
}

void SimulatedEndpoints::crash(std::size_t number)
{
    Process &one = m_endpoints.at(number);
    one.isAlive = false;
    one.isExpired = false;
    m_options.worldTimers->cancel(one.heartbeat);
    m_options.worldTimers->cancel(one.end);
}

void SimulatedEndpoints::restart(std::size_t number, RestartTime how, bool isAtSameAddress)
{
    Process &one = m_endpoints.at(number);
    crash(number);
    one.previous = one.endpoint;
    one.isAlive = true;
    one.endpoint.state = Fleet::EndpointState::Ready;
    if (!isAtSameAddress)
        ++one.endpoint.address.port;
    switch (how) {
    case RestartTime::Later:
        one.endpoint.startedAt = m_options.worldTimers->clock().wallNow();
        break;
    case RestartTime::Equal:
        break;
    case RestartTime::Earlier:
        *one.endpoint.startedAt -= std::chrono::seconds(3);
        break;
    }
    one.starts.push_back(*one.endpoint.startedAt);
    heartbeat(number, Base::Duration::zero());
}

void SimulatedEndpoints::writeUnreadable(std::size_t number)
{
    Process &one = m_endpoints.at(number);
    if (!one.isAlive || !isStoreAvailable())
        return;
    one.wasUnreadable = true;
    m_options.store->append(Topic::Endpoints, id(number), unreadableEntry);
}

void SimulatedEndpoints::writeLate(std::size_t number)
{
    const Process &one = m_endpoints.at(number);
    // The start that runs writes again soon.
    if (one.previous && one.isAlive && isStoreAvailable())
        m_options.store->append(Topic::Endpoints, id(number), toText(*one.previous));
}

void SimulatedEndpoints::storeFailed()
{
    m_storeFailedAt = m_options.worldTimers->clock().now();
}

void SimulatedEndpoints::storeRecovered()
{
    const Base::MonoTime now = m_options.worldTimers->clock().now();
    if (now - m_storeFailedAt >= noticedOutage)
        m_noticedRecoveryAt = now;
    const bool wereAway = !std::exchange(m_expiresDuringOutage, false);
    for (Process &one : m_endpoints) {
        const Base::Duration age = now - one.writtenAt;
        if (wereAway && age > maxMissedHeartbeats * heartbeatInterval)
            expire(one, true);
    }
    m_expiresDuringOutage = m_random.chance(50);
    for (std::size_t i = 0; i < m_endpoints.size(); ++i) {
        // Others write as they always do.
        if (m_endpoints[i].isExpired)
            heartbeat(i, m_random.between(Base::Duration::zero(), returnTime));
    }
}

std::size_t SimulatedEndpoints::numberOf(const Base::EndpointId &id)
{
    const std::string &text = id.value();
    return std::stoul(text.substr(text.rfind('-') + 1));
}

bool SimulatedEndpoints::isExpiredByOutage(std::size_t number) const
{
    const Process &one = m_endpoints.at(number);
    if (!one.isAlive || !one.isExpired || one.wasUnreadable
        || one.endpoint.state == Fleet::EndpointState::Draining)
        return false;
    const Base::MonoTime now = m_options.worldTimers->clock().now();
    const bool isAwayLong = !isStoreAvailable() && now - m_storeFailedAt >= noticedOutage;
    return isAwayLong || (m_noticedRecoveryAt && now - *m_noticedRecoveryAt <= returnTime);
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
    const Process &one = m_endpoints.at(number);
    return *one.endpoint.startedAt < *std::max_element(one.starts.begin(), one.starts.end());
}

bool SimulatedEndpoints::isStoreAvailable() const
{
    return m_options.storeFaults->refuses + m_options.storeFaults->silent == 0;
}

void SimulatedEndpoints::heartbeat(std::size_t number, Base::Duration delay)
{
    Process &one = m_endpoints.at(number);
    m_options.worldTimers->cancel(one.heartbeat);
    one.heartbeat = m_options.worldTimers->start(delay, [this, number] {
        write(m_endpoints.at(number));
        heartbeat(number, heartbeatInterval);
    });
}

void SimulatedEndpoints::write(Process &one)
{
    if (!one.isAlive || !isStoreAvailable())
        return;
    one.writtenAt = m_options.worldTimers->clock().now();
    m_options.store->append(Topic::Endpoints, one.endpoint.id.value(), toText(one.endpoint));
    // One that was back at once was never missing.
    one.isExpired = false;
}

void SimulatedEndpoints::checkExpiry()
{
    const Base::MonoTime now = m_options.worldTimers->clock().now();
    for (Process &one : m_endpoints) {
        const bool isDue = now - one.writtenAt > maxMissedHeartbeats * heartbeatInterval;
        if (isDue && (isStoreAvailable() || m_expiresDuringOutage))
            expire(one, !isStoreAvailable());
    }
    m_options.worldTimers->start(lapseStep, [this] { checkExpiry(); });
}

void SimulatedEndpoints::expire(Process &one, bool isByOutage)
{
    const auto &keys = m_options.store->keys(Topic::Endpoints);
    const auto known = keys.find(one.endpoint.id.value());
    if (known == keys.end() || !known->second.value)
        return;
    // What a start before wrote, or nobody can read, may be given up at once.
    one.isExpired = one.isAlive && isByOutage && *known->second.value == toText(one.endpoint);
    m_options.store->append(Topic::Endpoints, one.endpoint.id.value(), std::nullopt);
}

} // namespace Simulation
