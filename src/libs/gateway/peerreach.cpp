#include "gateway/peerreach.h"

#include <algorithm>
#include <array>

namespace Lagoonbank::Gateway {

std::string_view toString(PeerReach::State state)
{
    constexpr std::array<std::string_view, 3> names{"unknown", "reaches", "cut_off"};
    return names.at(static_cast<std::size_t>(state));
}

PeerReach::State PeerReach::state(const Base::EndpointId &peer) const
{
    const auto known = m_peers.find(peer);
    return known == m_peers.end() ? State::Unknown : known->second.state;
}

std::optional<Base::MonoTime> PeerReach::learntAt(const Base::EndpointId &peer) const
{
    const auto known = m_peers.find(peer);
    return known == m_peers.end() ? std::nullopt : std::optional(known->second.at);
}

void PeerReach::beginChoice(bool hasReachingPeers, Base::MonoTime now)
{
    const Base::Duration since = m_chosenAt ? now - *m_chosenAt : Base::Duration::zero();
    m_chosenAt = now;
    if (since > m_options.lifetime) {
        m_peers.clear();
        m_trials = m_options.maxTrials;
        return;
    }
    if (!hasReachingPeers) {
        const double earned = Base::toSeconds(since) * m_options.trialsPerSecond;
        m_trials = std::min(m_options.maxTrials, m_trials + earned);
    }
}

void PeerReach::relayed(bool isTrial)
{
    m_trials += isTrial ? -1 : m_options.trialsPerRelay;
    m_trials = std::clamp(m_trials, 0.0, m_options.maxTrials);
}

void PeerReach::answered(const Base::EndpointId &peer, Base::MonoTime now)
{
    m_peers[peer] = {.state = State::Reaches, .at = now};
}

void PeerReach::refused(const Base::EndpointId &peer, Base::MonoTime now)
{
    m_peers[peer] = {.state = State::CutOff, .at = now};
}

void PeerReach::told(const Base::EndpointId &peer, Base::MonoTime now)
{
    const auto known = m_peers.find(peer);
    const bool isKnownBetter =
        known != m_peers.end() && now - known->second.at < m_options.refusalPrecedence;
    if (!isKnownBetter)
        answered(peer, now);
}

} // namespace Lagoonbank::Gateway
