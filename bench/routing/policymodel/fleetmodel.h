#pragma once

#include "enginemodel.h"
#include "routing/router.h"

#include <memory>
#include <queue>
#include <random>
#include <vector>

namespace Lagoonbank::PolicyModel {

/// Parameters of a run. Times are in seconds.
struct Scenario
{
    std::uint32_t routers = 6;
    std::uint32_t engines = 20;
    double requestsPerEngine = 9.0; ///< Per second.
    double meanPause = 20.0; ///< Between two turns of a chat.
    double warmUp = 60.0; ///< Nothing is measured during this time.
    double length = 240.0; ///< Measured time after the warm-up.
    double reportInterval = 0.5; ///< Between two load reports of an engine.
    double reportDelayMin = 0.1;
    double reportDelayMax = 2.0;
    double reportLoss = 0.05;
    double gossipInterval = 0.2; ///< Exchange of work in flight between routers; 0 for none.
    double tokenShare = 0.8; ///< Share of callers that send the placement token back.
    bool churn = true;
    bool surge = true;
    std::uint64_t seed = 1;
    Routing::Router::Options router;
    EngineModel::Options engine;
    double capacity = 40000.0; ///< Reported work units that an engine can hold at full speed.
};

/// Results of a run.
struct Figures
{
    double reuse = 0.0; ///< Cached share of the tokens that returning chats repeat.
    double cacheHitShare = 0.0; ///< Share of returning requests with at least 90% of these cached.
    double skewP50 = 0.0; ///< Load of an engine over the pool's mean, over engines and time.
    double skewP99 = 0.0;
    double skewMax = 0.0;
    double skewWithoutLargestP99 = 0.0; ///< As skewP99, without each engine's largest request.
    double waitMean = 0.0; ///< Seconds until the first token.
    double waitP95 = 0.0;
    double estimateErrorP50 = 0.0; ///< |estimate - load| over the mean load.
    double estimateErrorP99 = 0.0;
    std::uint64_t requests = 0;
    std::uint64_t refused = 0;
    std::uint64_t refusedUrgent = 0; ///< Refused requests of the most urgent priority.
    std::uint64_t crashed = 0; ///< Attempts lost to crashes; each was retried.
};

/// Simulates routers, engines and chats in small steps of a virtual clock.
class FleetModel
{
public:
    explicit FleetModel(const Scenario &scenario);
    Figures run();

private:
    struct Chat
    {
        std::int64_t tokens = 0;
        std::optional<Routing::Placement> token;
        bool isSurging = false;
    };
    struct Engine
    {
        std::unique_ptr<EngineModel> model;
        bool isUp = true;
        bool isLeaving = false;
        std::uint64_t incarnation = 1;
        double nextReport = 0.0;
    };
    struct InFlightJob
    {
        Routing::SentRequest sent;
        std::uint32_t engine = 0;
        std::int64_t cachedTokens = 0;
    };
    /// A scheduled event, such as a turn of a chat, a load report or a change of an endpoint's
    /// state. Events at the same time run in the order of their sequence numbers.
    struct Event
    {
        double time = 0.0;
        std::uint64_t sequence = 0;
        std::function<void()> run;
        bool operator>(const Event &other) const
        {
            return time != other.time ? time > other.time : sequence > other.sequence;
        }
    };

    void schedule(double time, std::function<void()> run);
    Base::MonoTime mono() const;
    double uniform(double low, double high);
    double exponential(double mean);

    void startChats();
    void scheduleChurn();
    void startTurn(std::uint32_t chat);
    void route(const Job &job);
    void send(const Job &job, const Routing::Decision &decision);
    void retry(const Job &job);
    void jobFinished(std::uint32_t engine, const Job &job);
    void jobFirstToken(const Job &job);
    void crash(std::uint32_t engine);
    void bringUp(std::uint32_t engine);
    void publishState(std::uint32_t engine, Routing::EndpointState state);
    void sendLoadReport(std::uint32_t engine);
    void gossip();
    void reportProgress();
    void sample();
    Figures figures();

    Scenario m_scenario;
    std::mt19937_64 m_random;
    double m_now = 0.0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_jobs = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::vector<std::unique_ptr<Routing::Router>> m_routers;
    std::vector<Engine> m_engines;
    std::vector<Chat> m_chats;
    std::unordered_map<std::uint64_t, InFlightJob> m_inFlightJobs;

    Figures m_figures;
    double m_returningTokens = 0.0;
    double m_returningCachedTokens = 0.0;
    std::uint64_t m_returningRequests = 0;
    std::uint64_t m_cacheHits = 0;
    std::vector<double> m_waits;
    std::vector<double> m_skews;
    std::vector<double> m_skewsWithoutLargest;
    std::vector<double> m_estimateErrors;
};

} // namespace Lagoonbank::PolicyModel
