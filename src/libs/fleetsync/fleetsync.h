#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "fleet/endpointdirectory.h"
#include "runtime/timerqueue.h"
#include "runtime/udpsocket.h"
#include "schema/generated/fleetsync.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Lagoonbank::FleetSync {

/// The configuration as the store holds it, with the place where it stands.
struct StoredConfiguration
{
    Base::Revision revision;
    Base::LogOffset offset;
    std::string text;
};

/// Another router.
struct Peer
{
    std::string id;
    std::string dataCentre;
    Runtime::SocketAddress address; ///< Of its datagrams and of its answers to pulls.
    std::optional<Base::MonoTime> heardAt;
    std::uint32_t strength = 0;
    bool isReading = false;
    bool isLeaving = false;
    Base::MonoTime knownAt{}; ///< Time to which what it knew was true, as of its last beacon.
    bool isKnowing = false; ///< It knew something.
    std::uint64_t configuration = 0;
    std::uint64_t endpoints = 0;
};

/// Shares what the store tells among routers, so that one router of each data centre reads it and
/// the others hear of changes within milliseconds. Each can also read alone, and a router that the
/// store turns away learns from its peers.
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
        /// Time between two beacons. A router of 25 in its data centre then sends 4.5 KB/s.
        Base::Duration beaconInterval = std::chrono::milliseconds(500);
        /// A peer that is silent for so long is not counted on: two lost beacons and some delay.
        Base::Duration peerTimeout = std::chrono::milliseconds(1300);
        /// A reader whose store has not answered for so long is taken for turned away.
        Base::Duration readerTimeout = std::chrono::milliseconds(1600);
        /// Between two pulls from whomever, while a difference lasts.
        Base::Duration pullInterval = std::chrono::milliseconds(400);
    };

    explicit FleetSync(Options options);
    ~FleetSync();
    FleetSync(const FleetSync &) = delete;
    FleetSync &operator=(const FleetSync &) = delete;

    // What goes out.
    std::function<void(const Runtime::SocketAddress &to, const Schema::FleetBeacon &beacon)> send;
    std::function<void(const Runtime::SocketAddress &peer,
                       const Schema::FleetStateRequest &request)>
        pull;
    /// This router has to read the store, or need not any more.
    std::function<void(bool reads)> dutyChanged;
    /// A peer has a newer configuration.
    std::function<void(const StoredConfiguration &configuration)> configurationLearnt;

    void start();
    /// Tells the peers that this router leaves.
    void leave();

    // What comes in.
    /// A router that was registered; it may be there no more.
    void addRouter(const std::string &id, const std::string &dataCentre,
                   const Runtime::SocketAddress &address);
    void receive(const std::string &fromIp, const Schema::FleetBeacon &beacon);
    Schema::FleetStateAnswer answer(const Schema::FleetStateRequest &request) const;
    void take(const Schema::FleetStateAnswer &state);
    /// The store has answered a read of the endpoints.
    void storeAnswered();
    void setConfiguration(StoredConfiguration configuration);
    /// To be called when the directory has changed by what this router read.
    void endpointChanged(const Fleet::EndpointDirectory::Entry &entry, bool isGone);

    bool readsStore() const { return m_isReading; }
    /// Age of what this router knows; nothing if it knows nothing.
    std::optional<Base::Duration> knowledgeAge() const;
    /// Whether the endpoints are known, from the store or from a peer.
    bool knowsEndpoints() const { return m_knownAt.has_value(); }
    /// Routers that were registered or heard of, this one included.
    std::size_t routerCount() const { return m_peers.size() + 1; }
    const std::map<std::string, Peer> &peers() const { return m_peers; }

private:
    Base::MonoTime now() const { return m_options.timers->clock().now(); }
    void tick();
    void checkDuty();
    bool isAlive(const Peer &peer) const;
    bool isStronger(const Peer &peer) const;
    bool isFailing(const Peer &peer) const;
    void sendBeacons();
    void sendTo(const Peer &peer, std::vector<Schema::SharedEndpoint> news = {});
    std::vector<const Peer *> beaconPeers();
    const Peer *contactIn(const std::string &dataCentre);
    void compare(const Peer &peer);
    void learn(const Schema::SharedEndpoint &shared);
    Schema::FleetBeacon beacon() const;

    Options m_options;
    std::mt19937_64 m_random;
    std::map<std::string, Peer> m_peers; ///< By id.
    StoredConfiguration m_configuration;
    std::optional<Base::MonoTime> m_knownAt; ///< Time to which what is known was true.
    Base::MonoTime m_pulledAt{};
    bool m_isReading = true;
    bool m_isLeaving = false;
    Runtime::TimerId m_timer;
};

} // namespace Lagoonbank::FleetSync
