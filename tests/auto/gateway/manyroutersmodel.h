#pragma once

#include "gateway/loadsharing.h"
#include "gateway/placement.h"
#include "schema/messagecodec.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

/// Simulates many routers and engines with a virtual clock and without a network. Each router sees
/// so few answers that it gets the load of an engine about once a minute. Requests arrive at random
/// routers, and some prompts are more popular than others. Engines run all requests at once and
/// report their load with the first event of an answer.
///
/// By default, each of 300 routers gets 5 requests a second and each of 200 engines runs 5 requests
/// on average. The three kinds of request have the shares, answer lengths and shared tokens of the
/// users' hints, questions and checks of a slot. The popularity of prompts has a skew of 0.3: the
/// first of 500 is requested four times as often as the average one.
class ManyRoutersModel
{
public:
    struct Kind
    {
        double requestsPerSecond = 0;
        double answerSeconds = 1;
        int prompts = 500;
        int sharedTokens = 10000;
    };
    /// A data centre that is drained for some time and cold afterwards.
    struct Drain
    {
        int dataCentre = 0;
        double from = 0; ///< Start of the drain, in seconds.
        double to = 0; ///< End of the drain, in seconds.
    };
    struct Options
    {
        int routers = 300;
        int engines = 200;
        std::vector<Kind> kinds{
            {378, 1.4, 497, 10512}, {282, 1.0, 832, 699}, {893, 0.15, 1762, 2041}};
        double skew = 0.3;
        /// Fraction of the first kind's requests that share one prompt, from second 8 to 14.
        double sharedPromptFraction = 0;
        /// Mean number of requests that arrive at the same time.
        double burstSize = 1;
        /// Number of idle engines that join one by one from second 10 to 15.
        int joining = 0;
        int dataCentres = 1; ///< All have the same number of engines.
        std::vector<Drain> drains;
        Lagoonbank::Fleet::Warmup warmup;
        /// Interval between two messages of a router to peers; 0 for no messages.
        double gossipSeconds = 0.1;
        Lagoonbank::Gateway::Placement::Options placement;
        double warmUp = 5; ///< Time in seconds before figures are collected.
        double seconds = 15; ///< Duration after the warm-up.
        unsigned seed = 7;
    };
    struct Figures
    {
        int requests = 0;
        /// Number of requests to engines with a load of more than 2 x mean load + 3.
        int requestsOverBound = 0;
        /// Number of requests that were not sent to their home endpoint, as that was busy.
        int requestsAwayFromHome = 0;
        /// Maximum of overBoundShare() over all periods of five seconds.
        double maximumOverBoundShare = 0;
        double meanLoad = 0;
        /// Prompt tokens prefilled by each engine but the first that prefills the prompt.
        double tokensPrefilledAgain = 0;
        double averageLoadError = 0; ///< Mean relative error of the routers' average load.
        double bytesPerSecond = 0; ///< Bytes of messages that each router sends per second.
        double overBoundShare() const { return double(requestsOverBound) / requests; }
        double awayFromHomeShare() const { return double(requestsAwayFromHome) / requests; }
    };

    explicit ManyRoutersModel(Options options)
        : m_options(std::move(options))
        , m_random(m_options.seed)
        , m_running(static_cast<std::size_t>(m_options.engines + m_options.joining))
    {
        for (int i = 0; i < m_options.routers; ++i)
            m_routers.push_back(std::make_unique<Router>(*this, static_cast<unsigned>(i)));
        for (const Kind &kind : m_options.kinds) {
            std::vector<double> weights;
            for (int i = 1; i <= kind.prompts; ++i)
                weights.push_back(std::pow(i, -m_options.skew));
            m_prompts.emplace_back(weights.begin(), weights.end());
        }
    }

    Figures run()
    {
        const double end = m_options.warmUp + m_options.seconds;
        for (std::size_t kind = 0; kind < m_options.kinds.size(); ++kind)
            scheduleRequest(kind);
        for (std::size_t i = 0; m_options.gossipSeconds > 0 && i < m_routers.size(); ++i)
            at(m_options.gossipSeconds * uniform(), [this, i] { gossip(i); });
        for (const Drain &drain : m_options.drains) {
            at(drain.from, [this, drain] { setDrained(drain.dataCentre, true); });
            at(drain.to, [this, drain] { setDrained(drain.dataCentre, false); });
        }
        for (int i = 0; i < m_options.joining; ++i)
            at(10 + 5.0 * i / m_options.joining, [this] { join(); });
        while (!m_events.empty() && m_events.top().at < end) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.run();
        }
        m_figures.bytesPerSecond = double(m_bytes) / m_options.seconds / m_options.routers;
        m_figures.averageLoadError /= std::max(1, m_figures.requests);
        m_figures.meanLoad /= std::max(1, m_figures.requests);
        m_figures.maximumOverBoundShare = maximumOverBoundShare();
        return m_figures;
    }

