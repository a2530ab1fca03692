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

/// What one run measured; an empty figure was not measured.
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
    Samples controlBytesPerSecond; ///< One sample a router.
    Samples firstTokenMs;
    Samples betweenTokensMs;
    std::map<std::string, Samples> wholeAnswerMs; ///< Of unstreamed calls, by kind.
    Samples sendDelayMs; ///< How late the bench itself sent.
    std::optional<double> decisionUsP50;
    std::optional<double> decisionUsP99;
    std::vector<std::string> notes; ///< What could not be read, and why.
};

/// The report as JSON text; figures that were not measured are null.
std::string toJson(const Report &report);

/// One report file as read back, with every number under its path such as "skew.bound".
struct ReportFile
{
    std::string file;
    std::string experiment;
    std::string policy;
    std::map<std::string, std::optional<double>> figures;

    std::optional<double> figure(const std::string &path) const;
};

/// Reads a report; an error is BadSettings with the file's name.
Errors::Result<ReportFile> readReport(const std::string &file);
/// The same of text; \a file is only named.
Errors::Result<ReportFile> readReportText(const std::string &file, const std::string &text);

/// A table for people with a column for each report.
std::string formatTable(const std::vector<ReportFile> &reports);

/// An SVG picture of cache reuse against skew with a dot for each report that has both.
std::string plotReuseAgainstSkew(const std::vector<ReportFile> &reports);

} // namespace Lagoonbank::Experiment
