#pragma once

#include "capacity/endpointslowdown.h"
#include "capacity/kvcachebudget.h"
#include "fleet/configuration.h"
#include "fleet/endpoint.h"
#include "gateway/averageload.h"
#include "gateway/endpointprotocol.h"
#include "gateway/softwareversions.h"
#include "gateway/streamdirectory.h"
#include "gateway/warmupquota.h"
#include "routing/suspicion.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace Lagoonbank::Gateway {

/// Exponentially weighted moving average whose value decays towards a given one with age.
class MovingAverage
{
public:
    MovingAverage() = default;
    /// Starts from \a prior, which limits the weight of the first observation.
    explicit MovingAverage(double prior)
        : m_mean(prior)
        , m_hasPrior(true)
    { }

    /// \a weight is the smoothing factor, the weight of the new observation.
    void add(double value, Base::MonoTime now, double weight = 0.2);
    /// The same after the average has decayed towards zero.
    void addDecayed(double value, Base::MonoTime now, double weight, Base::Duration halfLife);
    /// The average, which decays towards \a fallback with \a halfLife since the last observation.
    double value(double fallback, Base::MonoTime now, Base::Duration halfLife) const;
    /// What is left of the weight of the observations: 1 for a new one, 0 without any.
    double weight(Base::MonoTime now, Base::Duration halfLife) const;
    bool isEmpty() const { return !m_at; }

private:
    double m_mean = 0;
    bool m_hasPrior = false;
    /// Time of the last observation.
    std::optional<Base::MonoTime> m_at;
};

/// State that an endpoint announced in its answers. It takes precedence over the endpoint's entry
/// in the store, which cannot be updated while the store is down. It remains valid until the
/// endpoint restarts, even if the entry expires in between.
struct EndpointNotice
{
    bool isLeaving = false; ///< The endpoint takes no new requests.
    bool isReplaced = false; ///< Another endpoint answered at its address.
    Base::MonoTime backOffUntil{}; ///< The endpoint accepts no requests before this time.

    bool operator==(const EndpointNotice &) const = default;
};

/// The process behind an endpoint's address may have started again, at another software version
/// than the entry says, until an entry of the new start has been read.
struct SoftwareDoubt
{
    Base::MonoTime since;
    /// When an entry of the known start was first read again, which may have been on its way.
    std::optional<Base::MonoTime> entryReadAt;
    /// Streams that began there since then.
    std::vector<StreamHash> streams;
};

/// State of one endpoint as seen by this router.
struct EndpointRecord
{
    Fleet::Endpoint info;
    std::uint64_t hash = 0; ///< Hash of the endpoint's id; the same on every router.
    /// Hash of the id and the start time, as a restarted endpoint has lost its cached prompts.
    std::uint64_t startHash = 0;
    SoftwareHash software; ///< Version of its software, according to its entry.
    std::optional<SoftwareDoubt> softwareDoubt;
    Routing::EndpointIndex index = Routing::noEndpoint;
    bool isDrained = false; ///< Its data centre is drained by the operators.
    bool isUnreachable = false; ///< No connection can be opened; see Reachability.
    EndpointNotice notice;
    WarmupRecord warmup;
    /// Connections with requests in flight broke and no new one could be opened. The endpoint is
    /// cold when it is reachable again.
    bool hasCrashed = false;
    Base::MonoTime fullUntil{}; ///< End of the back-off after it refused a request as full.
    bool isGone = false; ///< Its entry was removed; requests may still be in flight.
    Base::MonoTime knownSince;
    int inFlight = 0; ///< Requests of this router in flight.
    Capacity::KvCacheBudget kvCache; ///< Memory used by the requests of this router.
    std::optional<LoadReport> report;
    Base::MonoTime reportedAt;
    bool isReportFromPeer = false; ///< Whether the last report came from a peer.
    int inFlightAtReport = 0;
    Capacity::EndpointSlowdown slowdown; ///< Slowdown of its machine, from its load reports.
    std::optional<Base::MonoTime> hotAt; ///< When its load was last far above average.
    /// Fraction of its slots up to which it answers within the target latency.
    double timelyShare = 1;
    Base::MonoTime timelyLoweredAt{};
    MovingAverage latency; ///< Seconds until the answer or the first event of a stream.
    MovingAverage pause; ///< Seconds between consecutive events of a stream.
    MovingAverage failures{0.0}; ///< Failure rate: 1 for a failed request, 0 for a successful one.
    std::optional<Base::MonoTime> failedAt; ///< Time of the last failure.
    MovingAverage refusals{0.0}; ///< Refusal rate: 1 for a refused request, 0 for an accepted one.
    Base::MonoTime lastContactAt; ///< When data was last received from it.

