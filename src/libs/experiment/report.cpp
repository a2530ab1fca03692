#include "experiment/report.h"

#include <nlohmann/json.hpp>

#include <cmath>
#include <fstream>
#include <sstream>

namespace Lagoonbank::Experiment {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::size_t maxReportedFindings = 20;

/// Rounds to four decimal places for readability; the measurements are less precise than that.
Json numberOrNull(std::optional<double> value)
{
    constexpr double scale = 10000;
    return value ? Json(std::round(*value * scale) / scale) : Json(nullptr);
}

Json countsToJson(const CallCounts &counts)
{
    return {{"sent", counts.sent},
            {"whole", counts.whole},
            {"refused", counts.refused},
            {"failed", counts.failed},
            {"unknown", counts.unknown}};
}

Json breachCountsToJson(const Reconciliation &reconciliation)
{
    Json json = Json::object();
    for (std::size_t i = 0; i < guaranteeCount; ++i) {
        const auto guarantee = static_cast<Guarantee>(i);
        const std::optional<std::int64_t> count = reconciliation.breachCount(guarantee);
        json[std::string(toString(guarantee))] = count ? Json(*count) : Json(nullptr);
    }
    return json;
}

Json findingsToJson(const Reconciliation &reconciliation)
{
    Json json = Json::array();
    for (const Finding &finding : reconciliation.findings) {
        if (json.size() == maxReportedFindings)
            break;
        json.push_back({{"promise", toString(finding.guarantee)},
                        {"request_id", finding.requestId},
                        {"detail", finding.detail}});
    }
    return json;
}

Json cacheReuseToJson(const CacheReuse &reuse)
{
    if (!reuse.isMeasured)
        return {{"returning", nullptr}, {"landed_on_cached", nullptr}, {"ratio", nullptr}};
    std::optional<double> ratio;
    std::optional<double> tokenRatio;
    if (reuse.returning > 0)
        ratio = static_cast<double>(reuse.landedOnCached) / static_cast<double>(reuse.returning);
    if (reuse.previousTokens > 0)
        tokenRatio =
            static_cast<double>(reuse.cachedTokens) / static_cast<double>(reuse.previousTokens);
    return {{"returning", reuse.returning},
            {"landed_on_cached", reuse.landedOnCached},
            {"ratio", numberOrNull(ratio)},
            {"token_ratio", numberOrNull(tokenRatio)}};
}

Json skewToJson(const std::optional<SkewMeter> &skew)
{
    if (!skew)
        return {{"max_over_mean_p50", nullptr},
                {"max_over_mean_p99", nullptr},
                {"max_over_mean_max", nullptr},
                {"bound", nullptr},
                {"samples", nullptr}};
    const Samples &samples = skew->samples();
    return {{"max_over_mean_p50", numberOrNull(samples.percentile(50))},
            {"max_over_mean_p99", numberOrNull(samples.percentile(99))},
            {"max_over_mean_max", numberOrNull(samples.max())},
            {"less_largest_p50", numberOrNull(skew->samplesWithoutLargest().percentile(50))},
            {"less_largest_p99", numberOrNull(skew->samplesWithoutLargest().percentile(99))},
            {"bound", skew->options().bound},
            {"samples", samples.size()},
            {"idle_samples", skew->idleSamples()},
            {"over_bound_plus_one_request", skew->samplesOverBound()},
            {"excess_requests_p50", numberOrNull(skew->excessRequests().percentile(50))},
            {"excess_requests_p99", numberOrNull(skew->excessRequests().percentile(99))},
            {"typical_work", numberOrNull(skew->options().typicalWork)}};
}

Json latencyToJson(const Report &report)
{
    return {{"first_token_p50", numberOrNull(report.firstTokenMs.percentile(50))},
            {"first_token_p95", numberOrNull(report.firstTokenMs.percentile(95))},
            {"first_token_p99", numberOrNull(report.firstTokenMs.percentile(99))},
            {"between_tokens_p95", numberOrNull(report.betweenTokensMs.percentile(95))},
            {"send_delay_p99", numberOrNull(report.sendDelayMs.percentile(99))}};
}

Json unstreamedToJson(const std::map<std::string, Samples> &kinds)
{
    Json json = Json::object();
    for (const auto &[kind, samples] : kinds)
        json[kind] = {{"whole", samples.size()},
                      {"p50", numberOrNull(samples.percentile(50))},
                      {"p95", numberOrNull(samples.percentile(95))},
                      {"p99", numberOrNull(samples.percentile(99))}};
    return json;
}

void collectFigures(const Json &json, const std::string &path, ReportFile &file)
{
    if (json.is_number()) {
        file.figures[path] = json.get<double>();
    } else if (json.is_null()) {
        file.figures[path] = std::nullopt;
    } else if (json.is_object()) {
        const std::string prefix = path.empty() ? path : path + ".";
        for (const auto &[key, value] : json.items())
            collectFigures(value, prefix + key, file);
    }
}

std::string textOf(const Json &json, const char *key)
{
    const auto found = json.find(key);
    return found != json.end() && found->is_string() ? found->get<std::string>() : std::string();
}

} // namespace

