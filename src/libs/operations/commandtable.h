#pragma once

#include "operations/command.h"

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Lagoonbank::Operations {

/// The operands of a command and the values of the flags that only some commands accept.
struct Arguments
{
    std::vector<std::string> operands; ///< Without the command's name.
    std::string record;
    std::string baseRevision;
    std::string workspace;
    std::string key;
    std::string endpoint;
    std::string request;
    std::string since;
    std::string format = "text";
    std::string outputFile;
    bool follows = false;
};

/// A command that is ready to start, or a report of what is wrong with its arguments.
using CommandOrError = std::variant<std::unique_ptr<Command>, Report>;

/// One command of the program.
struct CommandRow
{
    std::string_view name; ///< One word or two.
    std::string_view operandSynopsis; ///< For the help, such as `KIND NAME`.
    std::string_view summary;
    std::vector<std::string_view> flags; ///< Accepted in addition to the common flags.
    std::size_t minOperands = 0;
    std::size_t maxOperands = 0;
    bool needsLog = false;
    std::function<CommandOrError(const Context &context, const Arguments &arguments)> make;
};

std::span<const CommandRow> commandTable();

/// The chosen command and its operands, or a usage report.
struct ChosenCommand
{
    const CommandRow *row = nullptr;
    std::vector<std::string> operands;
    Report error; ///< Set if there is no row.
};
ChosenCommand chooseCommand(const std::vector<std::string> &words);

/// Creates the command after checking the number of operands and whether it needs the log.
CommandOrError makeCommand(const CommandRow &row, const Context &context,
                           const Arguments &arguments);

/// Parses a period such as `10s`, `5m`, `2h` or `1d`.
std::optional<Base::Duration> parsePeriod(std::string_view text);

} // namespace Lagoonbank::Operations
