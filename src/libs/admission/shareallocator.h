#pragma once

#include "admission/sharedigest.h"
#include "admission/workspaceshares.h"
#include "base/ids.h"
#include "base/units.h"

#include <absl/container/flat_hash_map.h>

#include <string>
#include <vector>

namespace Lagoonbank::Admission {

/// A router that shares the limits, as membership knows it.
struct ShareMember
{
    std::string router; ///< Unique in the fleet.
    Base::DataCentreId dataCentre;
    Base::Incarnation incarnation; ///< A restarted router starts anew.

    bool operator==(const ShareMember &) const = default;
};

struct ShareOptions
{
    std::string self; ///< Name of this router.
    Base::DataCentreId dataCentre; ///< Its data centre.
    /// Time in which news reach every router of a data centre. The bound on the sum of all shares
    /// rests on it; see docs/design/admission.md.
    Base::Duration propagationTime = std::chrono::seconds(2);
    /// What was heard of others' demand counts for this long.
    Base::Duration demandMaxAge = std::chrono::seconds(6);
    /// Nothing is given to a data centre that was not heard of for this long: it may be cut off.
    Base::Duration dataCentreMaxAge = std::chrono::milliseconds(2500);
};

/// Splits each workspace's limits over data centres and their routers, and moves parts to where
/// the demand is. A part is given, never taken, so that differing views, loss, reordering and
/// partitions leave the sum under the limit. Pure: messages and times come in and go out.
class ShareAllocator
{
public:
    /// One digest to send.
    struct Outgoing
    {
        Base::WorkspaceId workspace;
        std::string bytes; ///< At most maxShareDigestBytes.
        /// Routers that need it: of a representative all of its data centre and the other data
        /// centres' representatives, of others their representative. More do no harm.
        std::vector<std::string> receivers;
    };

    explicit ShareAllocator(ShareOptions options);

    /// The data centres of the configuration, also those out of reach.
    void setDataCentres(std::vector<Base::DataCentreId> dataCentres, Base::MonoTime now);
    /// The living routers of all data centres; this one is added if it is missing.
    void setRouters(std::vector<ShareMember> routers, Base::MonoTime now);

    /// Sets what a workspace asks of this router (WorkspaceGate::demandedShare()) and lets its
    /// shares move; to be called about once a second for each workspace.
    void advance(const Base::WorkspaceId &workspace, double demandedShare, Base::MonoTime now);
    void receive(const Base::WorkspaceId &workspace, std::string_view bytes, Base::MonoTime now);
    /// Digests of the workspaces near their limit, to be sent after advance(). Takes them by turns
    /// until `most` bytes, each receiver and `perDatagram` counted, are used up.
    std::vector<Outgoing> digests(Base::MonoTime now, Base::Bytes most, Base::Bytes perDatagram);

    /// Part of the fleet's limit that this router may hand out, 0 to 1.
    double share(const Base::WorkspaceId &workspace, Base::MonoTime now) const;
    void remove(const Base::WorkspaceId &workspace) { m_workspaces.erase(workspace); }
    std::size_t size() const { return m_workspaces.size(); }

private:
    const ShareMember *representative(const Base::DataCentreId &dataCentre,
                                      const Base::WorkspaceId &workspace) const;
    std::uint16_t ownRepresentative(const Base::WorkspaceId &workspace) const;
    std::vector<std::string> receivers(const Base::WorkspaceId &workspace,
                                       bool isRepresentative) const;
    Internal::WorkspaceShares &sharesOf(const Base::WorkspaceId &workspace);
    void applyTopology(Base::MonoTime now);

    ShareOptions m_options;
    std::vector<ShareMember> m_members; // of all data centres
    std::vector<ShareMember> m_routers; // of this one
    std::vector<Base::DataCentreId> m_dataCentres;
    Internal::ShareTopology m_topology;
    absl::flat_hash_map<Base::WorkspaceId, Internal::WorkspaceShares> m_workspaces;
    std::vector<Base::WorkspaceId> m_pendingWorkspaces; // workspaces whose digests wait
};

} // namespace Lagoonbank::Admission