private:
    static constexpr std::size_t headerBytes = 28; ///< UDP and IP headers.
    static constexpr int slots = 12;
    static constexpr double firstEvent = 0.06; ///< Latency of the first event, in seconds.
    static constexpr double messageDelay = 0.002; ///< Between routers, in seconds.

    struct Router
    {
        Router(const ManyRoutersModel &model, unsigned seed)
            : placement(model.m_options.placement)
            , sharing({.registry = &registry, .randomSeed = seed})
        {
            registry.setRouterCount(static_cast<std::size_t>(model.m_options.routers));
            registry.setServices({{.name = service(), .warmup = model.m_options.warmup}});
            registry.setFleet(model.fleetOf(static_cast<int>(seed)));
            for (int i = 0; i < model.m_options.engines; ++i)
                addEngine(i, i * model.m_options.dataCentres / model.m_options.engines,
                          model.mono());
        }
        void addEngine(int number, int dataCentre, Lagoonbank::Base::MonoTime now)
        {
            constexpr int firstName = 1000; // Orders the names like the numbers.
            const std::string name = "engine-" + std::to_string(firstName + number);
            Lagoonbank::Fleet::Endpoint endpoint{.id = Lagoonbank::Base::EndpointId(name),
                                                 .service = service()};
            endpoint.address = {"127.0.0.1", 80};
            endpoint.dataCentre = dataCentreId(dataCentre);
            endpoint.slots = slots;
            registry.put(endpoint, now);
        }
        Lagoonbank::Gateway::EndpointRegistry registry{{}};
        Lagoonbank::Gateway::Placement placement;
        Lagoonbank::Gateway::LoadSharing sharing;
    };
    struct Event
    {
        double at = 0;
        long sequenceNumber = 0;
        std::function<void()> run;
        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : sequenceNumber > other.sequenceNumber;
        }
    };
    struct Second
    {
        int requests = 0;
        int requestsOverBound = 0;
    };

    static Lagoonbank::Base::DataCentreId dataCentreId(int number)
    {
        return Lagoonbank::Base::DataCentreId("dc" + std::to_string(number));
    }
    Lagoonbank::Gateway::WarmupQuota::Fleet fleetOf(int router) const
    {
        Lagoonbank::Gateway::WarmupQuota::Fleet fleet{.isComplete = true};
        for (int i = 0; i < m_options.routers; ++i) {
            const std::string name = "router-" + std::to_string(i);
            if (i == router)
                fleet.self = name;
            else
                fleet.others.push_back(name);
        }
        return fleet;
    }
    void setDrained(int dataCentre, bool isDrained)
    {
        if (isDrained)
            m_drained.insert(dataCentreId(dataCentre));
        else
            m_drained.erase(dataCentreId(dataCentre));
        for (const auto &router : m_routers)
            router->registry.setDrainedDataCentres(m_drained, mono());
    }
    static Lagoonbank::Base::ServiceId service() { return Lagoonbank::Base::ServiceId("service"); }
    Lagoonbank::Base::MonoTime mono() const
    {
        return Lagoonbank::Base::MonoTime(std::chrono::hours(1))
            + Lagoonbank::Base::fromSeconds(m_now);
    }
    void at(double time, std::function<void()> run)
    {
        m_events.push(
            {.at = time, .sequenceNumber = ++m_lastSequenceNumber, .run = std::move(run)});
    }
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    double exponential(double mean)
    {
        return std::exponential_distribution<double>(1 / mean)(m_random);
    }
    double meanLoad() const { return double(m_inFlight) / m_options.engines; }

    void join()
    {
        for (const auto &router : m_routers)
            router->addEngine(m_options.engines, 0, mono());
        ++m_options.engines;
    }

    void scheduleRequest(std::size_t kind)
    {
        const double interval = m_options.burstSize / m_options.kinds[kind].requestsPerSecond;
        at(m_now + exponential(interval), [this, kind] {
            scheduleRequest(kind);
            do {
                request(*m_routers[m_random() % m_routers.size()], m_options.kinds[kind],
                        nextPrompt(kind));
            } while (uniform() > 1 / m_options.burstSize);
        });
    }

    std::uint64_t nextPrompt(std::size_t kind)
    {
        const bool isHot =
            kind == 0 && m_now > 8 && m_now < 14 && uniform() < m_options.sharedPromptFraction;
        const std::uint64_t number = isHot ? 0 : 1 + m_prompts[kind](m_random);
        constexpr std::uint64_t spread = 1000003;
        return (kind + 1) * spread * spread + number * spread;
    }

    void request(Router &router, const Kind &kind, std::uint64_t prompt)
    {
        using namespace Lagoonbank;
        const Gateway::PlacementResult result =
            router.placement.choose({.service = service(),
                                     .affinity = prompt,
                                     .sharedTokens = Base::Tokens(kind.sharedTokens),
                                     .requestHash = m_random(),
                                     .targetLatency = std::chrono::milliseconds(500)},
                                    router.registry, mono());
        const Gateway::EndpointPtr engine = result.endpoint;
        const auto number = static_cast<std::size_t>(engine->index);
        if (m_now > m_options.warmUp)
            count(router, result, m_running[number] + 1);
        const bool isNew = m_held[prompt].insert(number).second;
        if (isNew && m_held[prompt].size() > 1 && m_now > m_options.warmUp)
            m_figures.tokensPrefilledAgain += kind.sharedTokens;
        router.registry.requestSent(*engine, mono());
        ++m_running[number];
        ++m_inFlight;
        at(m_now + firstEvent, [this, &router, engine, number] {
            router.registry.loadReported(
                *engine, {.running = m_running[number], .waiting = 0, .slots = slots}, mono());
        });
        at(m_now + firstEvent + exponential(kind.answerSeconds), [this, &router, engine, number] {
            router.registry.requestEnded(*engine);
            --m_running[number];
            --m_inFlight;
        });
    }

    void count(const Router &router, const Lagoonbank::Gateway::PlacementResult &result,
               int running)
    {
        const bool isOver = running > 2 * meanLoad() + 3;
        Second &second = m_seconds[static_cast<int>(m_now)];
        ++second.requests;
        second.requestsOverBound += isOver ? 1 : 0;
        ++m_figures.requests;
        m_figures.requestsOverBound += isOver ? 1 : 0;
        m_figures.requestsAwayFromHome +=
            result.reason == Lagoonbank::Gateway::PlacementReason::HomeBusy ? 1 : 0;
        m_figures.meanLoad += meanLoad();
        const double averageLoad = router.registry.averageLoad(service(), mono()).value_or(0);
        m_figures.averageLoadError += std::abs(averageLoad - meanLoad()) / meanLoad();
    }

    double maximumOverBoundShare() const
    {
        constexpr int window = 5;
        double maxShare = 0;
        const int first = static_cast<int>(m_options.warmUp);
        for (int from = first; from + window <= first + m_options.seconds; ++from) {
            Second sum;
            for (auto at = m_seconds.lower_bound(from); at != m_seconds.lower_bound(from + window);
                 ++at) {
                sum.requests += at->second.requests;
                sum.requestsOverBound += at->second.requestsOverBound;
            }
            maxShare =
                std::max(maxShare, double(sum.requestsOverBound) / std::max(1, sum.requests));
        }
        return maxShare;
    }

    void gossip(std::size_t from)
    {
        at(m_now + m_options.gossipSeconds, [this, from] { gossip(from); });
        const std::size_t to = m_random() % m_routers.size();
        if (to == from)
            return;
        const auto announcement = m_routers[from]->sharing.announcement(mono());
        if (m_now > m_options.warmUp)
            m_bytes += headerBytes + Lagoonbank::Schema::encodeMessage(announcement).value().size();
        at(m_now + messageDelay, [this, to, announcement] {
            m_routers[to]->sharing.merge(announcement, Lagoonbank::Base::fromSeconds(messageDelay),
                                         mono());
        });
    }

    Options m_options;
    std::mt19937_64 m_random;
    std::vector<std::discrete_distribution<std::uint64_t>> m_prompts; ///< For each kind.
    std::set<Lagoonbank::Base::DataCentreId> m_drained;
    std::vector<std::unique_ptr<Router>> m_routers;
    std::vector<int> m_running; ///< Requests at each engine.
    int m_inFlight = 0;
    std::map<std::uint64_t, std::set<std::size_t>> m_held; ///< Engines that hold a prompt.
    std::priority_queue<Event> m_events;
    double m_now = 0;
    long m_lastSequenceNumber = 0;
    std::map<int, Second> m_seconds;
    Figures m_figures;
    std::size_t m_bytes = 0;
};
