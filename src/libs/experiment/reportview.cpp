#include "experiment/report.h"

#include <absl/strings/str_format.h>
#include <absl/strings/str_replace.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <filesystem>
#include <set>

namespace Lagoonbank::Experiment {

namespace {

struct TableRow
{
    std::string_view title; ///< Heading of the rows below if there is no path.
    std::string_view path;
};

constexpr std::array rows{
    TableRow{"requests", ""},
    TableRow{"sent", "requests.sent"},
    TableRow{"whole", "requests.whole"},
    TableRow{"refused", "requests.refused"},
    TableRow{"failed", "requests.failed"},
    TableRow{"unknown", "requests.unknown"},
    TableRow{"broken promises", ""},
    TableRow{"crossed answers", "broken_promises.crossed_answers"},
    TableRow{"cut answers", "broken_promises.cut_answers"},
    TableRow{"refused but ran", "broken_promises.refused_but_ran"},
    TableRow{"ran twice", "broken_promises.ran_twice"},
    TableRow{"lost accepted", "broken_promises.lost_accepted"},
    TableRow{"sent to leaving", "broken_promises.sent_to_leaving"},
    TableRow{"config reverted", "broken_promises.config_reverted"},
    TableRow{"cache reuse", ""},
    TableRow{"returning", "cache_reuse.returning"},
    TableRow{"landed on cached", "cache_reuse.landed_on_cached"},
    TableRow{"ratio", "cache_reuse.ratio"},
    TableRow{"skew, max over mean", ""},
    TableRow{"p50", "skew.max_over_mean_p50"},
    TableRow{"p99", "skew.max_over_mean_p99"},
    TableRow{"max", "skew.max_over_mean_max"},
    TableRow{"bound", "skew.bound"},
    TableRow{"samples", "skew.samples"},
    TableRow{"over bound + 1 request", "skew.over_bound_plus_one_request"},
    TableRow{"excess requests p99", "skew.excess_requests_p99"},
    TableRow{"less largest request p99", "skew.less_largest_p99"},
    TableRow{"control bytes/s", ""},
    TableRow{"mean per router", "control_bytes_per_s.mean_per_router"},
    TableRow{"max per router", "control_bytes_per_s.max_per_router"},
    TableRow{"latency, ms", ""},
    TableRow{"first token p50", "latency_ms.first_token_p50"},
    TableRow{"first token p95", "latency_ms.first_token_p95"},
    TableRow{"first token p99", "latency_ms.first_token_p99"},
    TableRow{"between tokens p95", "latency_ms.between_tokens_p95"},
    TableRow{"decision, us", ""},
    TableRow{"p50", "decision_us.p50"},
    TableRow{"p99", "decision_us.p99"},
};

constexpr std::string_view unstreamedPrefix = "unstreamed_ms.";
constexpr int titleWidth = 26;
constexpr int minColumnWidth = 12;

std::string cell(std::optional<double> value)
{
    if (!value)
        return "-";
    if (*value == std::floor(*value))
        return absl::StrFormat("%.0f", *value);
    return absl::StrFormat("%.3f", *value);
}

/// Paths of the rows for calls without streaming, whose kinds depend on the experiment.
std::vector<std::string> unstreamedPaths(const std::vector<ReportFile> &reports)
{
    std::set<std::string> paths;
    for (const ReportFile &report : reports) {
        for (const auto &[path, value] : report.figures) {
            if (path.starts_with(unstreamedPrefix))
                paths.insert(path);
        }
    }
    return {paths.begin(), paths.end()};
}

std::string columnTitle(const ReportFile &report)
{
    const std::string stem = std::filesystem::path(report.file).stem().string();
    return report.policy.empty() ? stem : report.policy;
}

std::string escaped(const std::string &text)
{
    return absl::StrReplaceAll(text, {{"&", "&amp;"}, {"<", "&lt;"}, {">", "&gt;"}});
}

/// Maps values to pixel positions on an axis.
struct Axis
{
    double low = 0;
    double high = 1;
    double from = 0; ///< Pixel position of the value low.
    double to = 1; ///< Pixel position of the value high.

