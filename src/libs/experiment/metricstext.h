#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Lagoonbank::Experiment {

/// One sample of the Prometheus text format.
struct Metric
{
    std::string name;
    std::map<std::string, std::string> labels;
    double value = 0;
};

/// Parses the Prometheus text format. Lines that are not samples are skipped.
std::vector<Metric> readMetrics(std::string_view text);

/// Sum of all samples named \a name; no value if there are none.
std::optional<double> sumOf(const std::vector<Metric> &metrics, std::string_view name);

/// A Prometheus histogram summed over several processes.
class Histogram
{
public:
    /// Adds the samples named <name>_bucket.
    void add(const std::vector<Metric> &metrics, std::string_view name);
    /// Subtracts the samples taken before the measurement.
    void subtract(const std::vector<Metric> &metrics, std::string_view name);
    /// Percentile by linear interpolation within a bucket; no value if the histogram is empty.
    std::optional<double> percentile(double percent) const;

private:
    void addScaled(const std::vector<Metric> &metrics, std::string_view name, double factor);

    std::map<double, double> m_buckets; ///< Cumulative counts by upper bound.
};

} // namespace Lagoonbank::Experiment
