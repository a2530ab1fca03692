/// \file Command-line tool for operators and support engineers; runs one command and exits.

#include "http/client.h"
#include "operations/commandline.h"
#include "platformclient/logclient.h"
#include "runtime/loop.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <iostream>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

using namespace Lagoonbank;

namespace {

/// Longest time spent on reading back an append whose answer was lost, before it is retried.
constexpr Base::Duration maxReadBackTimeout = std::chrono::seconds(1);
constexpr int readBackTimeoutDivisor = 4;

/// A unique id of this run of the tool, made of the current time and a random number.
std::string makeInvocation(const Runtime::Clock &clock)
{
    std::random_device random;
    return absl::StrCat(absl::Hex(Base::toMilliseconds(clock.wallNow().time_since_epoch())), "-",
                        absl::Hex(random(), absl::kZeroPad8));
}

int print(const Operations::Report &report, bool isJson)
{
    if (isJson) {
        std::cout << Operations::toJsonText(report);
    } else {
        std::cout << report.text;
        std::cout.flush();
        std::cerr << report.errors;
    }
    return static_cast<int>(report.status);
}

/// Transport that sends each call to the server named in it.
PlatformClient::Transport directTransport(Http::Client &client)
{
    return {.start =
                [&client](Http::Call call, PlatformClient::Transport::Finished finished) {
                    return client.start(std::move(call), {.finished = std::move(finished)});
                },
            .cancel = [&client](Http::CallId call) { client.cancel(call); }};
}

/// Runs the command on an event loop until it returns its report.
Operations::Report run(const Operations::CommandLine &line)
{
    Runtime::Loop loop;
    Http::Client client({.loop = &loop});
    const Base::Duration timeout = line.settings.timeout;
    Operations::Context context{
        .timers = &loop.timers(),
        .admin = directTransport(client),
        .operatorName = line.settings.operatorName,
        .invocation = makeInvocation(loop.clock()),
        .timeout = timeout,
        .print = [](const std::string &text) { std::cout << text << std::flush; }};
    std::unique_ptr<PlatformClient::LogClient> log;
    if (!line.settings.platformAddress.empty()) {
        context.platform = PlatformClient::httpTransport(
            {.client = &client,
             .server = Runtime::parseSocketAddress(line.settings.platformAddress).value()});
        log = std::make_unique<PlatformClient::LogClient>(PlatformClient::LogClient::Options{
            .transport = context.platform,
            .timers = &loop.timers(),
            .appendTimeout = timeout,
            .readBackTimeout = std::min(maxReadBackTimeout, timeout / readBackTimeoutDivisor),
            .readTimeout = timeout});
        context.log = log.get();
    }
    for (const std::string &address : line.settings.adminAddresses)
        context.admins.push_back(Runtime::parseSocketAddress(address).value());

    Operations::CommandOrError commandOrError =
        Operations::makeCommand(*line.row, context, line.arguments);
    if (const auto *error = std::get_if<Operations::Report>(&commandOrError))
        return *error;
    const auto &command = std::get<std::unique_ptr<Operations::Command>>(commandOrError);
    std::optional<Operations::Report> report;
    const auto end = [&](Operations::Report result) {
        if (!report)
            report = std::move(result);
        loop.stop();
    };
    const bool follows = line.arguments.follows;
    loop.onSignal(SIGINT,
                  [&] { end(follows ? Operations::Report() : command->interruptedReport()); });
    loop.onSignal(SIGTERM,
                  [&] { end(follows ? Operations::Report() : command->interruptedReport()); });
    if (!follows)
        loop.timers().start(line.commandTimeout, [&] { end(command->interruptedReport()); });
    loop.post([&] { command->start(end); });
    loop.run();
    return *report;
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const Operations::ParsedCommandLine parsed = Operations::parseCommandLine(arguments);
    if (const auto *result = std::get_if<Operations::Report>(&parsed))
        return print(*result, false);
    const auto &line = std::get<Operations::CommandLine>(parsed);
    return print(run(line), line.isJson);
}
