#include "fleetsync/endpointendgossip.h"

#include <algorithm>
#include <utility>

namespace Lagoonbank::FleetSync {

namespace {

/// Maximum number of reports in one datagram.
constexpr std::size_t maxReports = 32;
/// Size of a datagram without reports: IP and UDP headers, version and count.
constexpr double emptyDatagramBytes = 42;
constexpr double reportBytes = 10;

} // namespace

EndpointEndGossip::EndpointEndGossip(Options options)
    : m_options(std::move(options))
    , m_random(m_options.randomSeed)
    , m_byteBudget({.rate = m_options.bytesPerSecond, .burst = m_options.burstBytes})
{ }

EndpointEndGossip::~EndpointEndGossip()
{
    if (m_timer)
        m_options.timers->cancel(*m_timer);
}

void EndpointEndGossip::report(std::uint64_t startHash, Base::Duration age)
{
    const bool isCollected =
        send && m_collected.size() < maxReports && isNew(startHash, m_reportedAt);
    if (!isCollected)
        return;
    const Base::Duration ageWhenSent = age + m_options.collectTime;
    m_collected.push_back({.endpoint = startHash,
                           .ageMs = static_cast<std::uint16_t>(Base::toMilliseconds(ageWhenSent))});
    if (!m_timer)
        m_timer = m_options.timers->start(m_options.collectTime, [this] { sendCollected(); });
}

/// Begins with a random peer, so that not always the same ones are left out if the budget is too
/// small for all.
void EndpointEndGossip::sendCollected()
{
    m_timer.reset();
    const Schema::EndpointEndUpdate message{.ended = std::exchange(m_collected, {})};
    const double cost =
        emptyDatagramBytes + reportBytes * static_cast<double>(message.ended.size());
    const Base::MonoTime now = m_options.timers->clock().now();
    std::vector<Runtime::SocketAddress> peers = m_options.peers();
    std::shuffle(peers.begin(), peers.end(), m_random);
    for (const Runtime::SocketAddress &peer : peers) {
        if (m_byteBudget.waitFor(cost, now) != Base::Duration::zero()) {
            ++m_dropped;
            continue;
        }
        m_byteBudget.charge(cost, now);
        send(peer, message);
    }
}

void EndpointEndGossip::receive(const Schema::EndpointEndUpdate &message)
{
    for (const Schema::SharedEndpointEnd &one : message.ended) {
        if (isNew(one.endpoint, m_receivedAt) && received)
            received(one.endpoint, std::chrono::milliseconds(one.ageMs));
    }
}

bool EndpointEndGossip::isNew(std::uint64_t startHash, Times &times) const
{
    const Base::MonoTime now = m_options.timers->clock().now();
    absl::erase_if(
        times, [&](const auto &entry) { return now - entry.second >= m_options.repeatInterval; });
    return times.try_emplace(startHash, now).second;
}

} // namespace Lagoonbank::FleetSync