    /// Version of the process that answers; zero if it is not certain.
    SoftwareHash certainSoftware() const { return softwareDoubt ? SoftwareHash() : software; }
    /// Whether the endpoint is available for new requests of routers that can reach it, now or
    /// after its back-off.
    bool isOpen() const
    {
        return info.state == Fleet::EndpointState::Ready && !isGone && !isDrained
            && !notice.isReplaced && !notice.isLeaving;
    }
    /// Whether the endpoint is available for new requests of this router, now or after its
    /// back-off.
    bool isInService() const { return isOpen() && !isUnreachable; }
    bool takesRequests(Base::MonoTime now) const
    {
        return isInService() && now >= notice.backOffUntil;
    }
};

using EndpointPtr = std::shared_ptr<EndpointRecord>;

/// Counts as a request in flight at an endpoint during its lifetime, so that the slot is not given
/// to another request.
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

/// State of all endpoints as seen by this router. Does no I/O and reads no clock.
class EndpointRegistry
{
public:
    struct Options
    {
        /// A single refused connection makes an endpoint suspect, as no process listens there. A
        /// short network failure looks the same, so that trials start early and stay frequent.
        Routing::Suspicion::Options suspicion{.breaksToSuspect = 1,
                                              .unreachableToSuspect = 1,
                                              .initialBackoff = std::chrono::milliseconds(500),
                                              .maximumBackoff = std::chrono::seconds(4),
                                              .trialsToRecover = 1,
                                              .trialTimeout = std::chrono::seconds(2)};
        /// Age from which a load report is ignored and only this router's requests in flight count.
        Base::Duration reportLifetime = std::chrono::seconds(3);
        /// Half-life of an endpoint's load above the average if the report came from a peer. All
        /// routers have received that report and send their requests elsewhere.
        Base::Duration peerReportHalfLife = std::chrono::seconds(4);
        /// Maximum age of a report whose queued requests show that the endpoint has no free slots.
        /// Requests take a few seconds.
        Base::Duration waitingReportLifetime = std::chrono::milliseconds(600);
        /// An endpoint counts as one without free slots if it reports more queued requests than
        /// this fraction of its slots. A lower limit would be wrong too often, as some requests
        /// queue briefly whenever the endpoint prefills a prompt that is not in its cache. With 0
        /// and 0.15, requests that would have been answered in time were refused during a start
        /// with cold caches.
        double waitingShare = 0.4;
        /// Weight of the newest request in an endpoint's refusal rate. One refusal doubles the
        /// expected number of attempts.
        double refusalWeight = 0.5;
        Base::Duration refusalHalfLife = std::chrono::seconds(4);
        /// Refusal rate below which an endpoint is tried again, 9 s after a single refusal.
        double negligibleRefusals = 0.1;
        /// Half-life of the estimated number of requests of other routers at an endpoint since its
        /// last report. Used if this router had too few requests of its own there to estimate the
        /// trend.
        Base::Duration othersHalfLife = std::chrono::seconds(1);
        /// Fraction of the target latency from which an answer is late. Late answers lower the
        /// fraction of an endpoint's slots that is used, other answers raise it again.
        double lateLatencyShare = 0.5;
        /// Decrease of EndpointRecord::timelyShare per late answer; any other answer increases it
        /// by a quarter of this.
        double timelyShareStep = 0.06;
        /// Minimum interval between two decreases of timelyShare, as answers to requests that were
        /// sent before a decrease do not show its effect yet.
        Base::Duration timelyInterval = std::chrono::milliseconds(150);
        /// Minimum of timelyShare. Below this load, late answers have other causes, such as
        /// the prefill of prompts that are not cached.
        double minimumTimelyShare = 0.6;
        WarmupQuota::Options warmupQuota;
        SoftwareVersions::Options softwareVersions;
        /// Minimum time between two reads of an entry that show that its endpoint has written it in
        /// between. Routers that read the store do so every 0.7 s.
        Base::Duration minEntryInterval = std::chrono::milliseconds(500);
        /// Returns the age of the entries; empty if there are none. If it is not set, the entries
        /// count as old.
        std::function<std::optional<Base::Duration>()> stateAge;
        /// Age from which entries may be outdated, as the store or the way to it is down. The state
        /// of a router far from the readers is a few seconds old.
        Base::Duration maximumStateAge = std::chrono::seconds(5);
        /// Returns when this process went on after a suspension if the entries are older than that,
        /// as endpoints may have become cold meanwhile; otherwise empty. Null if that is not known.
        std::function<std::optional<Base::MonoTime>(Base::MonoTime now)> outdatedSince;
    };

