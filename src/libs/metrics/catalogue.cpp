#include "metrics/catalogue.h"

#include <array>

namespace Lagoonbank::Metrics {

namespace {

constexpr std::array latencySeconds{0.0001, 0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01,
                                    0.02,   0.05,   0.1,    0.2,   0.5,   1.0,   2.0,
                                    5.0,    10.0,   20.0,   50.0,  100.0};

void appendCell(std::string &row, std::string_view text)
{
    row += ' ';
    row += text;
    row += " |";
}

} // namespace

const std::span<const double> latencyBounds(latencySeconds);

std::string_view toString(Kind kind)
{
    switch (kind) {
    case Kind::Counter:
        return "counter";
    case Kind::Gauge:
        return "gauge";
    case Kind::Histogram:
        break;
    }
    return "histogram";
}

std::string toMarkdown(Catalogue catalogue)
{
    std::string table = "| metric | kind | unit | what it is | what to do when it rises |\n"
                        "|---|---|---|---|---|\n";
    for (const Metric &metric : catalogue) {
        table += '|';
        appendCell(table, "`" + std::string(metric.name) + "`");
        appendCell(table, toString(metric.kind));
        appendCell(table, metric.unit);
        appendCell(table, metric.help);
        appendCell(table, metric.whenItRises);
        table += '\n';
    }
    return table;
}

} // namespace Lagoonbank::Metrics
