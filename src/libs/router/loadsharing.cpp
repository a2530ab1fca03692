#include "router/loadsharing.h"

namespace Lagoonbank::Router {

LoadSharing::LoadSharing(Runtime::Loop &loop, Placer &placer, Membership::Membership &membership)
    : m_loop(loop)
    , m_placer(placer)
    , m_membership(membership)
{
    m_placer.reported = [this](const Base::EndpointId &endpoint, const LoadHeader &header) {
        reported(endpoint, header);
    };
    m_membership.loadReceived = [this](const Membership::LoadReport &report,
                                       Base::MonoTime sampledAt) { received(report, sampledAt); };
}

LoadSharing::~LoadSharing()
{
    m_placer.reported = nullptr;
    m_membership.loadReceived = nullptr;
}

void LoadSharing::endpointsChanged()
{
    m_keys.update(m_placer.routing().endpoints());
}

void LoadSharing::reported(const Base::EndpointId &endpoint, const LoadHeader &header)
{
    m_membership.loads().report(endpoint, header.work, m_loop.clock().now() - header.sampleAge);
}

void LoadSharing::received(const Membership::LoadReport &report, Base::MonoTime sampledAt)
{
    const Routing::EndpointIndex index =
        m_keys.find(report.endpoint, m_placer.routing().endpoints());
    if (index == Routing::noEndpoint)
        return;
    m_placer.routing().noteReport(index,
                                  {.work = Base::WorkUnits(report.work), .sampledAt = sampledAt},
                                  {}, m_loop.clock().now());
}

} // namespace Lagoonbank::Router
