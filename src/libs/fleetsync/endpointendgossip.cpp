#include "fleetsync/endpointendgossip.h"

#include <utility>

namespace Lagoonbank::FleetSync {

namespace {

/// Size of a datagram with one report: IP and UDP headers, version, count, hash and age.
constexpr double reportBytes = 58;

} // namespace

EndpointEndGossip::EndpointEndGossip(Options options)
    : m_options(std::move(options))
    , m_byteBudget({.rate = m_options.bytesPerSecond, .burst = m_options.burstBytes})
{ }

void EndpointEndGossip::report(std::uint64_t startHash, Base::Duration age)
{
    if (!send || !noteReport(startHash))
        return;
    const Schema::EndpointEndUpdate message{
        .ended = {{.endpoint = startHash,
                   .ageMs = static_cast<std::uint16_t>(Base::toMilliseconds(age))}}};
    const Base::MonoTime now = m_options.timers->clock().now();
    for (const Runtime::SocketAddress &peer : m_options.peers()) {
        if (m_byteBudget.waitFor(reportBytes, now) != Base::Duration::zero()) {
            ++m_dropped;
            continue;
        }
        m_byteBudget.charge(reportBytes, now);
        send(peer, message);
    }
}

void EndpointEndGossip::receive(const Schema::EndpointEndUpdate &message)
{
    for (const Schema::SharedEndpointEnd &one : message.ended) {
        if (noteReport(one.endpoint) && received)
            received(one.endpoint, std::chrono::milliseconds(one.ageMs));
    }
}

bool EndpointEndGossip::noteReport(std::uint64_t startHash)
{
    const Base::MonoTime now = m_options.timers->clock().now();
    absl::erase_if(m_reportedAt, [&](const auto &entry) {
        return now - entry.second >= m_options.repeatInterval;
    });
    return m_reportedAt.try_emplace(startHash, now).second;
}

} // namespace Lagoonbank::FleetSync
