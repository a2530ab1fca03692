#pragma once

#include "admission/admissioncontrol.h"
#include "admission/shareallocator.h"
#include "membership/membership.h"
#include "runtime/loop.h"

#include <vector>

namespace Lagoonbank::Router {

/// Adapts this router's shares of the contracts' limits to the demand, which routers exchange as
/// digests by gossip.
class QuotaSharing
{
public:
    struct Options
    {
        Runtime::Loop *loop = nullptr;
        Admission::AdmissionControl *admission = nullptr;
        Membership::Membership *membership = nullptr;
        Base::DataCentreId dataCentre;
    };

    explicit QuotaSharing(const Options &options);
    ~QuotaSharing();
    QuotaSharing(const QuotaSharing &) = delete;
    QuotaSharing &operator=(const QuotaSharing &) = delete;

    /// Sets the data centres of the configuration.
    void setDataCentres(std::vector<Base::DataCentreId> dataCentres);
    /// Sets the workspaces of the configuration and updates their shares.
    void setWorkspaces(std::vector<Base::WorkspaceId> workspaces);

private:
    void updateShares();
    std::vector<Admission::ShareMember> routers(Base::MonoTime now) const;

    Options m_options;
    Admission::ShareAllocator m_allocator;
    std::vector<Base::WorkspaceId> m_workspaces;
    Runtime::TimerId m_timer;
};

} // namespace Lagoonbank::Router
