#include "fleetprobe.h"

#include "experiment/recordreader.h"
#include "experiment/workload.h"

#include <utility>

namespace Lagoonbank::Bench {

namespace {

constexpr int httpOk = 200;
constexpr Base::Duration loadInterval = std::chrono::milliseconds(100);
constexpr Base::Duration loadTimeout = std::chrono::milliseconds(90);
constexpr Base::Duration revisionInterval = std::chrono::milliseconds(500);
constexpr Base::Duration metricsTimeout = std::chrono::seconds(2);
constexpr Base::Duration ledgerTimeout = std::chrono::seconds(20);
constexpr std::size_t maxLedgerBytes = 512 * 1024 * 1024;

constexpr std::string_view controlBytesMetric = "lagoonbank_control_bytes_total";
constexpr std::string_view decisionMetric = "lagoonbank_decision_seconds";

bool isGood(const Http::CallResult &result)
{
    return result.end == Http::CallEnd::Whole && result.status == httpOk;
}

/// Calls \a done after it was called \a count times.
std::function<void()> afterAll(std::size_t count, std::function<void()> done)
{
    auto left = std::make_shared<std::size_t>(count);
    return [left, done = std::move(done)] {
        if (--*left == 0)
            done();
    };
}

} // namespace

FleetProbe::FleetProbe(const Options &options)
    : m_options(options)
    , m_definition(*options.definition)
    , m_skew(
          {.bound = m_definition.skewBound, .typicalWork = Experiment::typicalWork(m_definition)})
{ }

void FleetProbe::ask(const std::string &address, const std::string &target, Base::Duration timeout,
                     Answered answered)
{
    Http::Call call{
        .server = Runtime::parseSocketAddress(address).value(),
        .target = target,
        .connectTimeout = timeout,
        .headTimeout = timeout,
        .progressTimeout = timeout,
        .totalTimeout = timeout,
        .maxBodyBytes = maxLedgerBytes,
    };
    m_options.client->start(std::move(call), {.finished = std::move(answered)});
}

void FleetProbe::prepare(std::function<void()> done)
{
    const auto one =
        afterAll(m_definition.endpoints.size() + m_definition.routers.size(), std::move(done));
    for (const Experiment::EndpointPlace &place : m_definition.endpoints)
        ask(place.address, "/ledger?clear=true", ledgerTimeout, [one](const auto &) { one(); });
    for (std::size_t i = 0; i < m_definition.routers.size(); ++i) {
        ask(m_definition.routers[i].adminAddress, "/metrics", metricsTimeout,
            [this, one, i](const Http::CallResult &result) {
                if (isGood(result))
                    m_atStart[i] = {Experiment::readMetrics(result.body),
                                    m_options.loop->clock().now()};
                one();
            });
    }
}

void FleetProbe::startSampling()
{
    m_isSampling = true;
    m_startedAt = m_options.loop->clock().now();
    m_startedWallMs = Base::toMilliseconds(m_options.loop->clock().wallNow().time_since_epoch());
    sampleLoads();
    sampleRevisions();
}

void FleetProbe::stopSampling()
{
    m_isSampling = false;
}

void FleetProbe::sampleLoads()
{
    if (!m_isSampling)
        return;
    auto round = std::make_shared<LoadRound>();
    const Base::Duration since = m_options.loop->clock().now() - m_startedAt;
    round->counts = since >= m_definition.warmUp && since <= m_definition.length;
    for (const Experiment::EndpointPlace &place : m_definition.endpoints)
        round->waiting += place.isEngine ? 1 : 0;
    for (const Experiment::EndpointPlace &place : m_definition.endpoints) {
        if (!place.isEngine)
            continue;
        const std::string name = place.endpoint.value();
        ask(place.address, "/v1/load", loadTimeout,
            [this, round, name](const Http::CallResult &result) {
                addLoad(name, result, *round);
                if (--round->waiting == 0 && round->counts)
                    m_skew.add(round->loads);
            });
    }
    m_options.loop->timers().start(loadInterval, [this] { sampleLoads(); });
}

void FleetProbe::addLoad(const std::string &endpoint, const Http::CallResult &result,
                         LoadRound &round)
{
    if (!isGood(result))
        return;
    const auto report = Experiment::readLoadReport(result.body);
    if (!report)
        return;
    const std::int64_t incarnation = report.value().incarnation;
    const std::int64_t first = m_incarnations.try_emplace(endpoint, incarnation).first->second;
    if (first != incarnation)
        m_replaced[endpoint] = true;
    if (!report.value().isDraining)
        round.loads.push_back(report.value().load);
}

void FleetProbe::sampleRevisions()
{
    if (!m_isSampling)
        return;
    for (const Experiment::RouterPlace &place : m_definition.routers) {
        const std::string name = place.vm.value();
        ask(place.adminAddress, "/admin/status", metricsTimeout,
            [this, name](const Http::CallResult &result) { addRevisions(name, result); });
    }
    m_options.loop->timers().start(revisionInterval, [this] { sampleRevisions(); });
}

void FleetProbe::addRevisions(const std::string &router, const Http::CallResult &result)
{
    if (!isGood(result))
        return;
    const auto offset = Experiment::readConfigurationOffset(result.body);
    if (!offset)
        return;
    const Base::WallTime now = m_options.loop->clock().wallNow();
    m_revisions.push_back(
        {router, "configuration", Base::toMilliseconds(now.time_since_epoch()), *offset});
}

void FleetProbe::collect(Experiment::Evidence &evidence, std::function<void()> done)
{
    const auto one =
        afterAll(m_definition.endpoints.size() + 2 * m_definition.routers.size(), std::move(done));
    for (const Experiment::EndpointPlace &place : m_definition.endpoints) {
        ask(place.address, "/ledger", ledgerTimeout,
            [this, one, &place, &evidence](const Http::CallResult &result) {
                readLedger(place, result, evidence);
                one();
            });
    }
    const std::string since = "/admin/outcomes?since=" + std::to_string(m_startedWallMs);
    for (std::size_t i = 0; i < m_definition.routers.size(); ++i) {
        const Experiment::RouterPlace &place = m_definition.routers[i];
        ask(place.adminAddress, "/metrics", metricsTimeout,
            [this, one, i](const Http::CallResult &result) {
                readMetrics(i, result);
                one();
            });
        ask(place.adminAddress, since, ledgerTimeout,
            [this, one, &place, &evidence](const Http::CallResult &result) {
                readOutcomes(place, result, evidence);
                one();
            });
    }
}

void FleetProbe::readMetrics(std::size_t router, const Http::CallResult &result)
{
    const std::string name = m_definition.routers[router].vm.value();
    const auto start = m_atStart.find(router);
    if (!isGood(result) || start == m_atStart.end())
        return note(name, "metrics could not be read at the start and at the end");
    const auto metrics = Experiment::readMetrics(result.body);
    const auto &before = start->second.metrics;
    m_decisionSeconds.add(metrics, decisionMetric);
    m_decisionSeconds.subtract(before, decisionMetric);
    const auto bytes = Experiment::sumOf(metrics, controlBytesMetric);
    if (!bytes)
        return note(name, "has no metric " + std::string(controlBytesMetric));
    const double grown = *bytes - Experiment::sumOf(before, controlBytesMetric).value_or(0);
    const double seconds = Base::toSeconds(m_options.loop->clock().now() - start->second.at);
    if (grown >= 0 && seconds > 0)
        m_controlBytesPerSecond.add(grown / seconds);
    else
        note(name, "was replaced in the run; its control bytes are left out");
}

void FleetProbe::readLedger(const Experiment::EndpointPlace &place, const Http::CallResult &result,
                            Experiment::Evidence &evidence)
{
    const std::string &name = place.endpoint.value();
    Experiment::Ledger ledger;
    ledger.isWhole = false;
    if (isGood(result)) {
        if (auto read = Experiment::readLedger(result.body))
            ledger = std::move(read.value());
    }
    if (m_replaced.contains(name))
        ledger.isWhole = false;
    if (!ledger.isWhole)
        note(name, "its ledger is not whole");
    ledger.endpoint = name;
    evidence.ledgers.push_back(std::move(ledger));
}

void FleetProbe::readOutcomes(const Experiment::RouterPlace &place, const Http::CallResult &result,
                              Experiment::Evidence &evidence)
{
    if (!isGood(result))
        return note(place.vm.value(), "its outcomes could not be read");
    auto outcomes = Experiment::readOutcomes(result.body);
    if (!outcomes)
        return note(place.vm.value(), "its outcomes could not be read");
    for (Experiment::OutcomeRecord &outcome : outcomes.value())
        evidence.outcomes.push_back(std::move(outcome));
}

void FleetProbe::note(const std::string &who, const std::string &what)
{
    m_notes.push_back(who + ": " + what);
}

} // namespace Lagoonbank::Bench
