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

// What the main functions of the fleet's programs have in common.

/// Exit status if a program cannot do its work.
constexpr int runTimeFailure = 1;
/// Exit status if its command line or settings are wrong.
constexpr int usageFailure = 2;

/// Sets up the log of this process.
void configureLog(const Schema::LogSettings &settings);

/// Prints \a errors, one a line; gives usageFailure.
int settingsFailure(const Schema::SettingsErrors &errors);

/// Reads the settings from the YAML file \a path and sets up the log as they say; nothing after
/// printing what is wrong.
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

/// Starts \a process; false after printing why it could not.
template<typename Process>
bool startProcess(std::string_view program, Process &process)
{
    const auto started = process.start();
    if (!started)
        std::cerr << program << ": " << started.error() << '\n';
    return static_cast<bool>(started);
}

/// Runs \a loop; SIGTERM and SIGINT let \a process stop gracefully, which ends the loop.
template<typename Process>
void runUntilStopped(Runtime::Loop &loop, Process &process)
{
    loop.onSignal(SIGTERM, [&process] { process.stopGracefully(); });
    loop.onSignal(SIGINT, [&process] { process.stopGracefully(); });
    loop.run();
}

} // namespace Lagoonbank::Node
