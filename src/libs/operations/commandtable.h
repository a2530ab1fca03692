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

/// What follows the command's name, with the flags that only some commands take.
struct Arguments
{
    std::vector<std::string> operands; ///< Without the command's name.
    std::string record;
    std::string base;
    std::string workspace;
    std::string key;
    std::string endpoint;
    std::string request;
    std::string since;
    std::string format = "text";
    std::string out;
    bool follows = false;
};

/// A command that is ready to start, or why the arguments do not fit.
using CommandOrError = std::variant<std::unique_ptr<Command>, Report>;

/// One command of the program.
struct CommandRow
{
    std::string_view name; ///< One word or two.
    std::string_view operandSynopsis; ///< What follows it, for the help.
    std::string_view summary;
    std::vector<std::string_view> flags; ///< That it takes beside those of all commands.
    std::size_t minOperands = 0;
    std::size_t maxOperands = 0;
    bool needsLog = false;
    std::function<CommandOrError(const Context &context, const Arguments &arguments)> make;
};

std::span<const CommandRow> commandTable();

/// The command that the words name, without its own words, or a usage report.
struct ChosenCommand
{
    const CommandRow *row = nullptr;
    std::vector<std::string> operands;
    Report error; ///< If there is no row.
};
ChosenCommand chooseCommand(const std::vector<std::string> &words);

/// Makes the command after checking what it needs.
CommandOrError makeCommand(const CommandRow &row, const Context &context,
                           const Arguments &arguments);

/// `10s`, `5m`, `2h` or `1d`.
std::optional<Base::Duration> parsePeriod(std::string_view text);

} // namespace Lagoonbank::Operations