    explicit EndpointRegistry(Options options)
        : m_options(std::move(options))
        , m_suspicion(m_options.suspicion)
        , m_warmupQuota(m_options.warmupQuota)
        , m_softwareVersions(m_options.softwareVersions)
    { }

    /// Adds or updates an endpoint. One that has restarted or changed its service counts as a new
    /// one: the load, suspicion, latency and prompts recorded before do not apply to it.
    void put(const Fleet::Endpoint &endpoint, Base::MonoTime now);
    void remove(const Base::EndpointId &id, Base::MonoTime now);
    /// The endpoint has written its entry again without a change.
    void entryRenewed(const Base::EndpointId &id, Base::MonoTime now);
    /// Something shows that the endpoint's process may have ended: which version answers at its
    /// address is unknown until its entry says so again.
    static void doubtSoftware(EndpointRecord &endpoint, Base::MonoTime now);
    /// Records a stream that began at an endpoint whose version is not certain.
    static void recordUncertainStream(EndpointRecord &endpoint, StreamHash stream);
    /// Called when the version of an endpoint is certain again, with the streams that began there
    /// meanwhile.
    std::function<void(const EndpointRecord &endpoint, const std::vector<StreamHash> &streams)>
        softwareConfirmed;
    /// The endpoints of a service, ordered by id.
    const std::vector<EndpointPtr> &endpoints(const Base::ServiceId &service) const;
    using Services = absl::flat_hash_map<Base::ServiceId, std::vector<EndpointPtr>>;
    const Services &services() const { return m_services; }
    std::vector<EndpointPtr> inDataCentre(const Base::DataCentreId &dataCentre) const;
    EndpointPtr find(const Base::EndpointId &id) const;
    /// The endpoint at an address; null if there is none.
    EndpointPtr findByAddress(const Runtime::SocketAddress &address) const;
    /// Finds an endpoint by EndpointRecord::startHash; null if it is unknown.
    EndpointPtr findByStart(std::uint64_t startHash) const;
    std::size_t size() const { return m_records.size(); }
    const SoftwareVersions &softwareVersions() const { return m_softwareVersions; }
    /// Records software versions that a peer knows.
    void mergeSoftware(const std::vector<SoftwareUse> &uses, Base::MonoTime now);
    /// Number of endpoints to which no connection can be opened.
    std::size_t unreachableCount() const;
    /// Endpoints of these data centres get no new requests.
    void setDrainedDataCentres(std::set<Base::DataCentreId> dataCentres, Base::MonoTime now);

    void setServices(const std::vector<Fleet::Service> &services);
    void setFleet(WarmupQuota::Fleet fleet) { m_warmupQuota.setFleet(std::move(fleet)); }
    /// Starts the warm-up of an endpoint that was not in service before.
    static void markCold(EndpointRecord &endpoint, Base::MonoTime now)
    {
        endpoint.warmup.coldSince = now;
    }
    /// The endpoint became cold while it was in service. Its warm-up starts with a pause, unless
    /// this router takes it for cold already.
    void becameCold(EndpointRecord &endpoint, Base::MonoTime now) const;
    /// Whether the endpoint is cold: for the time of a warm-up after that was found, and for as
    /// long as its entry says so. An endpoint may become cold again before its entry has changed.
    bool isWarmingUp(const EndpointRecord &endpoint, Base::MonoTime now) const;
    /// Whether the endpoint is cold, or may have become so while this process was suspended.
    bool mayBeCold(const EndpointRecord &endpoint, Base::MonoTime now) const;
    /// Whether the warm-up quota of this router lets it send the endpoint a request now.
    bool admitsRequest(EndpointRecord &endpoint, Base::MonoTime now) const;

