#include "operations/commandline.h"

#include "operations/texts.h"
#include "runtime/udpsocket.h"
#include "schema/yamlreader.h"

#include <absl/flags/commandlineflag.h>
#include <absl/flags/flag.h>
#include <absl/flags/reflection.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include <algorithm>

ABSL_FLAG(std::string, settings, "", "YAML file with the settings of this program.");
ABSL_FLAG(std::string, platform, "", "ip:port of the platform; overrides the settings.");
ABSL_FLAG(std::string, admin, "",
          "Comma-separated admin addresses of processes; overrides the settings.");
ABSL_FLAG(std::string, output, "text", "text for people or json for scripts.");
ABSL_FLAG(std::string, timeout, "60s", "Maximum duration of the command, such as 30s or 2m.");
ABSL_FLAG(std::string, base, "",
          "Revision the change is based on; the change is rejected if it is not "
          "the current one.");
ABSL_FLAG(std::string, record, "", "Id of a published change, as publish printed it.");
ABSL_FLAG(std::string, workspace, "", "Name of a workspace.");
ABSL_FLAG(std::string, key, "", "Idempotency key of a call.");
ABSL_FLAG(std::string, since, "", "Only events of the last 30s, 10m, 2h or 1d.");
ABSL_FLAG(std::string, endpoint, "", "Only events of this endpoint.");
ABSL_FLAG(std::string, request, "", "Only events of this request.");
ABSL_FLAG(bool, follow, false, "Keep showing new events until interrupted.");
ABSL_FLAG(std::string, format, "text", "text, json (one object per line) or html (one page).");
ABSL_FLAG(std::string, out, "", "File to write the timeline to.");

