#include "runner.h"

#include <csignal>
#include <cstdio>
#include <utility>

namespace Lagoonbank::Bench {

namespace {

constexpr std::size_t maxIdleConnections = 4096;
constexpr Base::Duration readyWait = std::chrono::seconds(15);
constexpr Base::Duration readyPoll = std::chrono::milliseconds(100);
constexpr Base::Duration progressInterval = std::chrono::milliseconds(250);
/// Time for routers to record the last outcomes and for endpoints to end runs without a caller.
constexpr Base::Duration settleTime = std::chrono::milliseconds(500);
constexpr double microsecondsPerSecond = 1'000'000;

std::string makeRunTag(std::uint64_t seed)
{
    const auto now = Runtime::SystemClock().wallNow().time_since_epoch();
    return std::to_string(seed) + "x" + std::to_string(Base::toMilliseconds(now));
}

std::optional<double> inMicroseconds(std::optional<double> seconds)
{
    return seconds ? std::optional(*seconds * microsecondsPerSecond) : std::nullopt;
}

} // namespace

Runner::Runner(Options options)
    : m_options(std::move(options))
    , m_client({.loop = &m_loop, .maxIdlePerServer = maxIdleConnections})
    , m_balancer({.loop = &m_loop, .client = &m_client, .definition = &m_options.definition})
    , m_probe({.loop = &m_loop, .client = &m_client, .definition = &m_options.definition})
    , m_events({.loop = &m_loop,
                .client = &m_client,
                .definition = &m_options.definition,
                .marksFile = m_options.marksFile,
                .acceptancesFile = m_options.acceptancesFile})
    , m_load({.loop = &m_loop,
              .client = &m_client,
              .balancer = &m_balancer,
              .definition = &m_options.definition,
              .runTag = makeRunTag(m_options.definition.seed)})
{
    for (const int signal : {SIGINT, SIGTERM}) {
        m_loop.onSignal(signal, [this] {
            m_failure = "stopped by a signal";
            m_loop.stop();
        });
    }
}

Errors::Result<Experiment::Report> Runner::run()
{
    m_balancer.start();
    waitForRouters(Base::Duration::zero());
    m_loop.run();
    if (!m_hasReport)
        return Errors::makeError(Errors::ErrorKind::Internal, m_failure);
    return std::move(m_report);
}

void Runner::waitForRouters(Base::Duration waited)
{
    const std::size_t all = m_options.definition.routers.size();
    const std::size_t ready = m_balancer.readyCount();
    if (ready == all || (ready > 0 && waited >= readyWait)) {
        if (ready < all)
            m_report.notes.push_back("only " + std::to_string(ready) + " of " + std::to_string(all)
                                     + " routers were ready at the start");
        return m_probe.prepare([this] { startLoad(); });
    }
    if (waited >= readyWait) {
        m_failure = "no router became ready; is the fleet running?";
        return m_loop.stop();
    }
    m_loop.timers().start(readyPoll, [this, waited] { waitForRouters(waited + readyPoll); });
}

void Runner::startLoad()
{
    m_startedAt = m_loop.clock().now();
    m_isLoading = true;
    m_probe.startSampling();
    m_events.start();
    m_load.finished = [this] { stopLoad(); };
    if (m_options.showProgress)
        showProgress();
    m_load.start();
}

void Runner::stopLoad()
{
    m_isLoading = false;
    m_probe.stopSampling();
    m_events.end([this] { m_loop.timers().start(settleTime, [this] { collect(); }); });
}

void Runner::collect()
{
    m_evidence.callers = m_load.takeRecords();
    m_evidence.revisions = m_probe.takeRevisions();
    m_evidence.drains = m_events.drains();
    m_probe.collect(m_evidence, [this] {
        makeReport();
        m_balancer.stop();
        m_loop.stop();
    });
}

void Runner::makeReport()
{
    const Experiment::Definition &definition = m_options.definition;
    m_report.experiment = definition.name;
    m_report.policy = definition.policy;
    m_report.seed = definition.seed;
    m_report.seconds = Base::toSeconds(definition.length);
    for (const Experiment::CallerRecord &record : m_evidence.callers) {
        m_report.requests.add(record);
        m_report.workspaces[record.workspace].add(record);
        if (!record.errorKind.empty())
            ++m_report.errorKinds[record.errorKind];
    }
    m_report.reconciliation = Experiment::reconcile(m_evidence);
    m_report.cacheReuse = Experiment::measureCacheReuse(m_evidence, definition.cacheBlockTokens);
    if (m_probe.skew().samples().size() + m_probe.skew().idleSamples() > 0)
        m_report.skew = m_probe.skew();
    m_report.controlBytesPerSecond = m_probe.controlBytesPerSecond();
    m_report.firstTokenMs = m_load.figures().firstTokenMs;
    m_report.betweenTokensMs = m_load.figures().betweenTokensMs;
    m_report.wholeAnswerMs = m_load.figures().wholeAnswerMs;
    m_report.sendDelayMs = m_load.figures().sendDelayMs;
    m_report.decisionUsP50 = inMicroseconds(m_probe.decisionSeconds().percentile(50));
    m_report.decisionUsP99 = inMicroseconds(m_probe.decisionSeconds().percentile(99));
    for (const auto *notes : {&m_probe.notes(), &m_events.notes()})
        m_report.notes.insert(m_report.notes.end(), notes->begin(), notes->end());
    m_hasReport = true;
}

void Runner::showProgress()
{
    const double elapsed = Base::toSeconds(m_loop.clock().now() - m_startedAt);
    std::fprintf(stderr, "\r%6.1f of %.0f s  %zu answered  %zu in flight  %zu routers ready ",
                 elapsed, Base::toSeconds(m_options.definition.length), m_load.records().size(),
                 m_load.inFlight(), m_balancer.readyCount());
    if (!m_isLoading) {
        std::fputc('\n', stderr);
        return;
    }
    m_loop.timers().start(progressInterval, [this] { showProgress(); });
}

} // namespace Lagoonbank::Bench
