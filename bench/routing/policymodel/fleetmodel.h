#pragma once

#include "enginemodel.h"
#include "routing/router.h"

#include <memory>
#include <queue>
#include <random>
#include <vector>

namespace Lagoonbank::PolicyModel {

/// What one run is made of.
struct Scenario
{
    std::uint32_t routers = 6;
    std::uint32_t engines = 20;
    double requestsPerEngine = 9.0; ///< A second.
    double meanPause = 20.0; ///< Between two turns of a chat, s.
    double warmUp = 60.0; ///< s; nothing is counted in it.
    double length = 240.0; ///< s, counted.
    double reportEvery = 0.5; ///< s.
    double reportLateLeast = 0.1;
    double reportLateMost = 2.0;
    double reportLoss = 0.05;
    double gossipEvery = 0.2; ///< Peers' in-flight; 0 for none.
    double tokenShare = 0.8; ///< Callers that bring the placement token back.
    bool churn = true;
    bool surge = true;
    std::uint64_t seed = 1;
    Routing::Router::Options router;
    EngineModel::Options engine;
    double capacity = 40000.0; ///< Work that an engine takes at full speed, as it reports.
};

/// What one run shows.
struct Figures
{
    double reuse = 0.0; ///< Cached share of the tokens that returning chats bring again.
    double hits = 0.0; ///< Share of returning requests with nine tenths of these tokens cached.
    double skewP50 = 0.0; ///< Load over capacity against the pool's mean, over engines and time.
    double skewP99 = 0.0;
    double skewMax = 0.0;
    double skewLessOneP99 = 0.0; ///< As skewP99, less the largest request that the engine holds.
    double waitMean = 0.0; ///< To the first token, s.
    double waitP95 = 0.0;
    double estimateErrorP50 = 0.0;
    double estimateErrorP99 = 0.0; ///< |estimate - load| against the mean load.
    std::uint64_t requests = 0;
    std::uint64_t refused = 0;
    std::uint64_t refusedUrgent = 0; ///< Those of the most urgent priority, a fifth of all.
    std::uint64_t crashed = 0; ///< Tries lost to crashes; each was sent again.
};

/// Routers, engines and chats in arrays, moved on in small steps of a virtual clock.
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
        bool surging = false;
    };
    struct Engine
    {
        std::unique_ptr<EngineModel> model;
        bool up = true;
        bool leaving = false;
        std::uint64_t incarnation = 1;
        double nextReport = 0.0;
    };
    struct Flight
    {
        Routing::SentRequest sent;
        std::uint32_t engine = 0;
        std::int64_t cached = 0;
    };
    /// Something due at a time: a turn of a chat, a report, a list change.
    struct Event
    {
        double at = 0.0;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator>(const Event &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void at(double time, std::function<void()> run);
    Base::MonoTime mono() const;
    double uniform(double low, double high);
    double exponential(double mean);

    void startChats();
    void scheduleChurn();
    void turn(std::uint32_t chat);
    void route(const Job &job);
    void send(const Job &job, const Routing::Decision &decision);
    void retry(const Job &job);
    void jobFinished(std::uint32_t engine, const Job &job);
    void jobFirstToken(const Job &job);
    void crash(std::uint32_t engine);
    void bringUp(std::uint32_t engine);
    void setListed(std::uint32_t engine, Routing::EndpointState state);
    void report(std::uint32_t engine);
    void gossip();
    void progress();
    void sample();
    Figures figures();

    Scenario m_scenario;
    std::mt19937_64 m_random;
    double m_now = 0.0;
    std::uint64_t m_order = 0;
    std::uint64_t m_jobs = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::vector<std::unique_ptr<Routing::Router>> m_routers;
    std::vector<Engine> m_engines;
    std::vector<Chat> m_chats;
    std::unordered_map<std::uint64_t, Flight> m_flights;

    Figures m_figures;
    double m_again = 0.0;
    double m_cached = 0.0;
    std::uint64_t m_returning = 0;
    std::uint64_t m_hits = 0;
    std::vector<double> m_waits;
    std::vector<double> m_skews;
    std::vector<double> m_skewsLessOne;
    std::vector<double> m_errors;
};

} // namespace Lagoonbank::PolicyModel
