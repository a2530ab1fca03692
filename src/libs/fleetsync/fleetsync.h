#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "fleet/datacentredrains.h"
#include "fleet/endpointdirectory.h"
#include "fleetsync/peertable.h"
#include "fleetsync/storefreshness.h"
#include "runtime/timerqueue.h"
#include "runtime/udpsocket.h"
#include "schema/generated/fleetsync.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Lagoonbank::FleetSync {

/// The configuration as the store holds it, with the place where it stands. Routers keep and send
/// it compressed: 1,400 routes more, three times, make 880 KB of text or 64 KB compressed. On links
/// of 10 Mbit/s a pull took 1.07 s on average, during which every answer waited, and takes 0.06 s;
/// the busiest router of 70 needed 52 MB and needs 17 MB.
struct StoredConfiguration
{
    Base::Revision revision;
    Base::LogOffset offset;
    std::string packed; ///< By Schema::compress.
};

/// Shares what the store tells among routers, so that one router reads it and the others hear of
/// changes within milliseconds. Each data centre has a leader, which tells the rest of it; the
/// strongest leader reads the store, and the others go by it while they hear it and what it tells
/// is fresh. Each router can also read alone, and one that the store turns away learns from its
/// peers.
///
/// Pure: time comes from the timers, messages go out through the hooks.
class FleetSync
{
public:
    struct Options
    {
        std::string id;
        std::string dataCentre;
        std::uint16_t port = 0;
        std::uint32_t strength = 0; ///< See FleetBeacon.
        Fleet::EndpointDirectory *directory = nullptr;
        Runtime::TimerQueue *timers = nullptr;
        std::uint64_t randomSeed = 1;
        /// Of what a reader knows, as it says itself; older than that it is taken for turned away
        /// by the store.
        Base::Duration maxLeaderAge = std::chrono::milliseconds(1600);
        /// The same for those that are no deputies, which ask the store only if all of these fail.
        /// On a day on which it was down for 8 s, 295 routers that all asked made 10,357 calls.
        Base::Duration maxDeferAge = std::chrono::seconds(5);
        /// A reader that has read the store within this time asks no peer for endpoints: it does so
        /// each 700 ms.
        Base::Duration recentReadAge = std::chrono::milliseconds(1000);
        /// In a data centre with fewer others all ask: one that its leader does not hear is no
        /// deputy, and finds out by itself sooner.
        std::size_t minPeersToDefer = 8;
        /// Of what a leader knows from another one, before it reads the store itself: that one
        /// reads each 700 ms, and of two messages in that time one may be lost. It leaves time to
        /// read before the own deputies count this leader as failing.
        Base::Duration maxFollowedAge = std::chrono::milliseconds(1250);
        /// A leader that follows another one reads the store if a pull from that takes longer:
        /// what it waits for, its data centre still has to pull from it.
        Base::Duration followedPullTimeout = std::chrono::milliseconds(300);
        /// A router that starts reads all once, so that it is ready as soon as may be. If it finds
        /// a stronger one of its data centre registered, it then leaves the store alone for so long
        /// after its start, until it hears that one lead or knows that it does not.
        Base::Duration leaderDiscoveryTime = std::chrono::milliseconds(1200);
        /// A router that has begun to read leaves its peers alone for so long unless the store
        /// fails it; that answers within 25 ms, and within a second when hundreds of routers ask at
        /// once.
        Base::Duration firstReadTimeout = std::chrono::milliseconds(500);
        /// The store answers a first read within 25 ms; one that waits longer shows that it is slow
        /// or away.
        Base::Duration storeAnswerTimeout = std::chrono::milliseconds(100);
        /// In which a configuration that another data centre has comes from the store, or from the
        /// own data centre's reader, too.
        Base::Duration localSourceTimeout = std::chrono::milliseconds(200);
        /// Between two pulls from whomever, while a difference lasts and none is on its way.
        Base::Duration pullInterval = std::chrono::milliseconds(400);
        /// A pull that has taken longer, while its peer has got a still newer configuration, is not
        /// waited for alone. A pull of 64 KB takes 0.06 s on a link of 10 Mbit/s; two of them one
        /// after the other have to leave time for a read of the store within the 2 s in which a
        /// change has to be in force.
        Base::Duration supersededPullTimeout = std::chrono::milliseconds(700);
        /// From a pull that told nothing new to the next one of the same peer while neither it nor
        /// this router changes; others are asked meanwhile. Endpoints write their entries again in
        /// it.
        Base::Duration emptyPullInterval = std::chrono::milliseconds(1500);
    };

    explicit FleetSync(Options options);
    ~FleetSync();
    FleetSync(const FleetSync &) = delete;
    FleetSync &operator=(const FleetSync &) = delete;

    // What goes out.
    std::function<void(const Runtime::SocketAddress &to, const Schema::FleetBeacon &beacon)> send;
    /// Asks a peer; until take(), pullRefused() or pullFailed() no other one is asked.
    std::function<void(const Runtime::SocketAddress &peer,
                       const Schema::FleetStateRequest &request)>
        pull;
    /// This router has to read the store, or need not any more. The strongest leader reads.
    std::function<void(bool reads)> roleChanged;
    /// A peer has a newer configuration.
    std::function<void(const StoredConfiguration &configuration)> configurationPulled;
    /// Other data centres than before are drained, as the store or a peer tells.
    std::function<void(const Fleet::DataCentreDrains::Set &before,
                       const Fleet::DataCentreDrains::Set &current)>
        drainsChanged;

    void start();
    /// Tells the peers that this router leaves.
    void leave();

