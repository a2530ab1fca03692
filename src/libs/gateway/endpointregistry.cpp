#include "gateway/endpointregistry.h"

#include "routing/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Lagoonbank::Gateway {

namespace {

/// Maximum number of notices of removed endpoints. Expired entries reappear within seconds.
constexpr std::size_t maximumRetainedNotices = 1024;
/// Maximum number of streams that one endpoint began while its version was not certain.
constexpr std::size_t maximumUncertainStreams = 4096;

std::uint64_t startHash(const Fleet::Endpoint &endpoint)
{
    const auto startedAt = endpoint.startedAt.value_or(Base::WallTime()).time_since_epoch().count();
    return Routing::mixHashes(Routing::stableHash(endpoint.id.value()),
                              static_cast<std::uint64_t>(startedAt));
}

void noteReport(EndpointRecord &endpoint, const LoadReport &report, Base::MonoTime reportedAt)
{
    endpoint.report = report;
    endpoint.reportedAt = reportedAt;
    endpoint.inFlightAtReport = endpoint.inFlight;
}

} // namespace

void MovingAverage::add(double value, Base::MonoTime now, double weight)
{
    m_mean = m_at || m_hasPrior ? m_mean + weight * (value - m_mean) : value;
    m_at = now;
}

void MovingAverage::addDecayed(double value, Base::MonoTime now, double weight,
                               Base::Duration halfLife)
{
    m_mean = this->value(0, now, halfLife);
    add(value, now, weight);
}

double MovingAverage::value(double fallback, Base::MonoTime now, Base::Duration halfLife) const
{
    return fallback + (m_mean - fallback) * weight(now, halfLife);
}

double MovingAverage::weight(Base::MonoTime now, Base::Duration halfLife) const
{
    if (!m_at)
        return 0;
    return std::exp2(-Base::toSeconds(now - *m_at) / Base::toSeconds(halfLife));
}

void EndpointRegistry::put(const Fleet::Endpoint &endpoint, Base::MonoTime now)
{
    const auto known = m_records.find(endpoint.id);
    const bool isKnown = known != m_records.end() && known->second->info.service == endpoint.service
        && !Fleet::isRestart(known->second->info, endpoint);
    if (isKnown) {
        if (endpoint.isWarmingUp && !known->second->info.isWarmingUp)
            becameCold(*known->second, now);
        const bool isUpdate = known->second->info.softwareVersion != endpoint.softwareVersion;
        known->second->info = endpoint;
        setSoftware(*known->second, now);
        if (isUpdate)
            confirmSoftware(*known->second);
        else
            entryRenewed(endpoint.id, now);
        return;
    }
    const std::optional<SoftwareDoubt> doubt = doubtAt(endpoint);
    remove(endpoint.id, now);
    auto record = std::make_shared<EndpointRecord>();
    record->info = endpoint;
    record->knownSince = now;
    record->hash = Routing::stableHash(endpoint.id.value());
    record->startHash = startHash(endpoint);
    setSoftware(*record, now);
    record->notice = retainedNotice(*record);
    record->isDrained = m_drained.contains(endpoint.dataCentre);
    if (endpoint.isWarmingUp)
        markCold(*record, now);
    if (m_freeIndices.empty()) {
        record->index = m_nextIndex++;
    } else {
        record->index = m_freeIndices.back();
        m_freeIndices.pop_back();
    }
    m_suspicion.resize(m_nextIndex);
    m_suspicion.reset(record->index);
    m_records.emplace(endpoint.id, record);
    m_byStart.emplace(record->startHash, record);
    auto &others = m_services[endpoint.service];
    const auto position = std::lower_bound(
        others.begin(), others.end(), record,
        [](const EndpointPtr &a, const EndpointPtr &b) { return a->info.id < b->info.id; });
    others.insert(position, record);
    record->softwareDoubt = doubt;
    confirmSoftware(*record);
}

/// The doubt about the start before at the same address; unset if there is none.
std::optional<SoftwareDoubt> EndpointRegistry::doubtAt(const Fleet::Endpoint &endpoint) const
{
    const EndpointPtr known = find(endpoint.id);
    const bool isSamePlace =
        known && known->info.address == endpoint.address && known->info.service == endpoint.service;
    return isSamePlace ? known->softwareDoubt : std::nullopt;
}

