#pragma once

#include "fleet/configuration.h"
#include "fleet/endpoint.h"
#include "gateway/averageload.h"
#include "gateway/endpointprotocol.h"
#include "gateway/warmupquota.h"
#include "routing/suspicion.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace Lagoonbank::Gateway {

/// A mean over the last observations that forgets what is old.
class MovingAverage
{
public:
    MovingAverage() = default;
    /// Begins with \a prior, so that the first observation alone says little.
    explicit MovingAverage(double prior)
        : m_mean(prior)
        , m_hasPrior(true)
    { }

    /// \a weight is that of the newest observation.
    void add(double value, Base::MonoTime now, double weight = 0.2);
    /// What is expected now: the mean while it is fresh, then more and more \a usual.
    double value(double usual, Base::MonoTime now, Base::Duration halfLife) const;
    bool isEmpty() const { return !m_at; }

private:
    double m_mean = 0;
    bool m_hasPrior = false;
    std::optional<Base::MonoTime> m_at;
};

/// What an endpoint's answers have said of it. It holds whatever its entry says, which cannot be
/// written while the store is down, and until it starts again, though its entry lapses meanwhile.
struct EndpointNotice
{
    bool isLeaving = false; ///< It takes no new requests.
    bool isReplaced = false; ///< Another endpoint has answered at its address.
    Base::MonoTime backOffUntil{}; ///< It wants nothing before.

    bool operator==(const EndpointNotice &) const = default;
};

/// What this router knows of one endpoint.
struct EndpointRecord
{
    Fleet::Endpoint info;
    std::uint64_t hash = 0; ///< Of its id; the same on every router.
    std::uint64_t startHash = 0; ///< Of its id and its start: another start holds no prompts.
    Routing::EndpointIndex index = Routing::noEndpoint;
    bool isDrained = false; ///< The operators have drained its data centre.
    bool isUnreachable = false; ///< No connection can be opened; see Reachability.
    EndpointNotice notice;
    WarmupRecord warmup;
    bool hasCrashed = false; ///< It took no connection after requests broke; cold when it is back.
    Base::MonoTime fullUntil{}; ///< It refused as full.
    bool isGone = false; ///< Its entry is gone; requests may still be in flight.
    Base::MonoTime knownSince;
    int inFlight = 0; ///< Requests of this router.
    std::optional<LoadReport> report;
    Base::MonoTime reportedAt;
    bool isReportFromPeer = false; ///< By a peer; else the endpoint has told this router.
    int inFlightAtReport = 0;
    std::optional<Base::MonoTime> hotAt; ///< When it had far more than the usual load last.
    /// Part of its places at which it still answers within the target latency.
    double timelyShare = 1;
    Base::MonoTime timelyLoweredAt{};
    MovingAverage latency; ///< Seconds to the answer, or to the first event of a stream.
    MovingAverage pause; ///< Seconds between two events of a stream.
    MovingAverage failures{0.0}; ///< 1 for an answer that failed, 0 for a good one.
    std::optional<Base::MonoTime> failedAt; ///< When a failure was counted last.
    Base::MonoTime lastContactAt; ///< When anything came from it last.

    /// It is there for new requests, as far as this router knows, or will be when it has rested.
    bool isInService() const
    {
        return info.state == Fleet::EndpointState::Ready && !isGone && !isDrained && !isUnreachable
            && !notice.isReplaced && !notice.isLeaving;
    }
    bool takesRequests(Base::MonoTime now) const
    {
        return isInService() && now >= notice.backOffUntil;
    }
};

using EndpointPtr = std::shared_ptr<EndpointRecord>;

/// Counts as a request at an endpoint while it lives, so that others who look for a place meanwhile
/// take it into account.
class SlotReservation
{
public:
    explicit SlotReservation(EndpointPtr endpoint)
        : m_endpoint(std::move(endpoint))
    {
        ++m_endpoint->inFlight;
    }
    ~SlotReservation() { --m_endpoint->inFlight; }
    SlotReservation(const SlotReservation &) = delete;
    SlotReservation &operator=(const SlotReservation &) = delete;

private:
    EndpointPtr m_endpoint;
};

