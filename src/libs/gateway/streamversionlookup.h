#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "gateway/softwareversions.h"
#include "gateway/streamdirectory.h"
#include "runtime/timerqueue.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>

namespace Lagoonbank::Gateway {

/// From whom a router knows which software version began a stream.
enum class StreamVersionSource : std::uint8_t {
    Record, ///< The stream began or went on at this router, or a peer has reported it.
    Store, ///< The store keeps the version of the stream.
    Peer, ///< A peer was asked for the stream.
    OnlyVersion, ///< No other version serves or has served lately, according to the store.
    Nobody ///< The version is unknown.
};
std::string_view toString(StreamVersionSource source);

/// The version that began a stream, and how it is known.
struct StreamVersion
{
    std::optional<SoftwareHash> software; ///< Unset if the source is Nobody.
    StreamVersionSource source = StreamVersionSource::Nobody;
    /// Time up to which the source was current.
    Base::MonoTime asOf{};
    /// Whether the version may be known later, as the store has not answered or the service has no
    /// endpoints. Set if the source is Nobody.
    bool mayBeKnownLater = false;
};

/// What a lookup reads from the store. All hooks are null without a store.
struct StreamVersionStore
{
    using Refreshed = std::function<void(bool isCurrent)>;

    /// Reads which versions there are, and calls \a refreshed with whether all that the store held
    /// at the time of the call is known. Null if the versions are always known.
    std::function<void(Refreshed refreshed)> refreshVersions;
    /// Reads which streams have begun while versions were mixed, which then are recorded. Calls
    /// \a refreshed like refreshVersions().
    std::function<void(Refreshed refreshed)> refreshStreams;
    /// Whether the store keeps the streams of this fleet in a form that this router reads. Null if
    /// it always does.
    std::function<bool()> areStreamsReadable;
    /// Whether the last read of the versions has failed. Null if none can fail.
    std::function<bool()> areVersionsFailing;
    /// The same for the last read of the streams. It is apart, as streams are seldom read: a
    /// failure of long ago says nothing about the versions, which are read for each lookup.
    std::function<bool()> areStreamsFailing;
};

/// Finds out which software version began a stream that a caller resumes: the only place that
/// decides it. What a router knows of a service's versions may be outdated, as it is read at
/// intervals and the router may have been suspended or cut off meanwhile. That a service has one
/// version only is therefore relied on only if the store has confirmed it after the request
/// arrived: the entry of an endpoint is in the store before any router sends a request there.
class StreamVersionLookup
{
public:
    using Found = std::function<void(const StreamVersion &version)>;

    struct Options
    {
        Runtime::TimerQueue *timers = nullptr;
        /// Returns the version that began the stream if this router has recorded it.
        std::function<std::optional<StreamVersion>(StreamHash stream)> findRecord;
        /// Whether endpoints of the service run or have run several versions, or may have.
        std::function<bool(const Base::ServiceId &service)> isMixed;
        /// Returns the version of a service that is not mixed; unset without endpoints.
        std::function<std::optional<SoftwareHash>(const Base::ServiceId &service)> onlyVersion;
        /// Asks peers for a stream, and calls \a answered later. Null without peers.
        std::function<void(StreamHash stream,
                           std::function<void(std::optional<SoftwareHash>)> answered)>
            askPeers;
        StreamVersionStore store;
        /// Time after which peers are asked as well. The store normally answers within 25 ms.
        Base::Duration peerDelay = std::chrono::milliseconds(50);
        /// Maximum wait for the store. Callers abandon a stream after a pause of 2 s or more.
        Base::Duration storeTimeout = std::chrono::seconds(1);
        /// The same if the last read has failed. A request that cannot be served is refused early,
        /// so that its caller tries another router.
        Base::Duration failingStoreTimeout = std::chrono::milliseconds(100);
    };

    explicit StreamVersionLookup(Options options);
    ~StreamVersionLookup();
    StreamVersionLookup(const StreamVersionLookup &) = delete;
    StreamVersionLookup &operator=(const StreamVersionLookup &) = delete;

    /// Finds the version that began a stream of the service, or of one that the caller does not
    /// identify. \a found is called once, possibly from within this function.
    void find(const Base::ServiceId &service, std::optional<StreamHash> stream, Found found);

private:
    using LookupId = std::uint64_t;
    struct Lookup
    {
        Base::ServiceId service;
        std::optional<StreamHash> stream;
        Found found;
        Base::MonoTime startedAt;
        bool arePeersAsked = false;
        bool havePeersAnswered = false; ///< None of them knows the stream.
        bool areVersionsAsked = false; ///< The store was asked for the versions.
        bool areStreamsAsked = false; ///< The store was asked for the stream.
        /// Whether the store has answered the last read; unset while that is in progress.
        std::optional<bool> isCurrent;
        Runtime::TimerId peerTimer;
        Runtime::TimerId storeTimer;
    };

    bool areVersionsFailing() const
    {
        return m_options.store.areVersionsFailing && m_options.store.areVersionsFailing();
    }
    bool areStreamsFailing() const
    {
        return m_options.store.areStreamsFailing && m_options.store.areStreamsFailing();
    }
    bool areStreamsReadable() const
    {
        return m_options.store.refreshStreams
            && (!m_options.store.areStreamsReadable || m_options.store.areStreamsReadable());
    }
    void refreshVersions(LookupId id);
    void refreshStreams(LookupId id);
    void startStoreTimer(LookupId id, bool isStoreFailing);
    StreamVersionStore::Refreshed storeAnswered(LookupId id);
    /// The store has answered, or is not waited for any longer.
    void storeRead(LookupId id, bool isCurrent);
    void askPeers(LookupId id);
    void peersAnswered(LookupId id, std::optional<SoftwareHash> software);
    /// Ends the lookup if its result is known, and asks peers if only they may know it.
    void proceed(LookupId id);
    StreamVersion onlyVersion(const Lookup &lookup) const;
    StreamVersion storedVersion(const Lookup &lookup) const;
    void finish(LookupId id, const StreamVersion &version);
    void cancelTimers(const Lookup &lookup);

    Options m_options;
    LookupId m_lastId = 0;
    std::map<LookupId, Lookup> m_lookups;
    std::shared_ptr<bool> m_isAlive; ///< Lets callbacks detect that this object was destroyed.
};

} // namespace Lagoonbank::Gateway
