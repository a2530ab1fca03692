#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace Lagoonbank::Metrics {

enum class Kind : std::uint8_t { Counter, Gauge, Histogram };

/// One metric of a program, as its users read it.
struct Metric
{
    std::string_view name; ///< Snake case with the unit last; counters end in `_total`.
    Kind kind = Kind::Counter;
    std::string_view unit; ///< "seconds", "bytes", "requests", ...
    std::string_view help; ///< What it counts, in one sentence.
    std::string_view whenItRises; ///< What to do then, in one sentence.
    std::span<const double> bounds; ///< Of a histogram: the upper bounds of its buckets, rising.
};

/// All metrics of a program; a constant array, so that pages can list it.
using Catalogue = std::span<const Metric>;

std::string_view toString(Kind kind);
/// The catalogue as a Markdown table for the reference pages.
std::string toMarkdown(Catalogue catalogue);

/// Bounds from 100 microseconds to 100 seconds, about three a decade.
extern const std::span<const double> latencyBounds;

} // namespace Lagoonbank::Metrics
