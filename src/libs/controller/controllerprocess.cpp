#include "controller/controllerprocess.h"

#include "controller/targets.h"
#include "node/memberevents.h"
#include "node/platformbytes.h"

#include <boost/outcome/try.hpp>

#include <algorithm>
#include <utility>

namespace Lagoonbank::Controller {

using Errors::Result;
using Timeline::EventType;

namespace {

/// Number of controllers of a data centre that may claim its lease.
constexpr std::size_t candidatesPerDataCentre = 2;
constexpr Base::Duration roleUpdateInterval = std::chrono::seconds(1);
/// Maximum time that a graceful stop waits for the log and for orders in flight.
constexpr Base::Duration stopTimeout = std::chrono::seconds(10);

} // namespace

ControllerProcess::ControllerProcess(Runtime::Loop &loop, Schema::ControllerSettings settings)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_incarnation(Node::incarnationAt(loop.clock().wallNow()))
    , m_backoff(Node::backoffOf(m_settings.vm.value() + "/controller", m_incarnation))
    , m_instanceId(m_settings.vm.value() + "/controller#" + std::to_string(m_incarnation.value()))
    , m_client({.loop = &loop})
    , m_events(
          {.process = m_settings.vm.value() + "/controller", .capacity = m_settings.eventRingSize})
{ }

ControllerProcess::~ControllerProcess()
{
    m_loop.timers().cancel(m_roleTimer);
}

Result<void> ControllerProcess::start()
{
    recordEvent(EventType::ProcessStarted, {.subject = m_settings.vm.value()});
    BOOST_OUTCOME_TRYV(startPlatform());
    m_configuration =
        std::make_unique<Node::ConfigurationFollower>(Node::ConfigurationFollower::Options{
            .loop = &m_loop, .log = m_log.get(), .backoff = m_backoff, .events = &m_events});
    BOOST_OUTCOME_TRYV(startPeers());
    makeLease();
    makeProber();
    makeOrders();
    makeSnapshots();
    wireConfiguration();
    BOOST_OUTCOME_TRYV(startAdmin());
    m_configuration->start();
    m_vmList->start();
    m_lease->start();
    m_prober->start();
    m_orders->start();
    m_snapshots->start();
    updateRoles();
    return boost::outcome_v2::success();
}

Result<void> ControllerProcess::startPlatform()
{
    BOOST_OUTCOME_TRY(server, Runtime::parseSocketAddress(m_settings.platformAddress));
    const PlatformClient::Transport transport =
        PlatformClient::httpTransport({.client = &m_client,
                                       .server = server,
                                       .vm = m_settings.vm,
                                       .dataCentre = m_settings.dataCentre,
                                       .metered = Node::platformByteCounter(m_metrics.registry)});
    Runtime::TimerQueue *timers = &m_loop.timers();
    m_log = std::make_unique<PlatformClient::LogClient>(PlatformClient::LogClient::Options{
        .transport = transport, .timers = timers, .backoff = m_backoff});
    m_vmList = std::make_unique<PlatformClient::VmListClient>(PlatformClient::VmListClient::Options{
        .transport = transport, .timers = timers, .backoff = m_backoff});
    m_weightStore = std::make_unique<PlatformClient::WeightStoreClient>(
        PlatformClient::WeightStoreClient::Options{
            .transport = transport, .timers = timers, .backoff = m_backoff});
    m_vmList->setChanged(
        [this](const PlatformClient::VmChanges &) { m_peers->setVms(m_vmList->vms()); });
    return boost::outcome_v2::success();
}

Result<void> ControllerProcess::startPeers()
{
    BOOST_OUTCOME_TRY(peers,
                      Node::PeerLink::create({.loop = &m_loop,
                                              .client = &m_client,
                                              .configuration = m_configuration.get(),
                                              .role = Membership::MemberRole::Controller,
                                              .incarnation = m_incarnation,
                                              .events = &m_events},
                                             m_settings, m_metrics.registry));
    m_peers = std::move(peers);
    m_peers->memberChanged = [this](const Membership::Member &member,
                                    Membership::MemberEvent event) {
        recordEvent(Node::eventTypeOf(event), {.subject = member.info.id});
        m_logger.info("Member {} {}.", member.info.id, Membership::toString(event));
    };
    return m_peers->start();
}

Result<void> ControllerProcess::startAdmin()
{
    BOOST_OUTCOME_TRY(address, Runtime::parseSocketAddress(m_settings.adminAddress));
    m_adminPort = std::make_unique<Node::AdminPort>(m_loop, address);
    m_admin = std::make_unique<ControllerAdmin>(
        *m_adminPort,
        ControllerAdmin::Sources{.clock = &m_loop.clock(),
                                 .metrics = &m_metrics,
                                 .events = &m_events,
                                 .configuration = m_configuration.get(),
                                 .peers = m_peers.get(),
                                 .lease = m_lease.get(),
                                 .orders = m_orders.get(),
                                 .prober = m_prober.get(),
                                 .isReady = [this] { return m_isReady && !m_isStopping; }});
    BOOST_OUTCOME_TRYV(m_adminPort->listen());
    m_logger.info("Listening on {}.", m_settings.adminAddress);
    return boost::outcome_v2::success();
}

void ControllerProcess::wireConfiguration()
{
    m_configuration->changed = [this] { configurationChanged(); };
    m_configuration->logHealthChanged = [this](bool isUp) {
        recordEvent(isUp ? EventType::LogBack : EventType::LogLost, {.subject = "configuration"});
        if (isUp)
            m_logger.info("The platform's log is reachable.");
        else
            m_logger.warning("The platform's log does not respond.");
    };
    m_configuration->eventRaised = [this](const Configuration::Event &event) {
        if (event.kind == Configuration::EventKind::SnapshotSeen) {
            if (m_configuration->isAtEnd())
                m_snapshots->snapshotSeen();
            return;
        }
        m_logger.warning("Configuration at offset {}: {}. {}", event.offset,
                         Configuration::toString(event.kind), event.detail);
    };
}

void ControllerProcess::makeSnapshots()
{
    m_snapshotAppender = std::make_unique<PlatformClient::BatchAppender>(
        PlatformClient::BatchAppender::Options{.log = m_log.get(),
                                               .timers = &m_loop.timers(),
                                               .stream = std::string(Configuration::streamName),
                                               .backoff = m_backoff});
    m_snapshots = std::make_unique<SnapshotWriter>(
        SnapshotWriter::Options{.timers = &m_loop.timers(),
                                .appender = m_snapshotAppender.get(),
                                .reducer = &m_configuration->reducer(),
                                .schedule = {.retention = m_settings.retention},
                                .writer = m_instanceId,
                                .rank = [this] { return snapshotRank(); }});
    m_snapshots->appended = [this](const std::string &id, std::size_t parts) {
        m_metrics.snapshots.increment();
        recordEvent(EventType::SnapshotAppended,
                    {.subject = id, .detail = std::to_string(parts) + " parts"});
    };
    m_snapshots->failed = [this](const std::string &id) {
        m_metrics.snapshotFailures.increment();
        m_logger.warning("Could not confirm that snapshot {} was appended to the log.", id);
    };
}

/// Rank of this process among the controllers that write snapshots. Empty until this process has
/// read up to the end of the log, as it could otherwise miss the snapshots of other controllers.
std::optional<std::size_t> ControllerProcess::snapshotRank() const
{
    if (m_isStopping || !m_configuration->isAtEnd())
        return std::nullopt;
    const Membership::Membership &membership = m_peers->membership();
    const std::vector<Membership::MemberUpdate> members = membership.usableMembers(now());
    const auto hasLowerId = [&](const Membership::MemberUpdate &member) {
        return member.role == Membership::MemberRole::Controller
            && member.id < membership.self().id;
    };
    return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), hasLowerId));
}

