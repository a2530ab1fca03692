#include "gateway/gateway.h"
#include "gateway/requestrun.h"

// Endpoints that may have started again at another software version than their entries say.

namespace Lagoonbank::Gateway {

namespace {

constexpr std::string_view part = "gateway";
/// Time after the end of an endpoint within which peers can still tell by their own connections
/// whether it has ended: it does not start again sooner.
constexpr Base::Duration maxToldAge = std::chrono::milliseconds(50);
/// Time in which a live endpoint writes its entry at least once.
constexpr Base::Duration entryInterval = std::chrono::milliseconds(1300);

} // namespace

void Gateway::wireSoftwareDoubts()
{
    m_crashWatch.checkFailed = [this](EndpointRecord &endpoint, Base::MonoTime brokenAt) {
        endpointHasEnded(endpoint, "broken_answers", m_options.loop->clock().now() - brokenAt);
    };
    m_options.client->setIdleConnectionHandler(
        [this](const Runtime::SocketAddress &server) { idleConnectionEnded(server); });
    m_endpoints.softwareConfirmed = [this](const EndpointRecord &endpoint,
                                           const std::vector<StreamHash> &streams) {
        softwareConfirmed(endpoint, streams);
    };
}

void Gateway::doubtSoftware(EndpointRecord &endpoint, std::string_view evidence)
{
    if (endpoint.isGone)
        return;
    if (!endpoint.softwareDoubt) {
        m_options.log->event(part, "The software version of an endpoint is not certain any more.",
                             {{"endpoint", endpoint.info.id.value()},
                              {"software", endpoint.info.softwareVersion},
                              {"evidence", evidence},
                              {"knowledge_age_ms", knowledgeAgeMs()}});
    }
    EndpointRegistry::doubtSoftware(endpoint, m_options.loop->clock().now());
}

void Gateway::endpointHasEnded(EndpointRecord &endpoint, std::string_view evidence,
                               Base::Duration age)
{
    doubtSoftware(endpoint, evidence);
    if (m_options.endpointEnded && age < maxToldAge)
        m_options.endpointEnded(endpoint.startHash, age);
}

/// Without connections, the router does not notice that an endpoint starts again.
void Gateway::idleConnectionEnded(const Runtime::SocketAddress &server)
{
    const Base::MonoTime now = m_options.loop->clock().now();
    if (m_options.client->openConnections(server, now) > 0)
        return;
    const EndpointPtr endpoint = m_endpoints.findByAddress(server);
    const bool isChecked = endpoint && !endpoint->softwareDoubt && !endpoint->isUnreachable;
    if (!isChecked || !m_idleChecks.insert(endpoint->startHash).second)
        return;
    m_processCheck.check(server, now, [this, endpoint](const ProcessState &state) {
        m_idleChecks.erase(endpoint->startHash);
        if (!state.isRunning())
            endpointHasEnded(*endpoint, toString(state.evidence), state.age);
    });
}

void Gateway::endpointEndReceived(std::uint64_t startHash, Base::Duration age)
{
    const EndpointPtr endpoint = m_endpoints.findByStart(startHash);
    if (!endpoint || endpoint->softwareDoubt)
        return;
    // The peer may be cut off from the endpoint.
    m_processCheck.check(
        endpoint->info.address, m_options.loop->clock().now() - age,
        [this, endpoint](const ProcessState &state) {
            if (!state.isRunning())
                doubtSoftware(*endpoint, "peer");
        },
        age);
}

void Gateway::softwareConfirmed(const EndpointRecord &endpoint,
                                const std::vector<StreamHash> &streams)
{
    m_options.log->event(part, "The software version of an endpoint is certain again.",
                         {{"endpoint", endpoint.info.id.value()},
                          {"software", endpoint.info.softwareVersion},
                          {"streams", streams.size()},
                          {"knowledge_age_ms", knowledgeAgeMs()}});
    for (const StreamHash stream : streams)
        streamBegan(endpoint.info.service, {.stream = stream, .software = endpoint.software});
    for (const auto &run : m_runs)
        run->softwareConfirmed(endpoint.software, streams);
}

void Gateway::confirmSoftware()
{
    const auto &refresh = m_options.streamVersionStore.refreshVersions;
    if (m_confirmationTimer || !refresh)
        return;
    refresh([](bool) {});
    m_confirmationTimer = m_options.loop->timers().start(entryInterval, [this, &refresh] {
        m_confirmationTimer.reset();
        refresh([](bool) {});
    });
}

void Gateway::uncertainStreamBegan(EndpointRecord &endpoint, StreamHash stream)
{
    EndpointRegistry::recordUncertainStream(endpoint, stream);
    if (isMixed(endpoint.info.service))
        confirmSoftware();
}

} // namespace Lagoonbank::Gateway
