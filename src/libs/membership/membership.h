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

/// The address of a member; and back. An address that is no IPv4 number gives 0.
Runtime::SocketAddress toSocketAddress(const MemberUpdate &update);
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

/// Who is in the fleet, by gossip in the manner of SWIM: members ping each other within a data
/// centre, suspect and confirm, and refute by raising their incarnation; between data centres few
/// pings tell whether the other data centre is within reach. Datagrams carry sections of news and
/// digests by priority under the ControlBudget.
///
/// Pure: time comes in with each call, messages go out through messageReady.
class Membership
{
public:
    struct Timing
    {
        Base::Duration probePeriod = std::chrono::seconds(1);
        Base::Duration crossProbePeriod = std::chrono::seconds(1);
        Base::Duration ackTimeout = std::chrono::milliseconds(300); ///< Then others are asked.
        Base::Duration probeTimeout = std::chrono::milliseconds(900); ///< Then it is suspected.
        Base::Duration suspicionTime = std::chrono::seconds(4);
        Base::Duration linkTimeout = std::chrono::seconds(6); ///< Of another data centre.
        Base::Duration gossipPeriod = std::chrono::milliseconds(200);
        Base::Duration urgentDelay = std::chrono::milliseconds(20);
        Base::Duration joinPeriod = std::chrono::seconds(5); ///< Trying listed, unknown addresses.
        Base::Duration isolatedJoinPeriod = std::chrono::milliseconds(500);
        Base::Duration pullPeriod = std::chrono::seconds(3); ///< Between pulls of state.
        Base::Duration quietTime = std::chrono::seconds(2); ///< Before hashes are compared.
        Base::Duration unreachableMemberTimeout =
            std::chrono::minutes(10); ///< Unreachable and not listed.
        /// A longer gap between calls of advance() was a pause of this process.
        Base::Duration pauseLimit = std::chrono::milliseconds(1500);
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
    /// State is to be pulled from this peer over TCP and given to mergeState().
    std::function<void(const Runtime::SocketAddress &peer, const StateRequest &request)>
        statePullNeeded;
    /// A peer has applied more of the configuration stream.
    std::function<void(const Runtime::SocketAddress &peer, const ConfigurationMark &mark)>
        configurationAhead;
    std::function<void(const Base::EndpointId &endpoint, Base::Incarnation incarnation)>
        endpointLeaving;
    std::function<void(const LoadReport &report, Base::MonoTime sampledAt)> loadReceived;
    std::function<void(const DemandDigest &digest)> demandReceived;
    /// This process takes a higher incarnation, to refute; its datagrams must carry it.
    std::function<void(Base::Incarnation incarnation)> incarnationRaised;
    /// Gives the logical time of a message that leaves. Unset, messages carry none.
    std::function<MessageTime()> messageTimeProvider;
    /// A peer's message carries this logical time; called before the message is acted on.
    std::function<void(const MessageTime &time)> timeReceived;

    // Time and messages in.
    void advance(Base::MonoTime now);
    /// When advance() has something to do next, at the latest.
    Base::MonoTime nextDue() const;
    void receive(const Sender &sender, const Runtime::SocketAddress &from,
                 const PeerMessage &message, Base::MonoTime now);
    /// A datagram of an older incarnation came; its sender may be a new process whose wall clock
    /// was behind, and is told so.
    void receiveOutdated(const Sender &sender, const Runtime::SocketAddress &from,
                         std::uint64_t knownIncarnation, Base::MonoTime now);
    /// The time that a message from this process is to carry now.
    MessageTime stamp() const
    {
        return messageTimeProvider ? messageTimeProvider() : MessageTime();
    }
    /// Hands on the time that came with a message, unless it carries none.
    void receiveTime(const MessageTime &time) const;
    StateAnswer answer(const StateRequest &request, Base::MonoTime now) const;
    void mergeState(const StateAnswer &state, Base::MonoTime now);
    void setVmList(const std::vector<ListedVm> &vms);

