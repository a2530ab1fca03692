#include "router/routerprocess.h"

#include "node/memberevents.h"
#include "node/platformbytes.h"
#include "runtime/udpsocket.h"
#include "timeline/requestid.h"

#include <boost/outcome/try.hpp>

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace Lagoonbank::Router {

using Errors::Result;
using Timeline::EventType;

namespace {

/// Time for balancers to notice that this router is not ready: a balancer checks every second and
/// removes a router after two failed checks.
constexpr Base::Duration balancerNoticeTime = std::chrono::seconds(3);

} // namespace

RouterProcess::RouterProcess(Runtime::Loop &loop, Schema::RouterSettings settings)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_incarnation(Node::incarnationAt(loop.clock().wallNow()))
    , m_backoff(Node::backoffOf(m_settings.vm.value() + "/router", m_incarnation))
    , m_client({.loop = &loop})
    , m_events({.process = m_settings.vm.value() + "/router",
                .capacity = m_settings.limits.eventRingSize})
    , m_memory(std::make_shared<Http::MemoryBudget>(
          Http::MemoryBudget::optionsFor(m_settings.limits.memoryMb, loop.clock())))
{
    m_placer = std::make_unique<Placer>(
        Placer::Options{.loop = &m_loop, .routing = routingOptions(m_settings, {})});
    m_placer->decided = [this](Base::Duration took, const Routing::Decision &) {
        m_metrics.decision.observe(Base::toSeconds(took));
    };
}

RouterProcess::~RouterProcess() = default;

Result<void> RouterProcess::start()
{
    noteEvent(EventType::ProcessStarted, m_settings.vm.value());
    startPlatform();
    m_configuration =
        std::make_unique<Node::ConfigurationFollower>(Node::ConfigurationFollower::Options{
            .loop = &m_loop, .log = m_log.get(), .backoff = m_backoff, .events = &m_events});
    BOOST_OUTCOME_TRYV(startPeers());
    m_recorder = std::make_unique<RequestRecorder>(
        RequestRecorder::Options{.clock = &m_loop.clock(),
                                 .metrics = &m_metrics,
                                 .events = &m_events,
                                 .outcomes = m_outcomeAppender.get(),
                                 .ringSize = m_settings.limits.outcomeRingSize});
    makeCallerApi();
    wireRequests();
    wireConfiguration();
    BOOST_OUTCOME_TRYV(startServers());
    m_configuration->start();
    return boost::outcome_v2::success();
}

void RouterProcess::startPlatform()
{
    if (!m_settings.platformAddress)
        return;
    PlatformClient::Transport transport = PlatformClient::httpTransport(
        {.client = &m_client,
         .server = Runtime::parseSocketAddress(*m_settings.platformAddress).value(),
         .vm = m_settings.vm,
         .dataCentre = m_settings.dataCentre,
         .metered = Node::platformByteCounter(m_metrics.registry)});
    m_log = std::make_unique<PlatformClient::LogClient>(PlatformClient::LogClient::Options{
        .transport = transport, .timers = &m_loop.timers(), .backoff = m_backoff});
    m_vmList = std::make_unique<PlatformClient::VmListClient>(PlatformClient::VmListClient::Options{
        .transport = transport, .timers = &m_loop.timers(), .backoff = m_backoff});
    m_outcomeAppender = std::make_unique<PlatformClient::BatchAppender>(
        PlatformClient::BatchAppender::Options{.log = m_log.get(),
                                               .timers = &m_loop.timers(),
                                               .stream = outcomesStream,
                                               .interval = std::chrono::milliseconds(500),
                                               .backoff = m_backoff});
    m_claims = std::make_unique<ClaimCoordinator>(ClaimCoordinator::Options{
        .loop = &m_loop,
        .log = m_log.get(),
        .run = {m_settings.vm, m_incarnation},
        .isGone = [this](const Claims::RouterInstance &run) { return isGone(run); },
        .backoff = m_backoff});
    m_claims->start();
    m_vmList->setChanged(
        [this](const PlatformClient::VmChanges &) { m_peers->setVms(m_vmList->vms()); });
}

Result<void> RouterProcess::startPeers()
{
    BOOST_OUTCOME_TRY(peers,
                      Node::PeerLink::create({.loop = &m_loop,
                                              .client = &m_client,
                                              .configuration = m_configuration.get(),
                                              .role = Membership::MemberRole::Router,
                                              .incarnation = m_incarnation,
                                              .events = &m_events},
                                             m_settings, m_metrics.registry));
    m_peers = std::move(peers);
    m_peers->memberChanged = [this](const Membership::Member &member,
                                    Membership::MemberEvent event) { noteMember(member, event); };
    m_loadSharing = std::make_unique<LoadSharing>(m_loop, *m_placer, m_peers->membership());
    m_quotaSharing =
        std::make_unique<QuotaSharing>(QuotaSharing::Options{.loop = &m_loop,
                                                             .admission = &m_admission,
                                                             .membership = &m_peers->membership(),
                                                             .dataCentre = m_settings.dataCentre});
    BOOST_OUTCOME_TRYV(m_peers->start());
    m_inFlightSharing = std::make_unique<InFlightSharing>(m_loop, *m_placer, *m_peers);
    m_inFlightSharing->start();
    m_applier = std::make_unique<ConfigurationApplier>(ConfigurationApplier::Parts{
        .loop = &m_loop,
        .settings = &m_settings,
        .placer = m_placer.get(),
        .admission = &m_admission,
        .retries = &m_retries,
        .loadSharing = m_loadSharing.get(),
        .inFlightSharing = m_inFlightSharing.get(),
        .quotaSharing = m_quotaSharing.get(),
        .endpointChanged = [this](EventType type, const Base::EndpointId &endpoint) {
            m_events.record(type, {.endpoint = endpoint}, m_loop.clock().wallNow());
        }});
    if (m_vmList)
        m_vmList->start();
    return boost::outcome_v2::success();
}

void RouterProcess::makeCallerApi()
{
    m_callerApi = std::make_unique<CallerApi>(
        CallerApi::Options{.loop = &m_loop,
                           .client = &m_client,
                           .placer = m_placer.get(),
                           .admission = &m_admission,
                           .retries = &m_retries,
                           .nextRequestId = [this] {
                               return Timeline::makeRequestId({.dataCentre = m_settings.dataCentre,
                                                               .vm = m_settings.vm,
                                                               .incarnation = m_incarnation,
                                                               .sequence = ++m_lastRequest});
                           }});
}

void RouterProcess::wireRequests()
{
    CallerApi &api = *m_callerApi;
    api.requestStarted = [this](const RequestInfo &info) { m_recorder->started(info); };
    api.requestEnded = [this](const RequestInfo &info, const Exchange::RequestResult &end) {
        m_recorder->ended(info, end);
    };
    api.attemptStarted = [this](const RequestInfo &info, const Exchange::Target &target) {
        m_recorder->attemptStarted(info, target);
    };
    api.attemptEnded = [this](const RequestInfo &info, const Exchange::AttemptResult &result) {
        m_recorder->attemptEnded(info, result);
    };
    if (!m_claims)
        return;
    api.claim = [this](const ClaimRequest &request, std::function<void(ClaimResult)> claimed) {
        m_claims->claim(request, std::move(claimed));
    };
    api.claimAnswered = [this](const RequestInfo &info, const Exchange::ServiceAnswer &answer) {
        m_claims->answered(info, answer);
    };
    api.claimFailed = [this](const RequestInfo &info, Errors::Ran ran) {
        m_claims->failed(info, ran);
    };
}

void RouterProcess::wireConfiguration()
{
    m_configuration->changed = [this] { configurationChanged(); };
    m_configuration->logHealthChanged = [this](bool isUp) {
        noteEvent(isUp ? EventType::LogBack : EventType::LogLost, "configuration");
        if (isUp)
            m_logger.info("The platform's log is reachable.");
        else
            m_logger.warning("The platform's log does not respond.");
    };
    m_configuration->changeProcessed = [this](const Configuration::ChangeResult &result) {
        const bool isAccepted = result.verdict == Configuration::Verdict::Accepted;
        noteEvent(isAccepted ? EventType::ConfigurationAccepted : EventType::ConfigurationRejected,
                  result.key ? Configuration::toString(*result.key) : result.recordId,
                  isAccepted ? "revision " + std::to_string(result.revision.value())
                             : std::string(Configuration::toString(result.verdict)));
    };
    m_configuration->eventRaised = [this](const Configuration::Event &event) {
        if (event.kind == Configuration::EventKind::SnapshotSeen)
            return;
        m_logger.warning("Configuration at offset {}: {}. {}", event.offset,
                         Configuration::toString(event.kind), event.detail);
    };
}

Result<void> RouterProcess::startServers()
{
    if (m_memory->maxRequestBytes() < m_settings.limits.maxBodyBytes) {
        return Errors::makeError(
            Errors::ErrorKind::BadSettings,
            "limits.memory_mb leaves " + std::to_string(m_memory->maxRequestBytes())
                + " bytes for requests; set it higher, or limits.max_body_bytes "
                  "lower");
    }
    BOOST_OUTCOME_TRY(callers, Runtime::parseSocketAddress(m_settings.listenAddress));
    std::optional<Http::Server::Tls> tls;
    if (m_settings.tlsCertificate && m_settings.tlsKey)
        tls = Http::Server::Tls{*m_settings.tlsCertificate, *m_settings.tlsKey};
    m_callerServer = std::make_unique<Http::Server>(Http::Server::Options{
        .loop = &m_loop,
        .address = callers,
        .limits = {.bodyBytes = m_settings.limits.maxBodyBytes,
                   .requestTimeout = m_settings.limits.requestTimeout},
        .maxConnections = std::min<std::size_t>(m_settings.limits.maxConnections,
                                                Http::Server::callerConnectionLimit()),
        .memory = m_memory,
        .http2 = m_settings.limits.http2,
        .tls = tls});
    m_callerServer->setHandler(
        [this](Http::Request request, std::shared_ptr<Http::Responder> responder) {
            m_callerApi->handle(std::move(request), std::move(responder));
        });
    m_callerServer->setRefusalHandler(
        [this](Errors::ErrorKind kind) { return m_callerApi->recordServerRefusal(kind); });
    BOOST_OUTCOME_TRYV(m_callerServer->listen());

    BOOST_OUTCOME_TRY(admin, Runtime::parseSocketAddress(m_settings.adminAddress));
    m_adminPort = std::make_unique<Node::AdminPort>(m_loop, admin);
    m_admin =
        std::make_unique<RouterAdmin>(*m_adminPort,
                                      RouterAdmin::Sources{.clock = &m_loop.clock(),
                                                           .metrics = &m_metrics,
                                                           .recorder = m_recorder.get(),
                                                           .events = &m_events,
                                                           .configuration = m_configuration.get(),
                                                           .peers = m_peers.get(),
                                                           .placer = m_placer.get(),
                                                           .callerApi = m_callerApi.get(),
                                                           .claims = m_claims.get(),
                                                           .process = m_events.process()});
    BOOST_OUTCOME_TRYV(m_adminPort->listen());
    m_logger.info("Listening on {}.", m_settings.listenAddress);
    return boost::outcome_v2::success();
}

void RouterProcess::setFixedConfiguration(std::vector<Schema::ConfigurationObject> objects)
{
    m_configuration->setFixedObjects(std::move(objects));
}

void RouterProcess::configurationChanged()
{
    // Cheap, as copies of an object table share the objects.
    m_objects = std::make_shared<Configuration::ObjectTable>(m_configuration->objects());
    m_applier->apply(*m_objects, m_callerApi->isReady());
    m_callerApi->setObjects(m_objects);
    m_peers->configurationChanged();
    if (m_configuration->isReady() && !m_callerApi->isReady() && !m_stop) {
        m_callerApi->setReady(true);
        noteEvent(EventType::ProcessReady, m_settings.vm.value());
        m_logger.info("Ready.");
    }
    noteEvent(EventType::ConfigurationApplied,
              std::to_string(m_configuration->reducer().next().value()));
}

void RouterProcess::noteMember(const Membership::Member &member, Membership::MemberEvent event)
{
    noteEvent(Node::eventTypeOf(event), member.info.id);
    m_logger.info("Member {} {}.", member.info.id, Membership::toString(event));
}

void RouterProcess::noteEvent(EventType type, std::string subject, std::string detail)
{
    m_events.record(type, {.subject = std::move(subject), .detail = std::move(detail)},
                    m_loop.clock().wallNow());
}

bool RouterProcess::isGone(const Claims::RouterInstance &run) const
{
    const Membership::Member *member =
        m_peers->membership().table().find(run.vm.value() + "/router");
    if (!member)
        return false;
    const bool isNewer = member->info.incarnation > run.incarnation.value();
    return isNewer || member->info.status == Membership::MemberStatus::Left;
}

void RouterProcess::reload()
{
    const auto reloaded = m_callerServer->reloadTls();
    if (reloaded)
        m_logger.info("Reloaded the TLS certificate.");
    else
        m_logger.error("Could not reload the TLS certificate, keeping the previous one. {}",
                       reloaded.error());
}

void RouterProcess::stopGracefully()
{
    if (m_stop)
        return;
    m_logger.info("Stopping; {} requests are in flight.", m_callerApi->inFlight());
    noteEvent(EventType::ProcessDraining, m_settings.vm.value());
    makeStop();
    m_stop->begin();
}

void RouterProcess::makeStop()
{
    m_stop = std::make_unique<Runtime::GracefulStop>(
        Runtime::GracefulStop::Options{.timers = &m_loop.timers(),
                                       .noticeTime = balancerNoticeTime,
                                       .timeout = m_objects->policy().drainTimeout,
                                       .announce =
                                           [this] {
                                               m_callerApi->announceStop();
                                               m_callerServer->startDraining();
                                               m_peers->leave();
                                           },
                                       .stopAccepting =
                                           [this] {
                                               m_callerApi->setDraining(true);
                                               m_callerServer->stopAccepting();
                                           },
                                       .isIdle = [this] { return isIdle(); },
                                       .stopped =
                                           [this] {
                                               m_logger.info("Stopped.");
                                               m_loop.stop();
                                           }});
}

bool RouterProcess::isIdle() const
{
    return m_callerApi->inFlight() == 0 && (!m_claims || m_claims->unrecorded() == 0)
        && (!m_outcomeAppender || m_outcomeAppender->queued() == 0);
}

} // namespace Lagoonbank::Router
