#include "gateway/gateway.h"
#include "gateway/requestrun.h"

#include <algorithm>

// Endpoints that may have started again at another software version than their entries say.

namespace Lagoonbank::Gateway {

namespace {

constexpr std::string_view part = "gateway";
/// Time after the end of an endpoint within which peers can still tell by their own connections
/// whether it has ended: it does not start again sooner.
constexpr Base::Duration maxToldAge = std::chrono::milliseconds(50);
/// Time in which a live endpoint writes its entry at least once; it does so each 1.2 s.
constexpr Base::Duration entryInterval = std::chrono::milliseconds(1500);
/// Exceeds ProcessCheck::Options::minRestartTime, so that a new connection shows nothing.
constexpr Base::Duration unknownAge = std::chrono::hours(1);

} // namespace

void Gateway::wireSoftwareDoubts()
{
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
    const Base::MonoTime now = m_options.loop->clock().now();
    // Whoever noticed it first has told all peers.
    const bool isKnown = endpoint.softwareDoubt && now - endpoint.softwareDoubt->since < maxToldAge;
    doubtSoftware(endpoint, evidence);
    if (m_options.endpointEnded && !isKnown && age < maxToldAge)
        m_options.endpointEnded(endpoint.startHash, age);
}

/// Checks the endpoint after something has shown, \a age ago, that its process may have ended. At
/// \a aliveAt it was running.
void Gateway::checkProcess(const EndpointPtr &endpoint, Base::MonoTime aliveAt, Base::Duration age,
                           bool isPeerReport)
{
    if (endpoint->isGone || !m_processChecks.insert(endpoint->startHash).second)
        return;
    m_processCheck.check(
        endpoint->info.address, aliveAt,
        [this, endpoint, isPeerReport](const ProcessState &state) {
            m_processChecks.erase(endpoint->startHash);
            if (state.isRunning())
                return;
            if (isPeerReport)
                doubtSoftware(*endpoint, "peer");
            else
                endpointHasEnded(*endpoint, toString(state.evidence), state.age);
        },
        age);
}

void Gateway::connectionBroke(const EndpointPtr &endpoint, Base::MonoTime aliveAt, bool isStale)
{
    // A reused connection may have outlived the process that accepted it for long.
    checkProcess(endpoint, aliveAt, isStale ? unknownAge : Base::Duration::zero(), false);
}

/// Without connections, the router does not notice that an endpoint starts again.
void Gateway::idleConnectionEnded(const Runtime::SocketAddress &server)
{
    const EndpointPtr endpoint = m_endpoints.findByAddress(server);
    if (!endpoint || endpoint->isUnreachable || m_processChecks.contains(endpoint->startHash))
        return;
    const Base::MonoTime now = m_options.loop->clock().now();
    if (m_options.client->openConnections(server, now) == 0)
        checkProcess(endpoint, now, {}, false);
}

void Gateway::endpointEndReceived(std::uint64_t startHash, Base::Duration age)
{
    // The peer may be cut off from the endpoint.
    if (const EndpointPtr endpoint = m_endpoints.findByStart(startHash))
        checkProcess(endpoint, m_options.loop->clock().now() - age, age, true);
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

void Gateway::confirmSoftwareFor(const Base::ServiceId &service, SoftwareHash software)
{
    const std::vector<EndpointPtr> &endpoints = m_endpoints.endpoints(service);
    const bool isDoubted = std::any_of(endpoints.begin(), endpoints.end(), [&](const auto &one) {
        return one->softwareDoubt && one->software == software;
    });
    if (isDoubted)
        confirmSoftware();
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
    // Where one version serves, a stream is looked up by that.
    if (isMixed(endpoint.info.service))
        confirmSoftware();
}

} // namespace Lagoonbank::Gateway
