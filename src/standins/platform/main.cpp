// Platform stand-in: log, VM list and weight store on one address.

#include "http/server.h"
#include "runtime/loop.h"
#include "runtime/udpsocket.h"
#include "standins/platform/platform.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <csignal>
#include <iostream>
#include <string_view>

ABSL_FLAG(std::string, listen, "127.0.0.1:7300", "Address \"ip:port\"; port 0 picks a free port.");
ABSL_FLAG(double, retention_s, 3600, "Seconds that the log keeps a record.");
ABSL_FLAG(std::uint64_t, retention_records, 100'000,
          "Maximum number of records per stream of the log.");
ABSL_FLAG(std::uint64_t, retention_bytes, 64'000'000,
          "Maximum size in bytes per stream of the log.");
ABSL_FLAG(double, appends_per_second, 500, "Append calls accepted per second.");
ABSL_FLAG(std::uint64_t, vm_list_lag_ms, 3000, "Delay in ms until a VM list change is visible.");
ABSL_FLAG(double, weights_per_second, 2, "Requests to the weight store accepted per second.");
ABSL_FLAG(std::uint64_t, weight_bytes, 1'000'000'000, "Size of the weights in bytes.");

namespace {

using namespace Lagoonbank;

constexpr int exitRunTime = 1;
constexpr int exitUsage = 2;
constexpr std::string_view logPrefix = "lagoonbank-standin-platform: ";

Standins::Platform::Platform::Options platformOptions(Runtime::Loop &loop)
{
    return {
        .timers = &loop.timers(),
        .retention = {.age = Base::fromSeconds(absl::GetFlag(FLAGS_retention_s)),
                      .records = absl::GetFlag(FLAGS_retention_records),
                      .bytes = absl::GetFlag(FLAGS_retention_bytes)},
        .appendsPerSecond = absl::GetFlag(FLAGS_appends_per_second),
        .vmListLag = std::chrono::milliseconds(absl::GetFlag(FLAGS_vm_list_lag_ms)),
        .weightsPerSecond = absl::GetFlag(FLAGS_weights_per_second),
        .weightBytes = Base::Bytes(absl::GetFlag(FLAGS_weight_bytes)),
    };
}

bool flagsAreValid()
{
    return absl::GetFlag(FLAGS_appends_per_second) > 0
        && absl::GetFlag(FLAGS_weights_per_second) > 0 && absl::GetFlag(FLAGS_retention_s) > 0;
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Stand-in for the platform's log, VM list and weight store.");
    absl::ParseCommandLine(argc, argv);
    const auto address = Runtime::parseSocketAddress(absl::GetFlag(FLAGS_listen));
    if (!address) {
        std::cerr << logPrefix << "--listen: " << address.error().detail << '\n';
        return exitUsage;
    }
    if (!flagsAreValid()) {
        std::cerr << logPrefix << "Rates and --retention_s must be above 0.\n";
        return exitUsage;
    }

    Runtime::Loop loop;
    Standins::Platform::Platform platform(platformOptions(loop));
    Http::Server server({.loop = &loop, .address = address.value()});
    server.setHandler(
        [&](const Http::Request &request, const std::shared_ptr<Http::Responder> &responder) {
            platform.handle(request, responder);
        });
    const auto listening = server.listen();
    if (!listening) {
        std::cerr << logPrefix << "Cannot listen: " << listening.error().detail << '\n';
        return exitRunTime;
    }
    loop.onSignal(SIGTERM, [&] { loop.stop(); });
    loop.onSignal(SIGINT, [&] { loop.stop(); });
    std::cout << logPrefix << "Listening on " << Runtime::toString(server.address()) << '.'
              << std::endl;
    loop.run();
    return 0;
}