void EndpointRegistry::doubtSoftware(EndpointRecord &endpoint, Base::MonoTime now)
{
    endpoint.softwareDoubt = {.since = now};
}

void EndpointRegistry::recordUncertainStream(EndpointRecord &endpoint, StreamHash stream)
{
    if (endpoint.softwareDoubt && endpoint.softwareDoubt->streams.size() < maximumUncertainStreams)
        endpoint.softwareDoubt->streams.push_back(stream);
}

/// The first entry that is read after the doubt began may have been written before. The endpoint
/// lives if it has written another one since.
void EndpointRegistry::entryRenewed(const Base::EndpointId &id, Base::MonoTime now)
{
    const EndpointPtr endpoint = find(id);
    if (!endpoint || !endpoint->softwareDoubt)
        return;
    std::optional<Base::MonoTime> &readAt = endpoint->softwareDoubt->entryReadAt;
    if (!readAt)
        readAt = now;
    else if (now - *readAt >= m_options.minEntryInterval)
        confirmSoftware(*endpoint);
}

void EndpointRegistry::confirmSoftware(EndpointRecord &endpoint)
{
    const auto doubt = std::exchange(endpoint.softwareDoubt, std::nullopt);
    if (doubt && softwareConfirmed)
        softwareConfirmed(endpoint, doubt->streams);
}

/// Updates what is derived from the software version in the endpoint's entry.
void EndpointRegistry::setSoftware(EndpointRecord &endpoint, Base::MonoTime now)
{
    const SoftwareHash software = softwareHash(endpoint.info);
    if (software == endpoint.software)
        return;
    if (endpoint.software != SoftwareHash())
        m_softwareVersions.endpointRemoved(endpoint.info.service, endpoint.software, now);
    endpoint.software = software;
    m_softwareVersions.endpointAdded(endpoint.info.service, software);
}

void EndpointRegistry::remove(const Base::EndpointId &id, Base::MonoTime now)
{
    const auto known = m_records.find(id);
    if (known == m_records.end())
        return;
    const EndpointPtr record = known->second;
    record->isGone = true;
    retainNotice(*record);
    m_records.erase(known);
    m_byStart.erase(record->startHash);
    m_softwareVersions.endpointRemoved(record->info.service, record->software, now);
    std::erase(m_services[record->info.service], record);
    m_freeIndices.push_back(record->index);
}

void EndpointRegistry::mergeSoftware(const std::vector<SoftwareUse> &uses, Base::MonoTime now)
{
    for (const SoftwareUse &use : uses)
        m_softwareVersions.merge(use, now);
}

/// Endpoints whose drain ends count as cold: they may have become cold while they were drained, and
/// report that only with an answer.
void EndpointRegistry::setDrainedDataCentres(std::set<Base::DataCentreId> dataCentres,
                                             Base::MonoTime now)
{
    m_drained = std::move(dataCentres);
    for (const auto &[id, record] : m_records) {
        const bool isDrained = m_drained.contains(record->info.dataCentre);
        if (std::exchange(record->isDrained, isDrained) && !isDrained)
            markCold(*record, now);
    }
}

void EndpointRegistry::setServices(const std::vector<Fleet::Service> &services)
{
    m_warmups.clear();
    for (const Fleet::Service &service : services) {
        if (service.warmup.time > Base::Duration::zero() && service.warmup.requestsPerSecond > 0)
            m_warmups[service.name] = service.warmup;
    }
}

void EndpointRegistry::becameCold(EndpointRecord &endpoint, Base::MonoTime now) const
{
    if (!isWarmingUp(endpoint, now))
        m_warmupQuota.pause(endpoint.warmup, now);
    markCold(endpoint, now);
}

bool EndpointRegistry::isWarmingUp(const EndpointRecord &endpoint, Base::MonoTime now) const
{
    if (!endpoint.warmup.coldSince)
        return false;
    const auto warmup = m_warmups.find(endpoint.info.service);
    if (warmup == m_warmups.end())
        return false;
    return now - *endpoint.warmup.coldSince < warmup->second.time
        || (endpoint.info.isWarmingUp && areEntriesCurrent());
}

bool EndpointRegistry::mayBeCold(const EndpointRecord &endpoint, Base::MonoTime now) const
{
    if (isWarmingUp(endpoint, now))
        return true;
    // Asked for each endpoint of a placement, so the usual case comes first.
    const auto outdatedSince =
        m_options.outdatedSince ? m_options.outdatedSince(now) : std::nullopt;
    if (!outdatedSince)
        return false;
    const auto warmup = m_warmups.find(endpoint.info.service);
    return warmup != m_warmups.end() && now - *outdatedSince < warmup->second.time;
}