    double pixel(double value) const { return from + (value - low) / (high - low) * (to - from); }
};

Axis axisOver(const std::vector<double> &values, double from, double to)
{
    constexpr double margin = 0.1;
    constexpr double minSpan = 0.1;
    const auto [low, high] = std::minmax_element(values.begin(), values.end());
    const double span = std::max(*high - *low, minSpan);
    return {*low - margin * span, *high + margin * span, from, to};
}

std::string drawAxes(const Axis &x, const Axis &y)
{
    constexpr int ticks = 5;
    std::string svg =
        absl::StrFormat("<path d=\"M%.0f %.0f V%.0f H%.0f\" fill=\"none\" stroke=\"#444\"/>\n",
                        x.from, y.to, y.from, x.to);
    for (int i = 0; i <= ticks; ++i) {
        const double share = static_cast<double>(i) / ticks;
        const double vx = x.low + share * (x.high - x.low);
        const double vy = y.low + share * (y.high - y.low);
        absl::StrAppendFormat(&svg,
                              "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"middle\">%.2f</text>\n",
                              x.pixel(vx), y.from + 18, vx);
        absl::StrAppendFormat(&svg, "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"end\">%.3f</text>\n",
                              x.from - 6, y.pixel(vy) + 4, vy);
    }
    absl::StrAppendFormat(&svg,
                          "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"middle\">skew p99 (highest "
                          "load over mean)</text>\n",
                          (x.from + x.to) / 2, y.from + 40);
    absl::StrAppendFormat(&svg,
                          "<text x=\"%.1f\" y=\"%.1f\">cache reuse of returning chats"
                          "</text>\n",
                          x.from - 50, y.to - 14);
    return svg;
}

} // namespace

std::string formatTable(const std::vector<ReportFile> &reports)
{
    int width = minColumnWidth;
    for (const ReportFile &report : reports)
        width = std::max(width, static_cast<int>(columnTitle(report).size()) + 2);
    std::string table = absl::StrFormat("%-*s", titleWidth, "");
    for (const ReportFile &report : reports)
        absl::StrAppendFormat(&table, "%*s", width, columnTitle(report));
    table += '\n';
    for (const TableRow &row : rows) {
        if (row.path.empty()) {
            table += std::string(row.title) + "\n";
            continue;
        }
        absl::StrAppendFormat(&table, "  %-*s", titleWidth - 2, std::string(row.title));
        for (const ReportFile &report : reports)
            absl::StrAppendFormat(&table, "%*s", width, cell(report.figure(std::string(row.path))));
        table += '\n';
    }
    const std::vector<std::string> paths = unstreamedPaths(reports);
    if (!paths.empty())
        table += "unstreamed calls, ms\n";
    for (const std::string &path : paths) {
        absl::StrAppendFormat(&table, "  %-*s", titleWidth - 2,
                              path.substr(unstreamedPrefix.size()));
        for (const ReportFile &report : reports)
            absl::StrAppendFormat(&table, "%*s", width, cell(report.figure(path)));
        table += '\n';
    }
    return table;
}

std::string plotReuseAgainstSkew(const std::vector<ReportFile> &reports)
{
    constexpr double width = 640;
    constexpr double height = 420;
    constexpr double left = 70;
    constexpr double margin = 60;
    std::string svg =
        absl::StrFormat("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%.0f\" height=\"%.0f\" "
                        "font-family=\"sans-serif\" font-size=\"12\">\n"
                        "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n",
                        width, height);
    std::vector<double> skews;
    std::vector<double> ratios;
    std::vector<std::string> titles;
    for (const ReportFile &report : reports) {
        const auto skew = report.figure("skew.max_over_mean_p99");
        const auto ratio = report.figure("cache_reuse.ratio");
        if (!skew || !ratio)
            continue;
        skews.push_back(*skew);
        ratios.push_back(*ratio);
        titles.push_back(columnTitle(report));
    }
    if (!skews.empty()) {
        const Axis x = axisOver(skews, left, width - margin);
        const Axis y = axisOver(ratios, height - margin, margin);
        svg += drawAxes(x, y);
        for (std::size_t i = 0; i < skews.size(); ++i) {
            absl::StrAppendFormat(&svg,
                                  "<circle cx=\"%.1f\" cy=\"%.1f\" r=\"5\" fill=\"#1f6fb2\"/>\n"
                                  "<text x=\"%.1f\" y=\"%.1f\">%s</text>\n",
                                  x.pixel(skews[i]), y.pixel(ratios[i]), x.pixel(skews[i]) + 8,
                                  y.pixel(ratios[i]) - 6, escaped(titles[i]));
        }
    }
    return svg + "</svg>\n";
}

} // namespace Lagoonbank::Experiment
