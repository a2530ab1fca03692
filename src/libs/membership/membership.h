#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "membership/controlbudget.h"
#include "membership/datacentrelinks.h"
#include "membership/demanddigests.h"
#include "membership/gossipqueue.h"
#include "membership/leavingendpoints.h"
#include "membership/loaddigests.h"
#include "membership/membertable.h"
#include "membership/peercodec.h"
#include "runtime/udpsocket.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace Lagoonbank::Membership {

/// The address and port of a member.
Runtime::SocketAddress toSocketAddress(const MemberUpdate &update);
/// The numeric form of an IPv4 address; 0 if \a ip is not one.
std::uint32_t ipNumber(const std::string &ip);

/// One entry of the platform's VM list.
struct ListedVm
{
    Base::VmId id;
    std::string ip;
    Base::DataCentreId dataCentre;
    bool isLeaving = false;
};

enum class MemberEvent : std::uint8_t { Joined, Restarted, Suspected, Restored, Died, Left };
std::string_view toString(MemberEvent event);

/// Membership of the fleet by a gossip protocol like SWIM. Within a data centre, members ping each
/// other, suspect a member that does not answer, and declare it dead after a timeout unless it
/// refutes the suspicion with a higher incarnation. Between data centres, a few pings detect
/// whether the other data centre is reachable. Datagrams carry sections with membership updates and
/// digests, by priority and within the ControlBudget.
///
/// Does no input or output: each call passes the time, and messages leave through messageReady.
class Membership
{
public:
    struct Timing
    {
        Base::Duration probePeriod = std::chrono::seconds(1);
        /// Time between probes of other data centres.
        Base::Duration crossProbePeriod = std::chrono::seconds(1);
        /// A member that does not answer a ping for this long is probed through other members.
        Base::Duration ackTimeout = std::chrono::milliseconds(300);
        /// A member that does not answer a ping or an indirect probe for this long is a suspect.
        Base::Duration probeTimeout = std::chrono::milliseconds(900);
        /// A suspect is declared dead after this time, or after half of it if the VM list is not
        /// empty and lacks its address.
        Base::Duration suspicionTime = std::chrono::seconds(4);
        /// A data centre without contact for this long is unreachable.
        Base::Duration linkTimeout = std::chrono::seconds(6);
        Base::Duration gossipPeriod = std::chrono::milliseconds(200);
        /// Delay between an urgent change and the gossip that propagates it.
        Base::Duration urgentDelay = std::chrono::milliseconds(20);
        /// Time between pings of the addresses of seeds and listed VMs where no living member is
        /// known.
        Base::Duration joinPeriod = std::chrono::seconds(5);
        /// Replaces joinPeriod while no other member is known.
        Base::Duration isolatedJoinPeriod = std::chrono::milliseconds(500);
        /// Minimum time between pulls of state.
        Base::Duration pullPeriod = std::chrono::seconds(3);
        /// After the first pull, a hash that differs causes a pull only if the member table has not
        /// changed for this long, as gossip usually removes the difference.
        Base::Duration quietTime = std::chrono::seconds(2);
        /// A member whose data centre had no contact for this long is declared dead, unless the VM
        /// list contains its address or is empty.
        Base::Duration unreachableMemberTimeout = std::chrono::minutes(10);
        /// A longer gap between calls of advance() means that this process was paused.
        Base::Duration maxAdvanceGap = std::chrono::milliseconds(1500);
    };
    struct Options
    {
        MemberUpdate self;
        std::vector<Runtime::SocketAddress> seeds;
        std::vector<std::uint16_t> listedPorts; ///< Ports of the processes on a listed VM.
        std::uint64_t randomSeed = 1;
        ControlBudget *budget = nullptr; ///< Shared with the process's other control traffic.
        Timing timing;
    };

    Membership(Options options, Base::MonoTime now);

    // Hooks.
    std::function<void(const Runtime::SocketAddress &to, const PeerMessage &message)> messageReady;
    std::function<void(const Member &member, MemberEvent event)> memberChanged;
    /// The state of this peer is to be pulled over TCP and passed to mergeState().
    std::function<void(const Runtime::SocketAddress &peer, const StateRequest &request)>
        statePullNeeded;
    /// A peer has applied more of the configuration stream than this process, up to \a applied.
    std::function<void(const Runtime::SocketAddress &peer, const ConfigurationMark &applied)>
        configurationAhead;
    std::function<void(const Base::EndpointId &endpoint, Base::Incarnation incarnation)>
        endpointLeaving;
    std::function<void(const LoadReport &report, Base::MonoTime sampledAt)> loadReceived;
    std::function<void(const DemandDigest &digest)> demandReceived;
    /// This process raised its incarnation to refute an update about itself; its datagrams have to
    /// carry the new one.
    std::function<void(Base::Incarnation incarnation)> incarnationRaised;
    /// Returns the logical time for an outgoing message. If unset, messages carry none.
    std::function<MessageTime()> messageTimeProvider;
    /// Called with the logical time of a received message before the message is processed.
    std::function<void(const MessageTime &time)> timeReceived;

