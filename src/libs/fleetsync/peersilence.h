#pragma once

#include "runtime/timerqueue.h"
#include "runtime/udpsocket.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Lagoonbank::FleetSync {

/// Tells which peers do not answer, so that gossip does not rely on them. A router stays registered
/// after it has left for good, and a router that is killed tells nobody.
///
/// A peer is probed when something is sent to it, unless a datagram from it has arrived a short
/// time ago. Nothing is sent to peers that are not needed.
///
/// Pure: time comes from the timers, probes go out through a hook.
class PeerSilence
{
public:
    struct Options
    {
        Runtime::TimerQueue *timers = nullptr;
        /// Time after which a peer that has not answered a probe is silent. Peers are a few ms
        /// away.
        Base::Duration answerTimeout = std::chrono::milliseconds(50);
        /// Time after a datagram of a peer in which it is not probed.
        Base::Duration confirmationTime = std::chrono::seconds(10);
        /// Time after which a silent peer counts as answering again, so that it is probed. It
        /// doubles each time that the peer stays silent.
        Base::Duration minRetryTime = std::chrono::seconds(10);
        Base::Duration maxRetryTime = std::chrono::minutes(5);
        /// Maximum number of peers that are remembered; datagrams may come from anywhere.
        std::size_t maxPeers = 4096;
    };

    explicit PeerSilence(const Options &options);
    ~PeerSilence();
    PeerSilence(const PeerSilence &) = delete;
    PeerSilence &operator=(const PeerSilence &) = delete;

    /// Sends something to a peer that it answers.
    std::function<void(const Runtime::SocketAddress &peer)> probe;
    /// Called when a peer has answered a probe.
    std::function<void(const Runtime::SocketAddress &peer)> answered;
    /// Called when a peer has become silent.
    std::function<void(const Runtime::SocketAddress &peer)> fellSilent;

    /// Records that a datagram has arrived from a peer.
    void heard(const Runtime::SocketAddress &peer);
    /// Probes a peer unless it is known to answer. To be called when something is sent to it.
    void confirm(const Runtime::SocketAddress &peer);
    /// Records that a peer has left something unanswered that was sent at \a sentAt, unless a
    /// datagram has arrived from it since. Returns whether it is silent.
    bool unanswered(const Runtime::SocketAddress &peer, Base::MonoTime sentAt);
    /// Whether a datagram has arrived from the peer a short time ago.
    bool isConfirmed(const Runtime::SocketAddress &peer) const;
    bool isSilent(const Runtime::SocketAddress &peer) const;
    /// Those of the peers that are not silent.
    std::vector<Runtime::SocketAddress> answering(std::vector<Runtime::SocketAddress> peers) const;

private:
    struct State
    {
        std::optional<Base::MonoTime> heardAt;
        std::optional<Base::MonoTime> retryAt; ///< End of the silence; unset while it answers.
        Base::Duration retryTime{};
        std::optional<Runtime::TimerId> probeTimer; ///< Set while a probe is unanswered.
    };

    Base::MonoTime now() const { return m_options.timers->clock().now(); }
    /// Returns whether there was a probe without an answer.
    bool cancelProbe(State &state);
    void setSilent(const Runtime::SocketAddress &peer);

    Options m_options;
    std::map<Runtime::SocketAddress, State> m_peers;
};

} // namespace Lagoonbank::FleetSync
