#include "node/peerlink.h"

#include "node/logicaltime.h"

#include <boost/outcome/try.hpp>

#include <utility>

namespace Lagoonbank::Node {

namespace {

constexpr Base::Duration logReaderUpdateInterval = std::chrono::seconds(1);
constexpr const char *configurationPull = "configuration";

Membership::ControlBudget::Options budgetOptions(const Schema::ControlSettings &control)
{
    // Using less than the limit keeps the traffic below it during bursts too.
    constexpr double usableShare = 0.92;
    const double rate = control.bytesPerSecond * usableShare;
    return {.bytesPerSecond = rate, .burstBytes = rate, .overdraftBytes = rate / 2};
}

} // namespace

PeerLink::PeerLink(Options options)
    : m_options(std::move(options))
    , m_budget(budgetOptions(m_options.control))
{
    const char *roleName =
        m_options.role == Membership::MemberRole::Router ? "/router" : "/controller";
    Membership::MemberUpdate self{.id = m_options.vm.value() + roleName,
                                  .role = m_options.role,
                                  .status = Membership::MemberStatus::Alive,
                                  .dataCentre = m_options.dataCentre.value(),
                                  .region = m_options.region.value(),
                                  .ip = Membership::ipNumber(m_options.address.ip),
                                  .port = m_options.address.port,
                                  .incarnation = m_options.incarnation.value()};
    m_membership = std::make_unique<Membership::Membership>(
        Membership::Membership::Options{.self = std::move(self),
                                        .seeds = m_options.seeds,
                                        .listedPorts = {m_options.address.port},
                                        .randomSeed = m_options.incarnation.value(),
                                        .budget = &m_budget},
        m_options.loop->clock().now());
    m_membership->memberChanged = [this](const Membership::Member &member,
                                         Membership::MemberEvent event) {
        if (memberChanged)
            memberChanged(member, event);
    };
    m_membership->configurationAhead = [this](const Runtime::SocketAddress &peer,
                                              const Membership::ConfigurationMark &mark) {
        m_options.configuration->raiseRequiredOffset(Base::LogOffset(mark.offset));
        pullConfiguration(peer, false);
    };
    if (m_options.events)
        connectClock(*m_membership, *m_options.events, m_options.loop->clock());
}

Errors::Result<std::unique_ptr<PeerLink>> PeerLink::create(Options options,
                                                           const std::string &address,
                                                           const std::vector<std::string> &seeds,
                                                           Metrics::Registry &metrics)
{
    BOOST_OUTCOME_TRY(ownAddress, Runtime::parseSocketAddress(address));
    options.address = ownAddress;
    for (const std::string &seed : seeds) {
        BOOST_OUTCOME_TRY(parsed, Runtime::parseSocketAddress(seed));
        options.seeds.push_back(parsed);
    }
    auto link = std::make_unique<PeerLink>(std::move(options));
    link->budget().spent = [&metrics](Membership::ControlTraffic traffic, std::size_t bytes) {
        metrics
            .counter("lagoonbank_control_bytes_total",
                     {{"message", std::string(Membership::toString(traffic))}})
            .increment(static_cast<double>(bytes));
    };
    return link;
}

PeerLink::~PeerLink()
{
    m_options.loop->timers().cancel(m_logReaderTimer);
}

Errors::Result<void> PeerLink::start()
{
    BOOST_OUTCOME_TRY(transport,
                      Membership::PeerTransport::start({.loop = m_options.loop,
                                                        .client = m_options.client,
                                                        .budget = &m_budget,
                                                        .membership = m_membership.get(),
                                                        .address = m_options.address,
                                                        .keys = m_options.keys}));
    m_transport = std::move(transport);
    m_transport->setProvider(configurationPull, [this](std::string_view request) {
        return m_options.configuration->answer(request);
    });
    updateLogReaderRole();
    return boost::outcome_v2::success();
}

void PeerLink::leave()
{
    m_membership->leave(m_options.loop->clock().now());
}

void PeerLink::setVms(const std::vector<PlatformClient::VmEntry> &vms)
{
    std::vector<Membership::ListedVm> listedVms;
    for (const PlatformClient::VmEntry &vm : vms) {
        const auto address = Runtime::parseSocketAddress(vm.address);
        listedVms.push_back({.id = vm.id,
                             .ip = address ? address.value().ip : vm.address,
                             .dataCentre = vm.dataCentre,
                             .isLeaving = vm.state == PlatformClient::VmState::Leaving});
    }
    m_membership->setVmList(listedVms);
}

void PeerLink::configurationChanged()
{
    const Configuration::Reducer &reducer = m_options.configuration->reducer();
    m_membership->setAppliedConfiguration(
        {.offset = reducer.next().value(), .hash = reducer.hash()}, m_options.loop->clock().now());
}

void PeerLink::pullConfiguration(const Runtime::SocketAddress &peer, bool wantsAll)
{
    if (m_isPulling)
        return;
    m_isPulling = true;
    m_transport->pull(peer, configurationPull, m_options.configuration->makeRequest(wantsAll),
                      [this, peer, wantsAll](Errors::Result<std::string> answer) {
                          m_isPulling = false;
                          if (!answer)
                              return;
                          const auto imported =
                              m_options.configuration->importAnswer(answer.value());
                          if (!imported && !wantsAll)
                              pullConfiguration(peer, true);
                      });
}

/// Determines whether this process reads the log. Only a few processes of a data centre do once
/// their configuration is ready; the others receive changes from them.
void PeerLink::updateLogReaderRole()
{
    const Base::MonoTime now = m_options.loop->clock().now();
    const bool isLogReader = m_membership->rankInDataCentre(now) < logReadersPerDataCentre;
    m_options.configuration->setReadsLog(isLogReader || !m_options.configuration->isReady());
    m_logReaderTimer =
        m_options.loop->timers().start(logReaderUpdateInterval, [this] { updateLogReaderRole(); });
}

} // namespace Lagoonbank::Node