namespace Lagoonbank::Operations {

namespace {

constexpr std::string_view helpFlag = "--help";

Report usage(const std::string &what)
{
    return failure(ExitStatus::Usage, what);
}

/// The operands and the names of the flags on the command line.
struct SplitArguments
{
    std::vector<std::string> operands;
    std::vector<std::string> flags;
    std::optional<Report> earlyReport;
};

absl::CommandLineFlag *findFlag(std::string_view name)
{
    const std::vector<std::string_view> names = flagNames();
    return std::ranges::find(names, name) == names.end()
        ? nullptr
        : absl::FindCommandLineFlag({name.data(), name.size()});
}

/// Parses the flag at `index` and its value. Sets `earlyReport` and returns false if it is invalid.
bool parseFlag(const std::vector<std::string> &arguments, std::size_t &index,
               SplitArguments &splitArguments)
{
    const std::string_view text = std::string_view(arguments[index]).substr(2);
    const std::size_t equals = std::min(text.find('='), text.size());
    const std::string name(text.substr(0, equals));
    absl::CommandLineFlag *flag = findFlag(name);
    if (!flag) {
        splitArguments.earlyReport = usage("Unknown flag --" + name + "; --help lists them.");
        return false;
    }
    std::string value = "true";
    if (equals < text.size()) {
        value = text.substr(equals + 1);
    } else if (!flag->IsOfType<bool>()) {
        if (++index >= arguments.size()) {
            splitArguments.earlyReport = usage("--" + name + " needs a value: " + flag->Help());
            return false;
        }
        value = arguments[index];
    }
    std::string error;
    if (!flag->ParseFrom(value, &error)) {
        splitArguments.earlyReport = usage("--" + name + ": " + error + " " + flag->Help());
        return false;
    }
    splitArguments.flags.push_back(name);
    return true;
}

SplitArguments split(const std::vector<std::string> &arguments)
{
    SplitArguments splitArguments;
    for (std::size_t i = 0; i < arguments.size(); ++i) {
        if (arguments[i] == helpFlag) {
            splitArguments.earlyReport = Report{.text = helpText()};
            return splitArguments;
        }
        if (!arguments[i].starts_with("--"))
            splitArguments.operands.push_back(arguments[i]);
        else if (!parseFlag(arguments, i, splitArguments))
            return splitArguments;
    }
    return splitArguments;
}

std::optional<Report> checkFlags(const CommandRow &row, const std::vector<std::string> &givenFlags)
{
    const std::vector<std::string_view> common = commonFlagNames();
    for (const std::string &name : givenFlags) {
        const bool isAccepted = std::ranges::find(common, name) != common.end()
            || std::ranges::find(row.flags, name) != row.flags.end();
        if (!isAccepted) {
            return usage(absl::StrCat("'", std::string(row.name), "' does not accept --", name,
                                      "; --help lists the flags of each command."));
        }
    }
    return std::nullopt;
}

std::optional<Report> readSettings(Schema::CtlSettings &settings)
{
    const std::string file = absl::GetFlag(FLAGS_settings);
    if (!file.empty()) {
        auto read = Schema::readSettingsFile<Schema::CtlSettings>(file);
        if (!read)
            return fileFailure(read.error());
        settings = std::move(read.value());
    }
    if (const std::string platform = absl::GetFlag(FLAGS_platform); !platform.empty())
        settings.platformAddress = platform;
    if (const std::string admin = absl::GetFlag(FLAGS_admin); !admin.empty())
        settings.adminAddresses = absl::StrSplit(admin, ',', absl::SkipEmpty());
    std::vector<std::string> addresses = settings.adminAddresses;
    if (!settings.platformAddress.empty())
        addresses.push_back(settings.platformAddress);
    for (const std::string &address : addresses) {
        const auto parsed = Runtime::parseSocketAddress(address);
        if (!parsed) {
            return usage("'" + address + "' is not an address: " + parsed.error().detail
                         + " Give ip:port.");
        }
    }
    return std::nullopt;
}

Arguments readArguments(std::vector<std::string> operands)
{
    return {.operands = std::move(operands),
            .record = absl::GetFlag(FLAGS_record),
            .baseRevision = absl::GetFlag(FLAGS_base),
            .workspace = absl::GetFlag(FLAGS_workspace),
            .key = absl::GetFlag(FLAGS_key),
            .endpoint = absl::GetFlag(FLAGS_endpoint),
            .request = absl::GetFlag(FLAGS_request),
            .since = absl::GetFlag(FLAGS_since),
            .format = absl::GetFlag(FLAGS_format),
            .outputFile = absl::GetFlag(FLAGS_out),
            .follows = absl::GetFlag(FLAGS_follow)};
}

std::string flagsText(const CommandRow &row)
{
    return absl::StrJoin(row.flags, " ", [](std::string *out, std::string_view flag) {
        out->append("--").append(flag);
    });
}

} // namespace

std::vector<std::string_view> commonFlagNames()
{
    return {"settings", "platform", "admin", "output", "timeout"};
}

std::vector<std::string_view> flagNames()
{
    std::vector<std::string_view> names = commonFlagNames();
    for (const CommandRow &row : commandTable()) {
        for (const std::string_view flag : row.flags) {
            if (std::ranges::find(names, flag) == names.end())
                names.push_back(flag);
        }
    }
    return names;
}

std::string helpText()
{
    std::string text = "Publishes configuration and reports the outcomes of requests.\n\n"
                       "  lagoonbank-ctl COMMAND [ARGUMENTS] [FLAGS]\n\nCommands:\n";
    for (const CommandRow &row : commandTable()) {
        const std::string synopsis =
            absl::StrCat(std::string(row.name), " ", std::string(row.operandSynopsis));
        absl::StrAppendFormat(&text, "  %-26s %s\n", synopsis, std::string(row.summary));
        if (!row.flags.empty())
            absl::StrAppendFormat(&text, "  %-26s   accepts %s\n", "", flagsText(row));
    }
    text += "\nFlags:\n";
    for (const std::string_view name : flagNames()) {
        absl::StrAppendFormat(&text, "  --%-12s %s\n", std::string(name), findFlag(name)->Help());
    }
    text +=
        "\nExit statuses: 0 ok, 1 failed or unreachable, 2 invalid command line or file, 3 change "
        "rejected,\n4 outcome of a change unknown, 5 not found.\n";
    return text;
}

ParsedCommandLine parseCommandLine(const std::vector<std::string> &words)
{
    SplitArguments splitArguments = split(words);
    if (splitArguments.earlyReport)
        return *splitArguments.earlyReport;
    ChosenCommand chosen = chooseCommand(splitArguments.operands);
    if (!chosen.row)
        return chosen.error;
    if (std::optional<Report> error = checkFlags(*chosen.row, splitArguments.flags))
        return *error;
    CommandLine parsed{.row = chosen.row, .arguments = readArguments(std::move(chosen.operands))};
    if (std::optional<Report> error = readSettings(parsed.settings))
        return *error;
    const std::string output = absl::GetFlag(FLAGS_output);
    if (output != "text" && output != "json")
        return usage("--output takes text or json.");
    parsed.isJson = output == "json";
    const auto commandTimeout = parsePeriod(absl::GetFlag(FLAGS_timeout));
    if (!commandTimeout)
        return usage("--timeout takes a number with s, m, h or d, such as 30s.");
    parsed.commandTimeout = *commandTimeout;
    return parsed;
}

} // namespace Lagoonbank::Operations
