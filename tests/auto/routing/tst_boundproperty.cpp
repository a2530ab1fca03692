#define BOOST_TEST_MODULE boundproperty
#include "routing/rendezvous.h"
#include "routing/router.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <memory>
#include <random>
#include <vector>

using namespace Lagoonbank;
using namespace Lagoonbank::Routing;

namespace {

constexpr Base::Duration stepTime = LoadEstimator::Options{}.staleAfter / 20;
constexpr int staleSteps = 20;
constexpr EndpointIndex engineCount = 12;
constexpr double capacity = 100000.0;
constexpr double preferredShareMultiple = 1.25;
constexpr double overflowShareMultiple = 1.1;

struct Running
{
    SentRequest sent;
    std::size_t router = 0;
    double work = 0.0;
    int endsAt = 0;
};

struct Case
{
    std::size_t routers;
    std::uint64_t seed;
};

/// Routers and engines whose reports arrive late, out of order or not at all. Time advances in
/// steps; reports are sampled at the steps, requests arrive between them.
class StaleFleet
{
public:
    explicit StaleFleet(const Case &c)
        : m_random(c.seed)
    {
        Router::Options options;
        options.selector.bound = {.preferredShareMultiple = preferredShareMultiple,
                                  .overflowShareMultiple = overflowShareMultiple};
        options.selector.warmWaitPerThousandTokens = {};
        for (std::size_t i = 0; i < c.routers; ++i) {
            m_routers.push_back(std::make_unique<Router>(options));
            for (EndpointIndex e = 0; e < engineCount; ++e) {
                m_routers[i]->upsert({.id = Base::EndpointId("engine-" + std::to_string(e)),
                                      .pool = "model/m",
                                      .capacity = Base::WorkUnits(capacity)},
                                     m_now);
            }
        }
        m_load.resize(engineCount, 0.0);
        m_sentBy.resize(c.routers, std::vector<double>(engineCount, 0.0));
        m_sampleAt.resize(c.routers, std::vector<int>(engineCount, 0));
    }

    void run()
    {
        for (m_step = 1; m_step < 300; ++m_step) {
            m_now += stepTime;
            takeSamples();
            deliverReports();
            endRequests();
            m_now += stepTime / 2;
            const int arrivals = draw(0, 40);
            for (int i = 0; i < arrivals; ++i)
                routeOne();
            m_now -= stepTime / 2;
        }
    }

    int checkedRequests() const { return m_checkedRequests; }
    int requestsBeyondEstimate() const { return m_requestsBeyondEstimate; }

private:
    /// Loads of the engines and work sent by the routers at one step.
    struct Snapshot
    {
        Base::MonoTime at;
        std::vector<double> load;
        std::vector<double> sent; ///< Work sent to each engine by all routers.
        std::vector<std::vector<double>> sentBy;
    };

    int draw(int low, int high) { return std::uniform_int_distribution<int>(low, high)(m_random); }

    void takeSamples()
    {
        m_snapshots.push_back({.at = m_now, .load = m_load, .sent = m_sent, .sentBy = m_sentBy});
    }

    void deliverReports()
    {
        for (std::size_t r = 0; r < m_routers.size(); ++r) {
            for (EndpointIndex e = 0; e < engineCount; ++e) {
                const bool due = m_step - m_sampleAt[r][e] >= staleSteps - 1;
                if (!due && draw(0, 9) < 7)
                    continue; // Lost or delayed.
                // A random age, so that reports arrive out of order.
                const int sampled = std::max(1, m_step - draw(0, staleSteps - 1));
                const Snapshot &snapshot = m_snapshots[static_cast<std::size_t>(sampled - 1)];
                const bool accepted = m_routers[r]->noteReport(
                    e, {.work = Base::WorkUnits(snapshot.load[e]), .sampledAt = snapshot.at}, {},
                    m_now);
                BOOST_TEST_REQUIRE(accepted == (sampled >= m_sampleAt[r][e]));
                if (accepted)
                    m_sampleAt[r][e] = sampled;
            }
        }
    }