    // Input of time, messages and state.
    void advance(Base::MonoTime now);
    /// The time by which advance() has to be called next.
    Base::MonoTime nextDue() const;
    void receive(const Sender &sender, const Runtime::SocketAddress &from,
                 const PeerMessage &message, Base::MonoTime now);
    /// Answers a datagram of an older incarnation with an Outdated message. The datagram may come
    /// from a new process that derived a lower incarnation from a wall clock that is behind.
    void receiveOutdated(const Sender &sender, const Runtime::SocketAddress &from,
                         std::uint64_t knownIncarnation, Base::MonoTime now);
    /// Logical time for a message that this process sends now.
    MessageTime stamp() const
    {
        return messageTimeProvider ? messageTimeProvider() : MessageTime();
    }
    /// Calls timeReceived with the logical time of a received message, unless it carries none.
    void receiveTime(const MessageTime &time) const;
    /// Answers a pull of state: the members of the data centres whose hash differs from the one of
    /// the requester, and all leaving endpoints.
    StateAnswer answer(const StateRequest &request, Base::MonoTime now) const;
    /// Merges the answer to a pull of state.
    void mergeState(const StateAnswer &state, Base::MonoTime now);
    void setVmList(const std::vector<ListedVm> &vms);

    // State that this process publishes.
    /// Sets the position up to which this process has applied the configuration stream.
    void setAppliedConfiguration(const ConfigurationMark &applied, Base::MonoTime now);
    void announceLeaving(const Base::EndpointId &endpoint, Base::Incarnation incarnation,
                         Base::MonoTime now);
    bool isLeaving(const Base::EndpointId &endpoint, Base::Incarnation incarnation) const;
    LoadDigests &loads() { return m_loads; }
    void setDemand(const Base::WorkspaceId &workspace, std::string bytes, Base::MonoTime now);
    /// Announces a planned leave of this process, which afterwards only repeats the announcement.
    void leave(Base::MonoTime now);

    // Current state.
    const MemberUpdate &self() const { return m_self; }
    const MemberTable &table() const { return m_table; }
    bool isReachable(const Member &member, Base::MonoTime now) const;
    bool isReachable(const Base::DataCentreId &dataCentre, Base::MonoTime now) const;
    /// Living and reachable members, this process included, sorted by id. Damped ones are left out
    /// unless \a withDamped.
    std::vector<MemberUpdate> usableMembers(Base::MonoTime now, bool withDamped = false) const;
    /// Number of usable members of the own role and data centre whose id sorts before that of this
    /// process. Limits a task to a few processes of a data centre; for example, only ranks 0 and 1
    /// read the log.
    std::size_t rankInDataCentre(Base::MonoTime now) const;
    /// Position up to which this process has applied the configuration stream.
    const ConfigurationMark &appliedConfiguration() const { return m_appliedConfiguration; }
    /// Number of messages from peers that have applied the stream up to the same offset, but with a
    /// different resulting state.
    std::uint64_t configurationConflicts() const { return m_configurationConflicts; }

private:
    struct Probe
    {
        std::string target;
        Base::MonoTime indirectProbeAt;
        Base::MonoTime deadline;
        bool isCross = false; ///< The target is in another data centre.
        bool isIndirectProbeSent = false;
    };
    /// A ping that this process sent on behalf of another member, which gets the ack.
    struct Relay
    {
        Runtime::SocketAddress requester;
        std::uint32_t probe = 0; ///< Number of the requester's probe.
        Base::MonoTime expiresAt;
    };

    // Periodic work.
    void detectPause(Base::MonoTime now);
    void probeOwnDataCentre(Base::MonoTime now);
    void probeOtherDataCentres(Base::MonoTime now);
    void join(Base::MonoTime now);
    void checkProbes(Base::MonoTime now);
    void probeIndirectly(std::uint32_t number, const Probe &probe, Base::MonoTime now);
    void probeFailed(const Probe &probe, Base::MonoTime now);
    void confirmSuspects(Base::MonoTime now);
    void gossip(Base::MonoTime now);
    void gossipUrgently(Base::MonoTime now);
    void doHousekeeping(Base::MonoTime now);
    void startProbe(const Member &member, bool isCross, Base::MonoTime now);

