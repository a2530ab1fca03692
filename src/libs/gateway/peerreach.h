#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "runtime/clock.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace Lagoonbank::Gateway {

/// What a router knows of its peers while it cannot reach the endpoints of a service itself: which
/// of them reach these, and how many relays it may spend to find others.
///
/// Does no I/O and reads no clock.
class PeerReach
{
public:
    enum class State : std::uint8_t {
        Unknown,
        Reaches, ///< Its last answer to a relay came from an endpoint, or another peer says so.
        CutOff ///< It refused the last relay, as it reaches no endpoint either.
    };
    struct Options
    {
        /// Number of peers that reach the endpoints among which relays are divided. Until that many
        /// are known, relays to other peers are spent to find them.
        std::size_t wantedPeers = 4;
        /// Maximum number of trials in a row. A trial is a relay to a peer that is not known to
        /// reach the endpoints. If five of six routers are cut off, 16 find one that is not with a
        /// probability of 0.95.
        double maxTrials = 16;
        /// Trials per second while no peer is known to reach the endpoints. They find out that some
        /// reach them again.
        double trialsPerSecond = 2.5;
        /// Trials per relay to a peer that is known to reach the endpoints.
        double trialsPerRelay = 0.04;
        /// Time without relays after which everything is forgotten. In a large fleet, a router gets
        /// few requests of some services.
        Base::Duration lifetime = std::chrono::seconds(30);
        /// Time after a refusal for which the peer is not taken to reach the endpoints on the word
        /// of another one, which may not have noticed yet that it is cut off.
        Base::Duration refusalPrecedence = std::chrono::seconds(2);
    };

    explicit PeerReach(Options options)
        : m_options(options)
        , m_trials(options.maxTrials)
    { }

    const Options &options() const { return m_options; }
    State state(const Base::EndpointId &peer) const;
    /// When the peer's state was last learnt; unset if it is unknown.
    std::optional<Base::MonoTime> learntAt(const Base::EndpointId &peer) const;

    /// Prepares for the choice of a peer. \a hasReachingPeers says whether a peer is known to reach
    /// the endpoints.
    void beginChoice(bool hasReachingPeers, Base::MonoTime now);
    bool mayTry() const { return m_trials >= 1; }
    /// A relay goes to a peer, as a trial if the peer is not known to reach the endpoints.
    void relayed(bool isTrial);

    /// An endpoint has answered a relay of this router to the peer.
    void answered(const Base::EndpointId &peer, Base::MonoTime now);
    /// The peer has refused a relay, as it reaches no endpoint.
    void refused(const Base::EndpointId &peer, Base::MonoTime now);
    /// Another peer says that this one reaches the endpoints.
    void told(const Base::EndpointId &peer, Base::MonoTime now);

private:
    struct Knowledge
    {
        State state = State::Unknown;
        Base::MonoTime at;
    };

    Options m_options;
    absl::flat_hash_map<Base::EndpointId, Knowledge> m_peers;
    double m_trials; ///< Number of trials that may be spent now.
    std::optional<Base::MonoTime> m_chosenAt; ///< When a peer was last sought.
};

std::string_view toString(PeerReach::State state);

} // namespace Lagoonbank::Gateway