bool EndpointRegistry::areEntriesCurrent() const
{
    const auto age = m_options.stateAge ? m_options.stateAge() : std::nullopt;
    return age && *age < m_options.maximumStateAge;
}

bool EndpointRegistry::admitsRequest(EndpointRecord &endpoint, Base::MonoTime now) const
{
    if (!mayBeCold(endpoint, now))
        return true;
    const double sustainableRate = m_warmups.at(endpoint.info.service).requestsPerSecond;
    return m_warmupQuota.admits(endpoint.warmup, endpoint.startHash, sustainableRate, now);
}

void EndpointRegistry::requestSent(EndpointRecord &endpoint, Base::MonoTime now) const
{
    ++endpoint.inFlight;
    if (mayBeCold(endpoint, now))
        m_warmupQuota.recordSend(endpoint.warmup, now);
}

void EndpointRegistry::retainNotice(const EndpointRecord &endpoint)
{
    if (endpoint.notice == EndpointNotice())
        return;
    if (m_notices.size() >= maximumRetainedNotices)
        m_notices.erase(m_notices.begin());
    m_notices[endpoint.startHash] = {endpoint.info.address, endpoint.notice};
}

EndpointNotice EndpointRegistry::retainedNotice(const EndpointRecord &endpoint) const
{
    const auto kept = m_notices.find(endpoint.startHash);
    const bool isSame = kept != m_notices.end() && kept->second.address == endpoint.info.address;
    return isSame ? kept->second.notice : EndpointNotice();
}

const std::vector<EndpointPtr> &EndpointRegistry::endpoints(const Base::ServiceId &service) const
{
    static const std::vector<EndpointPtr> none;
    const auto found = m_services.find(service);
    return found == m_services.end() ? none : found->second;
}

std::vector<EndpointPtr> EndpointRegistry::inDataCentre(const Base::DataCentreId &dataCentre) const
{
    std::vector<EndpointPtr> found;
    for (const auto &[id, record] : m_records) {
        if (record->info.dataCentre == dataCentre)
            found.push_back(record);
    }
    return found;
}

std::size_t EndpointRegistry::unreachableCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_records.begin(), m_records.end(),
                      [](const auto &entry) { return entry.second->isUnreachable; }));
}

EndpointPtr EndpointRegistry::find(const Base::EndpointId &id) const
{
    const auto found = m_records.find(id);
    return found == m_records.end() ? nullptr : found->second;
}

EndpointPtr EndpointRegistry::findByAddress(const Runtime::SocketAddress &address) const
{
    const auto found = std::find_if(m_records.begin(), m_records.end(), [&](const auto &entry) {
        return entry.second->info.address == address;
    });
    return found == m_records.end() ? nullptr : found->second;
}

EndpointPtr EndpointRegistry::findByStart(std::uint64_t startHash) const
{
    const auto found = m_byStart.find(startHash);
    return found == m_byStart.end() ? nullptr : found->second;
}

void EndpointRegistry::loadReported(EndpointRecord &endpoint, const LoadReport &report,
                                    Base::MonoTime now)
{
    noteReport(endpoint, report, now);
    endpoint.isReportFromPeer = false;
    if (report.slowdown) {
        endpoint.slowdown.reported(*report.slowdown, now);
        m_servicesWithSlowdown.insert(endpoint.info.service);
    }
    m_averageLoads[endpoint.info.service].addReport(report.running + report.waiting, now);
}

void EndpointRegistry::mergeLoadReport(EndpointRecord &endpoint, const LoadReport &report,
                                       Base::MonoTime at)
{
    if (endpoint.report && endpoint.reportedAt >= at)
        return;
    noteReport(endpoint, report, at);
    endpoint.isReportFromPeer = true;
}

std::optional<double> EndpointRegistry::averageLoad(const Base::ServiceId &service,
                                                    Base::MonoTime now) const
{
    const auto found = m_averageLoads.find(service);
    return found == m_averageLoads.end() ? std::nullopt : found->second.value(now);
}