void ControllerProcess::makeLease()
{
    m_lease = std::make_unique<LeaseCoordinator>(
        LeaseCoordinator::Options{.timers = &m_loop.timers(),
                                  .log = m_log.get(),
                                  .lease = {.dataCentre = m_settings.dataCentre,
                                            .holder = m_instanceId,
                                            .term = m_settings.lease,
                                            .margin = m_settings.leaseMargin,
                                            .renewPeriod = m_settings.lease / 3,
                                            .longestOrder = m_settings.longestOrder}});
    m_lease->gained = [this](Base::FencingNumber fencing) {
        recordEvent(EventType::LeaseTaken, {.subject = std::to_string(fencing.value())});
        m_logger.info("Acquired the lease with fencing number {}.", fencing);
        m_orders->leaseGained();
    };
    m_lease->lost = [this] {
        recordEvent(EventType::LeaseLost,
                    {.subject = m_settings.dataCentre.value(),
                     .detail = m_isStopping ? "given up" : "not renewed in time or taken over"});
        m_logger.info("Lost or released the lease.");
        if (!m_isStopping)
            m_metrics.leaseLosses.increment();
    };
}

std::vector<std::string> ControllerProcess::probingControllers() const
{
    std::vector<std::string> names;
    for (const Membership::MemberUpdate &member : m_peers->membership().usableMembers(now())) {
        if (member.role == Membership::MemberRole::Controller
            && member.dataCentre == m_settings.dataCentre.value())
            names.push_back(member.id);
    }
    return names;
}

