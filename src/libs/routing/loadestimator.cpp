#include "routing/loadestimator.h"

#include <algorithm>

namespace Lagoonbank::Routing {

void LoadEstimator::resize(std::size_t size)
{
    if (size <= m_rows.size())
        return;
    m_rows.resize(size);
    m_load.resize(size, 0.0);
}

void LoadEstimator::reset(EndpointIndex endpoint)
{
    const std::uint32_t next = m_rows[endpoint].generation + 1;
    m_rows[endpoint] = {};
    m_rows[endpoint].generation = next;
    m_load[endpoint] = 0.0;
    for (std::vector<float> &work : m_peerWork) {
        if (endpoint < work.size())
            work[endpoint] = 0.0F;
    }
}

bool LoadEstimator::noteReport(EndpointIndex endpoint, const LoadReport &report, Base::MonoTime now)
{
    Row &row = m_rows[endpoint];
    if (row.reported && report.incarnation.value() < row.incarnation.value())
        return false;
    const bool restarted = row.reported && report.incarnation.value() > row.incarnation.value();
    if (!restarted && row.reported && report.sampledAt < row.sampledAt)
        return false;
    if (restarted)
        reset(endpoint);
    row.reported = true;
    row.incarnation = report.incarnation;
    row.sampledAt = std::min(report.sampledAt, now);
    row.reportedWork = std::max(report.work.value(), 0.0);
    row.unattributed = row.reportedWork - row.ownInFlight.workAt(row.sampledAt)
        - row.peersInFlight.workAt(row.sampledAt);
    row.fadedUnattributed = row.unattributed * weightOf(row, now);
    update(endpoint);
    return true;
}

SentWork LoadEstimator::noteSent(EndpointIndex endpoint, Base::WorkUnits work, Base::MonoTime now)
{
    Row &row = m_rows[endpoint];
    row.ownInFlight.add(work.value(), now);
    update(endpoint);
    return {.endpoint = endpoint, .generation = row.generation, .remaining = work.value()};
}

void LoadEstimator::noteProgress(SentWork *sent, Base::WorkUnits done, Base::MonoTime now)
{
    const double part = std::clamp(done.value(), 0.0, sent->remaining);
    sent->remaining -= part;
    if (sent->endpoint >= m_rows.size())
        return;
    Row &row = m_rows[sent->endpoint];
    if (row.generation != sent->generation)
        return;
    row.ownInFlight.add(-part, now);
    update(sent->endpoint);
}

void LoadEstimator::noteEnded(SentWork *sent, Base::MonoTime now)
{
    noteProgress(sent, Base::WorkUnits(sent->remaining), now);
    sent->endpoint = noEndpoint;
}

void LoadEstimator::notePeerInFlight(PeerIndex peer, EndpointIndex endpoint,
                                     Base::WorkUnits inFlight, Base::MonoTime now)
{
    if (peer >= m_peerWork.size())
        m_peerWork.resize(peer + 1);
    std::vector<float> &work = m_peerWork[peer];
    if (work.size() < m_rows.size())
        work.resize(m_rows.size(), 0.0F);
    const auto value = static_cast<float>(std::max(inFlight.value(), 0.0));
    m_rows[endpoint].peersInFlight.add(value - work[endpoint], now);
    work[endpoint] = value;
    update(endpoint);
}

bool LoadEstimator::setPeersComplete(bool complete)
{
    if (complete == m_arePeersComplete)
        return false;
    m_arePeersComplete = complete;
    for (EndpointIndex endpoint = 0; endpoint < m_rows.size(); ++endpoint)
        update(endpoint);
    return true;
}

void LoadEstimator::removePeer(PeerIndex peer, Base::MonoTime now)
{
    if (peer >= m_peerWork.size())
        return;
    std::vector<float> &work = m_peerWork[peer];
    for (EndpointIndex endpoint = 0; endpoint < work.size(); ++endpoint) {
        if (work[endpoint] == 0.0F)
            continue;
        m_rows[endpoint].peersInFlight.add(-work[endpoint], now);
        update(endpoint);
    }
    work.clear();
}

void LoadEstimator::refresh(const EndpointTable &table, Base::MonoTime now)
{
    double unattributed = 0.0;
    double capacity = 0.0;
    for (EndpointIndex endpoint = 0; endpoint < m_rows.size(); ++endpoint) {
        const Row &row = m_rows[endpoint];
        if (!table.contains(endpoint) || !row.reported)
            continue;
        const double weight = weightOf(row, now);
        unattributed += weight * row.unattributed;
        capacity += weight * table.capacity(endpoint);
    }
    // An endpoint without a fresh report is assumed to have the average load of the others, so that
    // lost reports neither attract work to it nor keep work away from it.
    const double mean = capacity > 0.0 ? std::max(unattributed, 0.0) / capacity : 0.0;
    for (EndpointIndex endpoint = 0; endpoint < m_rows.size(); ++endpoint) {
        Row &row = m_rows[endpoint];
        if (!table.contains(endpoint))
            continue;
        const double weight = row.reported ? weightOf(row, now) : 0.0;
        const double assumed = mean * table.capacity(endpoint);
        row.fadedUnattributed = weight * row.unattributed + (1.0 - weight) * assumed;
        update(endpoint);
    }
}

Base::WorkUnits LoadEstimator::ownInFlight(EndpointIndex endpoint) const
{
    return Base::WorkUnits(m_rows[endpoint].ownInFlight.current());
}

Base::WorkUnits LoadEstimator::peersInFlight(EndpointIndex endpoint) const
{
    return Base::WorkUnits(m_rows[endpoint].peersInFlight.current());
}

void LoadEstimator::update(EndpointIndex endpoint)
{
    const Row &row = m_rows[endpoint];
    const double unattributed = m_arePeersComplete ? 0.0 : row.fadedUnattributed;
    m_load[endpoint] =
        std::max(unattributed + row.ownInFlight.current() + row.peersInFlight.current(), 0.0);
}

double LoadEstimator::weightOf(const Row &row, Base::MonoTime now) const
{
    const Base::Duration over = now - row.sampledAt - m_options.staleAfter;
    if (over <= Base::Duration::zero())
        return 1.0;
    return std::max(0.0, 1.0 - Base::toSeconds(over) / Base::toSeconds(m_options.fadeTime));
}

} // namespace Lagoonbank::Routing
