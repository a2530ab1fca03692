#pragma once

#include "errors/result.h"
#include "experiment/reconciliation.h"
#include "experiment/statistics.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Lagoonbank::Experiment {

struct CallCounts
{
    std::int64_t sent = 0;
    std::int64_t whole = 0;
    std::int64_t refused = 0;
    std::int64_t failed = 0;
    std::int64_t unknown = 0;

    void add(const CallerRecord &record);
};

/// Measurements of one run. Figures that were not measured are empty.
struct Report
{
    std::string experiment;
    std::string policy;
    std::uint64_t seed = 0;
    double seconds = 0;
    CallCounts requests;
    std::map<std::string, CallCounts> workspaces;
    std::map<std::string, std::int64_t> errorKinds;
    Reconciliation reconciliation;
    CacheReuse cacheReuse;
    std::optional<SkewMeter> skew;
    Samples controlBytesPerSecond; ///< One sample for each router.
    Samples firstTokenMs;
    Samples betweenTokensMs;
    std::map<std::string, Samples> wholeAnswerMs; ///< Calls without streaming, by kind of call.
    Samples sendDelayMs; ///< Delay between the planned and the actual sending of calls.
    std::optional<double> decisionUsP50;
    std::optional<double> decisionUsP99;
    std::vector<std::string> notes; ///< Problems, such as data that could not be read.
};

/// The report as JSON. Figures that were not measured are null.
std::string toJson(const Report &report);

/// A report file, with each number under its path, such as "skew.bound".
struct ReportFile
{
    std::string file;
    std::string experiment;
    std::string policy;
    std::map<std::string, std::optional<double>> figures;

    std::optional<double> figure(const std::string &path) const;
};

/// Reads a report. Errors are of the kind BadSettings and name the file.
Errors::Result<ReportFile> readReport(const std::string &file);
/// Reads a report from \a text; \a file is only used for the column title and in errors.
Errors::Result<ReportFile> readReportText(const std::string &file, const std::string &text);

/// A plain-text table with a column for each report.
std::string formatTable(const std::vector<ReportFile> &reports);

/// An SVG plot of cache reuse against skew, with a dot for each report that has both.
std::string plotReuseAgainstSkew(const std::vector<ReportFile> &reports);

} // namespace Lagoonbank::Experiment