void ControllerProcess::makeProber()
{
    m_prober = std::make_unique<Prober>(Prober::Options{
        .timers = &m_loop.timers(),
        .calls = httpEndpointCalls(m_loop, m_client),
        .member = m_peers->membership().self().id,
        .takeFromBudget = [this](std::size_t bytes) {
            return m_peers->budget().take(Membership::ControlPriority::Load,
                                          Membership::ControlTraffic::Probe, bytes, now());
        }});
    m_prober->deferred = [this] { m_metrics.probesDeferred.increment(); };
    m_prober->reported = [this](const Base::EndpointId &endpoint, const LoadAnswer &load,
                                Base::MonoTime sampledAt) {
        m_metrics.probes.increment();
        m_peers->membership().loads().report(endpoint, load.work, sampledAt);
        recordProbe(endpoint, true, {});
    };
    m_prober->failed = [this](const Base::EndpointId &endpoint, const std::string &reason) {
        m_metrics.probeFailures.increment();
        recordProbe(endpoint, false, reason);
    };
}

void ControllerProcess::recordProbe(const Base::EndpointId &endpoint, bool isAnswered,
                                    const std::string &detail)
{
    const bool hasChanged =
        isAnswered ? m_unresponsive.erase(endpoint) > 0 : m_unresponsive.insert(endpoint).second;
    if (!hasChanged)
        return;
    recordEvent(isAnswered ? EventType::EndpointTrusted : EventType::EndpointSuspected,
                {.endpoint = endpoint, .detail = isAnswered ? "answers probes" : detail});
    m_logger.info("Endpoint {} {}.", endpoint,
                  isAnswered ? "responds to probes again" : "does not respond to a probe");
}

void ControllerProcess::makeOrders()
{
    m_orders = std::make_unique<OrderCoordinator>(OrderCoordinator::Options{
        .timers = &m_loop.timers(),
        .calls = httpEndpointCalls(m_loop, m_client),
        .mayOrder = [this](bool checksFencing) { return m_lease->mayOrder(checksFencing); },
        .fetchWeights =
            [this](const Base::ModelId &model, const std::string &version,
                   OrderCoordinator::WeightsFetched fetched) {
                m_weightStore->fetch(model, version, std::move(fetched));
            },
        .takeFromBudget =
            [this](std::size_t bytes) {
                return m_peers->budget().take(Membership::ControlPriority::Configuration,
                                              Membership::ControlTraffic::Probe, bytes, now());
            },
        .longestOrder = m_settings.longestOrder});
    wireOrders();
}

void ControllerProcess::wireOrders()
{
    m_orders->orderSent = [this](const OrderTarget &target, const Orders::Order &order,
                                 Base::FencingNumber fencing) {
        m_metrics.ordersSent.increment();
        recordEvent(EventType::OrderSent,
                    {.endpoint = target.endpoint,
                     .subject = order.id,
                     .detail = "fencing number " + std::to_string(fencing.value())});
    };
    m_orders->orderDone = [this](const OrderTarget &target) {
        recordEvent(EventType::OrderDone, {.endpoint = target.endpoint});
        m_logger.info("Endpoint {} matches the configuration.", target.endpoint);
    };
    m_orders->orderRefused = [this](const OrderTarget &target, int status) {
        const std::string text = std::to_string(status);
        m_metrics.registry.counter("lagoonbank_orders_refused_total", {{"status", text}})
            .increment();
        recordEvent(EventType::OrderRefused,
                    {.endpoint = target.endpoint, .detail = "status " + text});
        m_logger.warning("Endpoint {} refused an order with status {}.", target.endpoint, status);
    };
    m_orders->failed = [this](const OrderTarget &target, const std::string &reason) {
        m_metrics.orderFailures.increment();
        m_logger.warning("Endpoint {}: {}.", target.endpoint, reason);
    };
    m_orders->cacheMoved = [this](const OrderTarget &target, const CacheMover::MoveResult &moved) {
        m_metrics.movedChats.increment(static_cast<double>(moved.chats));
        m_metrics.movedBytes.increment(static_cast<double>(moved.bytes));
        if (moved.chats == 0)
            return;
        recordEvent(EventType::EndpointDraining,
                    {.endpoint = target.endpoint,
                     .detail = "caches of " + std::to_string(moved.chats) + " chats moved"});
    };
    m_orders->drained = [this](const OrderTarget &target) {
        recordEvent(EventType::EndpointDraining,
                    {.endpoint = target.endpoint, .detail = "nothing is in flight any more"});
        m_logger.info("Endpoint {} is drained.", target.endpoint);
    };
}

