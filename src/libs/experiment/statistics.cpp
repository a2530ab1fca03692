#include "experiment/statistics.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Lagoonbank::Experiment {

void Samples::add(double value)
{
    m_values.push_back(value);
    m_sorted = false;
}

std::optional<double> Samples::percentile(double percent) const
{
    if (m_values.empty())
        return std::nullopt;
    if (!m_sorted)
        std::sort(m_values.begin(), m_values.end());
    m_sorted = true;
    const double rank = std::ceil(percent / 100 * static_cast<double>(m_values.size()));
    const auto index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
    return m_values[std::min(index, m_values.size() - 1)];
}

std::optional<double> Samples::mean() const
{
    if (m_values.empty())
        return std::nullopt;
    const double sum = std::accumulate(m_values.begin(), m_values.end(), 0.0);
    return sum / static_cast<double>(m_values.size());
}

std::optional<double> Samples::max() const
{
    if (m_values.empty())
        return std::nullopt;
    return *std::max_element(m_values.begin(), m_values.end());
}

void SkewMeter::add(const std::vector<EngineLoad> &engines)
{
    if (engines.empty())
        return;
    double work = 0;
    double load = 0;
    double highest = 0;
    double highestWithoutLargest = 0;
    double capacity = 0;
    for (const EngineLoad &engine : engines) {
        const double engineLoad = engine.capacity > 0 ? engine.work / engine.capacity : 0;
        work += engine.work;
        capacity += engine.capacity;
        load += engineLoad;
        highest = std::max(highest, engineLoad);
        if (engine.capacity > 0)
            highestWithoutLargest = std::max(
                highestWithoutLargest, (engine.work - engine.largestRequest) / engine.capacity);
    }
    const auto count = static_cast<double>(engines.size());
    if (work / count < m_options.typicalWork || load <= 0) {
        ++m_idleSamples;
        return;
    }
    const double mean = load / count;
    m_samples.add(highest / mean);
    m_samplesWithoutLargest.add(highestWithoutLargest / mean);
    const double oneRequest = m_options.typicalWork / (capacity / count);
    const double excess = std::max(highest - m_options.bound * mean, 0.0);
    m_excessRequests.add(oneRequest > 0 ? excess / oneRequest : 0);
    if (excess > oneRequest)
        ++m_samplesOverBound;
}

} // namespace Lagoonbank::Experiment
