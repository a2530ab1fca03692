// Measures the control bytes, the convergence time and the staleness of gossip for fleets of
// various sizes, on the simulated clock and in-memory network of the tests. Prints one CSV line for
// each case. The results are the same on every run, except for the run time.
#include "membership/fakefleet.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <vector>

using namespace Lagoonbank;
using Base::toSeconds;

namespace {

struct Case
{
    std::size_t vms;
    std::size_t dataCentres;
    std::size_t regions;
    std::size_t engines;
    bool withControllers;
    double loss;
};

constexpr Base::Duration warmUp = std::chrono::seconds(25);
constexpr Base::Duration measuredTime = std::chrono::seconds(30);
constexpr Base::Duration rateWindow = std::chrono::seconds(10);
constexpr int leavingCount = 20;
/// Engine answers that each router receives per second: the target of 8,600 over 330 routers.
constexpr double answersPerSecond = 26;

/// Simulates the load reports that routers receive with the engines' answers, spread at random over
/// the engines of the region.
class LoadReporter
{
public:
    LoadReporter(Tests::FakeFleet &fleet, const Case &testCase)
        : m_fleet(fleet)
        , m_perRegion(std::max<std::size_t>(testCase.engines / testCase.regions, 1))
        , m_random(99)
    { }

    void reportLoads(Base::Duration step)
    {
        for (std::size_t i = 0; i < m_fleet.size(); ++i) {
            if (m_fleet.node(i).info.role != Membership::MemberRole::Router)
                continue;
            const double chance = answersPerSecond * toSeconds(step);
            if (static_cast<double>(m_random() % 1000) / 1000 >= chance)
                continue;
            const std::size_t engine = m_random() % m_perRegion;
            const Base::EndpointId endpoint = endpointId(m_fleet.node(i).info.region, engine);
            m_fleet.at(i).loads().report(endpoint, Base::WorkUnits(double(m_random() % 50000)),
                                         m_fleet.now());
            m_fleet.at(i).loads().setOwnWorkSinceSample(endpoint,
                                                        Base::WorkUnits(double(m_random() % 4000)));
        }
    }
    /// Adds the ages in seconds of the latest samples that routers have. Missing samples count
    /// as 10.
    void sampleAges(std::vector<double> &ages)
    {
        for (std::size_t i = 0; i < m_fleet.size(); i += 7) {
            if (m_fleet.node(i).info.role != Membership::MemberRole::Router)
                continue;
            for (std::size_t engine = 0; engine < m_perRegion; engine += 3) {
                const auto sample =
                    m_fleet.at(i).loads().sample(endpointId(m_fleet.node(i).info.region, engine));
                ages.push_back(sample ? toSeconds(m_fleet.now() - sample->sampledAt) : 10);
            }
        }
    }

private:
    static Base::EndpointId endpointId(const std::string &region, std::size_t engine)
    {
        return Base::EndpointId(region + "/engine-" + std::to_string(engine));
    }

