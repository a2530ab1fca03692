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

/// The configuration as the store holds it, with its offset in the store. Routers keep and send it
/// compressed: 1,400 more routes, three times, are 880 KB of text but only 64 KB compressed. On
/// links of 10 Mbit/s an uncompressed pull takes 1.07 s on average, during which every answer
/// waits, and a compressed one 0.06 s; the busiest of 70 routers needs 17 MB of memory instead of
/// 52 MB.
struct StoredConfiguration
{
    Base::Revision revision;
    Base::LogOffset offset;
    std::string packed; ///< Compressed by Schema::compress().
};

/// Distributes the content of the store among routers, so that one router reads the store and the
/// others receive changes within milliseconds. Each data centre has a leader, its strongest router,
/// which sends beacons to the other ones. It appoints standbys, which get its beacons more often,
/// so that one of them replaces it soon if it fails. The strongest leader is the store reader; the
/// leaders of other data centres follow it while they receive its beacons and its state is fresh.
/// Each router can also read the store alone, and one that cannot reach the store gets the state
/// from its peers.
///
/// A beacon carries the age of the sender's state, the revision of its configuration, a hash of its
/// endpoints and recent changes. A router whose state differs pulls the difference from the sender.
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
        std::uint32_t strength = 0; ///< Link speed of this router's VM in Mbit/s.
        Fleet::EndpointDirectory *directory = nullptr;
        Runtime::TimerQueue *timers = nullptr;
        std::uint64_t randomSeed = 1;
        /// Maximum age of a leader's state, as its beacons give it. A leader with an older state is
        /// considered to be failing to read the store.
        Base::Duration maxLeaderAge = std::chrono::milliseconds(1600);
        /// Routers that are not standbys leave store reads to a failing leader while its state is
        /// no older than this. They read the store only if the leader and all standbys fail. During
        /// a store outage of 8 s, 295 routers that all read made 10,357 calls.
        Base::Duration maxDeferAge = std::chrono::seconds(5);
        /// A store reader whose last read is no older than this pulls no endpoints from peers; it
        /// reads every 700 ms.
        Base::Duration recentReadAge = std::chrono::milliseconds(1000);
        /// Minimum number of peers in its data centre with which a router leaves store reads to a
        /// failing leader. In smaller data centres even a router that is not a standby (for
        /// example because its beacons do not reach the leader) reads the store itself then, and
        /// so notices sooner that the store has recovered.
        std::size_t minPeersToDefer = 8;
        /// Maximum age of the state that a leader has from the leader that it follows; if the
        /// state is older, this leader reads the store itself. The followed leader reads every 700
        /// ms, and one of two messages in that time may be lost. The limit leaves time for a read
        /// before this leader's own standbys consider it to be failing.
        Base::Duration maxFollowedAge = std::chrono::milliseconds(1250);
        /// A leader that follows the leader of another data centre pulls the state from it instead
        /// of reading the store. If a pull takes longer than this, it reads the store itself,
        /// because the routers of its own data centre then still have to pull the result from it.
        Base::Duration followedPullTimeout = std::chrono::milliseconds(300);
        /// A starting router reads everything once, so that it is ready as soon as possible. If a
        /// stronger router of its data centre is registered, it then does not read the store for
        /// this time after its start, within which that router either announces itself as leader
        /// or turns out to be absent.
        Base::Duration leaderDiscoveryTime = std::chrono::milliseconds(1200);
        /// A router that has begun to read pulls nothing from its peers for this time unless a read
        /// fails. The store answers within 25 ms, or within a second if hundreds of routers read at
        /// the same time.
        Base::Duration firstReadTimeout = std::chrono::milliseconds(500);
        /// Time after which a pending first read shows that the store is slow or unavailable. It
        /// normally answers within 25 ms.
        Base::Duration storeAnswerTimeout = std::chrono::milliseconds(100);
        /// Time that a router waits for a configuration that another data centre already has to
        /// arrive from the store or from the leader of its own data centre, before it pulls the
        /// configuration from the other data centre.
        Base::Duration localSourceTimeout = std::chrono::milliseconds(200);
        /// Minimum time between two pulls, from any peer, while a difference persists.
        Base::Duration pullInterval = std::chrono::milliseconds(400);
        /// If a pull takes longer than this and its peer meanwhile announces a newer configuration
        /// than it had when the pull began, the router reads the store as well. Two consecutive
        /// pulls and a read of the store must fit into the 2 s within which a change has to take
        /// effect. A pull of 64 KB normally takes 0.06 s on a link of 10 Mbit/s.
        Base::Duration supersededPullTimeout = std::chrono::milliseconds(700);
        /// Time after a pull without new data in which the same peer is not asked again while
        /// neither side changes. Other peers may be asked meanwhile. Endpoints write their entries
        /// again within this time.
        Base::Duration emptyPullInterval = std::chrono::milliseconds(1500);
        /// Maximum number of peers to which a router relays requests. If nine of ten routers are
        /// cut off from the endpoints, one of 64 is not with near certainty.
        std::size_t maxRelayPeers = 64;
    };

    explicit FleetSync(Options options);
    ~FleetSync();
    FleetSync(const FleetSync &) = delete;
    FleetSync &operator=(const FleetSync &) = delete;

    // Output hooks.
    std::function<void(const Runtime::SocketAddress &to, const Schema::FleetBeacon &beacon)> send;
    /// Starts a pull from a peer. No other pull is started until pullSucceeded(), pullRefused() or
    /// pullFailed() is called.
    std::function<void(const Runtime::SocketAddress &peer,
                       const Schema::FleetStateRequest &request)>
        pull;
    /// Called when this router has to start or stop reading the store.
    std::function<void(bool reads)> roleChanged;
    /// Called with a newer configuration that was pulled from a peer.
    std::function<void(const StoredConfiguration &configuration)> configurationPulled;
    /// Called when the set of drained data centres changes, by the store or by a peer.
    std::function<void(const Fleet::DataCentreDrains::Set &before,
                       const Fleet::DataCentreDrains::Set &current)>
        drainsChanged;

    /// Called when this router learns of an era of the store, from the store or from a peer;
    /// \a before is empty the first time. In a later era, records of the store have been lost.
    std::function<void(std::optional<Base::LogEra> before, Base::LogEra era)> storeEraChanged;

    void start();
    /// Announces to the peers that this router is shutting down.
    void leave();

    // Input.
    /// Adds a registered router, which may no longer exist.
    void addRouter(const std::string &id, const std::string &dataCentre,
                   const Runtime::SocketAddress &address, std::uint32_t strength);
    /// To be called when all registered routers have been added.
    void allRoutersAdded();
    void receive(const std::string &fromIp, const Schema::FleetBeacon &beacon);
    Schema::FleetStateAnswer answer(const Schema::FleetStateRequest &request) const;
    /// The peer has refused the last pull because it is too busy.
    void pullRefused() { m_isPulling = false; }
    /// The last pull has ended without an answer.
    void pullFailed();
    /// Applies the answer to the last pull.
    void pullSucceeded(const Schema::FleetStateAnswer &state);
    /// To be called after a successful read, when all endpoints of the store are in the directory.
    void storeRead();
    /// The store answers this router again. Entries in the store may have expired if it was
    /// unavailable to all routers.
    void storeReturned();
    /// A read of the endpoints has failed.
    void storeFailed();
    /// The store, or a peer, reports this era. If it is later than the known one, the store has
    /// been restored from an older copy: what is missing in it may still be written again.
    void setStoreEra(Base::LogEra era);
    void setConfiguration(StoredConfiguration configuration);
    /// The drained data centres; to be updated when they are read from the store.
    Fleet::DataCentreDrains &drains() { return m_drains; }
    const Fleet::DataCentreDrains &drains() const { return m_drains; }
    /// To be called when the directory has changed.
    void endpointChanged(const Fleet::EndpointDirectory::Entry &entry, bool isGone);

    /// Maximum time for which a message that is read now may have waited in a socket.
    Base::Duration arrivalDelay() { return now() - m_freshness.arrivalTime(); }
    bool readsStore() const { return m_isReading; }
    /// Whether this router leads its data centre.
    bool isLeader() const { return m_isLeader; }
    /// Age of this router's state; empty if it has none.
    std::optional<Base::Duration> stateAge() const;
    /// See StoreFreshness::outdatedSince().
    std::optional<Base::MonoTime> outdatedSince(Base::MonoTime now) const
    {
        return m_freshness.outdatedSince(now);
    }
    /// Whether this router has a state of the endpoints, from the store or from a peer.
    bool hasEndpoints() const { return m_freshness.asOf().has_value(); }
    /// Routers that are registered or have sent a beacon, this one included.
    std::size_t routerCount() const { return m_peers.peers().size() + 1; }
    const std::map<std::string, Peer> &peers() const { return m_peers.peers(); }
    /// Addresses of all routers that are registered or have sent a beacon and are not shutting
    /// down.
    std::vector<Runtime::SocketAddress> peerAddresses() const;
    /// Addresses of routers that are or were shutting down, and have not started again.
    std::vector<Runtime::SocketAddress> leavingPeerAddresses() const;
    /// Ids of all routers that are registered or have sent a beacon, without those that have shut
    /// down. A router that is shutting down still serves.
    std::vector<std::string> peerIds() const;
    /// Peers to which this router may relay requests: all that are not shutting down or, in a large
    /// fleet, a selection that differs between routers, so that no peer gets the requests of all.
    std::vector<const Peer *> relayPeers() const;

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
    /// Whether a peer has a newer configuration than this router.
    bool isBehind() const;
    void sendBeacons();
    void pushState();
    void applyDrains(const Schema::FleetBeacon &beacon);
    void notifyPeers(const std::function<bool(const Peer &)> &isBehind);
    bool isStandby(const Peer &peer) const;
    std::vector<const Peer *> peersWithFrequentBeacons();
    void sendTo(const Peer &peer, const std::vector<Schema::SharedEndpoint> &changes = {});
    std::vector<const Peer *> beaconPeers();
    void sendChanges();
    bool shouldPullEndpoints(const Peer &peer) const;
    bool shouldPullConfiguration(const Peer &peer, bool isBehind);
    void pullDifferences(const Peer &peer);
    bool isSuperseded(const Peer &peer) const;
    bool isRegularSource(const Peer &peer) const;
    void pullTimedOut();
    void apply(const Schema::SharedEndpoint &shared);
    bool hadEmptyPull(const Peer &peer) const;
    void handleEmptyPull();
    void requireStoreRead();
    void recordStateAsOf(Base::MonoTime asOf);
    Schema::FleetBeacon beacon() const;

    Options m_options;
    PeerTable m_peers;
    StoredConfiguration m_configuration;
    Fleet::DataCentreDrains m_drains;
    StoreFreshness m_freshness;
    std::optional<Base::LogEra> m_storeEra;
    Base::MonoTime m_startedAt{};
    Base::MonoTime m_readingSince{}; ///< When this router last began to read the store.
    Base::MonoTime m_pulledAt{}; ///< Start of the last pull.
    bool m_isPulling = false;
    std::string m_pulledFrom; ///< Id of the peer of the last pull.
    std::uint64_t m_pulledConfiguration = 0; ///< That peer's revision when the pull began.
    int m_failedPulls = 0; ///< Consecutive pulls without an answer, the one in flight included.
    /// Pulls have not resolved a difference, so this router has to read the store itself.
    bool m_requiresStoreRead = false;
    /// Time since which another data centre has a newer configuration than this router.
    std::optional<Base::MonoTime> m_behindSince;
    /// Time of the last beacons to peers without frequent beacons.
    Base::MonoTime m_localBeaconsAt{};
    std::vector<Schema::SharedEndpoint> m_changes; ///< Changes not sent to the peers yet.
    std::optional<Runtime::TimerId> m_changesTimer;
    bool m_isLeader = true;
    bool m_isReading = true; ///< Whether this router reads the store.
    /// Whether this leader followed another one before it began to read, and has not read yet.
    bool m_hasFollowed = false;
    bool m_isLeaving = false;
    bool m_isAnnouncing = false; ///< Sends the next beacons to the whole data centre.
    Base::MonoTime m_pushedAt{}; ///< Time of the last pushState().
    Runtime::TimerId m_startTimer;
    Runtime::TimerId m_pullTimer; ///< Timeout of a pull by a leader that follows another one.
    Runtime::TimerId m_timer;
    Runtime::TimerId m_leaderTimer; ///< Expires when the beacons of the leader stop.
};

} // namespace Lagoonbank::FleetSync
