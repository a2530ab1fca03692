// Control bytes, convergence and staleness of gossip against the size of the fleet, on a paused
// clock over the network in memory of the tests. Prints one CSV line a case; the same on every run.
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
constexpr Base::Duration measured = std::chrono::seconds(30);
constexpr Base::Duration window = std::chrono::seconds(10);
constexpr int newsCount = 20;
/// Answers of engines that each router sees a second, at the target's 8,600 over 330 routers.
constexpr double answersPerSecond = 26;

/// Reports that routers get with the engines' answers, spread at random over the region.
class Loads
{
public:
    Loads(Tests::FakeFleet &fleet, const Case &row)
        : m_fleet(fleet)
        , m_perRegion(std::max<std::size_t>(row.engines / row.regions, 1))
        , m_random(99)
    { }

    void feed(Base::Duration step)
    {
        for (std::size_t i = 0; i < m_fleet.size(); ++i) {
            if (m_fleet.node(i).info.role != Membership::MemberRole::Router)
                continue;
            const double chance = answersPerSecond * toSeconds(step);
            if (static_cast<double>(m_random() % 1000) / 1000 >= chance)
                continue;
            const std::size_t engine = m_random() % m_perRegion;
            const Base::EndpointId endpoint = name(m_fleet.node(i).info.region, engine);
            m_fleet.at(i).loads().report(endpoint, Base::WorkUnits(double(m_random() % 50000)),
                                         m_fleet.now());
            m_fleet.at(i).loads().setOwnWorkSinceSample(endpoint,
                                                        Base::WorkUnits(double(m_random() % 4000)));
        }
    }
    /// Ages of the freshest samples that routers hold, in seconds; unknown ones count as 10.
    void sampleAges(std::vector<double> &ages)
    {
        for (std::size_t i = 0; i < m_fleet.size(); i += 7) {
            if (m_fleet.node(i).info.role != Membership::MemberRole::Router)
                continue;
            for (std::size_t engine = 0; engine < m_perRegion; engine += 3) {
                const auto sample =
                    m_fleet.at(i).loads().sample(name(m_fleet.node(i).info.region, engine));
                ages.push_back(sample ? toSeconds(m_fleet.now() - sample->sampledAt) : 10);
            }
        }
    }

private:
    static Base::EndpointId name(const std::string &region, std::size_t engine)
    {
        return Base::EndpointId(region + "/engine-" + std::to_string(engine));
    }

    Tests::FakeFleet &m_fleet;
    std::size_t m_perRegion;
    std::mt19937_64 m_random;
};

double quantile(std::vector<double> &values, double part)
{
    if (values.empty())
        return -1;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

void measure(const Case &row)
{
    const auto started = std::chrono::steady_clock::now();
    Tests::FakeFleet fleet({.seed = 42,
                            .loss = row.loss,
                            .vms = row.vms,
                            .dataCentres = row.dataCentres,
                            .regions = row.regions,
                            .withControllers = row.withControllers});
    Loads loads(fleet, row);
    fleet.eachStep = [&] { loads.feed(std::chrono::milliseconds(20)); };
    const auto joined = fleet.runUntil([&] { return fleet.isConverged(); }, warmUp);
    fleet.run(warmUp);

    std::vector<std::uint64_t> before;
    std::vector<std::uint64_t> pulls;
    std::vector<double> ages;
    double worstWindow = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        before.push_back(fleet.node(i).budget->spentBytes());
        pulls.push_back(fleet.node(i).budget->spentBytes(Membership::ControlTraffic::Pull));
    }
    const std::vector<std::uint64_t> begin = before;
    for (Base::Duration past{}; past < measured; past += window) {
        fleet.run(window);
        loads.sampleAges(ages);
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            const std::uint64_t spent = fleet.node(i).budget->spentBytes();
            worstWindow = std::max(worstWindow, double(spent - before[i]) / toSeconds(window));
            before[i] = spent;
        }
    }
    double total = 0;
    double most = 0;
    double pulled = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        const double rate = double(before[i] - begin[i]) / toSeconds(measured);
        total += rate;
        most = std::max(most, rate);
        pulled +=
            double(fleet.node(i).budget->spentBytes(Membership::ControlTraffic::Pull) - pulls[i]);
    }

    std::vector<double> news;
    for (int i = 0; i < newsCount; ++i) {
        const Base::EndpointId leaving("leaving-" + std::to_string(i));
        fleet.at((i * 31) % fleet.size())
            .announceLeaving(leaving, Base::Incarnation(1), fleet.now());
        const auto time = fleet.runUntil(
            [&] {
                for (std::size_t m = 0; m < fleet.size(); ++m) {
                    if (!fleet.at(m).isLeaving(leaving, Base::Incarnation(1)))
                        return false;
                }
                return true;
            },
            std::chrono::seconds(20));
        news.push_back(time ? toSeconds(*time) : 20);
    }
    const double cpu =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - started).count();
    std::printf("%zu,%zu,%zu,%.2f,%.1f,%.0f,%.0f,%.0f,%.1f,%.2f,%.2f,%.2f,%.2f,%zu,%.1f\n", row.vms,
                fleet.size(), row.engines, row.loss, joined ? toSeconds(*joined) : -1.0,
                total / double(fleet.size()), most, worstWindow,
                pulled / double(fleet.size()) / toSeconds(measured), quantile(ages, 0.5),
                quantile(ages, 0.95), quantile(news, 0.5), news.back(),
                fleet.countEvents(Membership::MemberEvent::Died), cpu);
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
