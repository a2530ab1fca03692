#pragma once

#include "admission/admissioncontrol.h"
#include "admission/shareallocator.h"
#include "membership/membership.h"
#include "runtime/loop.h"

#include <vector>

namespace Lagoonbank::Router {

/// Moves this router's shares of the contracts' limits with the demand, by digests over gossip.
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

    /// The data centres and workspaces of the configuration.
    void setDataCentres(std::vector<Base::DataCentreId> dataCentres);
    void setWorkspaces(std::vector<Base::WorkspaceId> workspaces);

private:
    void advance();
    std::vector<Admission::ShareMember> routers(Base::MonoTime now) const;

    Options m_options;
    Admission::ShareAllocator m_allocator;
    std::vector<Base::WorkspaceId> m_workspaces;
    Runtime::TimerId m_timer;
};

} // namespace Lagoonbank::Router
