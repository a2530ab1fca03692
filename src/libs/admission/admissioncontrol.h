#pragma once

#include "admission/workspacegate.h"
#include "base/ids.h"

#include <absl/container/flat_hash_map.h>

#include <memory>

namespace Lagoonbank::Admission {

/// The gates of all workspaces of one router. A workspace's limits and use touch no other's.
class AdmissionControl
{
public:
    /// Adds a workspace or takes its new limits over; what is in use stays in use.
    void setLimits(const Base::WorkspaceId &workspace, WorkspaceLimits limits, Base::MonoTime now);
    /// Forgets a workspace whose contract is gone; its running calls end on their own.
    void remove(const Base::WorkspaceId &workspace);
    /// Sets this router's share of one workspace.
    void setShare(const Base::WorkspaceId &workspace, double share, Base::MonoTime now);
    /// Share of a workspace for which setShare() was never called.
    void setDefaultShare(double share, Base::MonoTime now);

    /// Refuses with UnknownKey where the workspace has no contract.
    AdmitResult admit(const Base::WorkspaceId &workspace, const Call &call, Base::MonoTime now);

    const WorkspaceGate *gate(const Base::WorkspaceId &workspace) const;
    std::size_t size() const { return m_gates.size(); }

    template<typename Visitor>
    void forEach(Visitor visitor) const
    {
        for (const auto &[workspace, entry] : m_gates)
            visitor(workspace, *entry.gate);
    }

private:
    struct Entry
    {
        std::shared_ptr<WorkspaceGate> gate;
        bool hasOwnShare = false;
    };

    absl::flat_hash_map<Base::WorkspaceId, Entry> m_gates;
    double m_defaultShare = 1;
};

} // namespace Lagoonbank::Admission
