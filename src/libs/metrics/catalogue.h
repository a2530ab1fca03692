#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace Lagoonbank::Metrics {

enum class Kind : std::uint8_t { Counter, Gauge, Histogram };

/// Definition and documentation of a metric.
struct Metric
{
    std::string_view name; ///< Snake case with the unit last; counters end in `_total`.
    Kind kind = Kind::Counter;
    std::string_view unit; ///< "seconds", "bytes", "requests", ...
    std::string_view help; ///< What it measures, in one sentence.
    std::string_view whenItRises; ///< What to do when the value rises, in one sentence.
    std::span<const double> bounds; ///< Upper bounds of the buckets of a histogram, ascending.
};

/// All metrics of a program. Constant, so that the reference pages can be generated from it.
using Catalogue = std::span<const Metric>;

std::string_view toString(Kind kind);
/// Formats the catalogue as a Markdown table for the reference pages.
std::string toMarkdown(Catalogue catalogue);

/// Histogram bounds from 100 microseconds to 100 seconds, about three per decade.
extern const std::span<const double> latencyBounds;

} // namespace Lagoonbank::Metrics
