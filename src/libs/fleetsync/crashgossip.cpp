#include "fleetsync/crashgossip.h"

#include "routing/rendezvous.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>
#include <utility>

namespace Lagoonbank::FleetSync {

namespace {

constexpr std::ptrdiff_t mostItems = 32; ///< In one datagram.
/// On the wire: headers of IP and UDP, version and two counts; then each end.
constexpr double emptyBytes = 46;
constexpr double endBytes = 16;

} // namespace

CrashGossip::CrashGossip(Options options)
    : m_options(std::move(options))
    , m_random(m_options.randomSeed)
    , m_bytes({.rate = m_options.bytesPerSecond, .burst = m_options.burstBytes})
{ }

CrashGossip::~CrashGossip()
{
    m_options.timers->cancel(m_timer);
}

/// Routers that start together tell at different moments.
void CrashGossip::start()
{
    const auto part = std::uniform_real_distribution<double>(0, 1)(m_random);
    const auto first = std::chrono::duration_cast<Base::Duration>(m_options.interval * part);
    m_timer = m_options.timers->start(first, [this] { tick(); });
}

void CrashGossip::sendEnds(const std::vector<Schema::SharedRequestEnd> &ends)
{
    std::vector<Router> routers{{Routing::stableHash(Runtime::toString(m_options.self))}};
    for (const Runtime::SocketAddress &peer : m_options.peers())
        routers.push_back({Routing::stableHash(Runtime::toString(peer)), peer});
    for (auto first = ends.begin(); first != ends.end();) {
        const auto count = std::min<std::ptrdiff_t>(ends.end() - first, mostItems);
        sendBatch({first, first + count}, routers);
        first += count;
    }
}

void CrashGossip::sendBatch(const std::vector<Schema::SharedRequestEnd> &ends,
                            const std::vector<Router> &routers)
{
    std::map<std::string, std::pair<Runtime::SocketAddress, Schema::CrashNews>> messages;
    for (const Schema::SharedRequestEnd &end : ends) {
        for (const Runtime::SocketAddress &counter : countingRoutersOf(end.request, routers)) {
            auto &[to, news] = messages[Runtime::toString(counter)];
            to = counter;
            news.ends.push_back(end);
        }
    }
    const Base::MonoTime now = m_options.timers->clock().now();
    for (const auto &[name, message] : messages) {
        const auto &[to, news] = message;
        const double cost = emptyBytes + endBytes * static_cast<double>(news.ends.size());
        if (!send || m_bytes.waitFor(cost, now) != Base::Duration::zero()) {
            m_dropped += news.ends.size();
            continue;
        }
        m_bytes.charge(cost, now);
        send(to, news);
    }
}

/// Those that come first in an order that is the request's own, this router left out.
std::vector<Runtime::SocketAddress>
CrashGossip::countingRoutersOf(std::uint64_t request, const std::vector<Router> &routers) const
{
    std::vector<std::pair<std::uint64_t, const Router *>> order;
    order.reserve(routers.size());
    for (const Router &router : routers)
        order.emplace_back(Routing::mixHashes(request, router.hash), &router);
    const std::size_t count = std::min(order.size(), m_options.countingRouters);
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count),
                      order.end());
    std::vector<Runtime::SocketAddress> countingRouters;
    for (std::size_t i = 0; i < count; ++i) {
        if (const auto &address = order[i].second->address)
            countingRouters.push_back(*address);
    }
    return countingRouters;
}

void CrashGossip::sendQuarantine(const Schema::SharedQuarantine &quarantine)
{
    if (!send)
        return;
    for (const Runtime::SocketAddress &peer : m_options.peers())
        send(peer, {.quarantined = {quarantine}});
}

void CrashGossip::receive(const Schema::CrashNews &news) const
{
    if (received)
        received(news);
}

void CrashGossip::tick()
{
    m_timer = m_options.timers->start(m_options.interval, [this] { tick(); });
    if (send && quarantined)
        resendQuarantined();
}

void CrashGossip::resendQuarantined()
{
    Schema::CrashNews news{.quarantined = quarantined()};
    if (news.quarantined.empty())
        return;
    std::shuffle(news.quarantined.begin(), news.quarantined.end(), m_random);
    news.quarantined.resize(std::min<std::size_t>(news.quarantined.size(), mostItems));
    std::vector<Runtime::SocketAddress> peers = m_options.peers();
    std::shuffle(peers.begin(), peers.end(), m_random);
    peers.resize(std::min(peers.size(), m_options.resendPeers));
    for (const Runtime::SocketAddress &peer : peers)
        send(peer, news);
}

} // namespace Lagoonbank::FleetSync