    // What comes in.
    /// A router that was registered; it may be there no more.
    void addRouter(const std::string &id, const std::string &dataCentre,
                   const Runtime::SocketAddress &address, std::uint32_t strength);
    /// All that are registered have been added.
    void allRoutersAdded();
    void receive(const std::string &fromIp, const Schema::FleetBeacon &beacon);
    Schema::FleetStateAnswer answer(const Schema::FleetStateRequest &request) const;
    /// The peer has turned the last pull away.
    void pullRefused() { m_isPulling = false; }
    /// The last pull has brought no answer.
    void pullFailed();
    /// The answer to the last pull.
    void pullSucceeded(const Schema::FleetStateAnswer &state);
    /// All endpoints that the store had a moment ago have been put into the directory.
    void storeRead();
    /// The store answers this router again; its entries may have lapsed if it answered nobody.
    void storeReturned();
    /// A read of the endpoints has failed.
    void storeFailed();
    void setConfiguration(StoredConfiguration configuration);
    /// What the store tells of drained data centres belongs here.
    Fleet::DataCentreDrains &drains() { return m_drains; }
    const Fleet::DataCentreDrains &drains() const { return m_drains; }
    /// To be called when the directory has changed.
    void endpointChanged(const Fleet::EndpointDirectory::Entry &entry, bool isGone);

    /// How long a message that is read now may have waited for this process.
    Base::Duration arrivalDelay() { return now() - m_freshness.arrivalTime(); }
    bool readsStore() const { return m_isReading; }
    /// Whether it tells its data centre what it knows.
    bool isLeader() const { return m_isLeader; }
    /// Age of what this router knows; nothing if it knows nothing.
    std::optional<Base::Duration> stateAge() const;
    /// Whether the endpoints are known, from the store or from a peer.
    bool hasEndpoints() const { return m_freshness.at().has_value(); }
    /// Routers that were registered or heard of, this one included.
    std::size_t routerCount() const { return m_peers.peers().size() + 1; }
    const std::map<std::string, Peer> &peers() const { return m_peers.peers(); }
    /// Of all routers that were registered or heard of and have not said that they leave.
    std::vector<Runtime::SocketAddress> peerAddresses() const;
    /// Of the same routers.
    std::vector<std::string> peerIds() const;

private:
    Base::MonoTime now() const { return m_options.timers->clock().now(); }
    std::vector<const Peer *> stayingPeers() const;
    void tick();
    void updateRole();
    bool outranks(const Peer &peer) const;
    bool hasLeader() const;
    bool expectsLeader() const;
    bool isHealthyLeader(const Peer &peer) const;
    bool defersTo(const Peer &leader) const;
    bool canFollow() const;
    bool isFollowable(const Peer &peer) const;
    bool isFollowing() const { return m_isLeader && !m_isReading; }
    void watchLeader(const Peer &peer);
    bool isFailing(const Peer &peer) const;
    bool leadsWithFreshState() const;
    bool isReadOverdue() const;
    /// A peer has a newer configuration.
    bool isBehind() const;
    void sendBeacons();
    void pushState();
    void applyDrains(const Schema::FleetBeacon &beacon);
    void notifyPeers(const std::function<bool(const Peer &)> &isBehind);
    bool isStandby(const Peer &peer) const;
    std::vector<const Peer *> frequentPeers();
    void sendTo(const Peer &peer, const std::vector<Schema::SharedEndpoint> &news = {});
    std::vector<const Peer *> beaconPeers();
    void sendChanges();
    bool shouldPullEndpoints(const Peer &peer) const;
    bool shouldPullConfiguration(const Peer &peer, bool isBehind);
    void pullDifferences(const Peer &peer);
    bool isSuperseded(const Peer &peer) const;
    bool isSource(const Peer &peer) const;
    void pullTimedOut();
    void apply(const Schema::SharedEndpoint &shared);
    bool hadEmptyPull(const Peer &peer) const;
    void handleEmptyPull();
    void requireStoreRead();
    void advanceState(Base::MonoTime at);
    Schema::FleetBeacon beacon() const;

    Options m_options;
    PeerTable m_peers;
    StoredConfiguration m_configuration;
    Fleet::DataCentreDrains m_drains;
    StoreFreshness m_freshness;
    Base::MonoTime m_startedAt{};
    Base::MonoTime m_readingSince{};
    Base::MonoTime m_pulledAt{};
    bool m_isPulling = false;
    std::string m_pulledFrom; ///< Id of the peer.
    std::uint64_t m_pulledConfiguration = 0; ///< What the peer had when the pull began.
    int m_failedPulls = 0; ///< In a row, the one that is under way included.
    /// Pulls have not settled a difference, so this router reads the store itself.
    bool m_requiresStoreRead = false;
    /// Since when another data centre has a newer configuration than this router.
    std::optional<Base::MonoTime> m_behindSince;
    Base::MonoTime m_localBeaconsAt{}; ///< Those to peers that are not told often.
    std::vector<Schema::SharedEndpoint> m_changes; ///< Changes that the peers are not told yet.
    std::optional<Runtime::TimerId> m_changesTimer;
    bool m_isLeader = true;
    bool m_isReading = true;
    bool m_hasFollowed = false; ///< Until it reads: it went by another leader up to now.
    bool m_isLeaving = false;
    bool m_isAnnouncing = false; ///< Has become leader; the whole data centre has to hear of it.
    Base::MonoTime m_pushedAt{}; ///< What it knows, to those that hear it often.
    Runtime::TimerId m_startTimer;
    Runtime::TimerId m_pullTimer; ///< Of the last pull of a leader that follows another one.
    Runtime::TimerId m_timer;
    Runtime::TimerId m_leaderTimer; ///< Runs while a leader is alive that this router goes by.
};

} // namespace Lagoonbank::FleetSync
