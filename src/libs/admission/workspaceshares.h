#pragma once

#include "admission/fairdivision.h"
#include "admission/sharedigest.h"
#include "admission/shareledger.h"
#include "base/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Lagoonbank::Admission::Internal {

/// Counts of the routers and data centres that share the limits, and the indexes of this router
/// and its data centre. The hashes identify the lists that the indexes refer to.
struct ShareTopology
{
    std::uint32_t routersHash = 0;
    std::uint32_t dataCentresHash = 0;
    std::uint16_t routers = 1; ///< Number of routers in this data centre.
    std::uint16_t self = 0; ///< Index of this router.
    std::uint16_t dataCentres = 1; ///< Number of data centres in the fleet.
    std::uint16_t dataCentre = 0; ///< Index of this router's data centre.
};

/// The durations of the same names in ShareOptions.
struct ShareTiming
{
    Base::Duration propagationTime{};
    Base::Duration demandMaxAge{};
    Base::Duration dataCentreMaxAge{};
};

/// One router's view of the shares of one workspace: a ledger that divides the fleet-wide limit
/// among the data centres, and one that divides the share of this data centre among its routers.
class WorkspaceShares
{
public:
    WorkspaceShares(const ShareTopology &topology, const ShareTiming &timing);

    /// Updates the lists of routers and data centres. A router that was present before uses the
    /// smaller of its old and new share for ShareTiming::propagationTime, until the other routers
    /// know about the change.
    void setTopology(const ShareTopology &topology, Base::MonoTime now);
    /// Fraction of the fleet-wide limit that this router may use, 0 to 1.
    double share(Base::MonoTime now) const;

    /// Updates the demand of this router and transfers surplus units to others. \a demand is in
    /// 1/10,000 of the fleet-wide limit; \a representative is the index of the router that collects
    /// and distributes the units of this data centre.
    void updateShares(double demand, std::uint16_t representative, Base::MonoTime now);
    void receive(const ShareDigest &digest, Base::MonoTime now);
    /// The next digest to send; no value while the other routers need no update.
    std::optional<ShareDigest> digest(Base::MonoTime now);
    bool isRepresentative() const { return m_representative == m_topology.self; }

private:
    struct DemandReport
    {
        std::uint16_t author = 0;
        std::uint32_t version = 0;
        double demand = 0;
        Base::MonoTime receivedAt{};
    };
    struct Division
    {
        std::uint16_t author = 0;
        FairDivision division;
        Base::MonoTime receivedAt{};
    };
    using DemandReports = std::map<std::uint16_t, DemandReport>;

    double ownFraction(Base::MonoTime now) const;
    double dataCentreUnits(Base::MonoTime now) const;
    double routerDemand(std::uint16_t router, Base::MonoTime now) const;
    static bool isFresh(const DemandReports &reports, std::uint16_t from, Base::Duration maxAge,
                        Base::MonoTime now);
    double dataCentreDemand(Base::MonoTime now) const;
    double scaledDemand(double demand, Base::MonoTime now) const;
    FairDivision ownDivision(Base::MonoTime now) const;
    void transferToRepresentative(Base::MonoTime now);
    void transferToRouters(Base::MonoTime now);
    void transferToDataCentres(Base::MonoTime now);
    bool isRouterActive(std::uint16_t router, Base::MonoTime now) const;
    bool isDataCentreActive(std::uint16_t dataCentre, Base::MonoTime now) const;
    bool isActive(Base::MonoTime now) const;
    bool recordReport(DemandReports &reports, std::uint16_t from, const DemandReport &report) const;
    /// Up to \a maxCount elements of \a all, starting at index \a next and wrapping at the end;
    /// advances \a next, so that successive calls cover all of them.
    static std::vector<TransferTotal> nextTransfers(const std::vector<TransferTotal> &all,
                                                    std::size_t maxCount, std::size_t &next);

    ShareTopology m_topology;
    ShareTiming m_timing;
    ShareLedger m_routerLedger;
    ShareLedger m_dataCentreLedger;
    DemandReports m_routerDemands;
    DemandReports m_dataCentreDemands;
    double m_demand = 0;
    std::uint16_t m_representative = 0;
    std::optional<Division> m_division; // the last one that the representative reported
    std::uint32_t m_version = 0;
    std::size_t m_nextRouterTransfer = 0; // index of the first one for the next digest
    std::size_t m_nextDataCentreTransfer = 0; // likewise
    std::optional<double> m_shareCap; // applies until m_shareCapUntil
    Base::MonoTime m_shareCapUntil{};
    Base::MonoTime m_lastDataCentreTransfer{};
    std::optional<Base::MonoTime> m_inactiveSince;
};

} // namespace Lagoonbank::Admission::Internal
