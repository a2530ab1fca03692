// The service stand-in: a plain service whose calls may not be repeated, with a ledger of its runs.

#include "runtime/loop.h"
#include "standins/service/serviceapi.h"
#include "standins/support/standinprocess.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <chrono>
#include <string>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "Address \"ip:port\"; port 0 takes a free one");
ABSL_FLAG(std::string, name, "service", "Name in the ledger");
ABSL_FLAG(double, work_ms, 5, "Time that one request runs");
ABSL_FLAG(std::uint32_t, concurrency, 16, "Requests that run together");
ABSL_FLAG(std::uint32_t, max_queue, 1024, "Requests that wait; more are refused");
ABSL_FLAG(std::uint32_t, load_lag_ms, 0, "Age of the load that is reported");

int main(int argc, char **argv)
{
    using namespace Lagoonbank;
    absl::SetProgramUsageMessage("Stands in for a plain service in tests and demos.");
    absl::ParseCommandLine(argc, argv);
    if (absl::GetFlag(FLAGS_concurrency) == 0)
        return Standins::usageError("lagoonbank-standin-service",
                                    "--concurrency must be at least 1");
    if (!(absl::GetFlag(FLAGS_work_ms) >= 0))
        return Standins::usageError("lagoonbank-standin-service", "--work_ms must not be negative");
    Runtime::Loop loop;
    Standins::ServiceApi api(
        {.timers = &loop.timers(),
         .name = absl::GetFlag(FLAGS_name),
         .workTime = Base::fromSeconds(absl::GetFlag(FLAGS_work_ms) / 1000),
         .concurrency = absl::GetFlag(FLAGS_concurrency),
         .maxQueue = absl::GetFlag(FLAGS_max_queue),
         .loadLag = std::chrono::milliseconds(absl::GetFlag(FLAGS_load_lag_ms))});
    return Standins::runStandin(
        {.program = "lagoonbank-standin-service",
         .listen = absl::GetFlag(FLAGS_listen),
         .loop = &loop,
         .handler = [&api](const Http::Request &request,
                           const auto &responder) { api.handle(request, responder); },
         .draining = [&api] { api.leave(); },
         .isIdle = [&api] { return api.isIdle(); }});
}
