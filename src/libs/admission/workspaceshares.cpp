#include "admission/workspaceshares.h"

#include <algorithm>
#include <cmath>

namespace Lagoonbank::Admission::Internal {

using Base::Duration;
using Base::MonoTime;

namespace {

constexpr auto totalUnits = static_cast<double>(ShareLedger::totalUnits);
constexpr double headroom = 1.2; ///< Demand is taken for this much more, so that it can grow.
constexpr double idlePart = 0.125; ///< Of the equal part: what a router without demand keeps.
constexpr double nearPart = 0.5; ///< Of the share: more demand than this is told to others.
constexpr double gain = 0.5; ///< Part of a surplus that goes at one step, since views lag.
/// A representative gives at most this of its data centre's part at one step: two of them at a
/// time, through differing lists of routers, still give no more than there is.
constexpr double mostOfDataCentre = 0.5;
constexpr double leastGift = 0.01; ///< Of the equal part: less is not worth telling.
constexpr std::size_t mostDataCentreCells = 4; ///< Of one digest.
constexpr Duration quietTime = std::chrono::seconds(10); ///< Digests go on for this long.

std::uint16_t asUnits(double amount)
{
    return static_cast<std::uint16_t>(std::clamp(amount, 0.0, totalUnits));
}

} // namespace

WorkspaceShares::WorkspaceShares(const ShareTopology &place, const ShareTiming &timing)
    : m_topology(place)
    , m_timing(timing)
    , m_routerLedger(place.routers, Duration::zero())
    , m_dataCentreLedger(place.dataCentres, timing.propagationTime)
{ }

void WorkspaceShares::setTopology(const ShareTopology &place, MonoTime now)
{
    const bool newRouters = place.routersHash != m_topology.routersHash;
    const bool newDataCentres = place.dataCentresHash != m_topology.dataCentresHash;
    if (!newRouters && !newDataCentres)
        return;
    m_shareCap = share(now);
    m_shareCapUntil = now + m_timing.propagationTime;
    m_topology = place;
    m_routerLedger = ShareLedger(place.routers, Duration::zero());
    m_routerDemands.clear();
    m_division.reset();
    if (!newDataCentres)
        return;
    m_dataCentreLedger = ShareLedger(place.dataCentres, m_timing.propagationTime);
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

void WorkspaceShares::advance(double demand, std::uint16_t representative, MonoTime now)
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

// From parts of the fleet's limit to parts of the data centre's.
double WorkspaceShares::scaledDemand(double demand, MonoTime now) const
{
    const double idle = idlePart * totalUnits / m_topology.routers;
    const double part = dataCentreUnits(now);
    if (part <= 0)
        return idle;
    return std::max(idle, headroom * demand * totalUnits / part);
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
        || now - m_division->at > m_timing.demandMaxAge)
        return;
    const auto holding = static_cast<double>(m_routerLedger.units(m_topology.self, now));
    const double surplus = holding - m_division->division.shareOf(scaledDemand(m_demand, now));
    const double amount = gain * surplus;
    if (amount >= std::max(1.0, leastGift * totalUnits / m_topology.routers))
        m_routerLedger.transferUnits({m_topology.self, m_representative}, std::llround(amount),
                                     now);
}

void WorkspaceShares::transferToRouters(MonoTime now)
{
    const FairDivision division = ownDivision(now);
    std::vector<double> lacks(m_topology.routers);
    double missing = 0;
    for (std::uint16_t i = 0; i < m_topology.routers; ++i) {
        if (i == m_topology.self)
            continue;
        const double asked = scaledDemand(routerDemand(i, now), now);
        const auto holding = static_cast<double>(m_routerLedger.units(i, now));
        lacks[i] = std::max(0.0, division.shareOf(asked) - holding);
        missing += lacks[i];
    }
    const auto holding = static_cast<double>(m_routerLedger.units(m_topology.self, now));
    const double surplus = holding - division.shareOf(scaledDemand(m_demand, now));
    if (surplus <= 0 || missing <= 0)
        return;
    const double part = std::min(1.0, surplus / missing);
    for (std::uint16_t i = 0; i < m_topology.routers; ++i)
        m_routerLedger.transferUnits({m_topology.self, i}, std::llround(lacks[i] * part), now);
}

// A data centre that was not heard of lately is left out: it keeps what it holds and gets nothing.
void WorkspaceShares::transferToDataCentres(MonoTime now)
{
    if (now - m_lastDataCentreTransfer < m_timing.propagationTime)
        return;
    std::vector<std::uint16_t> places;
    std::vector<double> demands;
    double total = 0;
    const double idle = idlePart * totalUnits / m_topology.dataCentres;
    for (std::uint16_t i = 0; i < m_topology.dataCentres; ++i) {
        const bool isSelf = i == m_topology.dataCentre;
        if (!isSelf && !isFresh(m_dataCentreDemands, i, m_timing.dataCentreMaxAge, now))
            continue;
        const double asked = isSelf ? dataCentreDemand(now) : m_dataCentreDemands.at(i).demand;
        places.push_back(i);
        demands.push_back(std::max(idle, headroom * asked));
        total += static_cast<double>(m_dataCentreLedger.units(i, now));
    }
    const FairDivision division = divideFairly(demands, total);

    std::vector<double> lacks;
    double missing = 0;
    double surplus = 0;
    for (std::size_t i = 0; i < places.size(); ++i) {
        const auto holding = static_cast<double>(m_dataCentreLedger.units(places[i], now));
        const double over = holding - division.shareOf(demands[i]);
        lacks.push_back(std::max(0.0, -over));
        missing += lacks.back();
        if (places[i] == m_topology.dataCentre)
            surplus = over;
    }
    if (surplus <= 0 || missing <= 0)
        return;
    const double most = std::min(gain * surplus, mostOfDataCentre * dataCentreUnits(now));
    if (most < std::max(1.0, leastGift * totalUnits / m_topology.dataCentres))
        return;
    for (std::size_t i = 0; i < places.size(); ++i) {
        const double amount = most * lacks[i] / missing;
        m_dataCentreLedger.transferUnits({m_topology.dataCentre, places[i]}, std::llround(amount),
                                         now);
    }
    m_lastDataCentreTransfer = now;
}

void WorkspaceShares::receive(const ShareDigest &digest, MonoTime now)
{
    if (digest.dataCentres != m_topology.dataCentresHash)
        return;
    for (const ShareCell &cell : digest.dataCentreCells)
        m_dataCentreLedger.merge({cell.from, cell.to}, cell.transferred, now);
    if (digest.representative && digest.dataCentre != m_topology.dataCentre)
        recordReport(
            m_dataCentreDemands, digest.dataCentre,
            {digest.author, digest.version, static_cast<double>(digest.dataCentreDemand), now});
    if (digest.routers != m_topology.routersHash || digest.dataCentre != m_topology.dataCentre)
        return;
    if (digest.author == m_topology.self)
        return;
    for (const ShareCell &cell : digest.routerCells)
        m_routerLedger.merge({digest.author, cell.to}, cell.transferred, now);
    const bool isNews =
        recordReport(m_routerDemands, digest.author,
                     {digest.author, digest.version, static_cast<double>(digest.demand), now});
    if (digest.representative && isNews) {
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
    if (m_inactiveSince && now - *m_inactiveSince > quietTime)
        return std::nullopt;

    const FairDivision division = isRepresentative() ? ownDivision(now) : FairDivision{};
    ShareDigest digest{.routers = m_topology.routersHash,
                       .dataCentres = m_topology.dataCentresHash,
                       .version = ++m_version,
                       .author = m_topology.self,
                       .dataCentre = m_topology.dataCentre,
                       .demand = static_cast<std::uint32_t>(std::min(m_demand, 1e9)),
                       .representative = isRepresentative(),
                       .dataCentreDemand =
                           static_cast<std::uint32_t>(std::min(dataCentreDemand(now), 1e9)),
                       .level = asUnits(division.level),
                       .extra = asUnits(division.extra)};
    std::vector<ShareCell> routerCells;
    m_routerLedger.forEach([&](ShareLedger::Cell cell, std::uint32_t transferred) {
        if (cell.from == m_topology.self)
            routerCells.push_back({cell.from, cell.to, transferred});
    });
    std::vector<ShareCell> dataCentreCells;
    m_dataCentreLedger.forEach([&](ShareLedger::Cell cell, std::uint32_t transferred) {
        dataCentreCells.push_back({cell.from, cell.to, transferred});
    });
    digest.dataCentreCells = nextCells(dataCentreCells, mostDataCentreCells, m_nextDataCentreCell);
    digest.routerCells =
        nextCells(routerCells, maxShareCells - digest.dataCentreCells.size(), m_nextRouterCell);
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

bool WorkspaceShares::isFresh(const DemandReports &heard, std::uint16_t from, Duration age,
                              MonoTime now)
{
    const auto found = heard.find(from);
    return found != heard.end() && now - found->second.at <= age;
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
    if (std::abs(holding - initialUnits) > nearPart * initialUnits)
        return true;
    return routerDemand(router, now) >= nearPart * holding * dataCentreUnits(now) / totalUnits;
}

bool WorkspaceShares::isDataCentreActive(std::uint16_t dataCentre, MonoTime now) const
{
    const auto initialUnits = static_cast<double>(m_dataCentreLedger.initialUnits(dataCentre));
    const auto holding = static_cast<double>(m_dataCentreLedger.units(dataCentre, now));
    if (std::abs(holding - initialUnits) > nearPart * initialUnits)
        return true;
    if (dataCentre == m_topology.dataCentre)
        return dataCentreDemand(now) >= nearPart * holding;
    return isFresh(m_dataCentreDemands, dataCentre, m_timing.demandMaxAge, now)
        && m_dataCentreDemands.at(dataCentre).demand >= nearPart * holding;
}

// A representative speaks also for those that need what others hold.
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

// Versions of one author rise; those of another one, or after a restart, cannot be compared.
bool WorkspaceShares::recordReport(DemandReports &heard, std::uint16_t from,
                                   const DemandReport &entry) const
{
    const auto known = heard.find(from);
    if (known != heard.end() && known->second.author == entry.author
        && isFresh(heard, from, m_timing.demandMaxAge, entry.at)
        && entry.version <= known->second.version)
        return false;
    heard[from] = entry;
    return true;
}

std::vector<ShareCell> WorkspaceShares::nextCells(const std::vector<ShareCell> &all,
                                                  std::size_t most, std::size_t &turn)
{
    std::vector<ShareCell> cells;
    const std::size_t count = std::min(most, all.size());
    for (std::size_t i = 0; i < count; ++i)
        cells.push_back(all[(turn + i) % all.size()]);
    turn = all.empty() ? 0 : (turn + count) % all.size();
    return cells;
}

} // namespace Lagoonbank::Admission::Internal