    Tests::FakeFleet &m_fleet;
    std::size_t m_perRegion;
    std::mt19937_64 m_random;
};

double quantile(std::vector<double> &values, double share)
{
    if (values.empty())
        return -1;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

void measure(const Case &testCase)
{
    const auto startTime = std::chrono::steady_clock::now();
    Tests::FakeFleet fleet({.seed = 42,
                            .lossFraction = testCase.loss,
                            .vms = testCase.vms,
                            .dataCentres = testCase.dataCentres,
                            .regions = testCase.regions,
                            .withControllers = testCase.withControllers});
    LoadReporter loadReporter(fleet, testCase);
    fleet.eachStep = [&] { loadReporter.reportLoads(std::chrono::milliseconds(20)); };
    const auto joinTime = fleet.runUntil([&] { return fleet.isConverged(); }, warmUp);
    fleet.run(warmUp);

    std::vector<std::uint64_t> bytesAtWindowStart;
    std::vector<std::uint64_t> pullBytesBefore;
    std::vector<double> ages;
    double maxWindowByteRate = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        bytesAtWindowStart.push_back(fleet.node(i).budget->spentBytes());
        pullBytesBefore.push_back(
            fleet.node(i).budget->spentBytes(Membership::ControlTraffic::Pull));
    }
    const std::vector<std::uint64_t> bytesBefore = bytesAtWindowStart;
    for (Base::Duration elapsed{}; elapsed < measuredTime; elapsed += rateWindow) {
        fleet.run(rateWindow);
        loadReporter.sampleAges(ages);
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            const std::uint64_t spent = fleet.node(i).budget->spentBytes();
            maxWindowByteRate = std::max(
                maxWindowByteRate, double(spent - bytesAtWindowStart[i]) / toSeconds(rateWindow));
            bytesAtWindowStart[i] = spent;
        }
    }
    double totalByteRate = 0;
    double maxByteRate = 0;
    double totalPullBytes = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        const double rate =
            double(bytesAtWindowStart[i] - bytesBefore[i]) / toSeconds(measuredTime);
        totalByteRate += rate;
        maxByteRate = std::max(maxByteRate, rate);
        totalPullBytes += double(fleet.node(i).budget->spentBytes(Membership::ControlTraffic::Pull)
                                 - pullBytesBefore[i]);
    }

    std::vector<double> propagationTimes;
    for (int i = 0; i < leavingCount; ++i) {
        const Base::EndpointId leaving("leaving-" + std::to_string(i));
        fleet.at((i * 31) % fleet.size())
            .announceLeaving(leaving, Base::Incarnation(1), fleet.now());
        const auto propagationTime = fleet.runUntil(
            [&] {
                for (std::size_t member = 0; member < fleet.size(); ++member) {
                    if (!fleet.at(member).isLeaving(leaving, Base::Incarnation(1)))
                        return false;
                }
                return true;
            },
            std::chrono::seconds(20));
        propagationTimes.push_back(propagationTime ? toSeconds(*propagationTime) : 20);
    }
    const double wallSeconds =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - startTime).count();
    std::printf(
        "%zu,%zu,%zu,%.2f,%.1f,%.0f,%.0f,%.0f,%.1f,%.2f,%.2f,%.2f,%.2f,%zu,%.1f\n", testCase.vms,
        fleet.size(), testCase.engines, testCase.loss, joinTime ? toSeconds(*joinTime) : -1.0,
        totalByteRate / double(fleet.size()), maxByteRate, maxWindowByteRate,
        totalPullBytes / double(fleet.size()) / toSeconds(measuredTime), quantile(ages, 0.5),
        quantile(ages, 0.95), quantile(propagationTimes, 0.5), propagationTimes.back(),
        fleet.countEvents(Membership::MemberEvent::Died), wallSeconds);
    std::fflush(stdout);
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<Case> cases{
        {6, 4, 1, 20, false, 0.0},      {6, 4, 1, 20, true, 0.0},
        {6, 4, 1, 20, true, 0.1},       {24, 4, 1, 100, false, 0.0},
        {24, 4, 1, 100, false, 0.1},    {100, 4, 2, 450, false, 0.0},
        {100, 4, 2, 450, false, 0.1},   {330, 13, 6, 0, false, 0.0},
        {330, 13, 6, 750, false, 0.0},  {330, 13, 6, 1500, false, 0.0},
        {330, 13, 6, 1500, true, 0.01},
    };
    const std::size_t from = argc > 1 ? std::stoul(argv[1]) : 0;
    const std::size_t to = argc > 2 ? std::stoul(argv[2]) : cases.size();
    std::puts("vms,processes,engines,loss,join_s,bytes_s_mean,bytes_s_max,bytes_s_max_10s,"
              "pull_bytes_s,load_age_p50_s,load_age_p95_s,news_p50_s,news_max_s,died,run_s");
    for (std::size_t i = from; i < std::min(to, cases.size()); ++i)
        measure(cases[i]);
    return 0;
}
