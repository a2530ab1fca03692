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

/// Another router.
struct Peer
{
    std::string id;
    std::string dataCentre;
    Runtime::SocketAddress address; ///< Of its datagrams and of its answers to pulls.
    std::optional<Base::MonoTime> lastBeaconAt;
    std::uint32_t strength = 0;
    bool isLeading = false; ///< See FleetBeacon.
    bool isReading = false;
    bool isLeaving = false;
    bool isWaiting = false; ///< See FleetBeacon.
    Base::MonoTime stateAsOf{}; ///< Time to which what it knew was true, as of its last beacon.
    bool hasState = false; ///< It knew something.
    std::uint64_t configuration = 0;
    std::uint64_t endpoints = 0;
    bool isBeaconSent = false; ///< Has been sent a beacon.
    std::vector<std::string> standbys; ///< Of a leader; see FleetBeacon.
    /// A pull that told nothing new: when it ended, and the hashes of both sides then.
    struct EmptyPull
    {
        Base::MonoTime at;
        std::uint64_t own = 0;
        std::uint64_t peer = 0;
    };
    std::optional<EmptyPull> lastEmptyPull;
};

/// The routers that this one has heard of, and which of them can be counted on.
///
/// A leader and its deputies talk often, so that one that dies is replaced soon. All others of a
/// data centre talk to its leader as seldom as their number demands, so that its traffic stays
/// bounded.
class PeerTable
{
public:
    struct Options
    {
        std::string id; ///< Of this router.
        std::string dataCentre;
        std::uint32_t strength = 0; ///< See FleetBeacon.
        const Runtime::Clock *clock = nullptr;
        std::uint64_t randomSeed = 1;
        /// Time between two beacons of a leader and its deputies, and of leaders.
        Base::Duration beaconInterval = std::chrono::milliseconds(500);
        /// Bytes a second that a leader sends to the rest of its data centre; it gets about as
        /// many. With deputies and other leaders that stays under 5,000, the limit for a router's
        /// control traffic.
        double localBytesPerSecond = 1600;
        /// On the wire, with the headers of UDP and IP; for names of 20 letters.
        double beaconBytes = 105;
        /// Two, as a leader and its first deputy may go at the same moment.
        std::size_t standbys = 2;
        /// Intervals without a beacon after which a peer is not counted on: two lost ones and some
        /// delay.
        double missedIntervals = 2.6;
        /// That a beacon may have been on its way, inside of a data centre and between two. Ages
        /// that are passed back and forth would else shrink by that each time, so that nobody saw
        /// how long the store has been away.
        Base::Duration localTransit = std::chrono::milliseconds(5);
        Base::Duration remoteTransit = std::chrono::milliseconds(50);
        /// Other data centres that a leader talks to in an interval; news spread on from there.
        std::size_t contacts = 2;
        /// The same of the reader, whom their leaders follow.
        std::size_t readerContacts = 5;
    };

    explicit PeerTable(Options options);

    /// A router that was registered; null if it is this one or has told of itself before.
    const Peer *add(const std::string &id, const std::string &dataCentre,
                    const Runtime::SocketAddress &address, std::uint32_t strength);
    /// A beacon has come, \a at this time or later; \a isNew says whether it is the peer's first.
    const Peer &receive(const std::string &fromIp, const Schema::FleetBeacon &beacon,
                        Base::MonoTime at, bool &isNew);

    /// This router has sent \a peer a beacon.
    void setBeaconSent(const Peer &peer) { m_peers[peer.id].isBeaconSent = true; }
    void setEmptyPull(const Peer &peer, std::uint64_t own)
    {
        m_peers[peer.id].lastEmptyPull = {m_options.clock->now(), own, peer.endpoints};
    }
    bool isAlive(const Peer &peer) const;
    /// Without a beacon for so long a peer is not counted on.
    Base::Duration beaconTimeout(const Peer &peer) const;
    bool isLocal(const Peer &peer) const { return peer.dataCentre == m_options.dataCentre; }
    /// Goes before this router in leading its data centre.
    bool isStronger(const Peer &peer) const;
    /// The strongest living routers of this data centre beside this one.
    std::vector<std::string> standbys() const;
    /// This leader has made this router one of its deputies.
    bool isStandbyOf(const Peer &leader) const;
    /// A living leader has made this router one of its deputies.
    bool isStandby() const;
    /// Time between two beacons of a leader and its deputies, and of leaders.
    Base::Duration beaconInterval() const { return m_options.beaconInterval; }
    /// Time between two beacons of a leader and those that are not its deputies.
    Base::Duration localInterval() const;

    std::vector<const Peer *> localPeers() const;
    /// Whom a leader tells of itself in other data centres: their leaders where they are known.
    std::vector<const Peer *> contacts(bool isReading);
    /// One of \a peers; null if there is none.
    const Peer *randomPeer(const std::vector<const Peer *> &peers);
    const std::map<std::string, Peer> &peers() const { return m_peers; }

private:
    void count(const std::string &dataCentre) { ++m_sizes[dataCentre]; }
    std::size_t localCount() const;
    std::size_t otherDataCentres() const { return m_sizes.size() - (localCount() > 0 ? 1 : 0); }
    const Peer *contactIn(const std::string &dataCentre);
    static const Peer *strongestOf(const std::vector<const Peer *> &peers);
    /// In the order in which routers of a data centre lead.
    static bool isStrongerThan(const Peer *a, const Peer *b);

    Options m_options;
    std::mt19937_64 m_random;
    std::map<std::string, Peer> m_peers; ///< By id.
    std::map<std::string, std::size_t> m_sizes; ///< Routers of each data centre, without this one.
};

} // namespace Lagoonbank::FleetSync
