#pragma once

#include <cstddef>
#include <optional>
#include <vector>

namespace Lagoonbank::Experiment {

/// Keeps every sample, so that percentiles are exact.
class Samples
{
public:
    void add(double value);
    std::size_t size() const { return m_values.size(); }
    bool empty() const { return m_values.empty(); }
    /// Nearest-rank percentile, \a percent from 0 to 100; nothing without samples.
    std::optional<double> percentile(double percent) const;
    std::optional<double> mean() const;
    std::optional<double> max() const;

private:
    mutable std::vector<double> m_values;
    mutable bool m_sorted = true;
};

/// Load of one engine at one moment.
struct EngineLoad
{
    double work = 0; ///< Work units still to be done.
    double capacity = 1; ///< Work units that the engine takes at full speed.
    double largest = 0; ///< Work units of its largest request.
};

/// How uneven load is over engines: the highest work per capacity over the mean of all.
///
/// Where little work is in the fleet the quotient says nothing: with one request on ten engines
/// it is 10. So a moment counts only if the mean work of an engine is at least that of one typical
/// request; the others are counted as idle.
class SkewMeter
{
public:
    struct Options
    {
        double bound = 1.25; ///< The routing policy's multiple of the mean.
        double typicalWork = 1; ///< Work of one typical request.
    };

    explicit SkewMeter(const Options &options)
        : m_options(options)
    { }

    void add(const std::vector<EngineLoad> &engines);
    const Samples &samples() const { return m_samples; }
    std::size_t idle() const { return m_idle; }
    /// Moments at which an engine had more than bound times the mean plus one typical request.
    std::size_t overBound() const { return m_overBound; }
    /// How many typical requests the highest engine has above bound times the mean; 0 if under.
    const Samples &excessRequests() const { return m_excessRequests; }
    /// Highest load less the largest request of that engine, over the mean: what the bound plus one
    /// request is about, whatever the sizes of the requests.
    const Samples &lessLargest() const { return m_lessLargest; }
    const Options &options() const { return m_options; }

private:
    Options m_options;
    Samples m_samples;
    Samples m_lessLargest;
    Samples m_excessRequests;
    std::size_t m_idle = 0;
    std::size_t m_overBound = 0;
};

} // namespace Lagoonbank::Experiment
