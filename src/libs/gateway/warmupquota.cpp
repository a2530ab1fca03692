#include "gateway/warmupquota.h"

#include "routing/rendezvous.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace Lagoonbank::Gateway {

void WarmupQuota::setFleet(Fleet fleet)
{
    if (fleet == m_fleet)
        return;
    m_fleet = std::move(fleet);
    m_selfHash = Routing::stableHash(m_fleet.self);
    m_otherHashes.clear();
    for (const std::string &other : m_fleet.others)
        m_otherHashes.push_back(Routing::stableHash(other));
    ++m_generation;
}

bool WarmupQuota::admits(WarmupRecord &record, std::uint64_t endpointHash, double sustainableRate,
                         Base::MonoTime now) const
{
    if (m_options.startedAt && now - *m_options.startedAt < m_options.window)
        return false;
    if (now < record.pausedUntil)
        return false;
    std::erase_if(record.sends, [&](Base::MonoTime at) { return now - at >= m_options.window; });
    return record.sends.size() < requestsPerWindow(record, endpointHash, sustainableRate);
}

void WarmupQuota::recordSend(WarmupRecord &record, Base::MonoTime now) const
{
    record.sends.push_back(now);
}

/// Number of requests that this router may send per window. The shares of all routers add up to the
/// sustainable rate, and to at least one request.
std::size_t WarmupQuota::requestsPerWindow(WarmupRecord &record, std::uint64_t endpointHash,
                                           double sustainableRate) const
{
    if (record.generation != m_generation) {
        record.routerRank = routerRank(endpointHash);
        record.generation = m_generation;
    }
    const std::size_t all = std::max<std::size_t>(1, static_cast<std::size_t>(sustainableRate));
    const std::size_t routers =
        isFleetKnown() ? m_fleet.others.size() + 1 : m_options.assumedFleetSize;
    return all / routers + (record.routerRank < all % routers ? 1 : 0);
}

/// Position of this router in the endpoint's order of routers. If the fleet is unknown, it is
/// estimated from the hash of this router alone.
std::size_t WarmupQuota::routerRank(std::uint64_t endpointHash) const
{
    const std::uint64_t own = Routing::mixHashes(endpointHash, m_selfHash);
    if (!isFleetKnown()) {
        const double part = static_cast<double>(own)
            / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
        return static_cast<std::size_t>(part * static_cast<double>(m_options.assumedFleetSize));
    }
    return static_cast<std::size_t>(
        std::count_if(m_otherHashes.begin(), m_otherHashes.end(), [&](std::uint64_t other) {
            return Routing::mixHashes(endpointHash, other) < own;
        }));
}

} // namespace Lagoonbank::Gateway
