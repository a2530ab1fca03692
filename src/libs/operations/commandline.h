#pragma once

#include "operations/commandtable.h"
#include "schema/generated/settings.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Lagoonbank::Operations {

/// The parsed command line together with the settings file.
struct CommandLine
{
    const CommandRow *row = nullptr;
    Arguments arguments;
    Schema::CtlSettings settings;
    bool isJson = false;
    Base::Duration commandTimeout{}; ///< For the entire command; unused with --follow.
};

/// A command line, or a report that ends the program: the help or an error.
using ParsedCommandLine = std::variant<CommandLine, Report>;

/// Parses the arguments after the program's name.
ParsedCommandLine parseCommandLine(const std::vector<std::string> &words);

/// The names of all flags, in the order of the help.
std::vector<std::string_view> flagNames();
/// The names of the flags that every command accepts.
std::vector<std::string_view> commonFlagNames();

/// The text of `--help`.
std::string helpText();

} // namespace Lagoonbank::Operations
