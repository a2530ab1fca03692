#include "fleetmodel.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <cstdio>
#include <string>

ABSL_FLAG(int, routers, 6, "Routers.");
ABSL_FLAG(int, engines, 20, "Engines at the start; one more joins.");
ABSL_FLAG(double, rate, 9.0, "Requests per second and engine.");
ABSL_FLAG(double, length, 240.0, "Measured time in seconds.");
ABSL_FLAG(double, pause, 20.0, "Mean pause of a chat in seconds.");
ABSL_FLAG(double, gossip, 0.2, "Seconds between digests of work in flight; 0 for none.");
ABSL_FLAG(double, report_every, 0.5, "Seconds between load reports.");
ABSL_FLAG(double, report_late, 2.0, "Maximum delay of a load report, in seconds.");
ABSL_FLAG(double, tokens, 0.8, "Share of callers that send the placement token back.");
ABSL_FLAG(bool, churn, true, "Engines drain, flap, join and crash.");
ABSL_FLAG(bool, surge, true, "A tenth of the chats returns ten times as fast for 20 s.");
ABSL_FLAG(double, multiple, 1.25, "Multiple c of the mean that the bound allows.");
ABSL_FLAG(double, overflow_multiple, 1.1,
          "Multiple for the endpoints that follow a chat's home endpoint.");
ABSL_FLAG(double, warm_wait, 0.1,
          "Time to wait for the warm endpoint per 1000 tokens, in seconds.");
ABSL_FLAG(double, longest_warm_wait, 0.3,
          "Upper limit of the wait for the warm endpoint, in seconds.");
ABSL_FLAG(double, full_at, 2.0, "Absolute bound as a multiple of the capacity.");
ABSL_FLAG(double, reserve, 0.1, "Part of the absolute bound kept for urgent priorities.");
ABSL_FLAG(int, overflow_choices, 2, "Number of endpoints that an overflowing chat chooses from.");
ABSL_FLAG(double, ramp, 30.0, "Duration of the slow start in seconds.");
ABSL_FLAG(double, first_share, 0.1, "Share at the beginning of the slow start.");
ABSL_FLAG(int, seed, 1, "Seed of the run.");
ABSL_FLAG(std::string, policy, "all", "One policy, or all.");

namespace {

using namespace Lagoonbank;

PolicyModel::Scenario scenarioFromFlags(Routing::Policy policy)
{
    PolicyModel::Scenario scenario;
    scenario.routers = static_cast<std::uint32_t>(absl::GetFlag(FLAGS_routers));
    scenario.engines = static_cast<std::uint32_t>(absl::GetFlag(FLAGS_engines));
    scenario.requestsPerEngine = absl::GetFlag(FLAGS_rate);
    scenario.length = absl::GetFlag(FLAGS_length);
    scenario.meanPause = absl::GetFlag(FLAGS_pause);
    scenario.gossipInterval = absl::GetFlag(FLAGS_gossip);
    scenario.reportInterval = absl::GetFlag(FLAGS_report_every);
    scenario.reportDelayMax = absl::GetFlag(FLAGS_report_late);
    scenario.tokenShare = absl::GetFlag(FLAGS_tokens);
    scenario.churn = absl::GetFlag(FLAGS_churn);
    scenario.surge = absl::GetFlag(FLAGS_surge);
    scenario.seed = static_cast<std::uint64_t>(absl::GetFlag(FLAGS_seed));
    scenario.router.selector.policy = policy;
    scenario.router.selector.overflowCandidateCount = absl::GetFlag(FLAGS_overflow_choices);
    scenario.router.selector.bound.preferredShareMultiple = absl::GetFlag(FLAGS_multiple);
    scenario.router.selector.bound.overflowShareMultiple = absl::GetFlag(FLAGS_overflow_multiple);
    scenario.router.selector.warmWaitPerThousandTokens =
        Base::fromSeconds(absl::GetFlag(FLAGS_warm_wait));
    scenario.router.selector.maximumWarmWait =
        Base::fromSeconds(absl::GetFlag(FLAGS_longest_warm_wait));
    scenario.router.selector.bound.maximumLoadFactor = absl::GetFlag(FLAGS_full_at);
    scenario.router.selector.bound.reserve = absl::GetFlag(FLAGS_reserve);
    scenario.router.slowStart.rampTime = Base::fromSeconds(absl::GetFlag(FLAGS_ramp));
    scenario.router.slowStart.initialShare = absl::GetFlag(FLAGS_first_share);
    return scenario;
}

void print(Routing::Policy policy, const PolicyModel::Figures &figures)
{
    std::printf("%-12s %7.2f %7.2f %8.3f %8.3f %8.3f %8.3f %8.1f %8.1f %8.3f %8.3f %9llu %8llu "
                "%8llu %8llu\n",
                std::string(toString(policy)).c_str(), 100.0 * figures.reuse,
                100.0 * figures.cacheHitShare, figures.skewP50, figures.skewP99, figures.skewMax,
                figures.skewWithoutLargestP99, 1000.0 * figures.waitMean, 1000.0 * figures.waitP95,
                figures.estimateErrorP50, figures.estimateErrorP99,
                static_cast<unsigned long long>(figures.requests),
                static_cast<unsigned long long>(figures.refused),
                static_cast<unsigned long long>(figures.refusedUrgent),
                static_cast<unsigned long long>(figures.crashed));
    std::fflush(stdout);
}

} // namespace

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    const std::string policyFlag = absl::GetFlag(FLAGS_policy);
    std::printf("%-12s %7s %7s %8s %8s %8s %8s %8s %8s %8s %8s %9s %8s %8s %8s\n", "policy",
                "reuse%", "hits%", "skew50", "skew99", "skewmax", "less1_99", "wait ms", "w95 ms",
                "est50", "est99", "requests", "refused", "urgent", "crashed");
    for (const auto policy :
         {Routing::Policy::RoundRobin, Routing::Policy::LeastLoad, Routing::Policy::TwoChoices,
          Routing::Policy::Rendezvous, Routing::Policy::Bounded}) {
        if (policyFlag != "all" && Routing::policyFromName(policyFlag) != policy)
            continue;
        PolicyModel::FleetModel model(scenarioFromFlags(policy));
        print(policy, model.run());
    }
    return 0;
}
