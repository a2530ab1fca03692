#include "router/quotasharing.h"

#include <algorithm>
#include <utility>

namespace Lagoonbank::Router {

namespace {

constexpr Base::Duration shareUpdateInterval = std::chrono::seconds(1);
/// Share of the control traffic budget for demand digests, in bytes per interval.
constexpr Base::Bytes digestBytesPerInterval{1200};
/// Overhead per datagram that is charged to digestBytesPerInterval.
constexpr Base::Bytes overheadPerDatagram{16};

} // namespace

QuotaSharing::QuotaSharing(const Options &options)
    : m_options(options)
    , m_allocator({.self = options.membership->self().id, .dataCentre = options.dataCentre})
{
    m_options.membership->demandReceived = [this](const Membership::DemandDigest &digest) {
        m_allocator.receive(Base::WorkspaceId(digest.workspace), digest.bytes,
                            m_options.loop->clock().now());
    };
    m_timer = m_options.loop->timers().start(shareUpdateInterval, [this] { updateShares(); });
}

QuotaSharing::~QuotaSharing()
{
    m_options.loop->timers().cancel(m_timer);
}

void QuotaSharing::setDataCentres(std::vector<Base::DataCentreId> dataCentres)
{
    m_allocator.setDataCentres(std::move(dataCentres), m_options.loop->clock().now());
}

void QuotaSharing::setWorkspaces(std::vector<Base::WorkspaceId> workspaces)
{
    for (const Base::WorkspaceId &old : m_workspaces) {
        if (std::find(workspaces.begin(), workspaces.end(), old) == workspaces.end())
            m_allocator.remove(old);
    }
    m_workspaces = std::move(workspaces);
    updateShares();
}

std::vector<Admission::ShareMember> QuotaSharing::routers(Base::MonoTime now) const
{
    std::vector<Admission::ShareMember> routers;
    for (const Membership::MemberUpdate &member : m_options.membership->usableMembers(now)) {
        if (member.role == Membership::MemberRole::Router)
            routers.push_back({.router = member.id,
                               .dataCentre = Base::DataCentreId(member.dataCentre),
                               .incarnation = Base::Incarnation(member.incarnation)});
    }
    return routers;
}

void QuotaSharing::updateShares()
{
    m_options.loop->timers().cancel(m_timer);
    const Base::MonoTime now = m_options.loop->clock().now();
    m_allocator.setRouters(routers(now), now);
    for (const Base::WorkspaceId &workspace : m_workspaces) {
        const Admission::WorkspaceGate *gate = m_options.admission->gate(workspace);
        if (!gate)
            continue;
        m_allocator.updateShares(workspace, gate->demandedShare(now), now);
        m_options.admission->setShare(workspace, m_allocator.share(workspace, now), now);
    }
    for (Admission::ShareAllocator::Outgoing &digest :
         m_allocator.digests(now, digestBytesPerInterval, overheadPerDatagram))
        m_options.membership->setDemand(digest.workspace, std::move(digest.bytes), now);
    m_timer = m_options.loop->timers().start(shareUpdateInterval, [this] { updateShares(); });
}

} // namespace Lagoonbank::Router
