#include "operations/commandtable.h"

#include "base/parsenumber.h"
#include "operations/checkcommand.h"
#include "operations/diffcommand.h"
#include "operations/endpointcommands.h"
#include "operations/historycommand.h"
#include "operations/publishcommand.h"
#include "operations/recordcommand.h"
#include "operations/removecommand.h"
#include "operations/requestcommand.h"
#include "operations/showcommand.h"
#include "operations/statuscommand.h"
#include "operations/texts.h"
#include "operations/timelinecommand.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <chrono>
#include <limits>

namespace Lagoonbank::Operations {

namespace {

constexpr std::size_t anyNumber = std::numeric_limits<std::size_t>::max();

Report usage(const std::string &what)
{
    return failure(ExitStatus::Usage, what);
}

CommandOrError
withBaseRevision(const Arguments &arguments,
                 const std::function<CommandOrError(std::optional<Base::Revision>)> &make)
{
    if (arguments.baseRevision.empty())
        return make(std::nullopt);
    const auto number = Base::parseNumber<std::uint64_t>(arguments.baseRevision);
    if (!number)
        return usage("--base takes the number of a revision, as `show` prints it.");
    return make(Base::Revision(*number));
}

CommandOrError makeCheck(const Context & /*context*/, const Arguments &arguments)
{
    return std::make_unique<CheckCommand>(arguments.operands);
}

CommandOrError makeDiff(const Context &context, const Arguments &arguments)
{
    return std::make_unique<DiffCommand>(context, arguments.operands);
}

CommandOrError makePublish(const Context &context, const Arguments &arguments)
{
    return withBaseRevision(
        arguments, [&](std::optional<Base::Revision> baseRevision) -> CommandOrError {
            return std::make_unique<PublishCommand>(
                context,
                PublishCommand::Options{.paths = arguments.operands, .baseRevision = baseRevision});
        });
}

CommandOrError makeRemove(const Context &context, const Arguments &arguments)
{
    const auto key = parseObjectKey(arguments.operands[0], arguments.operands[1]);
    if (!key)
        return unknownKind(arguments.operands[0]);
    return withBaseRevision(arguments,
                            [&](std::optional<Base::Revision> baseRevision) -> CommandOrError {
                                return std::make_unique<RemoveCommand>(context, *key, baseRevision);
                            });
}

CommandOrError makeHistory(const Context &context, const Arguments &arguments)
{
    if (arguments.operands.empty())
        return std::make_unique<HistoryCommand>(context, std::nullopt);
    if (arguments.operands.size() == 1)
        return usage("'history' takes either KIND and NAME or no arguments.");
    const auto key = parseObjectKey(arguments.operands[0], arguments.operands[1]);
    if (!key)
        return unknownKind(arguments.operands[0]);
    return std::make_unique<HistoryCommand>(context, key);
}

CommandOrError makeShow(const Context &context, const Arguments &arguments)
{
    ShowCommand::Options options;
    if (!arguments.operands.empty()) {
        options.kind = Schema::enumFromName<Schema::ObjectKind>(arguments.operands[0]);
        if (!options.kind)
            return unknownKind(arguments.operands[0]);
    }
    if (arguments.operands.size() > 1)
        options.name = arguments.operands[1];
    return std::make_unique<ShowCommand>(context, options);
}

CommandOrError makeEndpointAdd(const Context &context, const Arguments &arguments)
{
    return std::make_unique<EndpointAddCommand>(context, arguments.operands[0]);
}

CommandOrError makeEndpointDrain(const Context &context, const Arguments &arguments)
{
    return std::make_unique<EndpointStateCommand>(context, arguments.operands[0],
                                                  Schema::EndpointState::Draining);
}

CommandOrError makeEndpointUndrain(const Context &context, const Arguments &arguments)
{
    return std::make_unique<EndpointStateCommand>(context, arguments.operands[0],
                                                  Schema::EndpointState::Active);
}

CommandOrError makeStatus(const Context &context, const Arguments &arguments)
{
    if (arguments.record.empty())
        return std::make_unique<StatusCommand>(context);
    if (!context.log)
        return usage("'status --record' needs --platform or platform_address in the settings.");
    return std::make_unique<RecordCommand>(context, arguments.record);
}

CommandOrError makeRequest(const Context &context, const Arguments &arguments)
{
    const bool hasKey = !arguments.workspace.empty() && !arguments.key.empty();
    if (arguments.operands.empty() != hasKey)
        return usage("'request' takes a request id, or --workspace and --key.");
    RequestQuery query;
    if (hasKey) {
        query.workspace = Base::WorkspaceId(arguments.workspace);
        query.key = Base::IdempotencyKey(arguments.key);
    } else {
        query.request = Base::RequestId(arguments.operands[0]);
    }
    return std::make_unique<RequestCommand>(context, query);
}

CommandOrError makeTimeline(const Context &context, const Arguments &arguments)
{
    TimelineCommand::Options options{.query = {.workspace = arguments.workspace,
                                               .endpoint = arguments.endpoint,
                                               .request = arguments.request},
                                     .file = arguments.outputFile,
                                     .follows = arguments.follows};
    const auto format = timelineFormat(arguments.format);
    if (!format)
        return usage("--format takes text, json or html.");
    options.format = *format;
    if (!arguments.since.empty()) {
        options.query.since = parsePeriod(arguments.since);
        if (!options.query.since)
            return usage("--since takes a number with s, m, h or d, such as 10m.");
    }
    const bool isPage = options.format == TimelineFormat::Html;
    if (options.follows && (isPage || !options.file.empty()))
        return usage(
            "--follow prints text or json to the standard output and cannot be combined with "
            "--out.");
    return std::make_unique<TimelineCommand>(context, options);
}

const std::vector<CommandRow> &rows()
{
    static const std::vector<CommandRow> rows{
        {"check",
         "PATH...",
         "Check files of configuration objects, without the platform.",
         {},
         1,
         anyNumber,
         false,
         makeCheck},
        {"diff",
         "PATH...",
         "Show what publishing the files would change.",
         {},
         1,
         anyNumber,
         true,
         makeDiff},
        {"publish",
         "PATH...",
         "Publish the objects in the files; unchanged objects are skipped.",
         {"base"},
         1,
         anyNumber,
         true,
         makePublish},
        {"remove", "KIND NAME", "Remove an object.", {"base"}, 2, 2, true, makeRemove},
        {"history",
         "[KIND NAME]",
         "List the changes and their outcomes.",
         {},
         0,
         2,
         true,
         makeHistory},
        {"show",
         "[KIND [NAME]]",
         "Show an object as YAML, or list the objects.",
         {},
         0,
         2,
         true,
         makeShow},
        {"endpoint add", "FILE", "Publish new endpoints.", {}, 1, 1, true, makeEndpointAdd},
        {"endpoint drain",
         "NAME",
         "Send no new requests to an endpoint; running requests finish.",
         {},
         1,
         1,
         true,
         makeEndpointDrain},
        {"endpoint undrain",
         "NAME",
         "Send requests to an endpoint again.",
         {},
         1,
         1,
         true,
         makeEndpointUndrain},
        {"status",
         "",
         "Show the state of each process, or the outcome of one change.",
         {"record"},
         0,
         0,
         false,
         makeStatus},
        {"request",
         "[ID]",
         "Show the outcome of a request.",
         {"workspace", "key"},
         0,
         1,
         false,
         makeRequest},
        {"timeline",
         "",
         "Show the events of all processes in causal order.",
         {"since", "workspace", "endpoint", "request", "follow", "format", "out"},
         0,
         0,
         false,
         makeTimeline},
    };
    return rows;
}

std::string listOfNames()
{
    return absl::StrJoin(rows(), ", ",
                         [](std::string *out, const CommandRow &row) { out->append(row.name); });
}

} // namespace

std::span<const CommandRow> commandTable()
{
    return rows();
}

ChosenCommand chooseCommand(const std::vector<std::string> &words)
{
    for (const CommandRow &row : rows()) {
        const std::size_t length = row.name.find(' ') == std::string_view::npos ? 1 : 2;
        if (words.size() < length)
            continue;
        if (absl::StrJoin(words.begin(), words.begin() + static_cast<int>(length), " ") == row.name)
            return {.row = &row,
                    .operands = {words.begin() + static_cast<int>(length), words.end()}};
    }
    const std::string what =
        words.empty() ? "No command is given" : "Unknown command '" + words[0] + "'";
    return {.error = usage(what + "; give one of " + listOfNames() + ". See --help.")};
}

CommandOrError makeCommand(const CommandRow &row, const Context &context,
                           const Arguments &arguments)
{
    const std::size_t count = arguments.operands.size();
    if (count < row.minOperands || count > row.maxOperands) {
        return usage(absl::StrCat("'", std::string(row.name), "' takes ",
                                  row.operandSynopsis.empty() ? "no arguments"
                                                              : std::string(row.operandSynopsis),
                                  ". See --help."));
    }
    if (row.needsLog && !context.log) {
        return usage(absl::StrCat("'", std::string(row.name),
                                  "' needs --platform or platform_address in the settings."));
    }
    return row.make(context, arguments);
}

std::optional<Base::Duration> parsePeriod(std::string_view text)
{
    if (text.empty())
        return std::nullopt;
    constexpr int maxDays = 36500;
    const auto number = Base::parseNumber<std::uint32_t>(text.substr(0, text.size() - 1));
    if (!number)
        return std::nullopt;
    const auto as = [&](std::chrono::seconds unit) -> std::optional<Base::Duration> {
        const std::chrono::seconds period = unit * static_cast<std::int64_t>(*number);
        if (period > std::chrono::hours(24) * maxDays)
            return std::nullopt;
        return period;
    };
    switch (text.back()) {
    case 's':
        return as(std::chrono::seconds(1));
    case 'm':
        return as(std::chrono::minutes(1));
    case 'h':
        return as(std::chrono::hours(1));
    case 'd':
        return as(std::chrono::hours(24));
    default:
        return std::nullopt;
    }
}

} // namespace Lagoonbank::Operations
