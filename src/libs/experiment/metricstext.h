#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Lagoonbank::Experiment {

/// One line of the Prometheus text format.
struct Metric
{
    std::string name;
    std::map<std::string, std::string> labels;
    double value = 0;
};

/// Reads the Prometheus text format; lines that are no samples are left out.
std::vector<Metric> readMetrics(std::string_view text);

/// Sum of all samples of that name; nothing if there are none.
std::optional<double> sumOf(const std::vector<Metric> &metrics, std::string_view name);

/// A Prometheus histogram with the counts of several processes put together.
class Histogram
{
public:
    /// Adds the samples <name>_bucket.
    void add(const std::vector<Metric> &metrics, std::string_view name);
    /// Takes away what was counted before the measurement.
    void subtract(const std::vector<Metric> &metrics, std::string_view name);
    /// Percentile by linear interpolation within a bucket; nothing if it is empty.
    std::optional<double> percentile(double percent) const;

private:
    void fold(const std::vector<Metric> &metrics, std::string_view name, double sign);

    std::map<double, double> m_buckets; ///< Upper bound to cumulative count.
};

} // namespace Lagoonbank::Experiment