    void endRequests()
    {
        for (std::size_t i = 0; i < m_running.size();) {
            Running &running = m_running[i];
            if (running.endsAt > m_step) {
                ++i;
                continue;
            }
            m_load[running.sent.work.endpoint] -= running.work;
            m_routers[running.router]->noteEnded(&running.sent, ExchangeResult::Answered, m_now);
            m_running[i] = m_running.back();
            m_running.pop_back();
        }
    }

    /// Work that routers other than `r` have sent since the sample of the last report that `r`
    /// accepted.
    double sentByOthersSinceSample(std::size_t r, EndpointIndex e) const
    {
        const int at = m_sampleAt[r][e];
        const Snapshot *snapshot =
            at > 0 ? &m_snapshots[static_cast<std::size_t>(at - 1)] : nullptr;
        const double byAll = m_sent[e] - (snapshot ? snapshot->sent[e] : 0.0);
        const double byThisRouter = m_sentBy[r][e] - (snapshot ? snapshot->sentBy[r][e] : 0.0);
        return byAll - byThisRouter;
    }

    void routeOne()
    {
        const auto r = static_cast<std::size_t>(draw(0, static_cast<int>(m_routers.size()) - 1));
        Router &router = *m_routers[r];
        const RouteRequest request{
            .pool = 0, .chatHash = m_random(), .promptTokens = Base::Tokens(draw(1, 3000))};
        double estimated = 0.0;
        for (EndpointIndex e = 0; e < engineCount; ++e)
            estimated += router.candidates()[e].load;
        const Decision decision = router.choose(request, {});
        BOOST_TEST_REQUIRE((decision.outcome == Outcome::Send));

        const EndpointIndex e = decision.endpoint;
        const double work = decision.work.value();
        const double sentByOthers = sentByOthersSinceSample(r, e);
        const double allowedMultiple = decision.reason == DecisionReason::Overflow
            ? overflowShareMultiple
            : preferredShareMultiple;
        const double bound = allowedMultiple * (estimated + work) / engineCount + work;
        const SentRequest sent = router.noteSent(decision, m_now);
        m_load[e] += work;
        BOOST_TEST_REQUIRE(router.candidates()[e].load <= bound + tolerance);
        BOOST_TEST_REQUIRE(m_load[e] <= bound + sentByOthers + tolerance);
        m_requestsBeyondEstimate += m_load[e] > bound ? 1 : 0;
        m_sent[e] += work;
        m_sentBy[r][e] += work;
        m_running.push_back(
            {.sent = sent, .router = r, .work = work, .endsAt = m_step + draw(1, 60)});
        ++m_checkedRequests;
    }

    static constexpr double tolerance = 1e-6;

    std::mt19937_64 m_random;
    Base::MonoTime m_now{std::chrono::hours(1)};
    int m_step = 0;
    int m_checkedRequests = 0;
    int m_requestsBeyondEstimate = 0;
    std::vector<std::unique_ptr<Router>> m_routers;
    std::vector<double> m_load;
    std::vector<double> m_sent = std::vector<double>(engineCount, 0.0);
    std::vector<std::vector<double>> m_sentBy;
    std::vector<std::vector<int>> m_sampleAt;
    std::deque<Snapshot> m_snapshots;
    std::vector<Running> m_running;
};

} // namespace

BOOST_AUTO_TEST_CASE(loadExceedsBoundOnlyByWorkOfOthersSinceSample)
{
    for (const Case &c : {Case{1, 1}, Case{6, 1}, Case{6, 2}, Case{6, 3}, Case{330, 1}}) {
        BOOST_TEST_CONTEXT("routers " << c.routers << " seed " << c.seed)
        {
            StaleFleet fleet(c);
            fleet.run();
            BOOST_TEST(fleet.checkedRequests() > 4000);
            // A single router knows all load. With more routers, stale reports must have had an
            // effect.
            if (c.routers == 1)
                BOOST_TEST(fleet.requestsBeyondEstimate() == 0);
            else
                BOOST_TEST(fleet.requestsBeyondEstimate() > 0);
        }
    }
}
