#include "fleetsync/crashgossip.h"

#include "fleetsync/randomsample.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>
#include <utility>

namespace Lagoonbank::FleetSync {

namespace {

constexpr std::ptrdiff_t maxItemsPerDatagram =
    32; ///< Crash reports or quarantines in one datagram.
/// Size of a datagram without crash reports: IP and UDP headers, version and two counts.
constexpr double emptyDatagramBytes = 46;
constexpr double crashReportBytes = 16; ///< Size of one crash report in a datagram.

} // namespace

CrashGossip::CrashGossip(Options options)
    : m_options(std::move(options))
    , m_random(m_options.randomSeed)
    , m_byteBudget({.rate = m_options.bytesPerSecond, .burst = m_options.burstBytes})
{ }

CrashGossip::~CrashGossip()
{
    m_options.timers->cancel(m_timer);
}

/// Starts with a random part of the interval, so that routers that start together do not all send
/// at the same time.
void CrashGossip::start()
{
    const auto fraction = std::uniform_real_distribution<double>(0, 1)(m_random);
    const auto first = std::chrono::duration_cast<Base::Duration>(m_options.interval * fraction);
    m_timer = m_options.timers->start(first, [this] { tick(); });
}

void CrashGossip::sendCrashReports(const std::vector<Schema::SharedCrash> &crashes)
{
    const RouterRanking routers(m_options.self, m_options.silence->answering(m_options.peers()));
    for (auto first = crashes.begin(); first != crashes.end();) {
        const auto count = std::min<std::ptrdiff_t>(crashes.end() - first, maxItemsPerDatagram);
        sendBatch({first, first + count}, routers);
        first += count;
    }
}

void CrashGossip::sendBatch(const std::vector<Schema::SharedCrash> &crashes,
                            const RouterRanking &routers)
{
    std::map<std::string, std::pair<Runtime::SocketAddress, Schema::CrashUpdate>> datagrams;
    for (const Schema::SharedCrash &crash : crashes) {
        for (const Runtime::SocketAddress &router :
             routers.first(crash.request, m_options.countingRouters)) {
            auto &[to, datagram] = datagrams[Runtime::toString(router)];
            to = router;
            datagram.crashes.push_back(crash);
        }
    }
    const Base::MonoTime now = m_options.timers->clock().now();
    for (const auto &[name, addressed] : datagrams) {
        const auto &[to, datagram] = addressed;
        const double cost =
            emptyDatagramBytes + crashReportBytes * static_cast<double>(datagram.crashes.size());
        if (!send || m_byteBudget.waitFor(cost, now) != Base::Duration::zero()) {
            m_dropped += datagram.crashes.size();
            continue;
        }
        m_byteBudget.charge(cost, now);
        send(to, datagram);
        m_options.silence->confirm(to);
    }
}

void CrashGossip::sendQuarantine(const Schema::SharedQuarantine &quarantine)
{
    if (!send)
        return;
    for (const Runtime::SocketAddress &peer : m_options.peers())
        send(peer, {.quarantined = {quarantine}});
}

void CrashGossip::receive(const Schema::CrashUpdate &message) const
{
    if (received)
        received(message);
}

void CrashGossip::tick()
{
    m_timer = m_options.timers->start(m_options.interval, [this] { tick(); });
    if (send && quarantined)
        resendQuarantined();
}

void CrashGossip::resendQuarantined()
{
    Schema::CrashUpdate message{.quarantined = quarantined()};
    if (message.quarantined.empty())
        return;
    message.quarantined =
        randomSample(std::move(message.quarantined), maxItemsPerDatagram, m_random);
    for (const Runtime::SocketAddress &peer :
         randomSample(m_options.peers(), m_options.resendPeerCount, m_random))
        send(peer, message);
}

} // namespace Lagoonbank::FleetSync