void CallCounts::add(const CallerRecord &record)
{
    ++sent;
    switch (record.outcome) {
    case CallerOutcome::Whole:
        ++whole;
        break;
    case CallerOutcome::Refused:
        ++refused;
        break;
    case CallerOutcome::Failed:
        ++failed;
        break;
    case CallerOutcome::Unknown:
        ++unknown;
        break;
    }
}

std::string toJson(const Report &report)
{
    Json workspaces = Json::object();
    for (const auto &[name, counts] : report.workspaces)
        workspaces[name] = countsToJson(counts);
    const Json json{
        {"experiment", report.experiment},
        {"policy", report.policy},
        {"seed", report.seed},
        {"seconds", report.seconds},
        {"requests", countsToJson(report.requests)},
        {"broken_promises", breachCountsToJson(report.reconciliation)},
        {"cache_reuse", cacheReuseToJson(report.cacheReuse)},
        {"skew", skewToJson(report.skew)},
        {"control_bytes_per_s",
         {{"mean_per_router", numberOrNull(report.controlBytesPerSecond.mean())},
          {"max_per_router", numberOrNull(report.controlBytesPerSecond.max())}}},
        {"latency_ms", latencyToJson(report)},
        {"decision_us",
         {{"p50", numberOrNull(report.decisionUsP50)},
          {"p99", numberOrNull(report.decisionUsP99)}}},
        {"unstreamed_ms", unstreamedToJson(report.wholeAnswerMs)},
        {"workspaces", workspaces},
        {"error_kinds", report.errorKinds},
        {"unreconciled", report.reconciliation.unreconciled},
        {"findings", findingsToJson(report.reconciliation)},
        {"notes", report.notes},
    };
    constexpr int indent = 2;
    return json.dump(indent) + "\n";
}

std::optional<double> ReportFile::figure(const std::string &path) const
{
    const auto found = figures.find(path);
    return found == figures.end() ? std::nullopt : found->second;
}

Errors::Result<ReportFile> readReportText(const std::string &file, const std::string &text)
{
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("broken_promises"))
        return Errors::makeError(Errors::ErrorKind::BadSettings, file + ":1: is no report");
    ReportFile report{file, textOf(json, "experiment"), textOf(json, "policy"), {}};
    collectFigures(json, {}, report);
    return report;
}

Errors::Result<ReportFile> readReport(const std::string &file)
{
    std::ifstream stream(file);
    if (!stream)
        return Errors::makeError(Errors::ErrorKind::BadSettings, file + ":1: cannot be read");
    std::stringstream text;
    text << stream.rdbuf();
    return readReportText(file, text.str());
}

} // namespace Lagoonbank::Experiment