/// What this router knows of all endpoints. Pure: time is an argument.
class EndpointRegistry
{
public:
    struct Options
    {
        /// A refused connection proves that nobody is there; a cut network looks the same for a
        /// moment, so that trials begin soon and stay frequent.
        Routing::Suspicion::Options suspicion{.breaksToSuspect = 1,
                                              .unreachableToSuspect = 1,
                                              .firstWait = std::chrono::milliseconds(500),
                                              .longestWait = std::chrono::seconds(4),
                                              .trialsToTrust = 1,
                                              .trialTimeout = std::chrono::seconds(2)};
        /// Age at which a report of load says no more than what this router has in flight.
        Base::Duration reportLifetime = std::chrono::seconds(3);
        /// In which half of what an endpoint has beyond the usual load is taken to have ended,
        /// where peers have told of it: all of them have heard it, and send elsewhere.
        Base::Duration peerReportHalfLife = std::chrono::seconds(4);
        /// Age to which requests that wait at an endpoint show that it has no place; they last some
        /// seconds.
        Base::Duration waitingReportLifetime = std::chrono::milliseconds(600);
        /// So many have to wait for that, as a part of its places; some wait for a moment whenever
        /// prompts are read that it has not in its cache. With 0 and 0.15 a start with cold caches
        /// refused callers that would have been served in time.
        double waitingShare = 0.4;
        /// In which half of the requests of other routers have ended, where this one has too few of
        /// its own to tell.
        Base::Duration othersHalfLife = std::chrono::seconds(1);
        /// Of the target latency: answers that take longer lower the part of its places that an
        /// endpoint gets, quicker ones raise it again.
        double lateShare = 0.5;
        double timelyShareStep = 0.06; ///< Down at once, up in four answers.
        /// Between two steps down: what was sent before the last one is still on its way.
        Base::Duration timelyInterval = std::chrono::milliseconds(150);
        /// Never less than this part of its places; with fewer taken other things than load make it
        /// late, such as prompts that it has not read yet.
        double minimumTimelyShare = 0.6;
        WarmupQuota::Options warmupQuota;
    };

    explicit EndpointRegistry(Options options)
        : m_options(options)
        , m_suspicion(options.suspicion)
        , m_warmupQuota(options.warmupQuota)
    { }

    /// Another start of an endpoint that is known is a new endpoint: what was believed of the one
    /// before (load, doubt, speed, prompts) says nothing of it.
    void put(const Fleet::Endpoint &endpoint, Base::MonoTime now);
    void remove(const Base::EndpointId &id);
    /// Endpoints of a service, in the order of their ids.
    const std::vector<EndpointPtr> &endpoints(const Base::ServiceId &service) const;
    using Services = absl::flat_hash_map<Base::ServiceId, std::vector<EndpointPtr>>;
    const Services &services() const { return m_services; }
    std::vector<EndpointPtr> inDataCentre(const Base::DataCentreId &dataCentre) const;
    EndpointPtr find(const Base::EndpointId &id) const;
    /// By EndpointRecord::startHash; null if it is not known.
    EndpointPtr findByStart(std::uint64_t startHash) const;
    std::size_t size() const { return m_records.size(); }
    /// Endpoints of these get no new requests.
    void setDrainedDataCentres(std::set<Base::DataCentreId> dataCentres, Base::MonoTime now);

    void setServices(const std::vector<Fleet::Service> &services);
    void setFleet(WarmupQuota::Fleet fleet) { m_warmupQuota.setFleet(std::move(fleet)); }
    /// Found to be cold, now or again.
    static void markCold(EndpointRecord &endpoint, Base::MonoTime now)
    {
        endpoint.warmup.since = now;
    }
    bool isWarmingUp(const EndpointRecord &endpoint, Base::MonoTime now) const;
    /// Whether this router may send the endpoint a request now, as far as that is cold.
    bool admitsRequest(EndpointRecord &endpoint, Base::MonoTime now) const;

