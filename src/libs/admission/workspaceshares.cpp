#include "admission/workspaceshares.h"

#include <algorithm>
#include <cmath>

namespace Lagoonbank::Admission::Internal {

using Base::Duration;
using Base::MonoTime;

namespace {

constexpr auto totalUnits = static_cast<double>(ShareLedger::totalUnits);
constexpr double demandHeadroom = 1.2; ///< Factor on the demand, so that the demand can grow.
constexpr double idleFraction = 0.125; ///< Fraction of the equal share that an idle router keeps.
/// A participant is active, so that digests are sent for it, if its demand reaches this fraction of
/// its share, or if its share deviates from the equal share by more than this fraction.
constexpr double activeFraction = 0.5;
/// Fraction of a surplus that is transferred in one step. It is below one because the other routers
/// may not have received earlier transfers yet.
constexpr double transferFraction = 0.5;
/// Maximum fraction of its data centre's share that a representative transfers in one step. While
/// router lists differ, two routers may act as representative at a time; together they still
/// transfer no more than the data centre holds.
constexpr double maxTransferFraction = 0.5;
/// Minimum transfer, as a fraction of the equal share; a smaller one does not justify a message.
constexpr double minTransferFraction = 0.01;
/// Maximum number of transfer totals between data centres in one digest; the others in it are
/// between routers.
constexpr std::size_t maxDataCentreTransfers = 4;
/// Digests are still sent for this long after the workspace has become inactive.
constexpr Duration trailingDigestTime = std::chrono::seconds(10);

std::uint16_t asUnits(double amount)
{
    return static_cast<std::uint16_t>(std::clamp(amount, 0.0, totalUnits));
}

} // namespace

WorkspaceShares::WorkspaceShares(const ShareTopology &topology, const ShareTiming &timing)
    : m_topology(topology)
    , m_timing(timing)
    , m_routerLedger(topology.routers, Duration::zero())
    , m_dataCentreLedger(topology.dataCentres, timing.propagationTime)
{ }

void WorkspaceShares::setTopology(const ShareTopology &topology, MonoTime now)
{
    const bool routersChanged = topology.routersHash != m_topology.routersHash;
    const bool dataCentresChanged = topology.dataCentresHash != m_topology.dataCentresHash;
    if (!routersChanged && !dataCentresChanged)
        return;
    m_shareCap = share(now);
    m_shareCapUntil = now + m_timing.propagationTime;
    m_topology = topology;
    m_routerLedger = ShareLedger(topology.routers, Duration::zero());
    m_routerDemands.clear();
    m_division.reset();
    if (!dataCentresChanged)
        return;
    m_dataCentreLedger = ShareLedger(topology.dataCentres, m_timing.propagationTime);
    m_dataCentreDemands.clear();
}

double WorkspaceShares::dataCentreUnits(MonoTime now) const
{
    return static_cast<double>(m_dataCentreLedger.units(m_topology.dataCentre, now));
}

double WorkspaceShares::ownFraction(MonoTime now) const
{
    return static_cast<double>(m_routerLedger.units(m_topology.self, now)) / totalUnits;
}

double WorkspaceShares::share(MonoTime now) const
{
    const double share = ownFraction(now) * dataCentreUnits(now) / totalUnits;
    if (m_shareCap && now < m_shareCapUntil)
        return std::min(share, *m_shareCap);
    return share;
}

void WorkspaceShares::updateShares(double demand, std::uint16_t representative, MonoTime now)
{
    m_demand = demand;
    m_representative = representative;
    if (!isRepresentative()) {
        transferToRepresentative(now);
        return;
    }
    transferToRouters(now);
    transferToDataCentres(now);
}

// Converts a demand from units of the fleet-wide limit to units of the data centre's share, which
// its routers divide among themselves; the limit and the share are totalUnits each. Adds headroom
// and raises low demands to a minimum.
double WorkspaceShares::scaledDemand(double demand, MonoTime now) const
{
    const double idle = idleFraction * totalUnits / m_topology.routers;
    const double part = dataCentreUnits(now);
    if (part <= 0)
        return idle;
    return std::max(idle, demandHeadroom * demand * totalUnits / part);
}

FairDivision WorkspaceShares::ownDivision(MonoTime now) const
{
    std::vector<double> demands;
    for (std::uint16_t i = 0; i < m_topology.routers; ++i) {
        demands.push_back(scaledDemand(routerDemand(i, now), now));
    }
    return divideFairly(std::move(demands), totalUnits);
}

void WorkspaceShares::transferToRepresentative(MonoTime now)
{
    if (!m_division || m_division->author != m_representative
        || now - m_division->receivedAt > m_timing.demandMaxAge)
        return;
    const auto holding = static_cast<double>(m_routerLedger.units(m_topology.self, now));
    const double surplus = holding - m_division->division.shareOf(scaledDemand(m_demand, now));
    const double amount = transferFraction * surplus;
    if (amount >= std::max(1.0, minTransferFraction * totalUnits / m_topology.routers))
        m_routerLedger.transferUnits({m_topology.self, m_representative}, std::llround(amount),
                                     now);
}

void WorkspaceShares::transferToRouters(MonoTime now)
{
    const FairDivision division = ownDivision(now);
    std::vector<double> deficits(m_topology.routers);
    double totalDeficit = 0;
    for (std::uint16_t i = 0; i < m_topology.routers; ++i) {
        if (i == m_topology.self)
            continue;
        const double demand = scaledDemand(routerDemand(i, now), now);
        const auto holding = static_cast<double>(m_routerLedger.units(i, now));
        deficits[i] = std::max(0.0, division.shareOf(demand) - holding);
        totalDeficit += deficits[i];
    }
    const auto holding = static_cast<double>(m_routerLedger.units(m_topology.self, now));
    const double surplus = holding - division.shareOf(scaledDemand(m_demand, now));
    if (surplus <= 0 || totalDeficit <= 0)
        return;
    const double part = std::min(1.0, surplus / totalDeficit);
    for (std::uint16_t i = 0; i < m_topology.routers; ++i)
        m_routerLedger.transferUnits({m_topology.self, i}, std::llround(deficits[i] * part), now);
}

// A data centre without a recent report is left out: it keeps its units and receives none.
void WorkspaceShares::transferToDataCentres(MonoTime now)
{
    if (now - m_lastDataCentreTransfer < m_timing.propagationTime)
        return;
    std::vector<std::uint16_t> indexes;
    std::vector<double> demands;
    double total = 0;
    const double idle = idleFraction * totalUnits / m_topology.dataCentres;
    for (std::uint16_t i = 0; i < m_topology.dataCentres; ++i) {
        const bool isSelf = i == m_topology.dataCentre;
        if (!isSelf && !isFresh(m_dataCentreDemands, i, m_timing.dataCentreMaxAge, now))
            continue;
        const double demand = isSelf ? dataCentreDemand(now) : m_dataCentreDemands.at(i).demand;
        indexes.push_back(i);
        demands.push_back(std::max(idle, demandHeadroom * demand));
        total += static_cast<double>(m_dataCentreLedger.units(i, now));
    }
    const FairDivision division = divideFairly(demands, total);

    std::vector<double> deficits;
    double totalDeficit = 0;
    double surplus = 0;
    for (std::size_t i = 0; i < indexes.size(); ++i) {
        const auto holding = static_cast<double>(m_dataCentreLedger.units(indexes[i], now));
        const double excess = holding - division.shareOf(demands[i]);
        deficits.push_back(std::max(0.0, -excess));
        totalDeficit += deficits.back();
        if (indexes[i] == m_topology.dataCentre)
            surplus = excess;
    }
    if (surplus <= 0 || totalDeficit <= 0)
        return;
    const double maxAmount =
        std::min(transferFraction * surplus, maxTransferFraction * dataCentreUnits(now));
    if (maxAmount < std::max(1.0, minTransferFraction * totalUnits / m_topology.dataCentres))
        return;
    for (std::size_t i = 0; i < indexes.size(); ++i) {
        const double amount = maxAmount * deficits[i] / totalDeficit;
        m_dataCentreLedger.transferUnits({m_topology.dataCentre, indexes[i]}, std::llround(amount),
                                         now);
    }
    m_lastDataCentreTransfer = now;
}

void WorkspaceShares::receive(const ShareDigest &digest, MonoTime now)
{
    if (digest.dataCentresHash != m_topology.dataCentresHash)
        return;
    for (const TransferTotal &transfer : digest.dataCentreTransfers)
        m_dataCentreLedger.merge({transfer.from, transfer.to}, transfer.units, now);
    if (digest.representative && digest.dataCentre != m_topology.dataCentre)
        recordReport(
            m_dataCentreDemands, digest.dataCentre,
            {digest.author, digest.version, static_cast<double>(digest.dataCentreDemand), now});
    if (digest.routersHash != m_topology.routersHash || digest.dataCentre != m_topology.dataCentre)
        return;
    if (digest.author == m_topology.self)
        return;
    for (const TransferTotal &transfer : digest.routerTransfers)
        m_routerLedger.merge({digest.author, transfer.to}, transfer.units, now);
    const bool isNewer =
        recordReport(m_routerDemands, digest.author,
                     {digest.author, digest.version, static_cast<double>(digest.demand), now});
    if (digest.representative && isNewer) {
        const FairDivision division{static_cast<double>(digest.level),
                                    static_cast<double>(digest.extra)};
        m_division = Division{digest.author, division, now};
    }
}

std::optional<ShareDigest> WorkspaceShares::digest(MonoTime now)
{
    if (isActive(now))
        m_inactiveSince.reset();
    else if (!m_inactiveSince)
        m_inactiveSince = now;
    if (m_version == 0 && m_inactiveSince)
        return std::nullopt;
    if (m_inactiveSince && now - *m_inactiveSince > trailingDigestTime)
        return std::nullopt;

    const FairDivision division = isRepresentative() ? ownDivision(now) : FairDivision{};
    ShareDigest digest{.routersHash = m_topology.routersHash,
                       .dataCentresHash = m_topology.dataCentresHash,
                       .version = ++m_version,
                       .author = m_topology.self,
                       .dataCentre = m_topology.dataCentre,
                       .demand = static_cast<std::uint32_t>(std::min(m_demand, 1e9)),
                       .representative = isRepresentative(),
                       .dataCentreDemand =
                           static_cast<std::uint32_t>(std::min(dataCentreDemand(now), 1e9)),
                       .level = asUnits(division.level),
                       .extra = asUnits(division.extra)};
    std::vector<TransferTotal> routerTransfers;
    m_routerLedger.forEachTotal([&](ShareLedger::Direction direction, std::uint32_t transferred) {
        if (direction.from == m_topology.self)
            routerTransfers.push_back({direction.from, direction.to, transferred});
    });
    std::vector<TransferTotal> dataCentreTransfers;
    m_dataCentreLedger.forEachTotal(
        [&](ShareLedger::Direction direction, std::uint32_t transferred) {
            dataCentreTransfers.push_back({direction.from, direction.to, transferred});
        });
    digest.dataCentreTransfers =
        nextTransfers(dataCentreTransfers, maxDataCentreTransfers, m_nextDataCentreTransfer);
    digest.routerTransfers =
        nextTransfers(routerTransfers, maxTransferTotals - digest.dataCentreTransfers.size(),
                      m_nextRouterTransfer);
    return digest;
}

double WorkspaceShares::routerDemand(std::uint16_t router, MonoTime now) const
{
    if (router == m_topology.self)
        return m_demand;
    return isFresh(m_routerDemands, router, m_timing.demandMaxAge, now)
        ? m_routerDemands.at(router).demand
        : 0;
}

bool WorkspaceShares::isFresh(const DemandReports &reports, std::uint16_t from, Duration maxAge,
                              MonoTime now)
{
    const auto found = reports.find(from);
    return found != reports.end() && now - found->second.receivedAt <= maxAge;
}

double WorkspaceShares::dataCentreDemand(MonoTime now) const
{
    double demand = 0;
    for (std::uint16_t i = 0; i < m_topology.routers; ++i)
        demand += routerDemand(i, now);
    return demand;
}

bool WorkspaceShares::isRouterActive(std::uint16_t router, MonoTime now) const
{
    const auto initialUnits = static_cast<double>(m_routerLedger.initialUnits(router));
    const auto holding = static_cast<double>(m_routerLedger.units(router, now));
    if (std::abs(holding - initialUnits) > activeFraction * initialUnits)
        return true;
    return routerDemand(router, now)
        >= activeFraction * holding * dataCentreUnits(now) / totalUnits;
}

bool WorkspaceShares::isDataCentreActive(std::uint16_t dataCentre, MonoTime now) const
{
    const auto initialUnits = static_cast<double>(m_dataCentreLedger.initialUnits(dataCentre));
    const auto holding = static_cast<double>(m_dataCentreLedger.units(dataCentre, now));
    if (std::abs(holding - initialUnits) > activeFraction * initialUnits)
        return true;
    if (dataCentre == m_topology.dataCentre)
        return dataCentreDemand(now) >= activeFraction * holding;
    return isFresh(m_dataCentreDemands, dataCentre, m_timing.demandMaxAge, now)
        && m_dataCentreDemands.at(dataCentre).demand >= activeFraction * holding;
}

// A representative also sends digests while another router or a data centre is active, as these may
// need units.
bool WorkspaceShares::isActive(MonoTime now) const
{
    if (!isRepresentative())
        return isRouterActive(m_topology.self, now);
    for (std::uint16_t i = 0; i < m_topology.routers; ++i) {
        if (isRouterActive(i, now))
            return true;
    }
    for (std::uint16_t i = 0; i < m_topology.dataCentres; ++i) {
        if (isDataCentreActive(i, now))
            return true;
    }
    return false;
}

// Versions can only be compared if both digests are from the same run of the same author.
bool WorkspaceShares::recordReport(DemandReports &reports, std::uint16_t from,
                                   const DemandReport &report) const
{
    const auto known = reports.find(from);
    if (known != reports.end() && known->second.author == report.author
        && isFresh(reports, from, m_timing.demandMaxAge, report.receivedAt)
        && report.version <= known->second.version)
        return false;
    reports[from] = report;
    return true;
}

std::vector<TransferTotal> WorkspaceShares::nextTransfers(const std::vector<TransferTotal> &all,
                                                          std::size_t maxCount, std::size_t &next)
{
    std::vector<TransferTotal> transfers;
    const std::size_t count = std::min(maxCount, all.size());
    for (std::size_t i = 0; i < count; ++i)
        transfers.push_back(all[(next + i) % all.size()]);
    next = all.empty() ? 0 : (next + count) % all.size();
    return transfers;
}

} // namespace Lagoonbank::Admission::Internal
