#include "gateway/endpointbook.h"

#include "routing/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace Lagoonbank::Gateway {

void FadingMean::add(double value, Base::MonoTime now, double weight)
{
    m_mean = m_at || m_hasPrior ? m_mean + weight * (value - m_mean) : value;
    m_at = now;
}

double FadingMean::value(double usual, Base::MonoTime now, Base::Duration halfLife) const
{
    if (!m_at)
        return usual;
    const double kept = std::exp2(-Base::toSeconds(now - *m_at) / Base::toSeconds(halfLife));
    return usual + (m_mean - usual) * kept;
}

void EndpointBook::put(const Fleet::Endpoint &endpoint, Base::MonoTime now)
{
    const auto known = m_records.find(endpoint.id);
    if (known != m_records.end()) {
        known->second->info = endpoint;
        return;
    }
    auto record = std::make_shared<EndpointRecord>();
    record->info = endpoint;
    record->knownSince = now;
    record->hash = Routing::stableHash(endpoint.id.value());
    if (m_freeIndices.empty()) {
        record->index = m_nextIndex++;
    } else {
        record->index = m_freeIndices.back();
        m_freeIndices.pop_back();
    }
    m_suspicion.resize(m_nextIndex);
    m_suspicion.reset(record->index);
    m_records.emplace(endpoint.id, record);
    m_byHash.emplace(record->hash, record);
    auto &others = m_services[endpoint.service];
    const auto place = std::lower_bound(
        others.begin(), others.end(), record,
        [](const EndpointPtr &a, const EndpointPtr &b) { return a->info.id < b->info.id; });
    others.insert(place, record);
}

void EndpointBook::remove(const Base::EndpointId &id)
{
    const auto known = m_records.find(id);
    if (known == m_records.end())
        return;
    const EndpointPtr record = known->second;
    record->isGone = true;
    m_records.erase(known);
    m_byHash.erase(record->hash);
    std::erase(m_services[record->info.service], record);
    m_freeIndices.push_back(record->index);
}

const std::vector<EndpointPtr> &EndpointBook::endpoints(const Base::ServiceId &service) const
{
    static const std::vector<EndpointPtr> none;
    const auto found = m_services.find(service);
    return found == m_services.end() ? none : found->second;
}

std::vector<EndpointPtr> EndpointBook::inDataCentre(const Base::DataCentreId &dataCentre) const
{
    std::vector<EndpointPtr> found;
    for (const auto &[id, record] : m_records) {
        if (record->info.dataCentre == dataCentre)
            found.push_back(record);
    }
    return found;
}

EndpointPtr EndpointBook::find(const Base::EndpointId &id) const
{
    const auto found = m_records.find(id);
    return found == m_records.end() ? nullptr : found->second;
}

EndpointPtr EndpointBook::findByHash(std::uint64_t hash) const
{
    const auto found = m_byHash.find(hash);
    return found == m_byHash.end() ? nullptr : found->second;
}

void EndpointBook::loadReported(EndpointRecord &endpoint, const LoadReport &report,
                                Base::MonoTime now) const
{
    endpoint.report = report;
    endpoint.reportedAt = now;
    endpoint.inFlightAtReport = endpoint.inFlight;
}

double EndpointBook::load(const EndpointRecord &endpoint, Base::MonoTime now) const
{
    const double own = endpoint.inFlight;
    if (!endpoint.report || now - endpoint.reportedAt >= m_options.reportLife)
        return own;
    const double reported = endpoint.report->running + endpoint.report->waiting;
    return std::max(own, reported + own - endpoint.inFlightAtReport);
}

} // namespace Lagoonbank::Gateway