    /// Data was received from the endpoint.
    void recordContact(EndpointRecord &endpoint, Base::MonoTime now)
    {
        endpoint.lastContactAt = now;
        m_lastContactAt = now;
    }
    /// When data was last received from any endpoint.
    Base::MonoTime lastContactAt() const { return m_lastContactAt; }
    void requestSent(EndpointRecord &endpoint, Base::MonoTime now) const;
    void requestEnded(EndpointRecord &endpoint) const { --endpoint.inFlight; }
    /// The endpoint reported its load to this router.
    void loadReported(EndpointRecord &endpoint, const LoadReport &report, Base::MonoTime now);
    /// Merges a report that the endpoint sent to a peer \a at that time. Ignored if it is older
    /// than the last report.
    static void mergeLoadReport(EndpointRecord &endpoint, const LoadReport &report,
                                Base::MonoTime at);
    /// Whether endpoints of the service report the slowdown of their machines. Their capacity
    /// varies with the other workloads there.
    bool reportsSlowdown(const Base::ServiceId &service) const
    {
        return m_servicesWithSlowdown.contains(service);
    }
    /// Average load of the service's endpoints, in requests; unset without recent reports.
    std::optional<double> averageLoad(const Base::ServiceId &service, Base::MonoTime now) const;
    void mergeAverageLoad(const Base::ServiceId &service, double requests, Base::MonoTime now)
    {
        m_averageLoads[service].addPeerEstimate(requests, now);
    }
    /// Whether there is a load report of the endpoint that has not expired.
    bool hasFreshReport(const EndpointRecord &endpoint, Base::MonoTime now) const
    {
        return endpoint.report && now - endpoint.reportedAt < m_options.reportLifetime;
    }
    /// The endpoint has refused a request, or has accepted one.
    void requestRefused(EndpointRecord &endpoint, Base::MonoTime now) const;
    void requestAccepted(EndpointRecord &endpoint, Base::MonoTime now) const;
    /// Expected number of requests to the endpoint until it accepts one. An endpoint that refuses
    /// at once has neither load nor latency, so that these alone make it look better than others.
    double expectedAttempts(const EndpointRecord &endpoint, Base::MonoTime now) const;
    /// Estimated requests at the endpoint, used to compare endpoints: its last report plus the
    /// change in this router's requests in flight since. Without a report only the latter.
    double load(const EndpointRecord &endpoint, Base::MonoTime now) const;
    /// Estimated requests of all routers at the endpoint, used to find free slots, where too low an
    /// estimate makes all routers send at once. The requests of other routers are assumed to have
    /// grown or shrunk since the last report in proportion to this router's own.
    double fleetLoad(const EndpointRecord &endpoint, Base::MonoTime now) const;
    void setRouterCount(std::size_t routers) { m_routerCount = static_cast<double>(routers); }
    double routerCount() const { return m_routerCount; }
    /// The endpoint answered a request or began a stream \a latency after the request was sent.
    void answerTimed(EndpointRecord &endpoint, Base::Duration latency, Base::Duration target,
                     Base::MonoTime now) const;
    /// Requests of this router in flight at all endpoints of a service.
    int inFlight(const Base::ServiceId &service) const;
    /// Sum of the effective slots of all endpoints of a service that are in service.
    double totalSlots(const Base::ServiceId &service, Base::MonoTime now) const;
    /// Estimated number of requests that the endpoint can run at once; 0 for no limit. It is lower
    /// than the reported slots if answers are late. An endpoint with queued requests has no more
    /// slots than it runs requests, as its memory is in use.
    double effectiveSlots(const EndpointRecord &endpoint, Base::MonoTime now) const;
    /// Effective slots that are not in use; negative if the endpoint is overcommitted.
    double freeSlots(const EndpointRecord &endpoint, Base::MonoTime now) const
    {
        return effectiveSlots(endpoint, now) - fleetLoad(endpoint, now);
    }
    Routing::Suspicion &suspicion() { return m_suspicion; }
    const Routing::Suspicion &suspicion() const { return m_suspicion; }

private:
    /// Notice of an endpoint whose entry was removed, restored if the entry reappears.
    struct RetainedNotice
    {
        Runtime::SocketAddress address;
        EndpointNotice notice;
    };

    void setSoftware(EndpointRecord &endpoint, Base::MonoTime now);
    void confirmSoftware(EndpointRecord &endpoint);
    std::optional<SoftwareDoubt> doubtAt(const Fleet::Endpoint &endpoint) const;
    bool areEntriesCurrent() const;
    void retainNotice(const EndpointRecord &endpoint);
    EndpointNotice retainedNotice(const EndpointRecord &endpoint) const;

    Options m_options;
    Routing::Suspicion m_suspicion;
    absl::flat_hash_map<Base::EndpointId, EndpointPtr> m_records;
    absl::flat_hash_map<std::uint64_t, EndpointPtr> m_byStart;
    absl::flat_hash_map<std::uint64_t, RetainedNotice> m_notices; ///< By EndpointRecord::startHash.
    std::set<Base::DataCentreId> m_drained;
    absl::flat_hash_set<Base::ServiceId> m_servicesWithSlowdown;
    Services m_services;
    absl::flat_hash_map<Base::ServiceId, AverageLoad> m_averageLoads;
    absl::flat_hash_map<Base::ServiceId, Fleet::Warmup> m_warmups; ///< Omits services without one.
    WarmupQuota m_warmupQuota;
    SoftwareVersions m_softwareVersions;
    std::vector<Routing::EndpointIndex> m_freeIndices;
    Routing::EndpointIndex m_nextIndex = 0;
    double m_routerCount = 1;
    Base::MonoTime m_lastContactAt;
};

} // namespace Lagoonbank::Gateway
