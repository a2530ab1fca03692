#pragma once

#include "admission/workspacegate.h"
#include "base/ids.h"

#include <absl/container/flat_hash_map.h>

#include <memory>

namespace Lagoonbank::Admission {

/// The gates of all workspaces of one router. The limits and usage of one workspace do not affect
/// any other workspace.
class AdmissionControl
{
public:
    /// Adds a workspace or replaces its limits; the current usage is kept.
    void setLimits(const Base::WorkspaceId &workspace, WorkspaceLimits limits, Base::MonoTime now);
    /// Removes a workspace whose contract was removed; its running calls are not interrupted.
    void remove(const Base::WorkspaceId &workspace);
    /// Sets this router's share of one workspace.
    void setShare(const Base::WorkspaceId &workspace, double share, Base::MonoTime now);
    /// Sets this router's share of each workspace for which setShare() was never called.
    void setDefaultShare(double share, Base::MonoTime now);

    /// Refuses with UnknownKey if the workspace has no contract.
    AdmitResult admit(const Base::WorkspaceId &workspace, const Call &call, Base::MonoTime now);

    const WorkspaceGate *gate(const Base::WorkspaceId &workspace) const;
    std::size_t size() const { return m_gates.size(); }

    /// Calls `visitor` with the id and the gate of each workspace.
    template<typename Visitor>
    void forEachWorkspace(Visitor visitor) const
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
