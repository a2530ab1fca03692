#pragma once

#include "http/server.h"
#include "runtime/loop.h"

#include <functional>
#include <string>
#include <string_view>

namespace Lagoonbank::Standins {

/// Parameters of runStandin().
struct StandinProcess
{
    std::string program; ///< Program name; prefix of its output lines.
    std::string listen; ///< Address "ip:port"; port 0 picks a free port.
    Runtime::Loop *loop = nullptr;
    Http::Server::Handler handler;
    std::function<void()> startDraining; ///< Called on SIGTERM or SIGINT to refuse new work.
    std::function<bool()> isIdle; ///< Whether no request is in flight.
};

/// Serves until SIGTERM or SIGINT, finishes the requests in flight and returns the exit status.
int runStandin(const StandinProcess &process);
/// Prints a command line error and returns the exit status for it.
int reportUsageError(std::string_view program, std::string_view message);

} // namespace Lagoonbank::Standins
