// Engine stand-in: the HTTP interface of a model engine over a model of its batching and cache.

#include "runtime/loop.h"
#include "standins/engine/engineapi.h"
#include "standins/support/standinprocess.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <chrono>
#include <string>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "Address \"ip:port\"; port 0 picks a free port");
ABSL_FLAG(std::string, name, "engine", "Name in the ledger");
ABSL_FLAG(std::string, model, "", "Model loaded at the start; any model is served if empty");
ABSL_FLAG(std::string, role, "", "Role at the start");
ABSL_FLAG(std::uint32_t, max_batch, 16, "Maximum number of requests in a batch");
ABSL_FLAG(std::uint32_t, max_queue, 1024, "Maximum number of queued requests; more are refused");
ABSL_FLAG(double, step_ms, 5, "Time in which each request of the batch produces a token");
ABSL_FLAG(double, prefill_tokens_per_ms, 20, "Uncached prompt tokens read per ms by all requests");
ABSL_FLAG(std::uint32_t, cache_blocks, 4096, "Capacity of the prefix cache in blocks of 16 tokens");
ABSL_FLAG(std::uint32_t, event_delay_ms, 200, "Time until readers see a cache event");
ABSL_FLAG(std::uint32_t, event_gap_every, 0, "Every n-th cache event is lost; 0 for none");
ABSL_FLAG(std::uint32_t, load_lag_ms, 0, "Age of the reported load");
ABSL_FLAG(double, capacity, 0, "Capacity in units of work; 0 for 512 per request of the batch");
ABSL_FLAG(std::uint32_t, keep_ms, 30000, "Time that an ended stream can be resumed");
ABSL_FLAG(std::uint32_t, weight_load_ms, 500, "Time to load other weights");
ABSL_FLAG(bool, check_fencing, true, "Refuse orders with an older fencing number");

namespace {

using namespace Lagoonbank;
using std::chrono::milliseconds;

constexpr double minStepMs = 0.1;

Standins::EngineModel::Options modelOptions(const Runtime::Clock &clock)
{
    Standins::EngineModel::Options options;
    options.clock = &clock;
    options.maxBatchRequests = absl::GetFlag(FLAGS_max_batch);
    options.maxQueuedRequests = absl::GetFlag(FLAGS_max_queue);
    options.step = Base::fromSeconds(absl::GetFlag(FLAGS_step_ms) / 1000);
    options.prefillTokensPerMs = absl::GetFlag(FLAGS_prefill_tokens_per_ms);
    options.cacheBlocks = absl::GetFlag(FLAGS_cache_blocks);
    options.events.delay = milliseconds(absl::GetFlag(FLAGS_event_delay_ms));
    options.events.gapInterval = absl::GetFlag(FLAGS_event_gap_every);
    options.loadLag = milliseconds(absl::GetFlag(FLAGS_load_lag_ms));
    options.capacity = Base::WorkUnits(absl::GetFlag(FLAGS_capacity));
    options.endedRunRetention = milliseconds(absl::GetFlag(FLAGS_keep_ms));
    return options;
}

Standins::Orders::Options orderOptions(const Runtime::Clock &clock)
{
    Standins::Orders::Options options;
    options.clock = &clock;
    options.checkFencing = absl::GetFlag(FLAGS_check_fencing);
    options.loadTime = milliseconds(absl::GetFlag(FLAGS_weight_load_ms));
    options.initial.model = Base::ModelId(absl::GetFlag(FLAGS_model));
    options.initial.role = absl::GetFlag(FLAGS_role);
    return options;
}

/// Error in the flags; empty if they are valid.
std::string flagError()
{
    if (absl::GetFlag(FLAGS_max_batch) == 0)
        return "--max_batch must be at least 1";
    if (!(absl::GetFlag(FLAGS_step_ms) >= minStepMs))
        return "--step_ms must be at least 0.1";
    if (!(absl::GetFlag(FLAGS_prefill_tokens_per_ms) > 0))
        return "--prefill_tokens_per_ms must be more than 0";
    return {};
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Stands in for a model engine in tests and demos.");
    absl::ParseCommandLine(argc, argv);
    if (const std::string error = flagError(); !error.empty())
        return Standins::reportUsageError("lagoonbank-standin-engine", error);
    Runtime::Loop loop;
    Standins::EngineApi api({.timers = &loop.timers(),
                             .name = absl::GetFlag(FLAGS_name),
                             .model = modelOptions(loop.clock()),
                             .orders = orderOptions(loop.clock())});
    return Standins::runStandin(
        {.program = "lagoonbank-standin-engine",
         .listen = absl::GetFlag(FLAGS_listen),
         .loop = &loop,
         .handler = [&api](const Http::Request &request,
                           const auto &responder) { api.handle(request, responder); },
         .startDraining = [&api] { api.startDraining(); },
         .isIdle = [&api] { return api.isIdle(); }});
}
