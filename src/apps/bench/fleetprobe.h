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

/// Collects data from routers and endpoints: the engines' loads and the routers' configuration
/// revisions during the run, the routers' metrics at its start and end, and after it the endpoints'
/// ledgers of their runs and the routers' outcomes of requests.
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

    /// Clears the ledgers and reads the routers' metrics before the run.
    void prepare(std::function<void()> done);
    /// Samples the engines' loads and the routers' configuration revisions until stopSampling().
    void startSampling();
    void stopSampling();
    /// Reads metrics, ledgers and outcomes. When \a done is called, \a evidence and the figures
    /// below are complete.
    void collect(Experiment::Evidence &evidence, std::function<void()> done);

    const Experiment::SkewMeter &skew() const { return m_skew; }
    const Experiment::Samples &controlBytesPerSecond() const { return m_controlBytesPerSecond; }
    const Experiment::Histogram &decisionSeconds() const { return m_decisionSeconds; }
    const std::vector<std::string> &notes() const { return m_notes; }
    std::vector<Experiment::RevisionSample> takeRevisions() { return std::move(m_revisions); }

private:
    /// Loads of all engines, requested at the same time.
    struct LoadRound
    {
        std::vector<Experiment::EngineLoad> loads;
        std::size_t pendingRequests = 0;
        bool isMeasured = true; ///< False during the warm-up and after the end of the run.
    };
    struct MetricsAtStart
    {
        std::vector<Experiment::Metric> metrics;
        Base::MonoTime readAt;
    };
    using ResponseHandler = std::function<void(const Http::CallResult &result)>;

    void get(const std::string &address, const std::string &target, Base::Duration timeout,
             ResponseHandler handler);
    void sampleLoads();
    void addLoad(const std::string &endpoint, const Http::CallResult &result, LoadRound &round);
    void sampleRevisions();
    void addRevisions(const std::string &router, const Http::CallResult &result);
    void readMetrics(std::size_t router, const Http::CallResult &result);
    void readLedger(const Experiment::DeployedEndpoint &endpoint, const Http::CallResult &result,
                    Experiment::Evidence &evidence);
    void readOutcomes(const Experiment::DeployedRouter &router, const Http::CallResult &result,
                      Experiment::Evidence &evidence);
    void addNote(const std::string &process, const std::string &message);

    Options m_options;
    const Experiment::Definition &m_definition;
    Experiment::SkewMeter m_skew;
    Experiment::Samples m_controlBytesPerSecond;
    Experiment::Histogram m_decisionSeconds;
    std::vector<Experiment::RevisionSample> m_revisions;
    std::vector<std::string> m_notes;
    std::map<std::size_t, MetricsAtStart> m_metricsAtStart;
    std::map<std::string, std::int64_t> m_incarnations; ///< First one seen of each endpoint.
    std::map<std::string, bool> m_replacedEndpoints;
    Base::MonoTime m_samplingStartedAt;
    std::int64_t m_samplingStartedWallMs = 0;
    bool m_isSampling = false;
};

} // namespace Lagoonbank::Bench
