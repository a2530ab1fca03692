#include "experiment/metricstext.h"

#include "experiment/textparts.h"

#include <cmath>
#include <limits>

namespace Lagoonbank::Experiment {

namespace {

using Internal::joined;
using Internal::splitParts;
using Internal::toNumber;
using Internal::trimmed;

constexpr double infinity = std::numeric_limits<double>::infinity();

std::optional<double> numberOf(std::string_view text)
{
    if (text == "+Inf")
        return infinity;
    return toNumber<double>(text);
}

/// Parses labels. The metrics of the project have no label values with quotes or commas, so these
/// are not handled.
std::map<std::string, std::string> labelsOf(std::string_view text)
{
    std::map<std::string, std::string> labels;
    for (std::string_view pair : splitParts(text, ',')) {
        const std::size_t equals = pair.find('=');
        if (equals == std::string_view::npos)
            continue;
        std::string_view value = trimmed(pair.substr(equals + 1));
        if (value.size() >= 2 && value.front() == '"' && value.back() == '"')
            value = value.substr(1, value.size() - 2);
        labels[std::string(trimmed(pair.substr(0, equals)))] = std::string(value);
    }
    return labels;
}

std::optional<Metric> metricOf(std::string_view line)
{
    Metric metric;
    std::string_view rest;
    const std::size_t open = line.find('{');
    if (open == std::string_view::npos) {
        const std::size_t space = line.find(' ');
        if (space == std::string_view::npos)
            return std::nullopt;
        metric.name = std::string(line.substr(0, space));
        rest = line.substr(space + 1);
    } else {
        const std::size_t close = line.find('}', open);
        if (close == std::string_view::npos)
            return std::nullopt;
        metric.name = std::string(line.substr(0, open));
        metric.labels = labelsOf(line.substr(open + 1, close - open - 1));
        rest = line.substr(close + 1);
    }
    const std::vector<std::string_view> parts = splitParts(rest, ' ');
    const auto value = parts.empty() ? std::nullopt : numberOf(parts.front());
    if (!value)
        return std::nullopt;
    metric.value = *value;
    return metric;
}

} // namespace

std::vector<Metric> readMetrics(std::string_view text)
{
    std::vector<Metric> metrics;
    for (std::string_view line : splitParts(text, '\n')) {
        if (line.front() == '#')
            continue;
        if (auto metric = metricOf(line))
            metrics.push_back(std::move(*metric));
    }
    return metrics;
}

std::optional<double> sumOf(const std::vector<Metric> &metrics, std::string_view name)
{
    std::optional<double> sum;
    for (const Metric &metric : metrics) {
        if (metric.name == name)
            sum = sum.value_or(0) + metric.value;
    }
    return sum;
}

void Histogram::add(const std::vector<Metric> &metrics, std::string_view name)
{
    addScaled(metrics, name, 1);
}

void Histogram::subtract(const std::vector<Metric> &metrics, std::string_view name)
{
    addScaled(metrics, name, -1);
}

void Histogram::addScaled(const std::vector<Metric> &metrics, std::string_view name, double factor)
{
    const std::string bucketName = joined(name, "_bucket");
    for (const Metric &metric : metrics) {
        if (metric.name != bucketName)
            continue;
        const auto bound = metric.labels.find("le");
        if (bound == metric.labels.end())
            continue;
        if (const auto upper = numberOf(bound->second))
            m_buckets[*upper] += factor * metric.value;
    }
}

std::optional<double> Histogram::percentile(double percent) const
{
    if (m_buckets.empty() || m_buckets.rbegin()->second <= 0)
        return std::nullopt;
    const double rank = percent / 100 * m_buckets.rbegin()->second;
    double lower = 0;
    double below = 0;
    for (const auto &[upper, count] : m_buckets) {
        if (count >= rank && count > below) {
            if (std::isinf(upper))
                return lower;
            return lower + (upper - lower) * (rank - below) / (count - below);
        }
        lower = upper;
        below = count;
    }
    return lower;
}

} // namespace Lagoonbank::Experiment
