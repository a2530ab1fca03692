#include "fleetsync/loadgossip.h"

#include <utility>

namespace Lagoonbank::FleetSync {

LoadGossip::LoadGossip(Options options)
    : m_options(std::move(options))
    , m_random(m_options.randomSeed)
{ }

LoadGossip::~LoadGossip()
{
    m_options.timers->cancel(m_timer);
}

/// Starts with a random part of the interval, so that routers that start together do not all send
/// at the same time.
void LoadGossip::start()
{
    const auto fraction = std::uniform_real_distribution<double>(0, 1)(m_random);
    const auto first = std::chrono::duration_cast<Base::Duration>(m_options.interval * fraction);
    m_timer = m_options.timers->start(first, [this] { tick(); });
}

void LoadGossip::receive(const Schema::LoadUpdate &message, Base::Duration delay) const
{
    if (received)
        received(message, delay);
}

void LoadGossip::tick()
{
    m_timer = m_options.timers->start(m_options.interval, [this] { tick(); });
    sendLoads();
}

void LoadGossip::sendLoads()
{
    if (!send || !latest)
        return;
    const Schema::LoadUpdate message = latest();
    const bool isDue = !message.loads.empty() || ++m_intervalsSinceSent >= m_options.idleIntervals;
    if (!isDue || (message.loads.empty() && message.averageLoads.empty()))
        return;
    const std::vector<Runtime::SocketAddress> peers = m_options.peers();
    if (peers.empty())
        return;
    m_intervalsSinceSent = 0;
    send(peers[m_random() % peers.size()], message);
}

} // namespace Lagoonbank::FleetSync