    // Messages.
    void receivePing(const Sender &sender, const Runtime::SocketAddress &from,
                     const PeerMessage &message, Base::MonoTime now);
    void receiveAck(const Sender &sender, const PeerMessage &message, Base::MonoTime now);
    void receivePingRequest(const Runtime::SocketAddress &from, const PeerMessage &message,
                            Base::MonoTime now);
    void receiveSections(const Sender &sender, const PeerMessage &message, Base::MonoTime now);
    void compareState(const Sender &sender, const Runtime::SocketAddress &from,
                      const PeerMessage &message, Base::MonoTime now);
    void receiveLeaving(const LeavingEndpoint &leaving, Base::MonoTime now);
    void send(const Runtime::SocketAddress &to, const Member *peer, PeerMessage message,
              ControlPriority priority, Base::MonoTime now);
    void fillUpdates(PeerMessage &message, const Member *peer, std::size_t &size,
                     Base::MonoTime now);
    void fillDigests(PeerMessage &message, const Member &peer, std::size_t &size,
                     Base::MonoTime now);

    // Members.
    void apply(const MemberUpdate &update, Base::MonoTime now);
    void applyOwnUpdate(const MemberUpdate &update, Base::MonoTime now);
    void markReplacedMembersDead(const MemberUpdate &update, Base::MonoTime now);
    void raiseIncarnation(std::uint64_t above, Base::MonoTime now);
    void notifyMemberChanged(const Member &member, const std::optional<MemberUpdate> &before);
    void scheduleUrgentGossip(Base::MonoTime now);
    std::vector<const Member *> peersWhere(const std::function<bool(const Member &)> &is) const;
    const Member *randomOf(const std::vector<const Member *> &members);
    /// The data centres of \a members, sorted by lastContactOrProbe(), the oldest first.
    std::vector<std::string> dataCentresToProbe(const std::vector<const Member *> &members) const;
    /// Time of the last contact with a data centre or of its last probe, whichever is later.
    Base::MonoTime lastContactOrProbe(const std::string &dataCentre) const;
    /// Rank by id of this process among the living members of its data centre, and their number.
    std::pair<std::size_t, std::size_t> ownRank() const;
    /// Number of data centres that this process probes per period.
    std::size_t crossProbeCount(std::size_t dataCentres, std::size_t processes) const;
    bool isOwnDataCentre(const Member &member) const;
    bool isOwnRegion(const Member &member) const;
    /// How many times an update is sent; logarithmic in the number of members.
    std::uint32_t retransmitLimit() const;
    std::uint32_t ownHash() const;
    std::uint32_t fleetHash() const;
    /// Lengthens \a duration while probes by this process fail, as this process may be faulty.
    Base::Duration scaledByAwareness(Base::Duration duration) const;

    Options m_options;
    MemberUpdate m_self;
    MemberTable m_table;
    DataCentreLinks m_links;
    LeavingEndpoints m_leaving;
    LoadDigests m_loads;
    DemandDigests m_demands;
    ConfigurationMark m_appliedConfiguration;
    std::mt19937_64 m_random;
    Internal::GossipQueue m_memberUpdates;
    Internal::GossipQueue m_leavingUpdates;
    std::vector<std::string> m_probeOrder;
    std::map<std::uint32_t, Probe> m_probes;
    std::map<std::uint32_t, Relay> m_relays;
    std::map<std::string, Base::MonoTime> m_crossProbedAt; ///< Last probe by data centre.
    std::vector<ListedVm> m_vmList;
    std::vector<Runtime::SocketAddress> m_joinCandidates; ///< Addresses of seeds and of listed VMs.
    std::size_t m_joinCursor = 0;
    std::uint32_t m_probeNumber = 0;
    std::uint32_t m_awareness = 0; ///< Rises with failed probes and falls with acks.
    std::uint32_t m_crossProbeRounds = 0; ///< Number of calls of probeOtherDataCentres().
    std::uint64_t m_configurationConflicts = 0;
    bool m_hasPulled = false;
    bool m_isLeaving = false;
    Base::MonoTime m_lastAdvancedAt;
    Base::MonoTime m_nextProbeAt;
    Base::MonoTime m_nextCrossProbeAt;
    Base::MonoTime m_nextJoinAt;
    Base::MonoTime m_nextGossipAt;
    Base::MonoTime m_nextHousekeepingAt;
    std::optional<Base::MonoTime> m_urgentGossipAt;
    Base::MonoTime m_tableChangedAt;
    Base::MonoTime m_pulledAt{};
    Base::MonoTime m_offsetRequestedAt{};
    std::uint64_t m_requestedOffset = 0;
};

} // namespace Lagoonbank::Membership
