#pragma once

#include "base/units.h"
#include "runtime/timerqueue.h"
#include "runtime/udpsocket.h"
#include "schema/generated/fleetsync.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Lagoonbank::FleetSync {

/// Another router, as the registry and its last beacon describe it.
struct Peer
{
    std::string id;
    std::string dataCentre;
    Runtime::SocketAddress address; ///< For datagrams and for pulls.
    std::optional<Base::MonoTime> lastBeaconAt; ///< Empty before its first beacon.
    std::uint32_t strength = 0; ///< Link speed of its VM in Mbit/s; the strongest router leads.
    bool isLeading = false; ///< Leads its data centre, even if its state is not fresh.
    bool isReading = false; ///< Leads its data centre, and its state is fresh.
    bool isLeaving = false; ///< Is shutting down, so that peers must not rely on it.
    /// Defers the removal of endpoints, as it may have missed writes to the store in an outage.
    bool isWaiting = false;
    Base::MonoTime stateAsOf{}; ///< Time up to which its state reflects the store.
    bool hasState = false;
    std::uint64_t configuration = 0; ///< Revision of its configuration.
    std::uint64_t endpoints = 0; ///< Hash of its endpoints.
    bool isBeaconSent = false; ///< Whether this router has sent it a beacon.
    std::vector<std::string> standbys; ///< Standbys that it has appointed as leader.
    /// A pull without new data: when it ended, and the hashes of the endpoints that both sides had.
    struct EmptyPull
    {
        Base::MonoTime endedAt;
        std::uint64_t ownHash = 0;
        std::uint64_t peerHash = 0;
    };
    std::optional<EmptyPull> lastEmptyPull;
};

/// The other routers that are registered or have sent a beacon, and whether they are alive.
///
/// A leader and its standbys exchange beacons often, so that a leader that dies is replaced soon.
/// The interval between the leader and the other routers of its data centre grows with their
/// number, so that the leader's traffic stays bounded.
class PeerTable
{
public:
    struct Options
    {
        std::string id; ///< Id of this router.
        std::string dataCentre;
        std::uint32_t strength = 0; ///< Link speed of this router's VM in Mbit/s.
        const Runtime::Clock *clock = nullptr;
        std::uint64_t randomSeed = 1;
        /// Time between two beacons among a leader and its standbys, and among leaders.
        Base::Duration beaconInterval = std::chrono::milliseconds(500);
        /// Bytes per second that a leader sends to routers of its data centre that are not
        /// standbys; it receives about as many. Together with the beacons of standbys and other
        /// leaders that stays under 5,000, the limit for a router's control traffic.
        double localBytesPerSecond = 1600;
        /// Size of a beacon with UDP and IP headers, for names of 20 letters.
        double beaconBytes = 105;
        /// Number of standbys: two, as a leader and its first standby may fail at the same time.
        std::size_t standbyCount = 2;
        /// Number of beacon intervals without a beacon after which a peer is considered dead. It
        /// allows for two lost beacons and some delay.
        double missedIntervals = 2.6;
        /// Maximum transit time of a beacon within a data centre and between two. It is added to
        /// the age of the sender's state: ages that are passed back and forth would otherwise
        /// shrink at each hop, so that no router would notice how long the store has been
        /// unavailable.
        Base::Duration localTransit = std::chrono::milliseconds(5);
        Base::Duration remoteTransit = std::chrono::milliseconds(50);
        /// Number of other data centres to which a leader sends a beacon in each interval. They
        /// propagate its content to the rest.
        std::size_t contactCount = 2;
        /// Number of other data centres to which the store reader sends a beacon in each interval.
        /// It is larger because their leaders follow the store reader.
        std::size_t readerContactCount = 5;
    };

    explicit PeerTable(Options options);

    /// Adds a registered router. Returns null if it is this one or has already sent a beacon.
    const Peer *add(const std::string &id, const std::string &dataCentre,
                    const Runtime::SocketAddress &address, std::uint32_t strength);
    /// Updates the sender of a beacon that arrived at \a earliestArrival or later. Sets \a isNew if
    /// it is the first beacon of this peer.
    const Peer &receive(const std::string &fromIp, const Schema::FleetBeacon &beacon,
                        Base::MonoTime earliestArrival, bool &isNew);

    /// Records that this router has sent a beacon to \a peer.
    void setBeaconSent(const Peer &peer) { m_peers[peer.id].isBeaconSent = true; }
    /// Records that a pull from \a peer returned nothing new for endpoints with hash \a ownHash.
    void setEmptyPull(const Peer &peer, std::uint64_t ownHash)
    {
        m_peers[peer.id].lastEmptyPull = {m_options.clock->now(), ownHash, peer.endpoints};
    }
    bool isAlive(const Peer &peer) const;
    /// Time without a beacon after which a peer is considered dead.
    Base::Duration beaconTimeout(const Peer &peer) const;
    bool isLocal(const Peer &peer) const { return peer.dataCentre == m_options.dataCentre; }
    /// Whether the peer precedes this router in the order in which routers lead their data centre.
    bool isStronger(const Peer &peer) const;
    /// Ids of the strongest living routers of this data centre apart from this one.
    std::vector<std::string> standbys() const;
    /// Whether this leader has made this router one of its standbys.
    bool isStandbyOf(const Peer &leader) const;
    /// Whether a living leader has made this router one of its standbys.
    bool isStandby() const;
    /// Time between two beacons among a leader and its standbys, and among leaders.
    Base::Duration beaconInterval() const { return m_options.beaconInterval; }
    /// Time between two beacons of a leader and the routers of its data centre that are not
    /// standbys.
    Base::Duration localInterval() const;

    /// All peers of this data centre.
    std::vector<const Peer *> localPeers() const;
    /// Peers of some other data centres, chosen at random, to which a leader sends its next beacon:
    /// their leaders where these are known. \a isReading says whether this router reads the store.
    std::vector<const Peer *> contacts(bool isReading);
    /// Returns a random element of \a peers, or null if there is none.
    const Peer *randomPeer(const std::vector<const Peer *> &peers);
    const std::map<std::string, Peer> &peers() const { return m_peers; }

private:
    void countRouter(const std::string &dataCentre) { ++m_routerCounts[dataCentre]; }
    std::size_t localRouterCount() const;
    std::size_t otherDataCentreCount() const
    {
        return m_routerCounts.size() - (localRouterCount() > 0 ? 1 : 0);
    }
    const Peer *chooseContact(const std::string &dataCentre);
    static const Peer *strongestOf(const std::vector<const Peer *> &peers);
    /// Whether \a a precedes \a b in the order in which routers of a data centre lead.
    static bool isStrongerThan(const Peer *a, const Peer *b);

    Options m_options;
    std::mt19937_64 m_random;
    std::map<std::string, Peer> m_peers; ///< By id.
    std::map<std::string, std::size_t>
        m_routerCounts; ///< Routers by data centre, without this one.
};

} // namespace Lagoonbank::FleetSync
