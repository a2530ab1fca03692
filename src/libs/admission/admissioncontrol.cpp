#include "admission/admissioncontrol.h"

#include <utility>

namespace Lagoonbank::Admission {

using Base::MonoTime;
using Base::WorkspaceId;

void AdmissionControl::setLimits(const WorkspaceId &workspace, WorkspaceLimits limits, MonoTime now)
{
    Entry &entry = m_gates[workspace];
    if (entry.gate) {
        entry.gate->setLimits(std::move(limits), now);
        return;
    }
    entry.gate = std::make_shared<WorkspaceGate>(std::move(limits), now);
    entry.gate->setShare(m_defaultShare, now);
}

void AdmissionControl::remove(const WorkspaceId &workspace)
{
    m_gates.erase(workspace);
}

void AdmissionControl::setShare(const WorkspaceId &workspace, double share, MonoTime now)
{
    const auto it = m_gates.find(workspace);
    if (it == m_gates.end())
        return;
    it->second.hasOwnShare = true;
    it->second.gate->setShare(share, now);
}

void AdmissionControl::setDefaultShare(double share, MonoTime now)
{
    m_defaultShare = share;
    for (auto &[workspace, entry] : m_gates) {
        if (!entry.hasOwnShare)
            entry.gate->setShare(share, now);
    }
}

AdmitResult AdmissionControl::admit(const WorkspaceId &workspace, const Call &call, MonoTime now)
{
    const auto it = m_gates.find(workspace);
    if (it == m_gates.end())
        return Refusal{.kind = Errors::ErrorKind::UnknownKey};
    return it->second.gate->admit(call, now);
}

const WorkspaceGate *AdmissionControl::gate(const WorkspaceId &workspace) const
{
    const auto it = m_gates.find(workspace);
    return it == m_gates.end() ? nullptr : it->second.gate.get();
}

} // namespace Lagoonbank::Admission
