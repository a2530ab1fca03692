/// \file Puts a running fleet under the load of an experiment and reports the measurements.

#include "experiment/definitionreader.h"
#include "experiment/report.h"
#include "runner.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdint>
#include <fstream>
#include <iostream>
#include <string>
#include <unistd.h>
#include <vector>

ABSL_FLAG(std::string, report, "", "File for the report (run) or the plot (plot).");
ABSL_FLAG(std::string, policy, "", "Name of the routing policy for the report.");
ABSL_FLAG(std::int64_t, seed, -1, "Overrides the seed of the experiment; -1 keeps it.");
ABSL_FLAG(double, seconds, 0, "Overrides the length of the experiment; 0 keeps it.");
ABSL_FLAG(int, net, 0, "Overrides the second octet of all addresses; 0 keeps it.");
ABSL_FLAG(std::string, marks, "",
          "File for the marks: a JSON line for each event of the time line.");
ABSL_FLAG(std::string, acceptances, "",
          "File in which a script records when drains were accepted.");

namespace {

using namespace Lagoonbank;

constexpr int exitRunTime = 1;
constexpr int exitUsage = 2;
constexpr std::string_view logPrefix = "lagoonbank-bench: ";
constexpr const char *usage =
    "Puts a running lagoonbank fleet under load and reports the results.\n"
    "  lagoonbank-bench run EXPERIMENT.yaml [--report OUT.json]\n"
    "  lagoonbank-bench compare REPORT.json...\n"
    "  lagoonbank-bench plot REPORT.json... --report OUT.svg\n";

int fail(int status, const std::string &text)
{
    std::cerr << logPrefix << text << '\n';
    return status;
}

bool writeFile(const std::string &file, const std::string &text)
{
    std::ofstream stream(file, std::ios::trunc);
    stream << text;
    stream.close();
    return !stream.fail();
}

Experiment::ReadOptions readOptions(const std::string &file)
{
    Experiment::ReadOptions options{.file = file};
    if (absl::GetFlag(FLAGS_seed) >= 0)
        options.seed = static_cast<std::uint64_t>(absl::GetFlag(FLAGS_seed));
    if (absl::GetFlag(FLAGS_seconds) > 0)
        options.seconds = absl::GetFlag(FLAGS_seconds);
    if (absl::GetFlag(FLAGS_net) > 0)
        options.net = absl::GetFlag(FLAGS_net);
    return options;
}

int runExperiment(const std::vector<std::string> &files)
{
    if (files.size() != 1)
        return fail(exitUsage, "'run' takes one experiment file.");
    auto definition = Experiment::readDefinition(readOptions(files.front()));
    if (!definition)
        return fail(exitUsage, definition.error().detail);
    if (!absl::GetFlag(FLAGS_policy).empty())
        definition.value().policy = absl::GetFlag(FLAGS_policy);

    Bench::Runner runner({.definition = std::move(definition.value()),
                          .marksFile = absl::GetFlag(FLAGS_marks),
                          .acceptancesFile = absl::GetFlag(FLAGS_acceptances),
                          .showProgress = ::isatty(STDERR_FILENO) != 0});
    const auto report = runner.run();
    if (!report)
        return fail(exitRunTime, report.error().detail);
    const std::string json = Experiment::toJson(report.value());
    const std::string file = absl::GetFlag(FLAGS_report);
    if (!file.empty() && !writeFile(file, json))
        return fail(exitRunTime, "cannot write '" + file + "'.");
    const auto written = Experiment::readReportText(report.value().experiment, json);
    std::cout << Experiment::formatTable({written.value()});
    for (const std::string &note : report.value().notes)
        std::cout << "note: " << note << '\n';
    return 0;
}

int viewReports(const std::vector<std::string> &files, bool asPlot)
{
    if (files.empty())
        return fail(exitUsage, "at least one report file is needed.");
    std::vector<Experiment::ReportFile> reports;
    for (const std::string &file : files) {
        auto report = Experiment::readReport(file);
        if (!report)
            return fail(exitUsage, report.error().detail);
        reports.push_back(std::move(report.value()));
    }
    if (!asPlot) {
        std::cout << Experiment::formatTable(reports);
        return 0;
    }
    const std::string file = absl::GetFlag(FLAGS_report);
    if (file.empty())
        return fail(exitUsage, "'plot' needs --report OUT.svg.");
    if (!writeFile(file, Experiment::plotReuseAgainstSkew(reports)))
        return fail(exitRunTime, "cannot write '" + file + "'.");
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage(usage);
    const std::vector<char *> arguments = absl::ParseCommandLine(argc, argv);
    if (arguments.size() < 2)
        return fail(exitUsage, usage);
    const std::string command = arguments[1];
    const std::vector<std::string> files(arguments.begin() + 2, arguments.end());
    if (command == "run")
        return runExperiment(files);
    if (command == "compare")
        return viewReports(files, false);
    if (command == "plot")
        return viewReports(files, true);
    return fail(exitUsage, "unknown command '" + command + "'.\n" + usage);
}