void ControllerProcess::configurationChanged()
{
    m_objects = m_configuration->objects();
    if (m_configuration->isReady()) {
        // A partially read configuration must not be applied to engines as if it were complete.
        updateTargets();
        if (!std::exchange(m_isReady, true)) {
            recordEvent(EventType::ProcessReady, {.subject = m_settings.vm.value()});
            m_logger.info("Ready.");
        }
    }
    m_peers->configurationChanged();
    recordEvent(EventType::ConfigurationApplied,
                {.subject = std::to_string(m_configuration->reducer().next().value())});
}

void ControllerProcess::updateTargets()
{
    const auto revisionOf = [this](const Configuration::ObjectKey &key) {
        return m_configuration->reducer().state().revision(key);
    };
    const std::vector<Prober::Target> probed = probeTargets(m_objects, m_settings.dataCentre);
    m_prober->setPeriod(m_objects.policy().probeInterval);
    m_prober->setTargets(probed);
    m_orders->setTargets(orderTargets(m_objects, m_settings.dataCentre, revisionOf));
    for (const Base::EndpointId &old : m_probedEndpoints) {
        const bool isKept = std::any_of(probed.begin(), probed.end(),
                                        [&](const auto &target) { return target.endpoint == old; });
        if (!isKept)
            removeEndpoint(old);
    }
    m_probedEndpoints.clear();
    for (const Prober::Target &target : probed)
        m_probedEndpoints.push_back(target.endpoint);
}

void ControllerProcess::removeEndpoint(const Base::EndpointId &endpoint)
{
    m_unresponsive.erase(endpoint);
    m_peers->membership().loads().remove(endpoint);
}

void ControllerProcess::updateRoles()
{
    m_roleTimer = m_loop.timers().start(roleUpdateInterval, [this] { updateRoles(); });
    const bool isCandidate =
        m_peers->membership().rankInDataCentre(now()) < candidatesPerDataCentre;
    m_lease->setCandidate(isCandidate && m_isReady && !m_isStopping);
    m_prober->setMembers(probingControllers());
}

void ControllerProcess::recordEvent(EventType type, Timeline::EventFields fields)
{
    m_events.record(type, std::move(fields), m_loop.clock().wallNow());
}

void ControllerProcess::stopGracefully()
{
    if (m_isStopping)
        return;
    m_isStopping = true;
    m_logger.info("Stopping; {} orders are in flight.", m_orders->ordersInFlight());
    recordEvent(EventType::ProcessDraining, {.subject = m_settings.vm.value()});
    m_orders->stop();
    m_lease->setCandidate(false);
    m_peers->leave();
    m_stopDeadline = now() + stopTimeout;
    stopWhenIdle();
}

void ControllerProcess::stopWhenIdle()
{
    constexpr Base::Duration idleCheckInterval = std::chrono::milliseconds(50);
    // An order can take effect some time after it was sent. The lease is kept while orders are in
    // flight, so that no older order takes effect after an order of the next holder.
    if (m_orders->ordersInFlight() == 0)
        m_lease->release();
    const bool isIdle = m_orders->ordersInFlight() == 0 && !m_lease->isReleasePending();
    if (isIdle || now() >= m_stopDeadline) {
        m_logger.info("Stopped.");
        m_loop.stop();
        return;
    }
    m_loop.timers().start(idleCheckInterval, [this] { stopWhenIdle(); });
}

} // namespace Lagoonbank::Controller
