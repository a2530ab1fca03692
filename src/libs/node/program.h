#pragma once

#include "logging/logging.h"
#include "runtime/loop.h"
#include "schema/generated/settings.h"
#include "schema/yamlreader.h"

#include <csignal>
#include <iostream>
#include <optional>
#include <string>
#include <string_view>

namespace Lagoonbank::Node {

// Helpers for the main functions of the router and controller programs.

/// Exit status if a program fails at run time.
constexpr int runTimeFailure = 1;
/// Exit status if the command line or the settings are invalid.
constexpr int usageFailure = 2;

/// Configures the process's log.
void configureLog(const Schema::LogSettings &settings);

/// Prints \a errors, one per line, and returns usageFailure.
int settingsFailure(const Schema::SettingsErrors &errors);

/// Reads the settings from the YAML file \a path and configures the log accordingly. On failure,
/// prints the errors and returns nothing.
template<typename Settings>
std::optional<Settings> loadSettings(std::string_view program, const std::string &path)
{
    if (path.empty()) {
        std::cerr << program << ": --settings is missing; give a YAML file.\n";
        return std::nullopt;
    }
    const auto settings = Schema::readSettingsFile<Settings>(path);
    if (!settings) {
        std::cerr << Schema::toText(settings.error());
        return std::nullopt;
    }
    configureLog(settings.value().log);
    return settings.value();
}

/// Starts \a process. On failure, prints the error and returns false.
template<typename Process>
bool startProcess(std::string_view program, Process &process)
{
    const auto started = process.start();
    if (!started)
        std::cerr << program << ": " << started.error() << '\n';
    return static_cast<bool>(started);
}

/// Runs \a loop until \a process has stopped. SIGTERM and SIGINT stop it gracefully.
template<typename Process>
void runUntilStopped(Runtime::Loop &loop, Process &process)
{
    loop.onSignal(SIGTERM, [&process] { process.stopGracefully(); });
    loop.onSignal(SIGINT, [&process] { process.stopGracefully(); });
    loop.run();
}

} // namespace Lagoonbank::Node
