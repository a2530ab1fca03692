#pragma once

#include <cstddef>
#include <optional>
#include <vector>

namespace Lagoonbank::Experiment {

/// A set of samples. All of them are kept, so percentiles are exact.
class Samples
{
public:
    void add(double value);
    std::size_t size() const { return m_values.size(); }
    bool empty() const { return m_values.empty(); }
    /// Nearest-rank percentile for \a percent from 0 to 100; no value without samples.
    std::optional<double> percentile(double percent) const;
    std::optional<double> mean() const;
    std::optional<double> max() const;

private:
    mutable std::vector<double> m_values;
    mutable bool m_sorted = true;
};

/// Load of one engine at a point in time.
struct EngineLoad
{
    double work = 0; ///< Outstanding work units.
    double capacity = 1; ///< Work units that the engine can hold at full speed.
    double largestRequest = 0; ///< Work units of the largest request of the engine.
};

/// Measures how unevenly load is spread over engines, as the highest load (work per capacity)
/// divided by the mean load of all engines.
///
/// The quotient is meaningless with little work in the fleet: a single request on ten engines gives
/// 10. A sample is therefore only recorded if the mean work of an engine is at least that of a
/// typical request; others are counted as idle.
class SkewMeter
{
public:
    struct Options
    {
        double bound = 1.25; ///< Multiple of the mean load that the routing policy allows.
        double typicalWork = 1; ///< Work units of a typical request.
    };

    explicit SkewMeter(const Options &options)
        : m_options(options)
    { }

    void add(const std::vector<EngineLoad> &engines);
    const Samples &samples() const { return m_samples; }
    std::size_t idleSamples() const { return m_idleSamples; }
    /// Number of samples in which an engine exceeded bound times the mean by more than one typical
    /// request.
    std::size_t samplesOverBound() const { return m_samplesOverBound; }
    /// Load of the most loaded engine above bound times the mean, in typical requests; 0 if below.
    const Samples &excessRequests() const { return m_excessRequests; }
    /// Highest load without the largest request of each engine, divided by the mean. The policy
    /// allows one request above the bound; leaving it out makes the figure comparable with the
    /// bound whatever the sizes of the requests.
    const Samples &samplesWithoutLargest() const { return m_samplesWithoutLargest; }
    const Options &options() const { return m_options; }

private:
    Options m_options;
    Samples m_samples;
    Samples m_samplesWithoutLargest;
    Samples m_excessRequests;
    std::size_t m_idleSamples = 0;
    std::size_t m_samplesOverBound = 0;
};

} // namespace Lagoonbank::Experiment
