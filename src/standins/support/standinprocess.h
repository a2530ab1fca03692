#pragma once

#include "http/server.h"
#include "runtime/loop.h"

#include <functional>
#include <string>
#include <string_view>

namespace Lagoonbank::Standins {

/// What the main function of a stand-in hands to runStandin().
struct StandinProcess
{
    std::string program; ///< Begins the lines on standard output.
    std::string listen; ///< "ip:port"; port 0 takes a free one.
    Runtime::Loop *loop = nullptr;
    Http::Server::Handler handler;
    std::function<void()> draining; ///< The process was told to end: take no new work.
    std::function<bool()> isIdle; ///< Nothing in flight.
};

/// Serves until SIGTERM or SIGINT, finishes what is in flight and returns the exit status.
int runStandin(const StandinProcess &process);
/// Says what is wrong with the command line and returns the exit status for it.
int usageError(std::string_view program, std::string_view what);

} // namespace Lagoonbank::Standins
