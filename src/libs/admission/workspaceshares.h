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

/// Where this router stands among those that share the limits.
struct ShareTopology
{
    std::uint32_t routersHash = 0;
    std::uint32_t dataCentresHash = 0;
    std::uint16_t routers = 1; ///< In this data centre.
    std::uint16_t self = 0;
    std::uint16_t dataCentres = 1;
    std::uint16_t dataCentre = 0;
};

struct ShareTiming
{
    Base::Duration propagationTime{};
    Base::Duration demandMaxAge{};
    Base::Duration dataCentreMaxAge{};
};

/// The shares of one workspace as one router knows them: one ledger of the data centres over the
/// fleet's limit, one of the routers over the data centre's part.
class WorkspaceShares
{
public:
    WorkspaceShares(const ShareTopology &place, const ShareTiming &timing);

    /// The routers or the data centres changed. A router that was here before takes the smaller of
    /// its old and new share until others have had the time to learn of the change.
    void setTopology(const ShareTopology &place, Base::MonoTime now);
    double share(Base::MonoTime now) const;

    /// Takes note of this router's demand and gives away what others need more. `demand` is in
    /// 1/10,000 of the fleet's limit; `representative` is the place of the router that gathers and
    /// hands out the parts of this data centre.
    void advance(double demand, std::uint16_t representative, Base::MonoTime now);
    void receive(const ShareDigest &digest, Base::MonoTime now);
    /// Nothing while there is nothing that others need to know.
    std::optional<ShareDigest> digest(Base::MonoTime now);
    bool isRepresentative() const { return m_representative == m_topology.self; }

private:
    struct DemandReport
    {
        std::uint16_t author = 0;
        std::uint32_t version = 0;
        double demand = 0;
        Base::MonoTime at{};
    };
    struct Division
    {
        std::uint16_t author = 0;
        FairDivision division;
        Base::MonoTime at{};
    };
    using DemandReports = std::map<std::uint16_t, DemandReport>;

    double ownFraction(Base::MonoTime now) const;
    double dataCentreUnits(Base::MonoTime now) const;
    double routerDemand(std::uint16_t router, Base::MonoTime now) const;
    static bool isFresh(const DemandReports &heard, std::uint16_t from, Base::Duration age,
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
    bool recordReport(DemandReports &heard, std::uint16_t from, const DemandReport &entry) const;
    static std::vector<ShareCell> nextCells(const std::vector<ShareCell> &all, std::size_t most,
                                            std::size_t &turn);

    ShareTopology m_topology;
    ShareTiming m_timing;
    ShareLedger m_routerLedger;
    ShareLedger m_dataCentreLedger;
    DemandReports m_routerDemands;
    DemandReports m_dataCentreDemands;
    double m_demand = 0;
    std::uint16_t m_representative = 0;
    std::optional<Division> m_division; // as the representative said
    std::uint32_t m_version = 0;
    std::size_t m_nextRouterCell = 0;
    std::size_t m_nextDataCentreCell = 0;
    std::optional<double> m_shareCap; // holds until m_shareCapUntil
    Base::MonoTime m_shareCapUntil{};
    Base::MonoTime m_lastDataCentreTransfer{};
    std::optional<Base::MonoTime> m_inactiveSince;
};

} // namespace Lagoonbank::Admission::Internal