double EndpointRegistry::expectedAttempts(const EndpointRecord &endpoint, Base::MonoTime now) const
{
    constexpr double maxRefusals = 0.95;
    const double refusals = endpoint.refusals.value(0, now, m_options.refusalHalfLife);
    return refusals < m_options.negligibleRefusals ? 1 : 1 / (1 - std::min(refusals, maxRefusals));
}

void EndpointRegistry::requestRefused(EndpointRecord &endpoint, Base::MonoTime now) const
{
    endpoint.refusals.addDecayed(1, now, m_options.refusalWeight, m_options.refusalHalfLife);
}

void EndpointRegistry::requestAccepted(EndpointRecord &endpoint, Base::MonoTime now) const
{
    if (!endpoint.refusals.isEmpty())
        endpoint.refusals.addDecayed(0, now, m_options.refusalWeight, m_options.refusalHalfLife);
}

double EndpointRegistry::load(const EndpointRecord &endpoint, Base::MonoTime now) const
{
    const double own = endpoint.inFlight;
    if (!hasFreshReport(endpoint, now))
        return own;
    double others = endpoint.report->running + endpoint.report->waiting - endpoint.inFlightAtReport;
    if (endpoint.isReportFromPeer) {
        const double average = averageLoad(endpoint.info.service, now).value_or(0);
        const double halfLives = Base::toSeconds(now - endpoint.reportedAt)
            / Base::toSeconds(m_options.peerReportHalfLife);
        others = average + (others - average) * std::exp2(-halfLives);
    }
    return std::max(own, others + own);
}

double EndpointRegistry::fleetLoad(const EndpointRecord &endpoint, Base::MonoTime now) const
{
    constexpr int minOwnRequests = 2;
    const double own = endpoint.inFlight;
    if (!endpoint.report) // Assumes that half of the routers send as many requests as this one.
        return own * std::max(1.0, m_routerCount / 2);
    const double reported = endpoint.report->running + endpoint.report->waiting;
    const double ownAtReport = endpoint.inFlightAtReport;
    if (ownAtReport >= minOwnRequests)
        return std::max(own, reported * own / ownAtReport);
    const double halfLives =
        Base::toSeconds(now - endpoint.reportedAt) / Base::toSeconds(m_options.othersHalfLife);
    return own + std::max(0.0, reported - ownAtReport) * std::exp2(-halfLives);
}

void EndpointRegistry::answerTimed(EndpointRecord &endpoint, Base::Duration latency,
                                   Base::Duration target, Base::MonoTime now) const
{
    endpoint.latency.add(Base::toSeconds(latency), now);
    if (target <= Base::Duration::zero())
        return;
    const double share = Base::toSeconds(latency) / Base::toSeconds(target);
    const double step = m_options.timelyShareStep;
    if (share < m_options.lateLatencyShare) {
        endpoint.timelyShare = std::min(1.0, endpoint.timelyShare + step / 4);
        return;
    }
    const bool isLoaded = endpoint.report
        && fleetLoad(endpoint, now) >= m_options.minimumTimelyShare * endpoint.report->slots;
    if (!isLoaded || now - endpoint.timelyLoweredAt < m_options.timelyInterval)
        return;
    endpoint.timelyLoweredAt = now;
    endpoint.timelyShare = std::max(m_options.minimumTimelyShare, endpoint.timelyShare - step);
}

int EndpointRegistry::inFlight(const Base::ServiceId &service) const
{
    int sum = 0;
    for (const EndpointPtr &endpoint : endpoints(service))
        sum += endpoint->inFlight;
    return sum;
}

double EndpointRegistry::totalSlots(const Base::ServiceId &service, Base::MonoTime now) const
{
    double sum = 0;
    for (const EndpointPtr &endpoint : endpoints(service))
        sum += endpoint->isInService() ? effectiveSlots(*endpoint, now) : 0;
    return sum;
}

double EndpointRegistry::effectiveSlots(const EndpointRecord &endpoint, Base::MonoTime now) const
{
    const double all = endpoint.report ? endpoint.report->slots : endpoint.info.slots;
    const double timely = all * endpoint.timelyShare;
    const bool hasQueue = endpoint.report && endpoint.report->waiting > m_options.waitingShare * all
        && now - endpoint.reportedAt < m_options.waitingReportLifetime;
    return hasQueue && endpoint.report->running > 0
        ? std::min<double>(timely, endpoint.report->running)
        : timely;
}

} // namespace Lagoonbank::Gateway
