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

bool isOk(const Http::CallResult &result)
{
    return result.end == Http::CallEnd::Whole && result.status == httpOk;
}

/// Returns a function that calls \a done when it is called for the \a count th time.
std::function<void()> afterAll(std::size_t count, std::function<void()> done)
{
    auto remaining = std::make_shared<std::size_t>(count);
    return [remaining, done = std::move(done)] {
        if (--*remaining == 0)
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

void FleetProbe::get(const std::string &address, const std::string &target, Base::Duration timeout,
                     ResponseHandler handler)
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
    m_options.client->start(std::move(call), {.finished = std::move(handler)});
}

void FleetProbe::prepare(std::function<void()> done)
{
    const auto requestDone =
        afterAll(m_definition.endpoints.size() + m_definition.routers.size(), std::move(done));
    for (const Experiment::DeployedEndpoint &endpoint : m_definition.endpoints)
        get(endpoint.address, "/ledger?clear=true", ledgerTimeout,
            [requestDone](const auto &) { requestDone(); });
    for (std::size_t i = 0; i < m_definition.routers.size(); ++i) {
        get(m_definition.routers[i].adminAddress, "/metrics", metricsTimeout,
            [this, requestDone, i](const Http::CallResult &result) {
                if (isOk(result))
                    m_metricsAtStart[i] = {Experiment::readMetrics(result.body),
                                           m_options.loop->clock().now()};
                requestDone();
            });
    }
}

void FleetProbe::startSampling()
{
    m_isSampling = true;
    m_samplingStartedAt = m_options.loop->clock().now();
    m_samplingStartedWallMs =
        Base::toMilliseconds(m_options.loop->clock().wallNow().time_since_epoch());
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
    const Base::Duration timeInRun = m_options.loop->clock().now() - m_samplingStartedAt;
    round->isMeasured = timeInRun >= m_definition.warmUp && timeInRun <= m_definition.length;
    for (const Experiment::DeployedEndpoint &endpoint : m_definition.endpoints)
        round->pendingRequests += endpoint.isEngine ? 1 : 0;
    for (const Experiment::DeployedEndpoint &endpoint : m_definition.endpoints) {
        if (!endpoint.isEngine)
            continue;
        const std::string name = endpoint.endpoint.value();
        get(endpoint.address, "/v1/load", loadTimeout,
            [this, round, name](const Http::CallResult &result) {
                addLoad(name, result, *round);
                if (--round->pendingRequests == 0 && round->isMeasured)
                    m_skew.add(round->loads);
            });
    }
    m_options.loop->timers().start(loadInterval, [this] { sampleLoads(); });
}

void FleetProbe::addLoad(const std::string &endpoint, const Http::CallResult &result,
                         LoadRound &round)
{
    if (!isOk(result))
        return;
    const auto report = Experiment::readLoadReport(result.body);
    if (!report)
        return;
    const std::int64_t incarnation = report.value().incarnation;
    const std::int64_t first = m_incarnations.try_emplace(endpoint, incarnation).first->second;
    if (first != incarnation)
        m_replacedEndpoints[endpoint] = true;
    if (!report.value().isDraining)
        round.loads.push_back(report.value().load);
}

void FleetProbe::sampleRevisions()
{
    if (!m_isSampling)
        return;
    for (const Experiment::DeployedRouter &router : m_definition.routers) {
        const std::string name = router.vm.value();
        get(router.adminAddress, "/admin/status", metricsTimeout,
            [this, name](const Http::CallResult &result) { addRevisions(name, result); });
    }
    m_options.loop->timers().start(revisionInterval, [this] { sampleRevisions(); });
}

void FleetProbe::addRevisions(const std::string &router, const Http::CallResult &result)
{
    if (!isOk(result))
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
    const auto requestDone =
        afterAll(m_definition.endpoints.size() + 2 * m_definition.routers.size(), std::move(done));
    for (const Experiment::DeployedEndpoint &endpoint : m_definition.endpoints) {
        get(endpoint.address, "/ledger", ledgerTimeout,
            [this, requestDone, &endpoint, &evidence](const Http::CallResult &result) {
                readLedger(endpoint, result, evidence);
                requestDone();
            });
    }
    const std::string outcomesTarget =
        "/admin/outcomes?since=" + std::to_string(m_samplingStartedWallMs);
    for (std::size_t i = 0; i < m_definition.routers.size(); ++i) {
        const Experiment::DeployedRouter &router = m_definition.routers[i];
        get(router.adminAddress, "/metrics", metricsTimeout,
            [this, requestDone, i](const Http::CallResult &result) {
                readMetrics(i, result);
                requestDone();
            });
        get(router.adminAddress, outcomesTarget, ledgerTimeout,
            [this, requestDone, &router, &evidence](const Http::CallResult &result) {
                readOutcomes(router, result, evidence);
                requestDone();
            });
    }
}

void FleetProbe::readMetrics(std::size_t router, const Http::CallResult &result)
{
    const std::string name = m_definition.routers[router].vm.value();
    const auto start = m_metricsAtStart.find(router);
    if (!isOk(result) || start == m_metricsAtStart.end())
        return addNote(name, "metrics could not be read at the start and at the end");
    const auto metrics = Experiment::readMetrics(result.body);
    const auto &before = start->second.metrics;
    m_decisionSeconds.add(metrics, decisionMetric);
    m_decisionSeconds.subtract(before, decisionMetric);
    const auto bytes = Experiment::sumOf(metrics, controlBytesMetric);
    if (!bytes)
        return addNote(name, "has no metric " + std::string(controlBytesMetric));
    const double bytesInRun = *bytes - Experiment::sumOf(before, controlBytesMetric).value_or(0);
    const double seconds = Base::toSeconds(m_options.loop->clock().now() - start->second.readAt);
    if (bytesInRun >= 0 && seconds > 0)
        m_controlBytesPerSecond.add(bytesInRun / seconds);
    else
        addNote(name, "was replaced in the run; its control bytes are left out");
}

void FleetProbe::readLedger(const Experiment::DeployedEndpoint &endpoint,
                            const Http::CallResult &result, Experiment::Evidence &evidence)
{
    const std::string &name = endpoint.endpoint.value();
    Experiment::Ledger ledger;
    ledger.isComplete = false;
    if (isOk(result)) {
        if (auto read = Experiment::readLedger(result.body))
            ledger = std::move(read.value());
    }
    if (m_replacedEndpoints.contains(name))
        ledger.isComplete = false;
    if (!ledger.isComplete)
        addNote(name, "its ledger is not whole");
    ledger.endpoint = name;
    evidence.ledgers.push_back(std::move(ledger));
}

void FleetProbe::readOutcomes(const Experiment::DeployedRouter &router,
                              const Http::CallResult &result, Experiment::Evidence &evidence)
{
    if (!isOk(result))
        return addNote(router.vm.value(), "its outcomes could not be read");
    auto outcomes = Experiment::readOutcomes(result.body);
    if (!outcomes)
        return addNote(router.vm.value(), "its outcomes could not be read");
    for (Experiment::OutcomeRecord &outcome : outcomes.value())
        evidence.outcomes.push_back(std::move(outcome));
}

void FleetProbe::addNote(const std::string &process, const std::string &message)
{
    m_notes.push_back(process + ": " + message);
}

} // namespace Lagoonbank::Bench
