#pragma once

#include "experiment/definition.h"
#include "experiment/metricstext.h"
#include "experiment/records.h"
#include "experiment/statistics.h"
#include "http/client.h"
#include "runtime/loop.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Lagoonbank::Bench {

/// Asks routers and endpoints for their own view: load while the run goes on, metrics at its start
/// and end, ledgers and outcomes after it.
class FleetProbe
{
public:
    struct Options
    {
        Runtime::Loop *loop = nullptr;
        Http::Client *client = nullptr;
        const Experiment::Definition *definition = nullptr;
    };

    explicit FleetProbe(const Options &options);

    /// Empties the ledgers and reads the routers' metrics as they were before the run.
    void prepare(std::function<void()> done);
    /// Samples engines' load and routers' revisions until stopSampling().
    void startSampling();
    void stopSampling();
    /// Reads metrics, ledgers and outcomes; \a evidence and the figures below are whole then.
    void collect(Experiment::Evidence &evidence, std::function<void()> done);

    const Experiment::SkewMeter &skew() const { return m_skew; }
    const Experiment::Samples &controlBytesPerSecond() const { return m_controlBytesPerSecond; }
    const Experiment::Histogram &decisionSeconds() const { return m_decisionSeconds; }
    const std::vector<std::string> &notes() const { return m_notes; }
    std::vector<Experiment::RevisionSample> takeRevisions() { return std::move(m_revisions); }

private:
    struct LoadRound
    {
        std::vector<Experiment::EngineLoad> loads;
        std::size_t waiting = 0;
        bool counts = true;
    };
    struct MetricsAtStart
    {
        std::vector<Experiment::Metric> metrics;
        Base::MonoTime at;
    };
    using Answered = std::function<void(const Http::CallResult &result)>;

    void ask(const std::string &address, const std::string &target, Base::Duration timeout,
             Answered answered);
    void sampleLoads();
    void addLoad(const std::string &endpoint, const Http::CallResult &result, LoadRound &round);
    void sampleRevisions();
    void addRevisions(const std::string &router, const Http::CallResult &result);
    void readMetrics(std::size_t router, const Http::CallResult &result);
    void readLedger(const Experiment::EndpointPlace &place, const Http::CallResult &result,
                    Experiment::Evidence &evidence);
    void readOutcomes(const Experiment::RouterPlace &place, const Http::CallResult &result,
                      Experiment::Evidence &evidence);
    void note(const std::string &who, const std::string &what);

    Options m_options;
    const Experiment::Definition &m_definition;
    Experiment::SkewMeter m_skew;
    Experiment::Samples m_controlBytesPerSecond;
    Experiment::Histogram m_decisionSeconds;
    std::vector<Experiment::RevisionSample> m_revisions;
    std::vector<std::string> m_notes;
    std::map<std::size_t, MetricsAtStart> m_atStart;
    std::map<std::string, std::int64_t> m_incarnations; ///< Of the endpoints, as first seen.
    std::map<std::string, bool> m_replaced;
    Base::MonoTime m_startedAt;
    std::int64_t m_startedWallMs = 0;
    bool m_isSampling = false;
};

} // namespace Lagoonbank::Bench
