#pragma once

#include "admission/sharedigest.h"
#include "admission/workspaceshares.h"
#include "base/ids.h"
#include "base/units.h"

#include <absl/container/flat_hash_map.h>

#include <string>
#include <vector>

namespace Lagoonbank::Admission {

/// A router that takes part in sharing the limits, as reported by membership.
struct ShareMember
{
    std::string router; ///< Unique in the fleet.
    Base::DataCentreId dataCentre;
    Base::Incarnation incarnation; ///< Changes when the router restarts, which resets its shares.

    bool operator==(const ShareMember &) const = default;
};

struct ShareOptions
{
    std::string self; ///< Name of this router.
    Base::DataCentreId dataCentre; ///< Its data centre.
    /// Time within which an update reaches every router of a data centre. The bound on the sum of
    /// all shares depends on it; see docs/design/admission.md.
    Base::Duration propagationTime = std::chrono::seconds(2);
    /// Reported demand of other routers and data centres is ignored when it is older than this.
    Base::Duration demandMaxAge = std::chrono::seconds(6);
    /// A data centre whose last report is older than this gets no units transferred, as it may be
    /// partitioned off.
    Base::Duration dataCentreMaxAge = std::chrono::milliseconds(2500);
};

/// Divides the limits of each workspace among data centres and their routers, and moves shares to
/// where the demand is. Only the holder of a share can transfer it, so that the sum of all shares
/// stays within the limit despite differing views, message loss, reordering and partitions. Does
/// no I/O and reads no clock: the caller passes times and messages in and sends the digests.
class ShareAllocator
{
public:
    /// One digest to send.
    struct Outgoing
    {
        Base::WorkspaceId workspace;
        std::string bytes; ///< At most maxShareDigestBytes.
        /// Names of the routers that need the digest. A representative sends to all routers of its
        /// data centre and to the representatives of the other data centres; any other router
        /// sends to its representative. Additional receivers are harmless.
        std::vector<std::string> receivers;
    };

    explicit ShareAllocator(ShareOptions options);

    /// Sets the configured data centres, including unreachable ones.
    void setDataCentres(std::vector<Base::DataCentreId> dataCentres, Base::MonoTime now);
    /// Sets the live routers of all data centres; this router is added if it is missing.
    void setRouters(std::vector<ShareMember> routers, Base::MonoTime now);

    /// Sets the demand of a workspace on this router (WorkspaceGate::demandedShare()) and transfers
    /// shares accordingly. To be called about once per second for each workspace.
    void updateShares(const Base::WorkspaceId &workspace, double demandedShare, Base::MonoTime now);
    void receive(const Base::WorkspaceId &workspace, std::string_view bytes, Base::MonoTime now);
    /// Digests of the workspaces near their limit, to be sent after updateShares(). Visits the
    /// workspaces in turn until \a maxBytes are used up. Each digest counts once for each receiver,
    /// with its own size and the datagram overhead \a datagramOverhead.
    std::vector<Outgoing> digests(Base::MonoTime now, Base::Bytes maxBytes,
                                  Base::Bytes datagramOverhead);

    /// Fraction of the fleet-wide limit that this router may use, 0 to 1.
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
    std::vector<ShareMember> m_members; // in all data centres
    std::vector<ShareMember> m_routers; // in this data centre
    std::vector<Base::DataCentreId> m_dataCentres;
    Internal::ShareTopology m_topology;
    absl::flat_hash_map<Base::WorkspaceId, Internal::WorkspaceShares> m_workspaces;
    // Workspaces still to be visited in the current round of digests().
    std::vector<Base::WorkspaceId> m_pendingWorkspaces;
};

} // namespace Lagoonbank::Admission