    // What this process has to say.
    void setConfigurationMark(const ConfigurationMark &mark, Base::MonoTime now);
    void announceLeaving(const Base::EndpointId &endpoint, Base::Incarnation incarnation,
                         Base::MonoTime now);
    bool isLeaving(const Base::EndpointId &endpoint, Base::Incarnation incarnation) const;
    LoadDigests &loads() { return m_loads; }
    void setDemand(const Base::WorkspaceId &workspace, std::string bytes, Base::MonoTime now);
    /// Tells the others that this process leaves as planned; afterwards it only repeats that.
    void leave(Base::MonoTime now);

    // What is known.
    const MemberUpdate &self() const { return m_self; }
    const MemberTable &table() const { return m_table; }
    bool isReachable(const Member &member, Base::MonoTime now) const;
    bool isReachable(const Base::DataCentreId &dataCentre, Base::MonoTime now) const;
    /// Living, reachable and, if asked for, not damped members, this one included; sorted by id.
    std::vector<MemberUpdate> usableMembers(Base::MonoTime now, bool withDamped = false) const;
    /// Places of this process among the usable ones of its role and data centre, so that few
    /// share a job: rank 0 and 1 tail the log, for one.
    std::size_t rankInDataCentre(Base::MonoTime now) const;
    const ConfigurationMark &configurationMark() const { return m_mark; }
    std::uint64_t configurationConflicts() const { return m_configurationConflicts; }

private:
    struct Probe
    {
        std::string target;
        Base::MonoTime indirectProbeAt;
        Base::MonoTime deadline;
        bool isCross = false;
        bool isIndirectProbeSent = false;
    };
    struct Relay
    {
        Runtime::SocketAddress requester;
        std::uint32_t probe = 0;
        Base::MonoTime expiresAt;
    };

    // Time.
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
    /// The members' data centres, the one that was heard of or tried longest ago first.
    std::vector<std::string> dataCentresToProbe(const std::vector<const Member *> &members) const;
    /// When a data centre was last heard of or tried.
    Base::MonoTime lastContactOrProbe(const std::string &dataCentre) const;
    /// This process's place among those of its data centre by id, and how many they are.
    std::pair<std::size_t, std::size_t> ownRank() const;
    std::size_t crossProbeCount(std::size_t dataCentres, std::size_t processes) const;
    bool isOwnDataCentre(const Member &member) const;
    bool isOwnRegion(const Member &member) const;
    std::uint32_t retransmitLimit() const;
    std::uint32_t ownHash() const;
    std::uint32_t fleetHash() const;
    Base::Duration scaledByAwareness(Base::Duration duration) const;

    Options m_options;
    MemberUpdate m_self;
    MemberTable m_table;
    DataCentreLinks m_links;
    LeavingEndpoints m_leaving;
    LoadDigests m_loads;
    DemandDigests m_demands;
    ConfigurationMark m_mark;
    std::mt19937_64 m_random;
    Internal::GossipQueue m_memberUpdates;
    Internal::GossipQueue m_leavingUpdates;
    std::vector<std::string> m_probeOrder;
    std::map<std::uint32_t, Probe> m_probes;
    std::map<std::uint32_t, Relay> m_relays;
    std::map<std::string, Base::MonoTime> m_crossProbedAt; ///< By data centre.
    std::vector<ListedVm> m_vmList;
    std::vector<Runtime::SocketAddress> m_joinCandidates; ///< Addresses of seeds and of listed VMs.
    std::size_t m_joinCursor = 0;
    std::uint32_t m_probeNumber = 0;
    std::uint32_t m_awareness = 0; ///< Failed own probes in a row; this process may be at fault.
    std::uint32_t m_crossTurn = 0;
    std::uint64_t m_configurationConflicts = 0;
    bool m_hasPulled = false;
    bool m_isLeaving = false;
    Base::MonoTime m_advancedAt;
    Base::MonoTime m_probeAt;
    Base::MonoTime m_crossAt;
    Base::MonoTime m_joinAt;
    Base::MonoTime m_gossipAt;
    Base::MonoTime m_housekeepingAt;
    std::optional<Base::MonoTime> m_urgentAt;
    Base::MonoTime m_tableChangedAt;
    Base::MonoTime m_pulledAt{};
    Base::MonoTime m_offsetRequestedAt{};
    std::uint64_t m_requestedOffset = 0;
};

} // namespace Lagoonbank::Membership
