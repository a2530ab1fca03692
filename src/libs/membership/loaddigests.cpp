#include "membership/loaddigests.h"

#include "membership/peercodec.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace Lagoonbank::Membership {

namespace {

/// Relative change of the own work from which it is sent again.
constexpr double significantChange = 0.1;
constexpr std::size_t maxReports = 512;

std::uint32_t toWire(double work)
{
    constexpr double maximum = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp(std::round(work), 0.0, maximum));
}

} // namespace

LoadDigests::LoadDigests()
    : LoadDigests(Options())
{ }

LoadDigests::LoadDigests(const Options &options)
    : m_options(options)
{ }

bool LoadDigests::report(const Base::EndpointId &endpoint, Base::WorkUnits work,
                         Base::MonoTime sampledAt)
{
    Entry &entry = m_entries[nameKey(endpoint.value())];
    if (entry.hasSample && sampledAt <= entry.sampledAt)
        return false;
    entry.work = work.value();
    entry.sampledAt = sampledAt;
    entry.hasSample = true;
    entry.sends = 0;
    return true;
}

void LoadDigests::setOwnWorkSinceSample(const Base::EndpointId &endpoint, Base::WorkUnits work)
{
    Entry &entry = m_entries[nameKey(endpoint.value())];
    const double change = std::abs(work.value() - entry.ownWorkSinceSample);
    if (change > significantChange * std::max(entry.ownWorkSinceSample, 1.0))
        entry.sends = 0;
    entry.ownWorkSinceSample = work.value();
}

bool LoadDigests::receive(std::uint32_t origin, const LoadReport &report, Base::MonoTime now)
{
    Entry &entry = m_entries[report.endpoint];
    const Base::MonoTime sampledAt = now - std::chrono::milliseconds(report.ageMs);
    std::erase_if(entry.peers, [&](const PeerWork &peer) {
        return peer.origin == origin || now - peer.receivedAt > m_options.peerWorkMaxAge;
    });
    if (report.sentSince > 0)
        entry.peers.push_back({origin, static_cast<double>(report.sentSince), now});
    if (entry.hasSample && sampledAt <= entry.sampledAt)
        return false;
    // Ages are truncated to whole milliseconds, so the same sample seems a little newer when it is
    // received again.
    constexpr Base::Duration sameSampleTolerance = std::chrono::milliseconds(2);
    const bool isSame = entry.hasSample && sampledAt - entry.sampledAt <= sameSampleTolerance
        && toWire(entry.work) == report.work;
    if (isSame)
        return false;
    entry.work = static_cast<double>(report.work);
    entry.sampledAt = sampledAt;
    entry.hasSample = true;
    entry.sends = 0;
    return true;
}

std::optional<LoadDigests::Sample> LoadDigests::sample(const Base::EndpointId &endpoint) const
{
    return sample(nameKey(endpoint.value()));
}

std::optional<LoadDigests::Sample> LoadDigests::sample(std::uint32_t endpointKey) const
{
    const auto found = m_entries.find(endpointKey);
    if (found == m_entries.end() || !found->second.hasSample)
        return std::nullopt;
    return Sample{Base::WorkUnits(found->second.work), found->second.sampledAt};
}

Base::WorkUnits LoadDigests::peerWorkSinceSample(const Base::EndpointId &endpoint,
                                                 Base::MonoTime now) const
{
    const auto found = m_entries.find(nameKey(endpoint.value()));
    if (found == m_entries.end())
        return Base::WorkUnits(0);
    double sum = 0;
    for (const PeerWork &peer : found->second.peers) {
        if (now - peer.receivedAt <= m_options.peerWorkMaxAge)
            sum += peer.work;
    }
    return Base::WorkUnits(sum);
}

std::vector<LoadReport> LoadDigests::take(std::size_t bytes, Base::MonoTime now)
{
    std::vector<std::pair<std::uint32_t, Entry *>> due;
    for (auto &[key, entry] : m_entries) {
        if (isDue(entry, now))
            due.emplace_back(key, &entry);
    }
    std::sort(due.begin(), due.end(), [](const auto &a, const auto &b) {
        if (a.second->sends != b.second->sends)
            return a.second->sends < b.second->sends;
        if (a.second->sampledAt != b.second->sampledAt)
            return a.second->sampledAt > b.second->sampledAt;
        return a.first < b.first;
    });
    std::vector<LoadReport> reports;
    for (const auto &[key, entry] : due) {
        const auto age = std::max<std::int64_t>(Base::toMilliseconds(now - entry->sampledAt), 0);
        const LoadReport report{.endpoint = key,
                                .work = toWire(entry->work),
                                .ageMs = static_cast<std::uint32_t>(age),
                                .sentSince = toWire(entry->ownWorkSinceSample)};
        const std::size_t size = encodedSize(report);
        if (size > bytes || reports.size() >= maxReports)
            break;
        bytes -= size;
        ++entry->sends;
        reports.push_back(report);
    }
    return reports;
}

bool LoadDigests::hasDue(Base::MonoTime now) const
{
    return std::any_of(m_entries.begin(), m_entries.end(),
                       [&](const auto &item) { return isDue(item.second, now); });
}

void LoadDigests::remove(const Base::EndpointId &endpoint)
{
    m_entries.erase(nameKey(endpoint.value()));
}

bool LoadDigests::isDue(const Entry &entry, Base::MonoTime now) const
{
    return entry.hasSample && entry.sends < m_options.sends
        && now - entry.sampledAt <= m_options.maxAge;
}

} // namespace Lagoonbank::Membership
