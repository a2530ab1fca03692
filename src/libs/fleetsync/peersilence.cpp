#include "fleetsync/peersilence.h"

#include <algorithm>

namespace Lagoonbank::FleetSync {

PeerSilence::PeerSilence(const Options &options)
    : m_options(options)
{ }

PeerSilence::~PeerSilence()
{
    for (auto &[peer, state] : m_peers)
        cancelProbe(state);
}

void PeerSilence::heard(const Runtime::SocketAddress &peer)
{
    if (m_peers.size() >= m_options.maxPeers && !m_peers.contains(peer))
        return;
    State &state = m_peers[peer];
    const bool wasProbed = cancelProbe(state);
    state.heardAt = now();
    state.retryAt.reset();
    state.retryTime = {};
    if (wasProbed && answered)
        answered(peer);
}

void PeerSilence::confirm(const Runtime::SocketAddress &peer)
{
    State &state = m_peers[peer];
    if (isConfirmed(peer) || state.probeTimer || !probe)
        return;
    state.probeTimer = m_options.timers->start(m_options.answerTimeout, [this, peer] {
        m_peers[peer].probeTimer.reset();
        setSilent(peer);
    });
    probe(peer);
}

bool PeerSilence::unanswered(const Runtime::SocketAddress &peer, Base::MonoTime sentAt)
{
    State &state = m_peers[peer];
    if (state.heardAt && *state.heardAt >= sentAt)
        return false;
    cancelProbe(state);
    if (!isSilent(peer))
        setSilent(peer);
    return true;
}

bool PeerSilence::isConfirmed(const Runtime::SocketAddress &peer) const
{
    const auto found = m_peers.find(peer);
    return found != m_peers.end() && found->second.heardAt
        && now() - *found->second.heardAt < m_options.confirmationTime;
}

bool PeerSilence::isSilent(const Runtime::SocketAddress &peer) const
{
    const auto found = m_peers.find(peer);
    return found != m_peers.end() && found->second.retryAt && now() < *found->second.retryAt;
}

std::vector<Runtime::SocketAddress>
PeerSilence::answering(std::vector<Runtime::SocketAddress> peers) const
{
    std::erase_if(peers, [this](const auto &peer) { return isSilent(peer); });
    return peers;
}

bool PeerSilence::cancelProbe(State &state)
{
    if (!state.probeTimer)
        return false;
    m_options.timers->cancel(*state.probeTimer);
    state.probeTimer.reset();
    return true;
}

void PeerSilence::setSilent(const Runtime::SocketAddress &peer)
{
    State &state = m_peers[peer];
    // A datagram from before the silence does not confirm the peer.
    state.heardAt.reset();
    state.retryTime =
        std::clamp(2 * state.retryTime, m_options.minRetryTime, m_options.maxRetryTime);
    state.retryAt = now() + state.retryTime;
    if (fellSilent)
        fellSilent(peer);
}

} // namespace Lagoonbank::FleetSync
