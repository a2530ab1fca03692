#pragma once

#include "operations/commandtable.h"
#include "schema/generated/settings.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Lagoonbank::Operations {

/// What the command line asks for, after the settings file has been read.
struct CommandLine
{
    const CommandRow *row = nullptr;
    Arguments arguments;
    Schema::CtlSettings settings;
    bool isJson = false;
    Base::Duration commandTimeout{}; ///< For the whole command; it is not used by --follow.
};

/// A command line, or a report that ends the program: the help, or what is wrong.
using ParsedCommandLine = std::variant<CommandLine, Report>;

/// Reads the words after the program's name.
ParsedCommandLine parseCommandLine(const std::vector<std::string> &words);

/// Names of all flags, in the order of the help.
std::vector<std::string_view> flagNames();
/// The flags that every command takes.
std::vector<std::string_view> commonFlagNames();

/// The text of `--help`.
std::string helpText();

} // namespace Lagoonbank::Operations
