#include "router/loadsharing.h"

#include "membership/peercodec.h"

namespace Lagoonbank::Router {

namespace {

constexpr Base::Duration interval = std::chrono::milliseconds(100);
/// What all peers together have in flight counts as one peer's.
constexpr Routing::PeerIndex allPeers = 0;

} // namespace

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
    exchange();
}

LoadSharing::~LoadSharing()
{
    m_loop.timers().cancel(m_timer);
}

void LoadSharing::endpointsChanged()
{
    m_endpointByKey.clear();
    const Routing::EndpointTable &endpoints = m_placer.routing().endpoints();
    for (Routing::EndpointIndex i = 0; i < endpoints.size(); ++i) {
        if (endpoints.contains(i))
            m_endpointByKey.emplace(Membership::nameKey(endpoints.info(i).id.value()),
                                    endpoints.info(i).id);
    }
}

void LoadSharing::reported(const Base::EndpointId &endpoint, const LoadHeader &header)
{
    m_membership.loads().report(endpoint, header.work, m_loop.clock().now() - header.age);
}

void LoadSharing::received(const Membership::LoadReport &report, Base::MonoTime sampledAt)
{
    const auto found = m_endpointByKey.find(report.endpoint);
    if (found == m_endpointByKey.end())
        return;
    const Routing::EndpointIndex index = m_placer.routing().endpoints().find(found->second);
    if (index == Routing::noEndpoint)
        return;
    m_placer.routing().noteReport(index,
                                  {.work = Base::WorkUnits(report.work), .sampledAt = sampledAt},
                                  {}, m_loop.clock().now());
}

void LoadSharing::exchange()
{
    const Base::MonoTime now = m_loop.clock().now();
    Routing::Router &routing = m_placer.routing();
    const Routing::EndpointTable &endpoints = routing.endpoints();
    for (Routing::EndpointIndex i = 0; i < endpoints.size(); ++i) {
        if (!endpoints.contains(i))
            continue;
        const Base::EndpointId &id = endpoints.info(i).id;
        m_membership.loads().setSentSince(id, routing.loads().ownInFlight(i));
        routing.notePeer(allPeers, i, m_membership.loads().peersSentSince(id, now), now);
    }
    m_timer = m_loop.timers().start(interval, [this] { exchange(); });
}

} // namespace Lagoonbank::Router