    /// Something has come from it.
    void recordContact(EndpointRecord &endpoint, Base::MonoTime now)
    {
        endpoint.lastContactAt = now;
        m_lastContactAt = now;
    }
    /// When anything came from any endpoint last.
    Base::MonoTime lastContactAt() const { return m_lastContactAt; }
    void requestSent(EndpointRecord &endpoint, Base::MonoTime now) const;
    void requestEnded(EndpointRecord &endpoint) const { --endpoint.inFlight; }
    /// It has told this router its load.
    void loadReported(EndpointRecord &endpoint, const LoadReport &report, Base::MonoTime now);
    /// A peer tells what the endpoint told somebody \a at that time; older news change nothing.
    static void mergeLoadReport(EndpointRecord &endpoint, const LoadReport &report,
                                Base::MonoTime at);
    /// Requests at an endpoint of the service on average; nothing if no report tells.
    std::optional<double> usualLoad(const Base::ServiceId &service, Base::MonoTime now) const;
    void mergeAverageLoad(const Base::ServiceId &service, double requests, Base::MonoTime now)
    {
        m_averageLoads[service].addPeerEstimate(requests, now);
    }
    /// Whether its own report tells its load.
    bool hasFreshReport(const EndpointRecord &endpoint, Base::MonoTime now) const
    {
        return endpoint.report && now - endpoint.reportedAt < m_options.reportLifetime;
    }
    /// Requests that the endpoint has, for comparing endpoints: its last report and what this
    /// router has sent and got back since. Where nothing is known, what this router has sent.
    double load(const EndpointRecord &endpoint, Base::MonoTime now) const;
    /// Requests that the endpoint has from all routers, for the question of room, where too low an
    /// estimate has all of them send at once: since the last report, their part is taken to have
    /// grown or shrunk as this router's own has.
    double fleetLoad(const EndpointRecord &endpoint, Base::MonoTime now) const;
    void setRouterCount(std::size_t routers) { m_routerCount = static_cast<double>(routers); }
    double routerCount() const { return m_routerCount; }
    /// It has answered a request, or begun to; \a latency from the send.
    void answerTimed(EndpointRecord &endpoint, Base::Duration latency, Base::Duration target,
                     Base::MonoTime now) const;
    /// Requests that this router has at the endpoints of a service.
    int inFlight(const Base::ServiceId &service) const;
    /// That all endpoints of a service that are there for new requests can run at once.
    double totalSlots(const Base::ServiceId &service, Base::MonoTime now) const;
    /// Requests that the endpoint can run at once, as far as can be told; 0 for no limit.
    double effectiveSlots(const EndpointRecord &endpoint, Base::MonoTime now) const;
    /// Of these, as many as are not taken; below zero where more are taken than there are.
    double freeSlots(const EndpointRecord &endpoint, Base::MonoTime now) const
    {
        return effectiveSlots(endpoint, now) - fleetLoad(endpoint, now);
    }
    Routing::Suspicion &suspicion() { return m_suspicion; }
    const Routing::Suspicion &suspicion() const { return m_suspicion; }

private:
    /// What an endpoint whose entry is gone said, for when that comes back.
    struct RetainedNotice
    {
        Runtime::SocketAddress address;
        EndpointNotice notice;
    };

    void retainNotice(const EndpointRecord &endpoint);
    EndpointNotice retainedNotice(const EndpointRecord &endpoint) const;

    Options m_options;
    Routing::Suspicion m_suspicion;
    absl::flat_hash_map<Base::EndpointId, EndpointPtr> m_records;
    absl::flat_hash_map<std::uint64_t, EndpointPtr> m_byStart;
    absl::flat_hash_map<std::uint64_t, RetainedNotice> m_notices; ///< By EndpointRecord::startHash.
    std::set<Base::DataCentreId> m_drained;
    Services m_services;
    absl::flat_hash_map<Base::ServiceId, AverageLoad> m_averageLoads;
    absl::flat_hash_map<Base::ServiceId, Fleet::Warmup> m_warmups; ///< None of services without.
    WarmupQuota m_warmupQuota;
    std::vector<Routing::EndpointIndex> m_freeIndices;
    Routing::EndpointIndex m_nextIndex = 0;
    double m_routerCount = 1;
    Base::MonoTime m_lastContactAt;
};

} // namespace Lagoonbank::Gateway
