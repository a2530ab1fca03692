// Service stand-in: a plain service whose calls must not be repeated, with a ledger of its runs.

#include "runtime/loop.h"
#include "standins/service/serviceapi.h"
#include "standins/support/standinprocess.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <chrono>
#include <string>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "Address \"ip:port\"; port 0 picks a free port");
ABSL_FLAG(std::string, name, "service", "Name in the ledger");
ABSL_FLAG(double, work_ms, 5, "Run time of a request");
ABSL_FLAG(std::uint32_t, concurrency, 16, "Maximum number of requests that run at once");
ABSL_FLAG(std::uint32_t, max_queue, 1024, "Maximum number of queued requests; more are refused");
ABSL_FLAG(std::uint32_t, load_lag_ms, 0, "Age of the reported load");

int main(int argc, char **argv)
{
    using namespace Lagoonbank;
    absl::SetProgramUsageMessage("Stands in for a plain service in tests and demos.");
    absl::ParseCommandLine(argc, argv);
    if (absl::GetFlag(FLAGS_concurrency) == 0)
        return Standins::reportUsageError("lagoonbank-standin-service",
                                          "--concurrency must be at least 1");
    if (!(absl::GetFlag(FLAGS_work_ms) >= 0))
        return Standins::reportUsageError("lagoonbank-standin-service",
                                          "--work_ms must not be negative");
    Runtime::Loop loop;
    Standins::ServiceApi api(
        {.timers = &loop.timers(),
         .name = absl::GetFlag(FLAGS_name),
         .workTime = Base::fromSeconds(absl::GetFlag(FLAGS_work_ms) / 1000),
         .concurrency = absl::GetFlag(FLAGS_concurrency),
         .maxQueuedRequests = absl::GetFlag(FLAGS_max_queue),
         .loadLag = std::chrono::milliseconds(absl::GetFlag(FLAGS_load_lag_ms))});
    return Standins::runStandin(
        {.program = "lagoonbank-standin-service",
         .listen = absl::GetFlag(FLAGS_listen),
         .loop = &loop,
         .handler = [&api](const Http::Request &request,
                           const auto &responder) { api.handle(request, responder); },
         .startDraining = [&api] { api.startDraining(); },
         .isIdle = [&api] { return api.isIdle(); }});
}
