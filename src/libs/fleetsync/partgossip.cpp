#include "fleetsync/partgossip.h"

#include "fleetsync/randomsample.h"

#include <algorithm>

namespace Lagoonbank::FleetSync {

namespace {

constexpr std::size_t maxItemsPerDatagram = 32;
/// Size of a datagram without items: IP and UDP headers, version and four counts.
constexpr double emptyDatagramBytes = 62;
constexpr double crashBytes = 30; ///< Size of one crash in a datagram.
constexpr double partTimeBytes = 12; ///< Size of one part with its time in a datagram.

/// Calls \a handle with the items in groups that fit into a datagram.
template<typename Item, typename Handler>
void forEachDatagram(const std::vector<Item> &items, const Handler &handle)
{
    for (std::size_t first = 0; first < items.size(); first += maxItemsPerDatagram) {
        const std::size_t end = std::min(items.size(), first + maxItemsPerDatagram);
        handle(std::vector<Item>(items.begin() + static_cast<std::ptrdiff_t>(first),
                                 items.begin() + static_cast<std::ptrdiff_t>(end)));
    }
}

} // namespace

PartGossip::PartGossip(Options options)
    : m_options(std::move(options))
    , m_random(m_options.randomSeed)
    , m_byteBudget({.rate = m_options.bytesPerSecond, .burst = m_options.burstBytes})
    , m_questionBudget(
          {.rate = m_options.questionBytesPerSecond, .burst = m_options.questionBurstBytes})
{ }

PartGossip::~PartGossip()
{
    m_options.timers->cancel(m_timer);
}

/// Starts with a random part of the interval, so that routers that start together do not all send
/// at the same time.
void PartGossip::start()
{
    const auto fraction = std::uniform_real_distribution<double>(0, 1)(m_random);
    const auto first = std::chrono::duration_cast<Base::Duration>(m_options.interval * fraction);
    m_timer = m_options.timers->start(first, [this] { tick(); });
}

void PartGossip::sendCrashes(const std::vector<Schema::SharedPartCrash> &crashes)
{
    const RouterRanking routers(m_options.self, m_options.silence->answering(m_options.peers()));
    const auto receivers = routers.first(comparingRoutersKey, m_options.comparingRouters);
    forEachDatagram(crashes, [&](std::vector<Schema::SharedPartCrash> items) {
        const double bytes = emptyDatagramBytes + crashBytes * static_cast<double>(items.size());
        sendReports(receivers, {.crashes = std::move(items)}, bytes);
    });
}

bool PartGossip::ask(const std::vector<Schema::SharedPartTime> &questions)
{
    const std::size_t datagrams =
        (questions.size() + maxItemsPerDatagram - 1) / maxItemsPerDatagram;
    const double bytes = emptyDatagramBytes * static_cast<double>(datagrams)
        + partTimeBytes * static_cast<double>(questions.size());
    const double cost = bytes * static_cast<double>(m_options.peers().size());
    const Base::MonoTime now = m_options.timers->clock().now();
    if (m_questionBudget.waitFor(cost, now) != Base::Duration::zero())
        return false;
    m_questionBudget.charge(cost, now);
    forEachDatagram(questions, [&](std::vector<Schema::SharedPartTime> items) {
        sendToAll({.asked = std::move(items)});
    });
    return true;
}

void PartGossip::sendReports(const std::vector<Runtime::SocketAddress> &receivers,
                             const Schema::PartUpdate &message, double bytes)
{
    const Base::MonoTime now = m_options.timers->clock().now();
    for (const Runtime::SocketAddress &to : receivers) {
        if (!send || m_byteBudget.waitFor(bytes, now) != Base::Duration::zero()) {
            ++m_dropped;
            continue;
        }
        m_byteBudget.charge(bytes, now);
        send(to, message);
        m_options.silence->confirm(to);
    }
}

void PartGossip::sendQuarantine(const Schema::SharedPartTime &quarantine)
{
    sendToAll({.quarantined = {quarantine}});
}

void PartGossip::sendBegin(const Schema::SharedPartTime &begin)
{
    sendToAll({.begun = {begin}});
}

void PartGossip::sendToAll(const Schema::PartUpdate &message)
{
    if (!send)
        return;
    for (const Runtime::SocketAddress &peer : m_options.peers())
        send(peer, message);
}

void PartGossip::receive(const Runtime::SocketAddress &from,
                         const Schema::PartUpdate &message) const
{
    if (received)
        received(message);
    if (message.asked.empty() || !answer || !send)
        return;
    const std::vector<Schema::SharedPartTime> begun = answer(message.asked);
    if (!begun.empty())
        send(from, {.begun = begun});
}

void PartGossip::tick()
{
    m_timer = m_options.timers->start(m_options.interval, [this] { tick(); });
    if (!send || !quarantined)
        return;
    Schema::PartUpdate message{.quarantined = quarantined()};
    if (message.quarantined.empty())
        return;
    message.quarantined =
        randomSample(std::move(message.quarantined), maxItemsPerDatagram, m_random);
    for (const Runtime::SocketAddress &peer :
         randomSample(m_options.peers(), m_options.resendPeerCount, m_random))
        send(peer, message);
}

} // namespace Lagoonbank::FleetSync
